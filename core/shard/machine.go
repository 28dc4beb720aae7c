package shard

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/chart"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
)

// Durations of the ownership protocol; see section 3.1 of docs/design.md.
const (
	// TickInterval is how often the driver sends Tick.
	TickInterval = 100 * time.Millisecond
	// ConfirmWindow is how long a confirmation of ownership is valid.
	ConfirmWindow = 2 * time.Second
	// ClockDriftMargin covers the difference between the rates of two clocks over
	// one lease.
	ClockDriftMargin = 500 * time.Millisecond
	// TakeoverWait is the time after which a task started by an earlier owner
	// cannot be running any more on a worker that this owner has not reached. It
	// is counted from when this owner has attached to more than half of the
	// workers. From then on an earlier owner gets no new confirmation, and it may
	// extend leases only until its last confirmation expires.
	TakeoverWait = platform.LeaseDuration + ConfirmWindow + ClockDriftMargin
	// LeaseExpiryWait is the time after a worker's last answer at which its
	// session has certainly expired: a renewal extends the lease only relative to
	// the time of an earlier answer.
	LeaseExpiryWait = platform.LeaseDuration + ClockDriftMargin
	// RenewInterval is how often a session is renewed.
	RenewInterval = time.Second
	// retryInterval is the delay before a failed call to a worker is repeated.
	retryInterval = 250 * time.Millisecond
	// suspectAfter is the time since a worker's last answer after which it gets no
	// new tasks.
	suspectAfter = 1500 * time.Millisecond
	// maxRecoveryWait bounds how long a new owner waits for unresponsive workers
	// before it accepts requests.
	maxRecoveryWait = 1500 * time.Millisecond
	// reactionInterval is how often the policy is asked for reactions.
	reactionInterval = time.Second
)

// Limits of retries and memory.
const (
	// maxTaskFailures is the number of failed attempts after which a batch task ends
	// as failed.
	maxTaskFailures = 3
	// immediateRestarts is how many restarts of a failed task are not delayed.
	immediateRestarts = 3
	// restartDelay is the first delay after the immediate restarts. It doubles with
	// each further failure, up to maxRestartDelay.
	restartDelay    = 500 * time.Millisecond
	maxRestartDelay = 30 * time.Second
	// unseenAttemptGap is added to the attempt number of a task that no worker has
	// reported, so that attempts of this owner have higher numbers than attempts
	// of an earlier owner that this one cannot see.
	unseenAttemptGap = 100
	// maxLoggedAnswerBytes is the size of the largest answer stored in the log.
	maxLoggedAnswerBytes = 64 << 10
	// answerRetention is how long the answer of an ended urgent request is retained.
	answerRetention = platform.ResultRetention
	// unloggedAcceptWait is how long a batch task or watch may wait for a start
	// during a log outage before it is refused.
	unloggedAcceptWait = 1500 * time.Millisecond
	// appendRetryDelay is how long after a failed append requests do not wait for
	// the log. Otherwise each request would wait AppendTimeout in turn.
	appendRetryDelay = 2 * time.Second
	// maxTargetWait is how long an urgent request that has to move waits for a
	// reachable shard before it is refused.
	maxTargetWait = time.Second
	// moveRetryInterval is the delay before an unconfirmed move is repeated.
	moveRetryInterval = time.Second
)

// Config is the configuration of a new StateMachine.
type Config struct {
	Shard domain.ShardID
	Node  domain.NodeID
	// Epoch is the epoch of the claim that made Node the owner.
	Epoch domain.Epoch
	// Journal is the shard's state according to the domain's stream when the claim
	// took effect.
	Journal *journal.Shard
	Policy  Policy
	Now     Instant
}

// StateMachine is the state of one shard in the epoch of one owner. It is used
// from one goroutine.
type StateMachine struct {
	shard domain.ShardID
	node  domain.NodeID
	epoch domain.Epoch
	// handover is true if the previous owner handed the shard over, or there was
	// none: no other owner can then extend leases.
	handover bool
	policy   Policy
	tasks    *chart.Chart
	sessions *chart.Chart

	now       Instant
	startedAt Instant
	effects   []Effect

	workers map[domain.WorkerID]*worker
	// workersByID holds the workers ordered by id; nil after workers were added or
	// removed.
	workersByID []*worker
	// registered is true once the shard's workers in the VM list are known.
	registered bool
	// hasNoWorkers is true if the VM list has no worker of this shard.
	hasNoWorkers bool
	// majorityAttachedAt is when more than half of the workers had been attached;
	// 0 before.
	majorityAttachedAt Instant
	// recovered is true once no request is in state recovering any more.
	recovered bool
	// ready is true once the owner accepts requests.
	ready bool

	requests map[domain.RequestID]*request
	// live holds the requests that have neither ended nor moved to another shard.
	live map[domain.RequestID]*request
	// waitingUrgent holds urgent requests in state queued, in order of arrival.
	// scheduleUrgent removes those that have left this state.
	waitingUrgent []domain.RequestID
	// delayed holds the requests that wait for notBefore: queued batch tasks and
	// watches, and requests whose lookup or stop is to be repeated.
	delayed map[domain.RequestID]bool
	// avoiding holds requests that avoid workers.
	avoiding map[domain.RequestID]bool
	// waitDeadlines holds when clients stop waiting.
	waitDeadlines deadlines
	// moving holds, for each request whose target has not confirmed the move, when
	// the move is repeated. The moves of urgent requests are not repeated.
	moving map[domain.RequestID]Instant
	// ended holds the ended requests, oldest first.
	ended []domain.RequestID
	// answersDropped counts the requests at the head of ended that dropExpiredAnswers
	// has processed.
	answersDropped int
	// deferred holds calls that arrived before the owner was ready.
	deferred []deferredCall

	appends   map[AppendToken]pendingAppend
	lastToken AppendToken
	// backlog holds entries that are still to be appended, because the log did not
	// answer.
	backlog []journal.Entry
	logUp   bool
	// logRetryAt is when requests wait for the log again after a failed append.
	logRetryAt Instant

	config     domain.Configuration
	configured bool
	isolated   bool
	targets    []domain.ShardID
	// nextTarget is the number of moves so far; moves use the targets in turn.
	nextTarget int
	// ownershipReadAt is when the last log read that showed this node as the owner
	// was issued; it is set if ownershipRead is true.
	ownershipReadAt Instant
	ownershipRead   bool
	// workersConfirmed is true if the workers confirm the ownership. It is computed
	// at most once in a Step; checkedWorkers is true if it was.
	workersConfirmed, checkedWorkers bool

	nextSeq        uint64
	lastReactionAt Instant
	draining       bool
	drained        bool
	steppedDown    bool
}

// deferredCall is a call that waits until the owner is ready.
type deferredCall struct {
	event     Event
	expiresAt Instant
}

// pendingAppend is an append that has not been answered yet. The requests named in
// ids wait for it.
type pendingAppend struct {
	ids     []domain.RequestID
	entries []journal.Entry
}

// New returns the state machine of a shard that this node has just claimed, and
// its first effects.
func New(cfg Config) (*StateMachine, []Effect) {
	m := &StateMachine{
		shard:     cfg.Shard,
		node:      cfg.Node,
		epoch:     cfg.Epoch,
		handover:  cfg.Journal == nil || cfg.Journal.Handover,
		policy:    cfg.Policy,
		tasks:     chart.MustLoad("task"),
		sessions:  chart.MustLoad("worker"),
		now:       cfg.Now,
		startedAt: cfg.Now,
		workers:   map[domain.WorkerID]*worker{},
		requests:  map[domain.RequestID]*request{},
		live:      map[domain.RequestID]*request{},
		delayed:   map[domain.RequestID]bool{},
		avoiding:  map[domain.RequestID]bool{},
		moving:    map[domain.RequestID]Instant{},
		appends:   map[AppendToken]pendingAppend{},
		nextSeq:   1,
	}
	m.recoverJournal(cfg.Journal)
	return m, m.takeEffects()
}

// Step applies one event and returns the effects to execute, in order.
func (m *StateMachine) Step(now Instant, ev Event) []Effect {
	if m.steppedDown {
		return nil
	}
	m.now = max(m.now, now)
	m.checkedWorkers = false
	m.dispatch(ev)
	if m.steppedDown {
		return m.takeEffects()
	}
	m.resolveRecovery()
	m.schedule()
	return m.takeEffects()
}

func (m *StateMachine) dispatch(ev Event) {
	switch e := ev.(type) {
	case Submitted:
		m.onSubmitted(e)
	case Queried:
		m.onQueried(e)
	case Cancelled:
		m.onCancelled(e)
	case WorkersListed:
		m.onWorkersListed(e)
	case AttachDone:
		m.onAttachDone(e)
	case RenewDone:
		m.onRenewDone(e)
	case StartDone:
		m.onStartDone(e)
	case StopDone:
		m.onStopDone(e)
	case LookupDone:
		m.onLookupDone(e)
	case AppendDone:
		m.onAppendDone(e)
	case DelegateDone:
		m.onDelegateDone(e)
	case OwnershipRead:
		m.onOwnershipRead(e)
	case LogState:
		m.onLogState(e)
	case Configured:
		m.onConfigured(e)
	case Draining:
		m.draining = true
	case Tick:
		m.onTick()
	}
}

// Draw reserves n consecutive unused sequence numbers and returns the first.
func (m *StateMachine) Draw(n int) uint64 {
	first := m.nextSeq
	m.nextSeq += uint64(n)
	return first
}

func (m *StateMachine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *StateMachine) takeEffects() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}

func (m *StateMachine) explain(id domain.RequestID, reason string) {
	m.emit(Explain{ID: id, Reason: reason})
}

// fire changes a request's state according to the task state chart. An event
// that the chart does not allow changes nothing and is recorded as a reason, so
// that the defect is visible in the output of explain.
func (m *StateMachine) fire(r *request, ev chart.Event) bool {
	next, err := m.tasks.Next(r.state, ev)
	if err != nil {
		m.explain(r.task.ID, "internal: "+err.Error())
		return false
	}
	r.state = next
	return true
}

// append appends entries to the stream. The requests named in ids wait for the
// result.
func (m *StateMachine) append(ids []domain.RequestID, entries ...journal.Entry) {
	for i := range entries {
		entries[i].Shard, entries[i].Epoch = m.shard, m.epoch
	}
	m.lastToken++
	m.appends[m.lastToken] = pendingAppend{ids: ids, entries: entries}
	m.emit(Append{Token: m.lastToken, Entries: entries})
}

func (m *StateMachine) onAppendDone(e AppendDone) {
	p, ok := m.appends[e.Token]
	if !ok {
		return
	}
	delete(m.appends, e.Token)
	if e.Err != nil && len(p.ids) == 0 {
		m.backlog = append(m.backlog, p.entries...)
		m.logRetryAt = m.now + appendRetryDelay
		return
	}
	if e.Err != nil {
		m.logRetryAt = m.now + appendRetryDelay
	} else {
		m.markLogged(p.entries)
	}
	for _, id := range p.ids {
		m.onLogged(id, e.Err == nil)
	}
}

// markLogged marks the tasks whose jobs the log now holds.
func (m *StateMachine) markLogged(entries []journal.Entry) {
	for _, e := range entries {
		if e.Job == nil {
			continue
		}
		if r, known := m.requests[e.Job.Task.ID]; known {
			r.logged = true
		}
	}
}

// isLogUsable reports whether a request may wait for an append.
func (m *StateMachine) isLogUsable() bool { return m.logUp && m.now >= m.logRetryAt }

// addRequest adds a request that has not ended.
func (m *StateMachine) addRequest(r *request) {
	m.requests[r.task.ID] = r
	m.live[r.task.ID] = r
}

// sortedLive returns the live requests in an order that does not depend on map
// iteration, so that the same inputs always give the same effects.
func (m *StateMachine) sortedLive() []*request {
	list := make([]*request, 0, len(m.live))
	for _, r := range m.live {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return compareIDs(a.task.ID, b.task.ID) })
	return list
}

// sortedWorkers returns the workers ordered by id. The result must not be
// changed.
func (m *StateMachine) sortedWorkers() []*worker {
	if m.workersByID == nil {
		m.workersByID = slices.SortedFunc(maps.Values(m.workers), func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	}
	return m.workersByID
}

// sortedIDs returns the keys of a map in a fixed order.
func sortedIDs[V any](set map[domain.RequestID]V) []domain.RequestID {
	return slices.SortedFunc(maps.Keys(set), compareIDs)
}

func compareIDs(a, b domain.RequestID) int {
	return cmp.Or(
		cmp.Compare(a.Shard.Domain, b.Shard.Domain),
		cmp.Compare(a.Shard.Index, b.Shard.Index),
		cmp.Compare(a.Epoch, b.Epoch),
		cmp.Compare(a.Seq, b.Seq),
	)
}

// appendUnawaited appends entries that no request waits for. The append is
// repeated until the log holds them or they are outdated.
func (m *StateMachine) appendUnawaited(entries ...journal.Entry) { m.append(nil, entries...) }

func (m *StateMachine) onLogState(e LogState) {
	m.logUp = e.Up
	if !e.Up || len(m.backlog) == 0 {
		return
	}
	entries := slices.DeleteFunc(m.backlog, m.isOutdated)
	m.backlog = nil
	if len(entries) > 0 {
		m.append(nil, entries...)
	}
}

// isOutdated reports whether an entry must not be appended any more. The job of a
// request that has moved or ended meanwhile would bring it back, and the
// confirmation of an earlier move would hide that a later move is not confirmed.
func (m *StateMachine) isOutdated(e journal.Entry) bool {
	switch {
	case e.Job != nil:
		r, known := m.requests[e.Job.Task.ID]
		return !known || r.state == stateMoving || r.state == stateMoved || r.state == stateEnded
	case e.MoveConfirmed != nil:
		r, known := m.requests[e.MoveConfirmed.ID]
		return !known || r.state != stateMoved
	}
	return false
}

func (m *StateMachine) onOwnershipRead(e OwnershipRead) {
	if e.Epoch != m.epoch {
		m.stepDown("a newer claim is in the log")
		return
	}
	first := !m.ownershipRead
	m.ownershipRead = true
	m.ownershipReadAt = max(m.ownershipReadAt, e.SentAt)
	m.announceRestartedWorkers()
	if first {
		m.renewAll()
	}
}

func (m *StateMachine) stepDown(reason string) {
	m.steppedDown = true
	for _, call := range m.deferred {
		m.answerDeferred(call, "the shard has another owner")
	}
	m.deferred = nil
	for _, r := range m.sortedLive() {
		m.reply(r, r.interruptedOutcome())
	}
	m.emit(StepDown{Reason: reason})
}

// interruptedOutcome returns the outcome for clients that still wait when the
// shard gets another owner. The new owner may continue the request.
func (r *request) interruptedOutcome() domain.Outcome {
	o := r.currentOutcome()
	if !o.State.Final() && r.isUrgent() {
		o.State = domain.OutcomeUnknown
		o.Err = errUnknown(r.task.ID, "the shard has another owner")
	}
	return o
}

// announceRestartedWorkers makes restarted workers available to the policy once a
// log read has shown that there is no newer owner.
func (m *StateMachine) announceRestartedWorkers() {
	for _, w := range m.sortedWorkers() {
		if w.restarted && !w.announced && m.isUsable(w) {
			m.announce(w)
		}
	}
}

// isConfirmed reports whether this node was certainly the owner at some time
// within the last ConfirmWindow: the log showed no newer claim, or more than half
// of the workers answered in this epoch.
func (m *StateMachine) isConfirmed() bool {
	if m.ownershipRead && m.ownershipReadAt >= m.now-ConfirmWindow {
		return true
	}
	if !m.checkedWorkers {
		m.checkedWorkers = true
		m.workersConfirmed = m.isConfirmedSince(m.now - ConfirmWindow)
	}
	return m.workersConfirmed
}

// isConfirmedSince reports whether this node was certainly the owner at the given
// time or later.
func (m *StateMachine) isConfirmedSince(since Instant) bool {
	if m.ownershipRead && m.ownershipReadAt >= since {
		return true
	}
	answered := 0
	for _, w := range m.workers {
		if w.lastAnswerSentAt >= since && m.isWitness(w) {
			answered++
		}
	}
	return len(m.workers) > 0 && 2*answered > len(m.workers)
}

// isWitness reports whether an answer of the worker shows that it has accepted no
// newer owner. A worker process that has restarted may have forgotten one, so the
// log must have shown no newer claim since the process accepted this epoch.
func (m *StateMachine) isWitness(w *worker) bool {
	return w.attachedOnce && m.ownershipRead && m.ownershipReadAt >= w.witnessSince
}

// isSoleOwner reports whether no earlier owner can be confirmed any more, so that
// none of them relies on a lease that this owner extends.
func (m *StateMachine) isSoleOwner() bool { return m.handover || m.majorityAttachedAt != 0 }

func (m *StateMachine) onConfigured(e Configured) {
	if e.Configuration.Version < m.config.Version {
		return
	}
	changed := !m.configured || e.Configuration.Version != m.config.Version
	m.config = e.Configuration
	m.isolated = e.Isolated
	m.targets = e.Targets
	m.configured = true
	if changed {
		m.policy.Configure(m.now, e.Configuration.Preset, e.Configuration.Quotas)
	}
	if m.mustMove() {
		m.evacuate()
	}
}

// mustMove reports whether the work of this shard has to move to another failure
// domain, because this domain is taken out or the shard has no worker.
func (m *StateMachine) mustMove() bool {
	return m.config.TakenOut(m.shard.Domain) || m.registered && m.hasNoWorkers
}

// moveReason returns the reason for which mustMove is true.
func (m *StateMachine) moveReason() string {
	if m.config.TakenOut(m.shard.Domain) {
		return fmt.Sprintf("failure domain %s is taken out", m.shard.Domain)
	}
	return fmt.Sprintf("shard %s has no worker", m.shard)
}

// mayStart reports whether tasks of the kind may start in this domain now.
func (m *StateMachine) mayStart(kind domain.Kind) bool {
	if !m.configured || m.config.TakenOut(m.shard.Domain) || !m.isConfirmed() {
		return false
	}
	// Before a planned stop, only urgent requests still start; the next owner
	// starts the rest.
	if m.draining && kind != domain.KindUrgent {
		return false
	}
	if !m.isolated {
		return true
	}
	switch m.config.Preset.IsolatedStarts {
	case domain.IsolatedAll:
		return true
	case domain.IsolatedUrgent:
		return kind != domain.KindBatch
	}
	return false
}

func (m *StateMachine) checkDrained() {
	if !m.draining || m.drained || len(m.appends)+len(m.backlog)+len(m.deferred) > 0 {
		return
	}
	for _, r := range m.live {
		if r.isUnfinished() {
			return
		}
	}
	m.drained = true
	m.emit(Drained{})
}

// isUnfinished reports whether a planned stop has to wait for the request: while a
// client waits for its answer, while a start, a stop or the append that accepts it
// is in progress, and while an urgent request is queued, running or moving.
func (r *request) isUnfinished() bool {
	switch r.state {
	case stateEnded, stateMoved:
		return len(r.calls) > 0
	case stateStarting, stateStopping, stateLogging:
		return true
	case stateQueued, stateRunning, stateMoving:
		return r.isUrgent() || len(r.calls) > 0
	}
	return len(r.calls) > 0
}
