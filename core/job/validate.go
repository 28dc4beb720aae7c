package job

import (
	"fmt"

	"github.com/basilferry/basilferry/core/domain"
)

// Limits of a job. They keep one request from exhausting the memory of the
// smallest entry node of the deployments, which has 184 MB: a task takes 72 bytes
// there.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 256
	// MaxTasks is the largest number of tasks in one occurrence, and MaxJobTasks that of
	// all occurrences together.
	MaxTasks       = 100_000
	MaxJobTasks    = 400_000
	MaxOccurrences = 10_000
	// MaxDemand is the largest amount of one resource that a task can demand. The
	// demand of MaxTasks tasks does not overflow.
	MaxDemand = 1 << 40
)

// Validate checks a job that a client sent or that is stored. It returns a *domain.Error
// that names the first problem, or nil. Its kind is KindNotRun if the job is too large,
// and KindBadRequest otherwise.
func (j *Job) Validate() error {
	switch {
	case !j.ID.Valid():
		return badRequest("job id %q is malformed", "use 16 hexadecimal digits", j.ID)
	case len(j.Payload) > MaxPayloadBytes:
		return badRequest("the payload has %d bytes", fmt.Sprintf("send at most %d bytes", MaxPayloadBytes), len(j.Payload))
	case len(j.Steps) == 0:
		return badRequest("the job has no steps", fmt.Sprintf("send 1 to %d steps", MaxSteps))
	case len(j.Steps) > MaxSteps:
		return tooLarge("the job has %d steps", fmt.Sprintf("send at most %d steps", MaxSteps), len(j.Steps))
	case j.Repeat.Count < 0:
		return badRequest("the job repeats %d times", "use 0 or more", j.Repeat.Count)
	case j.Repeat.Count > MaxOccurrences:
		return tooLarge("the job repeats %d times", fmt.Sprintf("repeat at most %d times", MaxOccurrences), j.Repeat.Count)
	case j.Repeat.Count > 0 && j.Repeat.IntervalMS < 0:
		return badRequest("the interval is %d ms", "use a positive interval", j.Repeat.IntervalMS)
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return tooLarge("the job has %d tasks", fmt.Sprintf("send at most %d tasks, or several jobs", MaxTasks), tasks)
	}
	return nil
}

// CheckTotal checks the number of tasks of all occurrences of a job that a client sent and
// that Validate accepts. It returns a *domain.Error of kind KindNotRun if there are too
// many.
func (j *Job) CheckTotal() error {
	tasks := 0
	for _, s := range j.Steps {
		tasks += s.Count
	}
	if tasks *= j.Occurrences(); tasks > MaxJobTasks {
		return tooLarge("the job has %d tasks in all its repetitions", fmt.Sprintf("send at most %d tasks, or several jobs", MaxJobTasks), tasks)
	}
	return nil
}

func (s Step) validate(index int) error {
	if s.Count < 1 {
		return badRequest("step %d has %d tasks", "give each step at least one task", index, s.Count)
	}
	if s.Count > MaxTasks {
		return tooLarge("step %d has %d tasks", fmt.Sprintf("send at most %d tasks, or several jobs", MaxTasks), index, s.Count)
	}
	if s.Need.CPUMilli < 0 || s.Need.MemoryMiB < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 {
		return badRequest("step %d has a negative demand or estimate", "use values of 0 or more", index)
	}
	if max(s.Need.CPUMilli, s.Need.MemoryMiB, s.Need.Accelerators) > MaxDemand {
		return badRequest("step %d demands more than any worker has", fmt.Sprintf("demand at most %d of each resource", int64(MaxDemand)), index)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= index {
			return badRequest("step %d depends on step %d", "depend on earlier steps only", index, d)
		}
	}
	return nil
}

func badRequest(format, remedy string, args ...any) *domain.Error {
	return &domain.Error{Kind: domain.KindBadRequest, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// tooLarge returns the error for a job that is never run because of its size. Clients get
// it as "not accepted", and no time after which to send the job again.
func tooLarge(format, remedy string, args ...any) *domain.Error {
	return &domain.Error{Kind: domain.KindNotRun, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}
