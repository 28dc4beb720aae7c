package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
)

// Stage is a part of the time from a job's submission to the start of its tasks.
type Stage string

// Stages of a job.
const (
	// StageView is the time from the submission until this owner knows the job. It is
	// measured by the wall clocks of two nodes.
	StageView Stage = "accept_to_view"
	// StageFirstPlace is the time until the job's first task is placed.
	StageFirstPlace Stage = "view_to_place"
	// StageStart is the time from a placement to the confirmed start.
	StageStart Stage = "place_to_start"
	// StageNextPlace is the time from the end of a step until a task of a step that
	// depends on it is placed.
	StageNextPlace Stage = "end_to_place"
)

// StageTime is one measured stage of a job of a queue.
type StageTime struct {
	Stage Stage
	Route string
	Took  time.Duration
}

// TakeStages returns and removes the stages measured since the last call.
func (s *Scheduler) TakeStages() []StageTime {
	out := s.stages
	s.stages = nil
	return out
}

func (s *Scheduler) recordStage(stage Stage, q job.Queue, took time.Duration) {
	if len(s.stages) < maxPendingDecisions {
		s.stages = append(s.stages, StageTime{Stage: stage, Route: q.Route, Took: took})
	}
}

// recordPlaceStage measures the wait of a placement that is the first one of its job or
// of a step that depends on another one. It is called before the ledger knows of it.
func (s *Scheduler) recordPlaceStage(p dispatch.Placement, now fleet.Instant) {
	e := s.ledger.Entry(p.Task.Job)
	switch {
	case !e.Started:
		s.recordStage(StageFirstPlace, e.Job.Queue, now-s.accepted[p.Task.Job])
	case len(p.Step.DependsOn) > 0 && e.WaitingCount(p.Task.Occurrence, p.Task.Step) == p.Step.Count:
		if at, ok := s.stepEndedAt[p.Task.Job]; ok {
			s.recordStage(StageNextPlace, e.Job.Queue, now-at)
		}
	}
}

// recordStepEnd remembers when the last step of an open job ended, and drops what is known about
// the attempts of a step that has ended: a job with many occurrences is open for long.
func (s *Scheduler) recordStepEnd(e *ledger.Entry, id job.TaskID, now fleet.Instant) {
	if e.IsClosed() {
		delete(s.stepEndedAt, id.Job)
		return
	}
	if o := e.Occurrences[id.Occurrence]; o != nil && o.Steps[id.Step].Done == e.Job.Steps[id.Step].Count {
		s.stepEndedAt[id.Job] = now
		s.stragglers.Forget(id.StepID)
	}
}
