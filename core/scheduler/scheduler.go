package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/duration"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/sharing"
	"github.com/basilferry/basilferry/core/straggler"
)

// Settings are the time limits of the scheduler.
type Settings struct {
	// Lease is the duration of a worker lease. It must be at most what a worker
	// grants, long enough for a change of owner, and short enough that the tasks
	// of a dead worker start again soon.
	Lease time.Duration
	// LeaseLimit is the longest lease that a worker grants, on its own clock. A worker
	// that has restarted grants it for any end that was computed for the clock of its
	// former incarnation.
	LeaseLimit time.Duration
	// HeartbeatWait is how long a worker may wait for a completion before it
	// responds to a heartbeat.
	HeartbeatWait time.Duration
	// Retention is how long the records of a job are kept after it is closed.
	Retention time.Duration
	// MaxOffline is how long an owner continues to renew leases without the store.
	MaxOffline time.Duration
	// OwnerTimeout is how long after the owner's last record another node may become the
	// owner.
	OwnerTimeout time.Duration
}

const (
	// minPlanInterval is the shortest time between two planning rounds. The tasks
	// of a step often finish close together, and one round and one record cover
	// them all.
	minPlanInterval = 10 * time.Millisecond
	// maxPlanInterval is the longest time between two planning rounds. It limits
	// the delay of a task that waits for something that changes only with time,
	// such as the pause of a worker or a tail latency close to its target.
	maxPlanInterval = 400 * time.Millisecond
	// idleHeartbeatInterval is the time between two heartbeats of a worker without
	// attempts.
	idleHeartbeatInterval = time.Second
	// heartbeatRetryDelay is the pause after a failed heartbeat.
	heartbeatRetryDelay = 300 * time.Millisecond
	// stopRetryDelay is the pause after a failed stop command.
	stopRetryDelay = 400 * time.Millisecond
	// unstoredHeartbeatDelay is the pause before the next heartbeat of a worker
	// whose completions are not stored yet or whose lease is suspended. Such a
	// heartbeat asks for an immediate response, which would mostly be the same as
	// the last one.
	unstoredHeartbeatDelay = 700 * time.Millisecond
	// unlistedHeartbeatDelay is the pause before the next heartbeat of a worker that
	// lists completions again because a start on it has no answer yet.
	unlistedHeartbeatDelay = 100 * time.Millisecond
	// maxStartSends is how often a start request is sent before the attempt is
	// stopped.
	maxStartSends = 2
	// refusalPause is how long a worker that refused an attempt gets no new ones.
	refusalPause = 500 * time.Millisecond
	// previousLeaseMargin is added to the longest time that a previous owner's
	// lease can last.
	previousLeaseMargin = 500 * time.Millisecond
	// maxPendingDecisions is the maximum number of decisions that wait for the
	// driver to take them.
	maxPendingDecisions = 4096
)

// heartbeat is the state of the heartbeats of one worker.
type heartbeat struct {
	// inProgress is the command that has no result yet; nil if there is none.
	inProgress *Command
	// next is the earliest time of the next heartbeat.
	next fleet.Instant
}

// Scheduler makes the scheduling decisions of an owner. It is not safe for
// concurrent use.
type Scheduler struct {
	settings    Settings
	token       platform.Token
	ledger      *ledger.Ledger
	fleet       *fleet.Fleet
	planner     dispatch.Planner
	sharing     *sharing.Model
	throughput  *throughput
	backlog     backlogMeter
	capacities  poolCapacities
	durations   *duration.Predictor
	predictions map[job.ID]*prediction
	stragglers  *straggler.Detector
	// suspectsUntil is until when a worker may be suspect.
	suspectsUntil fleet.Instant
	policyAdvice  policyAdvice
	poolUse       poolUse
	// executing is the work of the placed tasks of each pool in the current planning
	// round; see dispatch.PoolLoad.
	executing map[dispatch.Pool]float64
	// wasDeferred are the open jobs that have been deferred, and newlyDeferred the numbers
	// of them by queue that the driver has not taken yet.
	wasDeferred   map[job.ID]bool
	newlyDeferred map[string]int64

	config    *platform.OperatorConfig
	routes    map[string]*platform.Route
	evacuated map[domain.FailureDomain]bool

	accounts accountTerms
	// accountWaits are the jobs that wait for the limit of their account.
	accountWaits accountWaits

	heartbeats map[domain.WorkerID]*heartbeat
	commands   []*Command
	// stops are the attempts whose stop command has to be sent or repeated.
	stops map[*fleet.Attempt]*pendingStop
	// unsentStarts are the start requests whose placements are in no batch yet.
	unsentStarts []unsentStart
	// begun are the jobs of which the first task has begun and that the driver has not
	// taken yet.
	begun []job.ID
	// hasUnstoredCompletions is true if completions were read that are in no batch
	// yet.
	hasUnstoredCompletions bool
	// unstoredEnds are the completions of known jobs that are in no batch yet.
	unstoredEnds []unstoredEnd
	inFlight     inFlight
	// held are the jobs whose state the store refuses.
	held map[job.ID]*heldJob
	// unresolvedBatch is the batch whose append is in progress; nil if there is
	// none.
	unresolvedBatch *Batch

	needsPlan  bool
	nextPlanAt fleet.Instant
	// bestEffort limits the share of time that planning best-effort tasks takes.
	bestEffort bestEffortPace
	// nextDueUnixMS is when the next occurrence of a repeated job is due, in Unix
	// milliseconds; 0 for none.
	nextDueUnixMS int64

	// modelStoredAt is when the sharing model was last included in a batch.
	modelStoredAt fleet.Instant
	// lastStoreAck is when the last append of this owner that the store has
	// acknowledged was sent.
	lastStoreAck fleet.Instant
	// lastRenewal, lastState and lastPulse are when the last such appends that the store
	// has acknowledged were sent. All nodes read renewals; of the others, each node reads
	// the states or the pulses.
	lastRenewal, lastState, lastPulse fleet.Instant
	// storedBounds is the content of the stored lease bounds record; of a previous owner's
	// only the unresponsive workers. leaseBoundsStored is true once this owner has stored a
	// record.
	storedBounds      leaseBounds
	leaseBoundsStored bool
	// handOver is the preparation of a hand-over; nil if there is none.
	handOver *handOver
	// fenced is true if a worker has seen a higher fencing token.
	fenced bool
	// releasing is true once this owner releases its claim.
	releasing bool
	// accepted is when each job was accepted.
	accepted map[job.ID]fleet.Instant
	// finished are the closed jobs that the job table has dropped because they have
	// no placed tasks, and the jobs that were cancelled before their acceptance was read.
	// They are kept so that a late acceptance or a late copy of one does not run a job.
	finished map[job.ID]job.State
	// closed lists the closed jobs in the order in which they were closed.
	closed []closedJob
	// idleSince is, for each job with a best-effort task that could start, and for all jobs
	// while there are suspect workers, the time since which the job has had no attempts
	// although at least minFreeShare of the capacity was free.
	idleSince map[job.ID]fleet.Instant
	// waitingSince is, for each long-running step with waiting tasks, the time since which
	// it has had some.
	waitingSince map[job.StepID]fleet.Instant
	// freeShares is the share of each service's CPU capacity that was free at the
	// start of the planning round.
	freeShares map[string]float64
	// nextReplanAt is when the next planning round takes place even if no event
	// requires one.
	nextReplanAt fleet.Instant
	decisions    []Decision
	// dropped counts the decisions that were dropped since the last
	// TakeDecisions.
	dropped  int64
	Counters Counters
	// stages are the measured stages that the driver has not taken yet, and stepEndedAt
	// is when the last step of each open job ended.
	stages      []StageTime
	stepEndedAt map[job.ID]fleet.Instant
}

// Counters count the scheduler's decisions and their results, for the metrics.
// Unresolved counts the attempts whose start request had an unknown outcome, Lost
// those that were released without a completion, Expired those that ended with the
// worker's lease, Moved the stragglers that were stopped, Restarts the ended
// incarnations of workers, and Held how often the store refused the state of a job.
// AccountWaits counts how often a job started to wait for the limit of its account, and
// AccountReleased the placements that were not sent because a limit was lowered.
type Counters struct {
	Placed, Started, Refused, Unresolved, Lost, Done, Failed, Stopped, Expired, Heartbeats, Throttled, Moved, Restarts, Held int64
	AccountWaits, AccountReleased                                                                                            int64
}

// pendingStop is a stop command that has to be sent or repeated.
type pendingStop struct {
	worker   *fleet.Worker
	nextSend fleet.Instant
}

// unsentStart is a start request that is sent once its placement is stored.
type unsentStart struct {
	worker  *fleet.Worker
	attempt *fleet.Attempt
	ticket  string
}

// New returns the scheduler of a new owner with the given fencing token. claimed
// is when its claim was sent, or an earlier time. Until the store acknowledges an
// append, this owner renews leases for MaxOffline from then.
func New(s Settings, token platform.Token, claimed, now fleet.Instant) *Scheduler {
	return &Scheduler{
		settings:     s,
		token:        token,
		ledger:       ledger.New(),
		fleet:        fleet.New(),
		sharing:      sharing.NewModel(),
		throughput:   newThroughput(now),
		backlog:      backlogMeter{},
		durations:    duration.New(),
		predictions:  map[job.ID]*prediction{},
		stragglers:   straggler.New(),
		policyAdvice: policyAdvice{steps: map[job.StepID]*stepAdvice{}},
		poolUse:      newPoolUse(),
		executing:    map[dispatch.Pool]float64{},
		wasDeferred:  map[job.ID]bool{}, newlyDeferred: map[string]int64{},
		evacuated:    map[domain.FailureDomain]bool{},
		heartbeats:   map[domain.WorkerID]*heartbeat{},
		stops:        map[*fleet.Attempt]*pendingStop{},
		accepted:     map[job.ID]fleet.Instant{},
		finished:     map[job.ID]job.State{},
		idleSince:    map[job.ID]fleet.Instant{},
		waitingSince: map[job.StepID]fleet.Instant{},
		freeShares:   map[string]float64{},
		storedBounds: leaseBounds{suspended: map[domain.WorkerID]bool{}},
		held:         map[job.ID]*heldJob{},
		stepEndedAt:  map[job.ID]fleet.Instant{},
		accounts:     accountTerms{last: map[string]account.Account{}},
		accountWaits: accountWaits{lastSeen: map[job.ID]fleet.Instant{}},
		lastStoreAck: claimed,
		lastRenewal:  claimed,
	}
}

// Token returns the fencing token of this owner.
func (s *Scheduler) Token() platform.Token { return s.token }

// State returns the state of a job as clients see it; empty for an unknown job.
func (s *Scheduler) State(id job.ID) job.State {
	if e := s.ledger.Entry(id); e != nil {
		return e.State()
	}
	return s.finished[id]
}

// Ledger returns the job table, which must not be changed.
func (s *Scheduler) Ledger() *ledger.Ledger { return s.ledger }

// Fleet returns the worker table, which must not be changed.
func (s *Scheduler) Fleet() *fleet.Fleet { return s.fleet }

// IsFenced reports whether a worker has seen a higher fencing token, which means
// that this owner has been replaced.
func (s *Scheduler) IsFenced() bool { return s.fenced }

// TakeCommands returns and removes the commands to carry out.
func (s *Scheduler) TakeCommands() []*Command {
	out := s.commands
	s.commands = nil
	return out
}

// TakeBegun returns and removes the jobs of which the first task has begun since the last
// call.
func (s *Scheduler) TakeBegun() []job.ID {
	out := s.begun
	s.begun = nil
	return out
}

// begin records that a worker has reported a task of the job.
func (s *Scheduler) begin(id job.ID) {
	if s.ledger.Begin(id) {
		s.begun = append(s.begun, id)
	}
}

// TakeDecisions returns and removes the decisions since the last call. It also
// returns how many were dropped because the driver did not take them in time.
func (s *Scheduler) TakeDecisions() ([]Decision, int64) {
	out, dropped := s.decisions, s.dropped
	s.decisions, s.dropped = nil, 0
	return out, dropped
}

func (s *Scheduler) recordDecision(d Decision) {
	if len(s.decisions) >= maxPendingDecisions {
		s.dropped++
		return
	}
	if e := s.ledger.Entry(d.Job); e != nil {
		d.Route = e.Job.Queue.Route
	}
	s.decisions = append(s.decisions, d)
}

// RestoreFinishedJobs adds closed jobs without placed tasks from the store.
func (s *Scheduler) RestoreFinishedJobs(finished map[job.ID]job.State, now fleet.Instant) {
	for id, state := range finished {
		s.finished[id] = state
		s.closed = append(s.closed, closedJob{id: id, closedAt: now})
	}
}

// Restore takes over the jobs of the previous owner. Its placed attempts are
// assumed to be running until their worker responds or its lease has expired.
// nowUnixMS is the wall-clock time in Unix milliseconds.
func (s *Scheduler) Restore(jobs *ledger.Ledger, previous PreviousOwner, now fleet.Instant, nowUnixMS int64) error {
	s.ledger = jobs
	for _, e := range jobs.OpenJobs() {
		s.accepted[e.Job.ID] = now - timeSinceSubmission(e.Job, nowUnixMS)
		s.throughput.accepted(e.Job, s.predictionOf(e.Job).work)
	}
	jobs.ForEach(func(e *ledger.Entry) {
		e.ForEachPlaced(func(id job.TaskID, t ledger.Task) {
			w := s.fleet.Ensure(t.Worker)
			step := &e.Job.Steps[id.Step]
			w.Add(&fleet.Attempt{
				ID: id, Attempt: t.Attempt, Phase: fleet.AttemptInherited, Step: step, Need: step.ReservedCapacity(),
				Account: e.Job.Account, PlacedAt: now, StartedAt: now,
			})
			w.UnresponsiveSince = now
		})
		if e.IsClosed() {
			s.stopAttemptsOf(e, now)
			s.closed = append(s.closed, closedJob{id: e.Job.ID, closedAt: now})
		}
	})
	s.needsPlan = true
	s.holdUnreadable(previous.Unreadable)
	return s.restoreLeaseBounds(previous, now)
}

// timeSinceSubmission returns how long ago a job was submitted, by the wall clock.
// That clock may have jumped, but the result affects only the order of the work
// and the age of the job in the decision log.
func timeSinceSubmission(j *job.Job, nowUnixMS int64) time.Duration {
	return time.Duration(max(0, nowUnixMS-j.SubmittedUnixMS)) * time.Millisecond
}

// RestoreSharingModel replaces the sharing model, which predicts the interference
// between images on a worker, by a stored one.
func (s *Scheduler) RestoreSharingModel(record []byte) error {
	model, err := sharing.Decode(record)
	if err != nil {
		return err
	}
	s.sharing = model
	return nil
}

// Accept adds a job that a client has submitted. A known job, and one that was cancelled
// before, is ignored.
func (s *Scheduler) Accept(j *job.Job, now fleet.Instant) {
	if state, finished := s.finished[j.ID]; finished {
		s.recordDecision(Decision{Action: "ignore job", Job: j.ID, Reason: "the job is already " + string(state)})
		return
	}
	if s.isUnreadable(j.ID) {
		s.recordDecision(Decision{Action: "ignore job", Job: j.ID, Reason: "its stored records cannot be decoded"})
		return
	}
	if s.ledger.Entry(j.ID) != nil {
		return
	}
	s.ledger.Accept(j)
	s.accepted[j.ID] = now
	s.throughput.accepted(j, s.predictionOf(j).work)
	s.needsPlan = true
}

// Cancel cancels a job at a client's request. The acceptance of an unknown job may still
// be read: the newest records of a partition come in the order of their keys, and the
// store may carry out an append late. The cancellation then holds for Retention.
func (s *Scheduler) Cancel(id job.ID, now fleet.Instant) {
	if s.State(id) == "" {
		s.finished[id] = job.StateCancelled
		s.closed = append(s.closed, closedJob{id: id, closedAt: now})
		s.recordDecision(Decision{Action: "cancel", Job: id, Reason: "a client cancelled the job, whose acceptance has not been read"})
		return
	}
	if !s.ledger.Cancel(id) {
		return
	}
	s.recordDecision(Decision{Action: "cancel", Job: id, Reason: "a client cancelled the job"})
	s.closed = append(s.closed, closedJob{id: id, closedAt: now})
	s.stopAttemptsOf(s.ledger.Entry(id), now)
}

// stopAttemptsOf stops all attempts of a closed job.
func (s *Scheduler) stopAttemptsOf(e *ledger.Entry, now fleet.Instant) {
	s.dropAdvice(e.Job.ID)
	s.forgetDurations(e.Job)
	s.forgetStragglers(e.Job)
	delete(s.idleSince, e.Job.ID)
	delete(s.stepEndedAt, e.Job.ID)
	for i, step := range e.Job.Steps {
		if !step.LongRunning {
			continue
		}
		for k := range e.Occurrences {
			delete(s.waitingSince, job.StepID{Job: e.Job.ID, Occurrence: k, Step: i})
		}
	}
	e.ForEachPlaced(func(id job.TaskID, t ledger.Task) {
		w := s.fleet.Worker(t.Worker)
		if w == nil {
			return
		}
		if r := w.Attempts[id]; r != nil && r.Attempt == t.Attempt {
			s.requestStop(w, r, "the job is closed", now)
		}
	})
}

// SetConfig applies a configuration if it is newer than the current one.
func (s *Scheduler) SetConfig(c *platform.OperatorConfig) {
	if s.config != nil && c.Version <= s.config.Version {
		return
	}
	s.config = c
	s.accounts.setConfig(c)
	s.routes = make(map[string]*platform.Route, len(c.Routes))
	for i := range c.Routes {
		s.routes[c.Routes[i].Queue.Route] = &c.Routes[i]
	}
	s.needsPlan = true
}

// SetEvacuated takes a failure domain out, so that no new attempts start in it, or
// puts it back.
func (s *Scheduler) SetEvacuated(d domain.FailureDomain, isEvacuated bool) {
	if s.evacuated[d] == isEvacuated {
		return
	}
	s.evacuated[d] = isEvacuated
	s.needsPlan = true
}

// RegisterWorker adds or updates a registered worker.
func (s *Scheduler) RegisterWorker(entry platform.RegistryEntry, now fleet.Instant) {
	w := s.fleet.RegisterWorker(entry)
	s.heartbeat(w, now)
	s.observeRegisteredIncarnation(w, now)
	if w.Draining {
		s.stopLongRunning(w, now)
	}
}

// heartbeat starts the heartbeats of a worker, unless they have been started.
func (s *Scheduler) heartbeat(w *fleet.Worker, now fleet.Instant) {
	if s.heartbeats[w.ID] == nil {
		s.heartbeats[w.ID] = &heartbeat{next: now}
	}
}

// UnregisterWorker records that a worker is no longer in the registry. Its attempts
// are assumed to be running until it reports otherwise or its lease has expired.
func (s *Scheduler) UnregisterWorker(id domain.WorkerID) { s.fleet.UnregisterWorker(id) }

// Advance makes the decisions that are due: it releases attempts whose lease has
// expired, issues stop commands and heartbeats, and places waiting tasks.
// nowUnixMS is the wall-clock time in Unix milliseconds.
func (s *Scheduler) Advance(now fleet.Instant, nowUnixMS int64) {
	s.releaseExpired(now)
	s.sendStops(now)
	s.sendHeartbeats(now)
	if s.nextDueUnixMS > 0 && nowUnixMS >= s.nextDueUnixMS {
		s.needsPlan = true
	}
	if now >= s.nextReplanAt {
		s.nextReplanAt = now + maxPlanInterval
		s.needsPlan = true
	}
	if s.bestEffort.isDue(now) {
		s.needsPlan = true
	}
	if s.needsPlan && now >= s.nextPlanAt && s.config != nil && !s.releasing {
		s.needsPlan = false
		s.nextPlanAt = now + minPlanInterval
		s.plan(now, nowUnixMS)
	}
}

// IsConnected reports whether the store has acknowledged an append recently
// enough for this owner to renew leases.
func (s *Scheduler) IsConnected(now fleet.Instant) bool {
	return now-s.lastStoreAck < s.settings.MaxOffline
}

// mayStart reports whether no other node can have become the owner, because all nodes have
// read a record of this owner within the owner timeout, or will. Fencing tokens alone do
// not prevent a start by an owner that was replaced: a worker that has restarted may not
// have seen the newer one.
func (s *Scheduler) mayStart(now fleet.Instant) bool {
	readByAll := max(s.lastRenewal, min(s.lastState, s.lastPulse))
	return !s.releasing && now-readByAll < s.settings.OwnerTimeout
}

// StopStarting ends the starts of this owner, because it is about to release its claim.
// Another node can be the owner as soon as the release is stored.
func (s *Scheduler) StopStarting() { s.releasing = true }
