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

// Times of the ownership protocol, see docs/design.md section 3.1.
const (
	// TickInterval is how often the driver sends Tick.
	TickInterval = 100 * time.Millisecond
	// ConfirmWindow is how long a confirmation of ownership is good for.
	ConfirmWindow = 2 * time.Second
	// ClockDriftMargin covers the difference between the rates of two clocks over a
	// lease.
	ClockDriftMargin = 500 * time.Millisecond
	// TakeoverWait is how long a new owner waits, after it has attached to
	// more than half of the workers, before tasks that may run on the others
	// are surely over.
	TakeoverWait = platform.LeaseDuration + ConfirmWindow + ClockDriftMargin
	// LeaseExpiryWait is how long after a worker's last answer its session is surely
	// over, because a renewal extends the lease from the time of an earlier
	// answer only.
	LeaseExpiryWait = platform.LeaseDuration + ClockDriftMargin
	// RenewInterval is how often a session is renewed.
	RenewInterval = time.Second
	// retryInterval is the wait after a call to a worker that failed.
	retryInterval = 250 * time.Millisecond
	// suspectAfter is the age of a worker's last answer at which it gets no
	// new tasks.
	suspectAfter = 1500 * time.Millisecond
	// maxRecoveryWait bounds the wait for workers that do not answer before the
	// owner takes requests.
	maxRecoveryWait = 1500 * time.Millisecond
	// reactionInterval is how often the policy is asked for reactions.
	reactionInterval = time.Second
)

// Limits of retries and memory.
const (
	// maxTaskFailures is how often a batch task may fail before the failure is
	// its outcome.
	maxTaskFailures = 3
	// immediateRestarts of a failed watch are not delayed.
	immediateRestarts = 3
	restartDelay      = 500 * time.Millisecond
	maxRestartDelay   = 30 * time.Second
	// unseenAttemptGap separates the attempts of a new owner from those of an
	// earlier one that it could not see.
	unseenAttemptGap = 100
	// maxLoggedAnswerBytes bounds an answer that is kept in the log.
	maxLoggedAnswerBytes = 64 << 10
	// answerRetention is how long the answer of an ended request is kept.
	answerRetention = platform.ResultRetention
	// unloggedAcceptWait is how long a batch task or watch may wait for a start
	// during a log outage before it is refused.
	unloggedAcceptWait = 1500 * time.Millisecond
	// appendRetryDelay is how long no append is waited for after one that was not
	// answered; otherwise each request would wait AppendTimeout in turn.
	appendRetryDelay = 2 * time.Second
	// maxTargetWait is how long an urgent request that has to move waits for a
	// shard that can take it, before it is refused.
	maxTargetWait = time.Second
	// moveRetryInterval is the wait before a move is offered to its target again.
	moveRetryInterval = time.Second
)

// Config starts a machine.
type Config struct {
	Shard domain.ShardID
	Node  domain.NodeID
	// Epoch is the epoch of the claim that made Node the owner.
	Epoch domain.Epoch
	// Journal is what the domain's stream said of the shard when the claim
	// took effect.
	Journal *journal.Shard
	Policy  Policy
	Now     Instant
}

// StateMachine is the state of one shard under one epoch. It is used from one
// goroutine.
type StateMachine struct {
	shard    domain.ShardID
	node     domain.NodeID
	epoch    domain.Epoch
	handover bool
	policy   Policy
	tasks    *chart.Chart
	sessions *chart.Chart

	now       Instant
	startedAt Instant
	effects   []Effect

	workers map[domain.WorkerID]*worker
	// workersByID holds the workers by id; nil after workers came or went.
	workersByID []*worker
	registered  bool
	// hasNoWorkers tells that the VM list has no worker of this shard.
	hasNoWorkers bool
	// majorityAttachedAt is when more than half of the workers were attached; 0 before.
	majorityAttachedAt Instant
	// recovered tells that no request is in state recovering any more.
	recovered bool
	ready     bool

	requests map[domain.RequestID]*request
	// live holds the requests that have not ended or moved.
	live map[domain.RequestID]*request
	// waitingUrgent holds urgent requests in state queued, in order of arrival.
	waitingUrgent []domain.RequestID
	// delayed holds batch tasks and watches that wait for notBefore.
	delayed map[domain.RequestID]bool
	// avoiding holds requests that avoid workers.
	avoiding map[domain.RequestID]bool
	// waitDeadlines holds when the waits of callers end.
	waitDeadlines deadlines
	// moving holds requests whose target has not confirmed the move.
	moving map[domain.RequestID]Instant
	// onFinish holds ended requests, oldest first.
	ended []domain.RequestID
	// answersDropped counts the requests at the head of ended whose answers
	// were dropped.
	answersDropped int
	// deferred holds calls that came before the state was recovered.
	deferred []deferredCall

	appends   map[AppendToken]pendingAppend
	lastToken AppendToken
	// backlog holds entries that could not be appended yet.
	backlog []journal.Entry
	logUp   bool
	// logRetryAt is when an append is tried again after one that failed.
	logRetryAt Instant

	config          domain.Configuration
	configured      bool
	isolated        bool
	targets         []domain.ShardID
	nextTarget      int
	ownershipReadAt Instant
	ownershipRead   bool
	// workersConfirmed is the answer of the workers, computed at most once in a
	// Step; askedWorkers tells that it was.
	workersConfirmed, checkedWorkers bool

	nextSeq        uint64
	lastReactionAt Instant
	draining       bool
	drained        bool
	steppedDown    bool
}

type deferredCall struct {
	event     Event
	expiresAt Instant
}

// pendingAppend tells what to do when an append is answered.
type pendingAppend struct {
	ids     []domain.RequestID
	entries []journal.Entry
}

// New returns the machine of a shard that this node has just claimed, and its
// first effects.
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

// Step applies one event and returns the effects to carry out, in order.
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

// Draw reserves n consecutive fresh sequence numbers and returns the first.
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

// fire moves a request along the chart. A transition that the chart lacks
// changes nothing and is recorded, so that a defect shows in explain.
func (m *StateMachine) fire(r *request, ev chart.Event) bool {
	next, err := m.tasks.Next(r.state, ev)
	if err != nil {
		m.explain(r.task.ID, "internal: "+err.Error())
		return false
	}
	r.state = next
	return true
}

// append adds entries to the stream and returns the token of the answer.
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

// markLogged marks the jobs that the log now holds.
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

// isLogUsable reports whether an append is worth waiting for.
func (m *StateMachine) isLogUsable() bool { return m.logUp && m.now >= m.logRetryAt }

// addRequest makes a request known.
func (m *StateMachine) addRequest(r *request) {
	m.requests[r.task.ID] = r
	m.live[r.task.ID] = r
}

// sortedLive returns the live requests in an order that does not depend on
// map iteration, so that equal inputs give equal effects.
func (m *StateMachine) sortedLive() []*request {
	list := make([]*request, 0, len(m.live))
	for _, r := range m.live {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return compareIDs(a.task.ID, b.task.ID) })
	return list
}

// sortedWorkers returns the workers ordered by id. The list must not be changed.
func (m *StateMachine) sortedWorkers() []*worker {
	if m.workersByID == nil {
		m.workersByID = slices.SortedFunc(maps.Values(m.workers), func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	}
	return m.workersByID
}

// sortedIDs returns the keys of a set in a fixed order.
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

// appendUnawaited appends entries that nobody waits for; they are repeated until the
// log holds them.
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

// isOutdated reports whether an entry was overtaken by a later one: the job of a
// request that has moved or ended since would bring it back, and the end of an
// earlier move would hide that a later one is not confirmed.
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
	for _, h := range m.deferred {
		m.answerDeferred(h, "the shard has another owner")
	}
	m.deferred = nil
	for _, r := range m.sortedLive() {
		m.reply(r, r.interruptedOutcome())
	}
	m.emit(StepDown{Reason: reason})
}

// interruptedOutcome is the outcome for callers that still wait when the shard gets
// another owner: the new owner may go on with the request.
func (r *request) interruptedOutcome() domain.Outcome {
	o := r.currentOutcome()
	if !o.State.Final() && r.isUrgent() {
		o.State = domain.OutcomeUnknown
		o.Err = errUnknown(r.task.ID, "the shard has another owner")
	}
	return o
}

// announceRestartedWorkers offers workers to the policy that had to wait for a log
// read after their restart.
func (m *StateMachine) announceRestartedWorkers() {
	for _, w := range m.sortedWorkers() {
		if w.restarted && !w.announced && m.isUsable(w) {
			m.announce(w)
		}
	}
}

// isConfirmed reports whether this node surely was the owner within the confirm
// window: the log showed no newer claim, or more than half of the workers
// answered at this epoch.
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

// isConfirmedSince reports whether this node surely was the owner at the time
// given or later.
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

// isWitness reports whether the worker process would refuse this node if there
// were a newer owner that it had accepted.
func (m *StateMachine) isWitness(w *worker) bool {
	return w.attachedOnce && m.ownershipRead && m.ownershipReadAt >= w.witnessSince
}

// isSoleOwner reports whether no earlier owner can be confirmed any more for a
// lease that this one extends.
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

// mustMove reports whether work of this shard has to go to another failure
// domain: this one is taken out, or the shard has no worker.
func (m *StateMachine) mustMove() bool {
	return m.config.TakenOut(m.shard.Domain) || m.registered && m.hasNoWorkers
}

// moveReason tells the reason for mustMove.
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
	// A planned stop finishes urgent requests; the next owner starts the rest.
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

// isUnfinished reports whether a planned stop has to wait for the request:
// urgent ones until their outcome, others while a command is under way.
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
