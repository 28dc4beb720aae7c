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
	// HoldWait is how long a worker may wait for an end before it answers a hold.
	HoldWait time.Duration
	// Keep is how long the records of a job are kept after it is over.
	Keep time.Duration
	// Offline is how long an owner goes on renewing leases without the store.
	Offline time.Duration
}

const (
	// planInterval bounds the rate of planning rounds. Ends of the tasks of a
	// step come close together, and one round and one record serve them all.
	planInterval = 10 * time.Millisecond
	// replanInterval bounds how long a task waits that is held back by a figure
	// that changes with time: a pause of a worker or a tail near its target.
	replanInterval = 400 * time.Millisecond
	// idleHold is how long a worker with nothing on it is left alone between
	// two holds.
	idleHold = time.Second
	// retryHold is the pause after a hold without an answer.
	retryHold = 300 * time.Millisecond
	// retryStop is the pause after a stop without an answer.
	retryStop = 400 * time.Millisecond
	// unstoredHold is the pause before a worker is held again whose ends are
	// not stored yet: it would answer at once with the same ends.
	unstoredHold = 700 * time.Millisecond
	// startAttempts is how often a start is sent before the run is stopped.
	startAttempts = 2
	// refusedPause keeps new runs away from a worker that refused one.
	refusedPause = 500 * time.Millisecond
	// inheritedMargin is added to the longest time that a former owner's lease
	// can last.
	inheritedMargin = 500 * time.Millisecond
	// maxDecisions bounds the decisions that wait for the driver.
	maxDecisions = 4096
)

// contact is the state of the conversation with one worker.
type contact struct {
	holding  bool
	nextHold fleet.Instant
}

// Machine is the owner's decision core. It is used from one goroutine.
type Machine struct {
	settings Settings
	token    platform.Token
	ledger   *ledger.Ledger
	fleet    *fleet.Fleet
	planner  dispatch.Planner
	sharing  *sharing.Model
	rates    *rates
	advice   advice

	config    *platform.OperatorConfig
	routes    map[string]*platform.Route
	evacuated map[domain.FailureDomain]bool

	contacts map[domain.WorkerID]*contact
	orders   []*Order
	// stops are the runs with a stop that has to be sent or repeated.
	stops map[*fleet.Run]*stopState
	// unsent are the placements that are not stored yet.
	unsent []placed
	// unstored tells that ends were read that are not stored yet.
	unstored bool
	inFlight *Batch

	planWanted bool
	nextPlan   fleet.Instant
	// nextDue is when the next occurrence of a repeated job is due, in Unix
	// milliseconds; 0 for none.
	nextDue int64

	// learnedAt is when what was learned was stored last.
	learnedAt fleet.Instant
	// storedAt is when the store last acknowledged an append of this owner.
	storedAt fleet.Instant
	// bounded are the workers on the stored list of those without a lease, and
	// boundsStored tells that this owner has stored the list.
	bounded      map[domain.WorkerID]bool
	boundsStored bool
	// fenced tells that a worker has seen a higher token.
	fenced   bool
	accepted map[job.ID]fleet.Instant
	// over are the jobs for which nothing is left to do; the ledger has dropped
	// them. A late copy of an acceptance must not make them run again.
	over map[job.ID]job.State
	// closed lists the jobs that are over, in the order in which they ended.
	closed []closedJob
	// idleSince is since when a job with a task that could run has nothing
	// running.
	idleSince map[job.ID]fleet.Instant
	// freeShares are the shares of the services' processors that were free at the
	// start of the round.
	freeShares map[string]float64
	// replanAt is when waiting tasks are looked at again although nothing has
	// happened.
	replanAt  fleet.Instant
	decisions []Decision
	dropped   int64
	Counters  Counters
}

// Counters count the machine's decisions, for the metrics.
type Counters struct {
	Placed, Started, Refused, Unresolved, Lost, Done, Failed, Stopped, Lapsed, Holds, Paced, Moved int64
}

type stopState struct {
	worker *fleet.Worker
	next   fleet.Instant
}

type placed struct {
	worker *fleet.Worker
	run    *fleet.Run
	ticket string
}

// New returns the machine of a new owner with the given token, whose claim was
// sent at the given time.
func New(s Settings, token platform.Token, claimed, now fleet.Instant) *Machine {
	return &Machine{
		settings:   s,
		token:      token,
		ledger:     ledger.New(),
		fleet:      fleet.New(),
		sharing:    sharing.NewModel(),
		rates:      newRates(now),
		advice:     advice{steps: map[job.StepID]*advised{}},
		evacuated:  map[domain.FailureDomain]bool{},
		contacts:   map[domain.WorkerID]*contact{},
		stops:      map[*fleet.Run]*stopState{},
		accepted:   map[job.ID]fleet.Instant{},
		over:       map[job.ID]job.State{},
		idleSince:  map[job.ID]fleet.Instant{},
		freeShares: map[string]float64{},
		bounded:    map[domain.WorkerID]bool{},
		storedAt:   claimed,
	}
}

// Token returns the fencing token of this owner.
func (m *Machine) Token() platform.Token { return m.token }

// State returns what a caller sees of a job; empty for an unknown one.
func (m *Machine) State(id job.ID) job.State {
	if e := m.ledger.Entry(id); e != nil {
		return e.State()
	}
	return m.over[id]
}

// Ledger returns the book of jobs; the caller must not change it.
func (m *Machine) Ledger() *ledger.Ledger { return m.ledger }

// Fleet returns the book of workers; the caller must not change it.
func (m *Machine) Fleet() *fleet.Fleet { return m.fleet }

// Fenced reports whether a worker has seen a higher token, so that this owner
// has been replaced or will see so in the store.
func (m *Machine) Fenced() bool { return m.fenced }

// TakeOrders returns the orders to carry out and forgets them.
func (m *Machine) TakeOrders() []*Order {
	out := m.orders
	m.orders = nil
	return out
}

// TakeDecisions returns the decisions since the last call and how many were
// dropped because the driver did not take them in time.
func (m *Machine) TakeDecisions() ([]Decision, int64) {
	out, dropped := m.decisions, m.dropped
	m.decisions, m.dropped = nil, 0
	return out, dropped
}

func (m *Machine) note(d Decision) {
	if len(m.decisions) >= maxDecisions {
		m.dropped++
		return
	}
	m.decisions = append(m.decisions, d)
}

// RestoreOver takes over the jobs for which nothing is left to do.
func (m *Machine) RestoreOver(over map[job.ID]job.State, now fleet.Instant) {
	for id, state := range over {
		m.over[id] = state
		m.closed = append(m.closed, closedJob{id: id, at: now})
	}
}

// Restore takes over the jobs of the former owner. Runs that were placed count
// as executing until their worker is heard or their lease is surely over.
// WallMS is the time of day in Unix milliseconds.
func (m *Machine) Restore(jobs *ledger.Ledger, former Former, now fleet.Instant, wallMS int64) error {
	m.ledger = jobs
	for _, e := range jobs.OpenJobs() {
		m.accepted[e.Job.ID] = now - submittedAgo(e.Job, wallMS)
		m.rates.accepted(e.Job)
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
			m.stopJob(e, now)
			m.closed = append(m.closed, closedJob{id: e.Job.ID, at: now})
		}
	})
	m.planWanted = true
	return m.restoreBounds(former, now)
}

// submittedAgo returns how long ago a job was submitted, by the time of day,
// which may have jumped; it decides about the order of the work only.
func submittedAgo(j *job.Job, wallMS int64) time.Duration {
	return time.Duration(max(0, wallMS-j.SubmittedUnixMS)) * time.Millisecond
}

// RestoreLearned takes over what the former owner has learned of images that
// share workers.
func (m *Machine) RestoreLearned(record []byte) error {
	model, err := sharing.Decode(record)
	if err != nil {
		return err
	}
	m.sharing = model
	return nil
}

// Accept adds a job that a caller has submitted.
func (m *Machine) Accept(j *job.Job, now fleet.Instant) {
	if _, over := m.over[j.ID]; over || m.ledger.Entry(j.ID) != nil {
		return
	}
	m.ledger.Accept(j)
	m.accepted[j.ID] = now
	m.rates.accepted(j)
	m.planWanted = true
}

// Cancel ends a job at a caller's wish.
func (m *Machine) Cancel(id job.ID, now fleet.Instant) {
	if !m.ledger.Cancel(id) {
		return
	}
	m.note(Decision{What: "cancel", Job: id, Reason: "a caller cancelled the job"})
	m.closed = append(m.closed, closedJob{id: id, at: now})
	m.stopJob(m.ledger.Entry(id), now)
}

// stopJob stops all runs of a closed job.
func (m *Machine) stopJob(e *ledger.Entry, now fleet.Instant) {
	m.forgetAdvice(e.Job.ID)
	delete(m.idleSince, e.Job.ID)
	e.ForEachPlaced(func(id job.TaskID, t ledger.Task) {
		w := m.fleet.Worker(t.Worker)
		if w == nil {
			return
		}
		if r := w.Attempts[id]; r != nil && r.Run == t.Run {
			m.stop(w, r, "the job is over", now)
		}
	})
}

// SetConfig puts a configuration in force; the newest wins.
func (m *Machine) SetConfig(c *platform.OperatorConfig) {
	if m.config != nil && c.Version <= m.config.Version {
		return
	}
	m.config = c
	m.routes = make(map[string]*platform.Route, len(c.Routes))
	for i := range c.Routes {
		m.routes[c.Routes[i].Queue.Route] = &c.Routes[i]
	}
	m.planWanted = true
}

// SetEvacuated takes a failure domain out or back.
func (m *Machine) SetEvacuated(d domain.FailureDomain, out bool) {
	m.evacuated[d] = out
	m.planWanted = true
}

// List takes over a registry entry.
func (m *Machine) List(entry platform.RegistryEntry, now fleet.Instant) {
	w := m.fleet.List(entry)
	m.contact(w, now)
	if w.Draining {
		m.leave(w, now)
	}
}

// contact begins the conversation with a worker.
func (m *Machine) contact(w *fleet.Worker, now fleet.Instant) {
	if m.contacts[w.ID] == nil {
		m.contacts[w.ID] = &contact{nextHold: now}
	}
}

// Unlist takes note that a worker is no longer in the registry. What it holds
// counts as executing until it says otherwise or its lease is over.
func (m *Machine) Unlist(id domain.WorkerID) { m.fleet.Unlist(id) }

// Advance makes the decisions that are due: lapsed leases, holds, stops and
// placements. WallMS is the time of day in Unix milliseconds.
func (m *Machine) Advance(now fleet.Instant, wallMS int64) {
	m.lapse(now)
	m.sendStops(now)
	m.hold(now)
	if m.nextDue > 0 && wallMS >= m.nextDue {
		m.planWanted = true
	}
	if now >= m.replanAt {
		m.replanAt = now + replanInterval
		m.planWanted = true
	}
	if m.planWanted && now >= m.nextPlan && m.config != nil {
		m.planWanted = false
		m.nextPlan = now + planInterval
		m.plan(now, wallMS)
	}
}

// Connected reports whether the store has acknowledged an append recently
// enough for this owner to renew leases.
func (m *Machine) Connected(now fleet.Instant) bool {
	return now-m.storedAt < m.settings.Offline
}
