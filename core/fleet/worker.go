package fleet

import (
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// AttemptPhase is how far an attempt has come from its placement to its
// confirmed start.
type AttemptPhase uint8

// Phases of an attempt on a worker.
const (
	// AttemptUnsent: the start request was not sent yet, because the placement
	// must be stored first.
	AttemptUnsent AttemptPhase = iota
	// AttemptSent: the start request was sent and has no answer yet.
	AttemptSent
	// AttemptStarted: the worker confirmed the start.
	AttemptStarted
	// AttemptUnresolved: the start request got no answer; the worker may
	// still carry it out.
	AttemptUnresolved
	// AttemptInherited: a previous owner placed the attempt, and the worker has
	// not responded to this owner yet.
	AttemptInherited
)

// Attempt is one attempt of a task that may be executing on a worker.
type Attempt struct {
	ID job.TaskID
	// Attempt is the attempt number.
	Attempt int
	Phase   AttemptPhase
	// Step is the step that the task belongs to; nil if no known job has the
	// task.
	Step *job.Step
	// Need is the capacity that the attempt reserves.
	Need domain.Resources
	// Account is the client account of the job; empty if it belongs to none or the job
	// is not known. It must not change while the attempt is on a worker.
	Account string
	// FullNeed is the need of the step, with the CPU of best-effort tasks, of an attempt
	// that has no Step although its job is known.
	FullNeed domain.Resources
	// Sends counts how often the start request was sent, SentAt is when it was sent
	// first, and Token is the fencing token that it carried last; 0 for a previous
	// owner's request.
	Sends  int
	SentAt Instant
	Token  platform.Token
	// MayRunLater is true if the start request has an unknown outcome and may have reached
	// a later incarnation than the one that it was issued for.
	MayRunLater bool
	// StopWanted is set once the attempt is to be stopped. StopSent is set while
	// a stop command has no answer yet.
	StopWanted, StopSent bool
	// PlacedAt is when the attempt was placed, and StartedAt when the worker
	// confirmed it.
	PlacedAt, StartedAt Instant
	AttemptStatus
	// SpeedPercent is the last speed limit that was sent, in percent of full speed.
	// SpeedKnown is false if the speed limit is unknown, for example because a
	// previous owner placed the attempt.
	SpeedPercent int
	SpeedKnown   bool
	// ThrottleSent is set while a command that sets the speed limit has no
	// answer yet.
	ThrottleSent bool
}

// AttemptStatus is what the current incarnation of the worker has reported about an
// attempt. The zero value is that of an attempt that it has not reported.
type AttemptStatus struct {
	// Listed is true if a heartbeat response has listed the attempt as running.
	Listed bool
	// ClockMatches is true if the clock in the answer to its start fits this incarnation.
	// A clock that starts anywhere seldom does, but it can.
	ClockMatches bool
	// StopAckedAt is when the worker confirmed the stop; 0 before.
	StopAckedAt Instant
	// ProgressPercent and Observed are the latest values that the worker reported; see
	// platform.Running.
	ProgressPercent int
	Observed        int64
	// UsedCPUSum and UsedCPUCount sum up the CPU use that the reports have shown for a
	// best-effort attempt, in millicores.
	UsedCPUSum   float64
	UsedCPUCount int
	// FirstProgressAt and FirstProgressPercent are the time and value of the
	// first progress that was reported. ProgressChangedAt is when the progress
	// last changed.
	FirstProgressAt, ProgressChangedAt Instant
	FirstProgressPercent               int
	// ShownDuration is the duration of the whole task that the pace of the attempt has shown
	// to the detection of stragglers; 0 if it has shown none.
	ShownDuration time.Duration
	// OverTargetSince is since when the tail latency has been over its target,
	// and CloseToTargetSince since when it has been close to or over it; 0 if it
	// is not.
	OverTargetSince, CloseToTargetSince Instant
}

// Key returns the key that identifies the attempt in commands to workers.
func (r *Attempt) Key() platform.AttemptKey {
	return platform.AttemptKey{Task: r.ID.String(), Attempt: r.Attempt}
}

// Worker is one worker with the attempts that may be executing on it. Its attempts
// may belong to an incarnation other than the current one until it is known which
// incarnation carried out their start requests.
type Worker struct {
	platform.RegistryEntry
	// Registered is true if the worker is registered.
	Registered bool
	Incarnation
	// FormerIncarnationID identifies the last incarnation that has ended; 0 if there is
	// none. The time of day may have been set back since it started.
	FormerIncarnationID int64
	// TokenRaises is how often the fencing token of commands to the worker has been
	// raised.
	TokenRaises int64
	// Fenced is true if the worker has seen a higher fencing token.
	Fenced bool
	// Used is the capacity that all attempts reserve.
	Used domain.Resources
	// LongRunningUse is the capacity that long-running attempts reserve.
	LongRunningUse domain.Resources
	// BestEffortCPU is the CPU demand of the best-effort attempts, in
	// millicores.
	BestEffortCPU int64
	// Attempts holds the attempts by task. A task has at most one attempt on a
	// worker at a time.
	Attempts map[job.TaskID]*Attempt
	// LastContact is when the last answer of the worker arrived.
	LastContact Instant
	// MissedHeartbeats counts the heartbeats in a row that failed.
	MissedHeartbeats int
	// UnresponsiveSince is since when no heartbeat of this owner has succeeded;
	// 0 if the last one did.
	UnresponsiveSince Instant
	// LeaseSuspended is true if a lease bounds record that is stored or about to
	// be stored lists the worker. It gets no lease until a newer record that
	// does not list it is stored.
	LeaseSuspended bool
	// serving counts the attempts with a tail latency target, and ServingCPU is
	// their CPU demand in millicores.
	serving    int
	ServingCPU int64
	// bestEffort counts the best-effort attempts.
	bestEffort int
	// accounts is the use of the accounts by the attempts of all workers of the table.
	accounts accountUse
}

func newWorker(entry platform.RegistryEntry) *Worker {
	return &Worker{RegistryEntry: entry, Attempts: map[job.TaskID]*Attempt{}}
}

// rackLabelIndex is the index of the rack among a worker's labels: the first
// label is the worker's kind, the second its rack.
const rackLabelIndex = 1

// Rack returns the label that names the worker's rack; empty if there is none.
func (w *Worker) Rack() string {
	if len(w.Labels) <= rackLabelIndex {
		return ""
	}
	return w.Labels[rackLabelIndex]
}

// HasLabel reports whether the worker has the label. Every worker has the empty
// label.
func (w *Worker) HasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// FreeCapacity returns the capacity that no attempt reserves.
func (w *Worker) FreeCapacity() domain.Resources { return w.Capacity.Sub(w.Used) }

// HasServing reports whether an attempt with a tail latency target is on the
// worker.
func (w *Worker) HasServing() bool { return w.serving > 0 }

// IsShared reports whether best-effort and serving attempts are colocated on
// the worker.
func (w *Worker) IsShared() bool { return w.serving > 0 && w.bestEffort > 0 }

// AcceptsAttempts reports whether the worker's state allows new attempts. It
// does not consider free capacity.
func (w *Worker) AcceptsAttempts(now Instant) bool {
	return w.Registered && w.HeartbeatAnswered && w.MatchesRegistry() && !w.Fenced && !w.LeaseSuspended && !w.Draining && w.LeavesAt == 0 && w.MissedHeartbeats == 0 &&
		now >= w.AvoidUntil && now-w.LastContact < unresponsiveAfter
}

// IsSuspect reports whether the worker is the last resort for new attempts.
func (w *Worker) IsSuspect(now Instant) bool { return now < w.SuspectUntil }

// IsDescribed reports whether the worker's registry entry, and so its capacity, is known. A
// new owner may reach a worker of a lease bounds record before it has read its entry.
func (w *Worker) IsDescribed() bool { return w.Capacity != domain.Resources{} }

// unresponsiveAfter is how long after its last contact a worker gets no new
// attempts. Workers answer heartbeats within a second.
const unresponsiveAfter = 1500 * time.Millisecond

// Endpoint returns the address of the worker and, if it has answered with the current
// token, its incarnation.
func (w *Worker) Endpoint() platform.Endpoint {
	to := platform.Endpoint{ID: w.ID, Address: w.Address}
	if w.HeartbeatAnswered {
		to.Incarnation = w.IncarnationID
	}
	return to
}

// Add puts an attempt on the worker and reserves its capacity. It replaces an
// earlier attempt of the same task.
func (w *Worker) Add(r *Attempt) {
	if old := w.Attempts[r.ID]; old != nil {
		w.Remove(old)
	}
	w.Attempts[r.ID] = r
	w.Used = w.Used.Add(r.Need)
	w.accounts.add(r.Account, r.accountNeed())
	if r.Step == nil {
		return
	}
	if r.Step.LongRunning {
		w.LongRunningUse = w.LongRunningUse.Add(r.Need)
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

// Remove takes an attempt off the worker and releases its capacity.
func (w *Worker) Remove(r *Attempt) {
	if w.Attempts[r.ID] != r {
		return
	}
	delete(w.Attempts, r.ID)
	w.Used = w.Used.Sub(r.Need)
	w.accounts.add(r.Account, domain.Resources{}.Sub(r.accountNeed()))
	if r.Step == nil {
		return
	}
	if r.Step.LongRunning {
		w.LongRunningUse = w.LongRunningUse.Sub(r.Need)
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
