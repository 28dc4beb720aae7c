package fleet

import (
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// RunPhase is how far the order for a run has come.
type RunPhase uint8

// Phases of a run on a worker.
const (
	// RunUnsent: its placement is not stored yet.
	RunUnsent RunPhase = iota
	// RunSent: the start was sent and not answered.
	RunSent
	// RunStarted: the worker has confirmed it.
	RunStarted
	// RunUnresolved: the start got no answer; it may take place later.
	RunUnresolved
	// RunInherited: a former owner placed it; the worker has not been heard.
	RunInherited
)

// Run is one run that may be executing on a worker.
type Run struct {
	ID    job.TaskID
	Run   int
	Phase RunPhase
	// Step is the step's description; nil for a run that no job explains.
	Step *job.Step
	// Need is the room that it occupies.
	Need domain.Resources
	// Attempts counts the sends of the start.
	Attempts int
	// Stopping is set once a stop is wanted; StopSent while one is under way.
	Stopping, StopSent bool
	// StopAcked is when the worker confirmed the stop; 0 before.
	StopAcked Instant
	// PlacedAt is when the run was placed, StartedAt when it was confirmed.
	PlacedAt, StartedAt Instant
	// Percent and Observed are the worker's last figures.
	Percent  int
	Observed int64
	// FirstAt and FirstPercent are the first progress that was seen, and
	// ProgressAt is when it changed last.
	FirstAt, ProgressAt Instant
	FirstPercent        int
	// Pace is the share of full speed that was ordered last, in percent.
	// PaceKnown is not set for a run of a former owner, whose orders are not
	// known.
	Pace      int
	PaceKnown bool
	// Pacing tells that an order for the pace is under way.
	Pacing bool
	// OverSince is since when the tail latency has been over the target, and
	// NearSince since when near or over it; 0 if it is not.
	OverSince, NearSince Instant
}

// Key returns the name of the run on the wire of the worker contract.
func (r *Run) Key() platform.RunKey { return platform.RunKey{Task: r.ID.String(), Run: r.Run} }

// Worker is one worker with what may be executing on it.
type Worker struct {
	platform.RegistryEntry
	// Listed tells that the registry has the worker.
	Listed bool
	// Life identifies the life of the worker that was heard last.
	Life int64
	// Held tells that the worker has answered a hold of this owner in this life.
	Held bool
	// Fenced tells that the worker has seen a higher token.
	Fenced bool
	// Leaving is when the worker said that it will leave; 0 if it did not.
	Leaving Instant
	Lease   Lease
	// Stored is the number of the last end whose effect is stored, and Taken
	// that of the last end that was read.
	Stored, Taken int64
	// Used is the room of all runs.
	Used domain.Resources
	// FillCPU is the processor demand of the filling runs.
	FillCPU int64
	// Runs by task; a task has at most one run on a worker at a time.
	Runs map[job.TaskID]*Run
	// LastHeard is when the last answer arrived.
	LastHeard Instant
	// AvoidUntil keeps new runs away for a while after a refusal.
	AvoidUntil Instant
	// Failures counts the recent holds without an answer.
	Failures int
	// SilentSince is since when the worker has not been heard by this owner; 0
	// if its last hold was answered.
	SilentSince Instant
	// Barred tells that the store lists the worker as one without a lease. It
	// gets none until that has changed.
	Barred bool
	// Health rates what the worker does with what it is given.
	Health Health
	// serving counts the runs with a tail latency target, and ServingCPU is
	// their processor demand.
	serving    int
	ServingCPU int64
	// filling counts the runs that use what others leave, and FillEndedAt is
	// when one of them ended last: its use is in the tails of the last half
	// second and not in the list of runs any more.
	filling     int
	FillEndedAt Instant
}

func newWorker(entry platform.RegistryEntry) *Worker {
	return &Worker{RegistryEntry: entry, Runs: map[job.TaskID]*Run{}}
}

// rackLabel is the place of the rack among a worker's labels: its kind comes
// first, then its rack.
const rackLabel = 1

// Rack returns the label that names the worker's rack; empty if there is none.
func (w *Worker) Rack() string {
	if len(w.Labels) <= rackLabel {
		return ""
	}
	return w.Labels[rackLabel]
}

// HasLabel reports whether the worker has the label; it has the empty one.
func (w *Worker) HasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// Free returns the room that is not taken.
func (w *Worker) Free() domain.Resources { return w.Capacity.Sub(w.Used) }

// Serving reports whether a run with a tail latency target is on the worker.
func (w *Worker) Serving() bool { return w.serving > 0 }

// Shared reports whether filling and serving runs are on the worker together.
func (w *Worker) Shared() bool { return w.serving > 0 && w.filling > 0 }

// Accepts reports whether the worker takes new runs as far as its own state is
// concerned.
func (w *Worker) Accepts(now Instant) bool {
	return w.Listed && w.Held && !w.Fenced && !w.Barred && !w.Draining && w.Leaving == 0 && w.Failures == 0 &&
		now >= w.AvoidUntil && now-w.LastHeard < silentAfter
}

// silentAfter is how long a worker may be silent before it gets no new runs.
// Holds are answered within a second.
const silentAfter = 1500 * time.Millisecond

// Endpoint returns where the worker is reached.
func (w *Worker) Endpoint() platform.Endpoint {
	return platform.Endpoint{ID: w.ID, Address: w.Address}
}

// Add puts a run on the worker.
func (w *Worker) Add(r *Run) {
	if old := w.Runs[r.ID]; old != nil {
		w.Remove(old)
	}
	w.Runs[r.ID] = r
	w.Used = w.Used.Add(r.Need)
	if r.Step == nil {
		return
	}
	if r.Step.Fills {
		w.FillCPU += r.Step.Need.CPUMilli
		w.filling++
	}
	if r.Step.Target > 0 {
		w.serving++
		w.ServingCPU += r.Step.Need.CPUMilli
	}
}

// Remove takes a run off the worker.
func (w *Worker) Remove(r *Run) {
	if w.Runs[r.ID] != r {
		return
	}
	delete(w.Runs, r.ID)
	w.Used = w.Used.Sub(r.Need)
	if r.Step == nil {
		return
	}
	if r.Step.Fills {
		w.FillCPU -= r.Step.Need.CPUMilli
		w.filling--
	}
	if r.Step.Target > 0 {
		w.serving--
		w.ServingCPU -= r.Step.Need.CPUMilli
	}
}
