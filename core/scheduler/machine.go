package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/sharing"
)

// Settings are the figures that the platform gives.
type Settings struct {
	// Lease is how long a lease is: within what a worker grants, long enough
	// for a change of the owner, and short enough that the work of a dead
	// worker starts again soon.
	Lease time.Duration
	// HeartbeatWait is how long a worker may wait for an end before it answers a hold.
	HeartbeatWait time.Duration
	// Keep is how long the records of a job are kept after it is over.
	Keep time.Duration
	// MaxOffline is how long an owner goes on renewing leases without the store.
	MaxOffline time.Duration
}

const (
	// minPlanInterval bounds the rate of planning rounds. Ends of the tasks of a
	// step come close together, and one round and one record serve them all.
	minPlanInterval = 10 * time.Millisecond
	// maxPlanInterval bounds how long a task waits that is held back by a figure
	// that changes with time: a pause of a worker or a tail near its target.
	maxPlanInterval = 400 * time.Millisecond
	// idleHeartbeatInterval is how long a worker with nothing on it is left alone between
	// two holds.
	idleHeartbeatInterval = time.Second
	// heartbeatRetryDelay is the pause after a hold without an answer.
	heartbeatRetryDelay = 300 * time.Millisecond
	// stopRetryDelay is the pause after a stop without an answer.
	stopRetryDelay = 400 * time.Millisecond
	// unstoredHeartbeatDelay is the pause before a worker is held again whose ends are
	// not stored yet: it would answer at once with the same ends.
	unstoredHeartbeatDelay = 700 * time.Millisecond
	// maxStartSends is how often a start is sent before the run is stopped.
	maxStartSends = 2
	// refusalPause keeps new runs away from a worker that refused one.
	refusalPause = 500 * time.Millisecond
	// previousLeaseMargin is added to the longest time that a former owner's lease
	// can last.
	previousLeaseMargin = 500 * time.Millisecond
	// maxPendingDecisions bounds the decisions that wait for the driver.
	maxPendingDecisions = 4096
)

// heartbeat is the state of the conversation with one worker.
type heartbeat struct {
	inProgress bool
	next       fleet.Instant
}

// Scheduler is the owner's decision core. It is used from one goroutine.
type Scheduler struct {
	settings     Settings
	token        platform.Token
	ledger       *ledger.Ledger
	fleet        *fleet.Fleet
	planner      dispatch.Planner
	sharing      *sharing.Model
	throughput   *throughput
	policyAdvice policyAdvice

	config    *platform.OperatorConfig
	routes    map[string]*platform.Route
	evacuated map[domain.FailureDomain]bool

	heartbeats map[domain.WorkerID]*heartbeat
	commands   []*Command
	// stops are the runs with a stop that has to be sent or repeated.
	stops map[*fleet.Run]*pendingStop
	// unsentStarts are the placements that are not stored yet.
	unsentStarts []unsentStart
	// hasUnstoredCompletions tells that ends were read that are not stored yet.
	hasUnstoredCompletions bool
	unresolvedBatch        *Batch

	needsPlan  bool
	nextPlanAt fleet.Instant
	// nextDueUnixMS is when the next occurrence of a repeated job is due, in Unix
	// milliseconds; 0 for none.
	nextDueUnixMS int64

	// modelStoredAt is when what was learned was stored last.
	modelStoredAt fleet.Instant
	// lastStoreAck is when the store last acknowledged an append of this owner.
	lastStoreAck fleet.Instant
	// boundedWorkers are the workers on the stored list of those without a lease, and
	// boundsStored tells that this owner has stored the list.
	boundedWorkers    map[domain.WorkerID]bool
	leaseBoundsStored bool
	// fenced tells that a worker has seen a higher token.
	fenced   bool
	accepted map[job.ID]fleet.Instant
	// finished are the jobs for which nothing is left to do; the ledger has dropped
	// them. A late copy of an acceptance must not make them run again.
	finished map[job.ID]job.State
	// overTarget lists the jobs that are over, in the order in which they ended.
	closed []closedJob
	// idleSince is since when a job with a task that could run has nothing
	// running.
	idleSince map[job.ID]fleet.Instant
	// freeShares are the shares of the services' processors that were free at the
	// start of the round.
	freeShares map[string]float64
	// nextReplanAt is when waiting tasks are looked at again although nothing has
	// happened.
	nextReplanAt fleet.Instant
	decisions    []Decision
	dropped      int64
	Counters     Counters
}

// Counters count the machine's decisions, for the metrics.
type Counters struct {
	Placed, Started, Refused, Unresolved, Lost, Done, Failed, Stopped, Expired, Heartbeats, Throttled, Moved int64
}

type pendingStop struct {
	worker   *fleet.Worker
	nextSend fleet.Instant
}

type unsentStart struct {
	worker  *fleet.Worker
	attempt *fleet.Run
	ticket  string
}

// New returns the machine of a new owner with the given token, whose claim was
// sent at the given time.
func New(s Settings, token platform.Token, claimed, now fleet.Instant) *Scheduler {
	return &Scheduler{
		settings:       s,
		token:          token,
		ledger:         ledger.New(),
		fleet:          fleet.New(),
		sharing:        sharing.NewModel(),
		throughput:     newThroughput(now),
		policyAdvice:   policyAdvice{steps: map[job.StepID]*stepAdvice{}},
		evacuated:      map[domain.FailureDomain]bool{},
		heartbeats:     map[domain.WorkerID]*heartbeat{},
		stops:          map[*fleet.Run]*pendingStop{},
		accepted:       map[job.ID]fleet.Instant{},
		finished:       map[job.ID]job.State{},
		idleSince:      map[job.ID]fleet.Instant{},
		freeShares:     map[string]float64{},
		boundedWorkers: map[domain.WorkerID]bool{},
		lastStoreAck:   claimed,
	}
}

// Token returns the fencing token of this owner.
func (m *Scheduler) Token() platform.Token { return m.token }

// State returns what a caller sees of a job; empty for an unknown one.
func (m *Scheduler) State(id job.ID) job.State {
	if e := m.ledger.Entry(id); e != nil {
		return e.State()
	}
	return m.finished[id]
}

// Ledger returns the book of jobs; the caller must not change it.
func (m *Scheduler) Ledger() *ledger.Ledger { return m.ledger }

// Fleet returns the book of workers; the caller must not change it.
func (m *Scheduler) Fleet() *fleet.Fleet { return m.fleet }

// IsFenced reports whether a worker has seen a higher token, so that this owner
// has been replaced or will see so in the store.
func (m *Scheduler) IsFenced() bool { return m.fenced }

// TakeCommands returns the orders to carry out and forgets them.
func (m *Scheduler) TakeCommands() []*Command {
	out := m.commands
	m.commands = nil
	return out
}

// TakeDecisions returns the decisions since the last call and how many were
// dropped because the driver did not take them in time.
func (m *Scheduler) TakeDecisions() ([]Decision, int64) {
	out, dropped := m.decisions, m.dropped
	m.decisions, m.dropped = nil, 0
	return out, dropped
}

func (m *Scheduler) recordDecision(d Decision) {
	if len(m.decisions) >= maxPendingDecisions {
		m.dropped++
		return
	}
	m.decisions = append(m.decisions, d)
}

// RestoreFinishedJobs takes over the jobs for which nothing is left to do.
func (m *Scheduler) RestoreFinishedJobs(finished map[job.ID]job.State, now fleet.Instant) {
	for id, state := range finished {
		m.finished[id] = state
		m.closed = append(m.closed, closedJob{id: id, closedAt: now})
	}
}

// Restore takes over the jobs of the former owner. Runs that were placed count
// as executing until their worker is heard or their lease is surely over.
// WallMS is the time of day in Unix milliseconds.
func (m *Scheduler) Restore(jobs *ledger.Ledger, former PreviousOwner, now fleet.Instant, wallMS int64) error {
	m.ledger = jobs
	for _, e := range jobs.OpenJobs() {
		m.accepted[e.Job.ID] = now - timeSinceSubmission(e.Job, wallMS)
		m.throughput.accepted(e.Job)
	}
	jobs.ForEach(func(e *ledger.Entry) {
		e.ForEachPlaced(func(id job.TaskID, t ledger.Task) {
			w := m.fleet.Ensure(t.Worker)
			step := &e.Job.Steps[id.Step]
			w.Add(&fleet.Run{
				ID: id, Run: t.Run, Phase: fleet.AttemptInherited, Step: step, Need: step.ReservedCapacity(),
				PlacedAt: now, StartedAt: now,
			})
			w.UnresponsiveSince = now
		})
		if e.IsClosed() {
			m.stopAttemptsOf(e, now)
			m.closed = append(m.closed, closedJob{id: e.Job.ID, closedAt: now})
		}
	})
	m.needsPlan = true
	return m.restoreLeaseBounds(former, now)
}

// timeSinceSubmission returns how long ago a job was submitted, by the time of day,
// which may have jumped; it decides about the order of the work only.
func timeSinceSubmission(j *job.Job, wallMS int64) time.Duration {
	return time.Duration(max(0, wallMS-j.SubmittedUnixMS)) * time.Millisecond
}

// RestoreSharingModel takes over what the former owner has learned of images that
// share workers.
func (m *Scheduler) RestoreSharingModel(record []byte) error {
	model, err := sharing.Decode(record)
	if err != nil {
		return err
	}
	m.sharing = model
	return nil
}

// Accept adds a job that a caller has submitted.
func (m *Scheduler) Accept(j *job.Job, now fleet.Instant) {
	if _, finished := m.finished[j.ID]; finished || m.ledger.Entry(j.ID) != nil {
		return
	}
	m.ledger.Accept(j)
	m.accepted[j.ID] = now
	m.throughput.accepted(j)
	m.needsPlan = true
}

// Cancel ends a job at a caller's wish.
func (m *Scheduler) Cancel(id job.ID, now fleet.Instant) {
	if !m.ledger.Cancel(id) {
		return
	}
	m.recordDecision(Decision{Action: "cancel", Job: id, Reason: "a caller cancelled the job"})
	m.closed = append(m.closed, closedJob{id: id, closedAt: now})
	m.stopAttemptsOf(m.ledger.Entry(id), now)
}

// stopAttemptsOf stops all runs of a closed job.
func (m *Scheduler) stopAttemptsOf(e *ledger.Entry, now fleet.Instant) {
	m.dropAdvice(e.Job.ID)
	delete(m.idleSince, e.Job.ID)
	e.ForEachPlaced(func(id job.TaskID, t ledger.Task) {
		w := m.fleet.Worker(t.Worker)
		if w == nil {
			return
		}
		if r := w.Attempts[id]; r != nil && r.Run == t.Run {
			m.requestStop(w, r, "the job is over", now)
		}
	})
}

// SetConfig puts a configuration in force; the newest wins.
func (m *Scheduler) SetConfig(c *platform.OperatorConfig) {
	if m.config != nil && c.Version <= m.config.Version {
		return
	}
	m.config = c
	m.routes = make(map[string]*platform.Route, len(c.Routes))
	for i := range c.Routes {
		m.routes[c.Routes[i].Queue.Route] = &c.Routes[i]
	}
	m.needsPlan = true
}

// SetEvacuated takes a failure domain out or back.
func (m *Scheduler) SetEvacuated(d domain.FailureDomain, out bool) {
	m.evacuated[d] = out
	m.needsPlan = true
}

// List takes over a registry entry.
func (m *Scheduler) List(entry platform.RegistryEntry, now fleet.Instant) {
	w := m.fleet.List(entry)
	m.heartbeat(w, now)
	if w.Draining {
		m.stopLongRunning(w, now)
	}
}

// heartbeat begins the conversation with a worker.
func (m *Scheduler) heartbeat(w *fleet.Worker, now fleet.Instant) {
	if m.heartbeats[w.ID] == nil {
		m.heartbeats[w.ID] = &heartbeat{next: now}
	}
}

// Unlist takes note that a worker is no longer in the registry. What it holds
// counts as executing until it says otherwise or its lease is over.
func (m *Scheduler) Unlist(id domain.WorkerID) { m.fleet.Unlist(id) }

// Advance makes the decisions that are due: lapsed leases, holds, stops and
// placements. WallMS is the time of day in Unix milliseconds.
func (m *Scheduler) Advance(now fleet.Instant, wallMS int64) {
	m.releaseExpired(now)
	m.sendStops(now)
	m.sendHeartbeats(now)
	if m.nextDueUnixMS > 0 && wallMS >= m.nextDueUnixMS {
		m.needsPlan = true
	}
	if now >= m.nextReplanAt {
		m.nextReplanAt = now + maxPlanInterval
		m.needsPlan = true
	}
	if m.needsPlan && now >= m.nextPlanAt && m.config != nil {
		m.needsPlan = false
		m.nextPlanAt = now + minPlanInterval
		m.plan(now, wallMS)
	}
}

// IsConnected reports whether the store has acknowledged an append recently
// enough for this owner to renew leases.
func (m *Scheduler) IsConnected(now fleet.Instant) bool {
	return now-m.lastStoreAck < m.settings.MaxOffline
}
