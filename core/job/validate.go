package job

import (
	"fmt"

	"github.com/basilferry/basilferry/core/domain"
)

// Limits of a job. They keep one request from exhausting the memory of the
// smallest entry node of the deployments, which has 184 MB.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 256
	MaxTasks        = 20_000
	MaxOccurrences  = 10_000
	// MaxDemand is the largest amount of one resource that a task can demand. The
	// demand of MaxTasks tasks does not overflow.
	MaxDemand = 1 << 40
)

// Validate checks a job that a client sent. It returns a *domain.Error of kind
// KindBadRequest that names the first problem, or nil.
func (j *Job) Validate() error {
	switch {
	case !j.ID.Valid():
		return badRequest("job id %q is malformed", "use 16 hexadecimal digits", j.ID)
	case len(j.Payload) > MaxPayloadBytes:
		return badRequest("the payload has %d bytes", fmt.Sprintf("send at most %d bytes", MaxPayloadBytes), len(j.Payload))
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return badRequest("the job has %d steps", fmt.Sprintf("send 1 to %d steps", MaxSteps), len(j.Steps))
	case j.Repeat.Count < 0 || j.Repeat.Count > MaxOccurrences:
		return badRequest("the job repeats %d times", fmt.Sprintf("repeat at most %d times", MaxOccurrences), j.Repeat.Count)
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
		return badRequest("the job has %d tasks", fmt.Sprintf("send at most %d tasks", MaxTasks), tasks)
	}
	return nil
}

func (s Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return badRequest("step %d has %d tasks", "give each step at least one task", index, s.Count)
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
