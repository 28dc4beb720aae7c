package fleet

import (
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// AttemptPhase is how far the order for a run has come.
type AttemptPhase uint8

// Phases of a run on a worker.
const (
	// AttemptUnsent: its placement is not stored yet.
	AttemptUnsent AttemptPhase = iota
	// AttemptSent: the start was sent and not answered.
	AttemptSent
	// AttemptStarted: the worker has confirmed it.
	AttemptStarted
	// AttemptUnresolved: the start got no answer; it may take place later.
	AttemptUnresolved
	// AttemptInherited: a former owner placed it; the worker has not been heard.
	AttemptInherited
)

// Run is one run that may be executing on a worker.
type Run struct {
	ID    job.TaskID
	Run   int
	Phase AttemptPhase
	// Step is the step's description; nil for a run that no job explains.
	Step *job.Step
	// Need is the room that it occupies.
	Need domain.Resources
	// Sends counts the sends of the start.
	Sends int
	// StopWanted is set once a stop is wanted; StopSent while one is under way.
	StopWanted, StopSent bool
	// StopAckedAt is when the worker confirmed the stop; 0 before.
	StopAckedAt Instant
	// PlacedAt is when the run was placed, StartedAt when it was confirmed.
	PlacedAt, StartedAt Instant
	// Percent and Observed are the worker's last figures.
	Percent  int
	Observed int64
	// FirstProgressAt and FirstPercent are the first progress that was seen, and
	// ProgressChangedAt is when it changed last.
	FirstProgressAt, ProgressChangedAt Instant
	FirstPercent                       int
	// Pace is the share of full speed that was ordered last, in percent.
	// PaceKnown is not set for a run of a former owner, whose orders are not
	// known.
	Pace       int
	SpeedKnown bool
	// ThrottleSent tells that an order for the pace is under way.
	ThrottleSent bool
	// OverTargetSince is since when the tail latency has been over the target, and
	// CloseToTargetSince since when near or over it; 0 if it is not.
	OverTargetSince, CloseToTargetSince Instant
}

// Key returns the name of the run on the wire of the worker contract.
func (r *Run) Key() platform.AttemptKey { return platform.AttemptKey{Task: r.ID.String(), Run: r.Run} }

// Worker is one worker with what may be executing on it.
type Worker struct {
	platform.RegistryEntry
	// Listed tells that the registry has the worker.
	Listed bool
	// Incarnation identifies the life of the worker that was heard last.
	Incarnation int64
	// HeartbeatAnswered tells that the worker has answered a hold of this owner in this life.
	HeartbeatAnswered bool
	// Fenced tells that the worker has seen a higher token.
	Fenced bool
	// LeavesAt is when the worker said that it will leave; 0 if it did not.
	LeavesAt Instant
	Lease    Lease
	// Stored is the number of the last end whose effect is stored, and Taken
	// that of the last end that was read.
	Stored, LastRead int64
	// Used is the room of all runs.
	Used domain.Resources
	// BestEffortCPU is the processor demand of the filling runs.
	BestEffortCPU int64
	// Attempts by task; a task has at most one run on a worker at a time.
	Attempts map[job.TaskID]*Run
	// LastContact is when the last answer arrived.
	LastContact Instant
	// AvoidUntil keeps new runs away for a while after a refusal.
	AvoidUntil Instant
	// MissedHeartbeats counts the recent holds without an answer.
	MissedHeartbeats int
	// UnresponsiveSince is since when the worker has not been heard by this owner; 0
	// if its last hold was answered.
	UnresponsiveSince Instant
	// LeaseSuspended tells that the store lists the worker as one without a lease. It
	// gets none until that has changed.
	LeaseSuspended bool
	// Health rates what the worker does with what it is given.
	Health Health
	// serving counts the runs with a tail latency target, and ServingCPU is
	// their processor demand.
	serving    int
	ServingCPU int64
	// bestEffort counts the runs that use what others leave, and FillEndedAt is
	// when one of them ended last: its use is in the tails of the last half
	// second and not in the list of runs any more.
	bestEffort           int
	BestEffortFinishedAt Instant
}

func newWorker(entry platform.RegistryEntry) *Worker {
	return &Worker{RegistryEntry: entry, Attempts: map[job.TaskID]*Run{}}
}

// rackLabelIndex is the place of the rack among a worker's labels: its kind comes
// first, then its rack.
const rackLabelIndex = 1

// Rack returns the label that names the worker's rack; empty if there is none.
func (w *Worker) Rack() string {
	if len(w.Labels) <= rackLabelIndex {
		return ""
	}
	return w.Labels[rackLabelIndex]
}

// HasLabel reports whether the worker has the label; it has the empty one.
func (w *Worker) HasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// FreeCapacity returns the room that is not taken.
func (w *Worker) FreeCapacity() domain.Resources { return w.Capacity.Sub(w.Used) }

// HasServing reports whether a run with a tail latency target is on the worker.
func (w *Worker) HasServing() bool { return w.serving > 0 }

// IsShared reports whether filling and serving runs are on the worker together.
func (w *Worker) IsShared() bool { return w.serving > 0 && w.bestEffort > 0 }

// AcceptsAttempts reports whether the worker takes new runs as far as its own state is
// concerned.
func (w *Worker) AcceptsAttempts(now Instant) bool {
	return w.Listed && w.HeartbeatAnswered && !w.Fenced && !w.LeaseSuspended && !w.Draining && w.LeavesAt == 0 && w.MissedHeartbeats == 0 &&
		now >= w.AvoidUntil && now-w.LastContact < unresponsiveAfter
}

// unresponsiveAfter is how long a worker may be silent before it gets no new runs.
// Holds are answered within a second.
const unresponsiveAfter = 1500 * time.Millisecond

// Endpoint returns where the worker is reached.
func (w *Worker) Endpoint() platform.Endpoint {
	return platform.Endpoint{ID: w.ID, Address: w.Address}
}

// Add puts a run on the worker.
func (w *Worker) Add(r *Run) {
	if old := w.Attempts[r.ID]; old != nil {
		w.Remove(old)
	}
	w.Attempts[r.ID] = r
	w.Used = w.Used.Add(r.Need)
	if r.Step == nil {
		return
	}
	if r.Step.Fills {
		w.BestEffortCPU += r.Step.Need.CPUMilli
		w.bestEffort++
	}
	if r.Step.Target > 0 {
		w.serving++
		w.ServingCPU += r.Step.Need.CPUMilli
	}
}

// Remove takes a run off the worker.
func (w *Worker) Remove(r *Run) {
	if w.Attempts[r.ID] != r {
		return
	}
	delete(w.Attempts, r.ID)
	w.Used = w.Used.Sub(r.Need)
	if r.Step == nil {
		return
	}
	if r.Step.Fills {
		w.BestEffortCPU -= r.Step.Need.CPUMilli
		w.bestEffort--
	}
	if r.Step.Target > 0 {
		w.serving--
		w.ServingCPU -= r.Step.Need.CPUMilli
	}
}
