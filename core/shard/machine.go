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
	// DriftMargin covers the difference between the rates of two clocks over a
	// lease.
	DriftMargin = 500 * time.Millisecond
	// TakeoverWait is how long a new owner waits, after it has attached to
	// more than half of the workers, before tasks that may run on the others
	// are surely over.
	TakeoverWait = platform.LeaseDuration + ConfirmWindow + DriftMargin
	// LapseWait is how long after a worker's last answer its session is surely
	// over, because a renewal extends the lease from the time of an earlier
	// answer only.
	LapseWait = platform.LeaseDuration + DriftMargin
	// RenewInterval is how often a session is renewed.
	RenewInterval = time.Second
	// retryInterval is the wait after a call to a worker that failed.
	retryInterval = 250 * time.Millisecond
	// suspectAfter is the age of a worker's last answer at which it gets no
	// new tasks.
	suspectAfter = 1500 * time.Millisecond
	// recoveryLimit bounds the wait for workers that do not answer before the
	// owner takes requests.
	recoveryLimit = 1500 * time.Millisecond
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
	// unseenAttempts separates the attempts of a new owner from those of an
	// earlier one that it could not see.
	unseenAttempts = 100
	// maxLoggedAnswerBytes bounds an answer that is kept in the log.
	maxLoggedAnswerBytes = 64 << 10
	// keptAnswers is how long the answer of an ended request is kept.
	keptAnswers = platform.ResultRetention
	// acceptWithoutLog is how long a batch task or watch may wait for a start
	// during a log outage before it is refused.
	acceptWithoutLog = 1500 * time.Millisecond
	// appendHoldOff is how long no append is waited for after one that was not
	// answered; otherwise each request would wait AppendTimeout in turn.
	appendHoldOff = 2 * time.Second
	// findTarget is how long an urgent request that has to move waits for a
	// shard that can take it, before it is refused.
	findTarget = time.Second
	// moveRetry is the wait before a move is offered to its target again.
	moveRetry = time.Second
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

// Machine is the state of one shard under one epoch. It is used from one
// goroutine.
type Machine struct {
	shard    domain.ShardID
	node     domain.NodeID
	epoch    domain.Epoch
	handover bool
	policy   Policy
	tasks    *chart.Chart
	sessions *chart.Chart

	now       Instant
	startedAt Instant
	out       []Effect

	workers map[domain.WorkerID]*worker
	// ordered holds the workers by id; nil after workers came or went.
	ordered []*worker
	listed  bool
	// empty tells that the VM list has no worker of this shard.
	empty bool
	// majorityAt is when more than half of the workers were attached; 0 before.
	majorityAt Instant
	// recovered tells that no request is in state recovering any more.
	recovered bool
	ready     bool

	requests map[domain.RequestID]*request
	// live holds the requests that have not ended or moved.
	live map[domain.RequestID]*request
	// waiting holds urgent requests in state queued, in order of arrival.
	waiting []domain.RequestID
	// delayed holds batch tasks and watches that wait for notBefore.
	delayed map[domain.RequestID]bool
	// avoiding holds requests that avoid workers.
	avoiding map[domain.RequestID]bool
	// waits holds when the waits of callers end.
	waits deadlines
	// moving holds requests whose target has not confirmed the move.
	moving map[domain.RequestID]Instant
	// ended holds ended requests, oldest first.
	ended []domain.RequestID
	// answersDropped counts the requests at the head of ended whose answers
	// were dropped.
	answersDropped int
	// held holds calls that came before the state was recovered.
	held []heldCall

	appends   map[AppendToken]pendingAppend
	lastToken AppendToken
	// backlog holds entries that could not be appended yet.
	backlog []journal.Entry
	logUp   bool
	// logRetryAt is when an append is tried again after one that failed.
	logRetryAt Instant

	config      domain.Configuration
	configured  bool
	isolated    bool
	targets     []domain.ShardID
	nextTarget  int
	ownershipAt Instant
	ownershipOK bool
	// workersConfirm is the answer of the workers, computed at most once in a
	// Step; askedWorkers tells that it was.
	workersConfirm, askedWorkers bool

	nextSeq      uint64
	lastReaction Instant
	draining     bool
	drained      bool
	down         bool
}

type heldCall struct {
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
func New(cfg Config) (*Machine, []Effect) {
	m := &Machine{
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
	return m, m.take()
}

// Step applies one event and returns the effects to carry out, in order.
func (m *Machine) Step(now Instant, ev Event) []Effect {
	if m.down {
		return nil
	}
	m.now = max(m.now, now)
	m.askedWorkers = false
	m.dispatch(ev)
	if m.down {
		return m.take()
	}
	m.settleRecovery()
	m.schedule()
	return m.take()
}

func (m *Machine) dispatch(ev Event) {
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
func (m *Machine) Draw(n int) uint64 {
	first := m.nextSeq
	m.nextSeq += uint64(n)
	return first
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) take() []Effect {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) explain(id domain.RequestID, reason string) {
	m.emit(Explain{ID: id, Reason: reason})
}

// fire moves a request along the chart. A transition that the chart lacks
// changes nothing and is recorded, so that a defect shows in explain.
func (m *Machine) fire(r *request, ev chart.Event) bool {
	next, err := m.tasks.Next(r.state, ev)
	if err != nil {
		m.explain(r.task.ID, "internal: "+err.Error())
		return false
	}
	r.state = next
	return true
}

// append adds entries to the stream and returns the token of the answer.
func (m *Machine) append(ids []domain.RequestID, entries ...journal.Entry) {
	for i := range entries {
		entries[i].Shard, entries[i].Epoch = m.shard, m.epoch
	}
	m.lastToken++
	m.appends[m.lastToken] = pendingAppend{ids: ids, entries: entries}
	m.emit(Append{Token: m.lastToken, Entries: entries})
}

func (m *Machine) onAppendDone(e AppendDone) {
	p, ok := m.appends[e.Token]
	if !ok {
		return
	}
	delete(m.appends, e.Token)
	if e.Err != nil && len(p.ids) == 0 {
		m.backlog = append(m.backlog, p.entries...)
		m.logRetryAt = m.now + appendHoldOff
		return
	}
	if e.Err != nil {
		m.logRetryAt = m.now + appendHoldOff
	} else {
		m.noteLogged(p.entries)
	}
	for _, id := range p.ids {
		m.onLogged(id, e.Err == nil)
	}
}

// noteLogged marks the jobs that the log now holds.
func (m *Machine) noteLogged(entries []journal.Entry) {
	for _, e := range entries {
		if e.Job == nil {
			continue
		}
		if r, known := m.requests[e.Job.Task.ID]; known {
			r.logged = true
		}
	}
}

// logUsable reports whether an append is worth waiting for.
func (m *Machine) logUsable() bool { return m.logUp && m.now >= m.logRetryAt }

// add makes a request known.
func (m *Machine) add(r *request) {
	m.requests[r.task.ID] = r
	m.live[r.task.ID] = r
}

// sortedLive returns the live requests in an order that does not depend on
// map iteration, so that equal inputs give equal effects.
func (m *Machine) sortedLive() []*request {
	list := make([]*request, 0, len(m.live))
	for _, r := range m.live {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return compareIDs(a.task.ID, b.task.ID) })
	return list
}

// sortedWorkers returns the workers ordered by id. The list must not be changed.
func (m *Machine) sortedWorkers() []*worker {
	if m.ordered == nil {
		m.ordered = slices.SortedFunc(maps.Values(m.workers), func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	}
	return m.ordered
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

// record appends entries that nobody waits for; they are repeated until the
// log holds them.
func (m *Machine) record(entries ...journal.Entry) { m.append(nil, entries...) }

func (m *Machine) onLogState(e LogState) {
	m.logUp = e.Up
	if !e.Up || len(m.backlog) == 0 {
		return
	}
	entries := slices.DeleteFunc(m.backlog, m.outdated)
	m.backlog = nil
	if len(entries) > 0 {
		m.append(nil, entries...)
	}
}

// outdated reports whether an entry was overtaken by a later one: the job of a
// request that has moved or ended since would bring it back, and the end of an
// earlier move would hide that a later one is not confirmed.
func (m *Machine) outdated(e journal.Entry) bool {
	switch {
	case e.Job != nil:
		r, known := m.requests[e.Job.Task.ID]
		return !known || r.state == stateMoving || r.state == stateMoved || r.state == stateEnded
	case e.Arrived != nil:
		r, known := m.requests[e.Arrived.ID]
		return !known || r.state != stateMoved
	}
	return false
}

func (m *Machine) onOwnershipRead(e OwnershipRead) {
	if e.Epoch != m.epoch {
		m.stepDown("a newer claim is in the log")
		return
	}
	first := !m.ownershipOK
	m.ownershipOK = true
	m.ownershipAt = max(m.ownershipAt, e.SentAt)
	m.announceRestarted()
	if first {
		m.renewNow()
	}
}

func (m *Machine) stepDown(reason string) {
	m.down = true
	for _, h := range m.held {
		m.answerHeld(h, "the shard has another owner")
	}
	m.held = nil
	for _, r := range m.sortedLive() {
		m.reply(r, r.interrupted())
	}
	m.emit(StepDown{Reason: reason})
}

// interrupted is the outcome for callers that still wait when the shard gets
// another owner: the new owner may go on with the request.
func (r *request) interrupted() domain.Outcome {
	o := r.current()
	if !o.State.Final() && r.urgent() {
		o.State = domain.OutcomeUnknown
		o.Err = errUnknown(r.task.ID, "the shard has another owner")
	}
	return o
}

// announceRestarted offers workers to the policy that had to wait for a log
// read after their restart.
func (m *Machine) announceRestarted() {
	for _, w := range m.sortedWorkers() {
		if w.restarted && !w.announced && m.usable(w) {
			m.announce(w)
		}
	}
}

// confirmed reports whether this node surely was the owner within the confirm
// window: the log showed no newer claim, or more than half of the workers
// answered at this epoch.
func (m *Machine) confirmed() bool {
	if m.ownershipOK && m.ownershipAt >= m.now-ConfirmWindow {
		return true
	}
	if !m.askedWorkers {
		m.askedWorkers = true
		m.workersConfirm = m.confirmedSince(m.now - ConfirmWindow)
	}
	return m.workersConfirm
}

// confirmedSince reports whether this node surely was the owner at the time
// given or later.
func (m *Machine) confirmedSince(since Instant) bool {
	if m.ownershipOK && m.ownershipAt >= since {
		return true
	}
	answered := 0
	for _, w := range m.workers {
		if w.ackSentAt >= since && m.witness(w) {
			answered++
		}
	}
	return len(m.workers) > 0 && 2*answered > len(m.workers)
}

// witness reports whether the worker process would refuse this node if there
// were a newer owner that it had accepted.
func (m *Machine) witness(w *worker) bool {
	return w.attachedOnce && m.ownershipOK && m.ownershipAt >= w.witnessSince
}

// soleOwner reports whether no earlier owner can be confirmed any more for a
// lease that this one extends.
func (m *Machine) soleOwner() bool { return m.handover || m.majorityAt != 0 }

func (m *Machine) onConfigured(e Configured) {
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
func (m *Machine) mustMove() bool {
	return m.config.TakenOut(m.shard.Domain) || m.listed && m.empty
}

// whyMove tells the reason for mustMove.
func (m *Machine) whyMove() string {
	if m.config.TakenOut(m.shard.Domain) {
		return fmt.Sprintf("failure domain %s is taken out", m.shard.Domain)
	}
	return fmt.Sprintf("shard %s has no worker", m.shard)
}

// mayStart reports whether tasks of the kind may start in this domain now.
func (m *Machine) mayStart(kind domain.Kind) bool {
	if !m.configured || m.config.TakenOut(m.shard.Domain) || !m.confirmed() {
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

func (m *Machine) checkDrained() {
	if !m.draining || m.drained || len(m.appends)+len(m.backlog)+len(m.held) > 0 {
		return
	}
	for _, r := range m.live {
		if r.unfinished() {
			return
		}
	}
	m.drained = true
	m.emit(Drained{})
}

// unfinished reports whether a planned stop has to wait for the request:
// urgent ones until their outcome, others while a command is under way.
func (r *request) unfinished() bool {
	switch r.state {
	case stateEnded, stateMoved:
		return len(r.calls) > 0
	case stateStarting, stateStopping, stateLogging:
		return true
	case stateQueued, stateRunning, stateMoving:
		return r.urgent() || len(r.calls) > 0
	}
	return len(r.calls) > 0
}
