package shard

import (
	"fmt"

	"github.com/basilferry/basilferry/core/chart"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
)

// States of a worker; the names are those of chart file worker.json.
const (
	workerUnknown   chart.State = "unknown"
	workerAttaching chart.State = "attaching"
	workerAttached  chart.State = "attached"
	// workerSuspect: the worker has not answered for suspectAfter.
	workerSuspect chart.State = "suspect"
	// workerLost: the worker has not answered for LeaseExpiryWait, so that its lease
	// has expired.
	workerLost chart.State = "lost"
	// workerLapsed: the worker answered that the session is closed.
	workerLapsed chart.State = "lapsed"
)

// Events of the worker chart.
const (
	eventAttach   chart.Event = "attach"
	eventAttached chart.Event = "attached"
	eventFail     chart.Event = "fail"
	eventSilent   chart.Event = "silent"
	eventAnswer   chart.Event = "answer"
	eventLapse    chart.Event = "lapse"
	eventRefuse   chart.Event = "refuse"
)

// worker is the state of one worker.
type worker struct {
	id         domain.WorkerID
	address    string
	rack       string
	state      chart.State
	registered bool
	leaving    bool

	// attachedOnce is true if the worker has accepted this epoch.
	attachedOnce bool
	// incarnation identifies the worker process that accepted this epoch.
	incarnation uint64
	// witnessSince is when that process accepted this epoch. Its answers confirm
	// the ownership once the log has shown no newer claim after that time, because
	// a restarted process may have forgotten a newer owner.
	witnessSince Instant
	// restarted is true if the worker's records were incomplete at the last attach,
	// because its process had restarted recently.
	restarted bool
	// announced is true if the policy may choose the worker.
	announced bool
	// recordsComplete is true if the worker's records covered the whole retention
	// time at the first attach.
	recordsComplete bool
	// attachAnswered is true if an attach was answered or has failed.
	attachAnswered bool
	session        platform.SessionID
	// echo is the worker's time in its last answer; the next renewal extends the
	// lease relative to it.
	echo platform.WorkerTime
	// lastEvent is the number of the last task event that was processed in this
	// session.
	lastEvent uint64
	capacity  domain.Resources

	// lastAnswerSentAt is when the last call that was answered in this epoch was
	// sent; lastAnswerAt is when its answer arrived.
	lastAnswerSentAt Instant
	lastAnswerAt     Instant
	// attachFailedAt is when the last attach failed.
	attachFailedAt Instant
	nextCallAt     Instant
	// inFlight is true while an attach or a renewal is not answered.
	inFlight bool
	// extending is true if the last renewal that was sent extends the lease.
	extending bool

	tasks map[domain.RequestID]bool
	// reserved is the sum of the reservations of tasks.
	reserved domain.Resources
}

// isUsable reports whether new tasks may start on the worker. A worker that has
// restarted recently may have forgotten a newer owner that it had accepted, so the
// log must have shown none after the worker accepted this epoch.
func (m *StateMachine) isUsable(w *worker) bool {
	if w.restarted && !m.isWitness(w) {
		return false
	}
	return w.state == workerAttached && w.registered && !w.leaving
}

// fireWorker changes a worker's state according to the worker state chart and tells
// the policy. An event that the chart does not allow changes nothing.
func (m *StateMachine) fireWorker(w *worker, ev chart.Event) {
	next, err := m.sessions.Next(w.state, ev)
	if err != nil {
		return
	}
	w.state = next
	m.announce(w)
}

// announce tells the policy whether the worker accepts new tasks.
func (m *StateMachine) announce(w *worker) {
	w.announced = m.isUsable(w)
	if w.announced {
		m.policy.WorkerUp(m.now, WorkerInfo{ID: w.id, Rack: w.rack, Capacity: w.capacity})
		return
	}
	m.policy.WorkerDown(m.now, w.id)
}

func (m *StateMachine) onWorkersListed(e WorkersListed) {
	m.registered = true
	m.hasNoWorkers = len(e.VMs) == 0
	seen := map[domain.WorkerID]bool{}
	for _, vm := range e.VMs {
		seen[vm.ID] = true
		m.registerWorker(vm)
	}
	for _, w := range m.sortedWorkers() {
		if seen[w.id] || !w.registered {
			continue
		}
		w.registered = false
		m.announce(w)
	}
	m.callWorkers()
}

func (m *StateMachine) registerWorker(vm platform.VM) {
	w, known := m.workers[vm.ID]
	if !known {
		w = &worker{
			id:    vm.ID,
			state: m.sessions.Initial(),
			tasks: map[domain.RequestID]bool{},
		}
		m.workers[vm.ID] = w
		m.workersByID = nil
	}
	if w.registered && w.address == vm.Address && w.leaving == (vm.State == platform.VMLeaving) {
		return
	}
	w.registered = true
	w.address = vm.Address
	w.rack = vm.Rack
	w.leaving = vm.State == platform.VMLeaving
	m.announce(w)
}

// callWorkers attaches to the workers or renews their sessions, as due.
func (m *StateMachine) callWorkers() {
	for _, w := range m.sortedWorkers() {
		if w.inFlight || m.now < w.nextCallAt || !w.registered && len(w.tasks) == 0 {
			continue
		}
		m.callWorker(w)
	}
}

func (m *StateMachine) callWorker(w *worker) {
	switch w.state {
	case workerUnknown, workerLost, workerLapsed:
		m.sendAttach(w)
	case workerAttached, workerSuspect:
		m.sendRenew(w)
	}
}

func (m *StateMachine) sendAttach(w *worker) {
	m.fireWorker(w, eventAttach)
	w.inFlight = true
	m.emit(SendAttach{
		Worker:  w.id,
		Address: w.address,
		Request: platform.AttachRequest{Epoch: m.epoch, Owner: m.node},
	})
}

// mayExtendLeases reports whether this owner may extend leases now.
func (m *StateMachine) mayExtendLeases() bool { return m.isConfirmed() && m.isSoleOwner() }

// sendRenew renews the session. If this owner may not extend leases, the renewal
// has no echo: it then only checks the epoch and extends nothing, because another
// owner may rely on the expiry of this lease.
func (m *StateMachine) sendRenew(w *worker) {
	echo := w.echo
	w.extending = m.mayExtendLeases()
	if !w.extending {
		echo = 0
	}
	w.inFlight = true
	m.emit(SendRenew{
		Worker: w.id,
		Request: platform.RenewRequest{
			Epoch:       m.epoch,
			Session:     w.session,
			Echo:        echo,
			EventsAfter: w.lastEvent,
		},
	})
}

func (m *StateMachine) onAttachDone(e AttachDone) {
	w, known := m.workers[e.Worker]
	if !known || w.state != workerAttaching {
		return
	}
	w.inFlight = false
	w.attachAnswered = true
	if e.Err != nil {
		m.handleAttachFailure(w, e.Err)
		return
	}
	first := !w.attachedOnce
	w.session, w.echo = e.Reply.Session, e.Reply.Now
	w.capacity = e.Reply.Capacity
	w.rack = e.Reply.Rack
	w.leaving = w.leaving || e.Reply.Leaving
	if first {
		w.recordsComplete = e.Reply.RecordsComplete
	}
	w.restarted = !e.Reply.RecordsComplete
	if first || w.incarnation != e.Reply.Incarnation {
		w.incarnation = e.Reply.Incarnation
		w.witnessSince = m.now
	}
	w.attachedOnce = true
	w.lastEvent = 0
	m.recordAnswer(w, e.SentAt)
	m.fireWorker(w, eventAttached)
	m.reconcileTasks(w, e.Reply.Tasks)
	w.nextCallAt = m.now
	m.checkMajority()
	m.callWorker(w)
}

func (m *StateMachine) handleAttachFailure(w *worker, err *domain.Error) {
	m.fireWorker(w, eventFail)
	w.nextCallAt = m.now + retryInterval
	w.attachFailedAt = m.now
	if err.Kind == domain.KindStaleEpoch {
		m.stepDown(fmt.Sprintf("worker %s has accepted a newer owner", w.id))
	}
}

func (m *StateMachine) onRenewDone(e RenewDone) {
	w, known := m.workers[e.Worker]
	if !known || (w.state != workerAttached && w.state != workerSuspect) {
		return
	}
	w.inFlight = false
	if e.Err != nil {
		m.handleRenewFailure(w, e.Err)
		return
	}
	w.echo = max(w.echo, e.Reply.Now)
	m.recordAnswer(w, e.SentAt)
	m.fireWorker(w, eventAnswer)
	if e.Reply.Leaving && !w.leaving {
		w.leaving = true
		m.announce(w)
	}
	w.nextCallAt = e.SentAt + RenewInterval
	if !w.extending && m.mayExtendLeases() {
		w.nextCallAt = m.now
	}
	for _, ev := range e.Reply.Events {
		w.lastEvent = max(w.lastEvent, ev.Number)
		m.applyStatus(w, ev.Status)
	}
	if len(e.Reply.Usage) > 0 {
		m.policy.Observe(m.now, w.id, e.Reply.Usage)
	}
	if w.nextCallAt <= m.now {
		m.callWorker(w)
	}
}

func (m *StateMachine) handleRenewFailure(w *worker, err *domain.Error) {
	w.nextCallAt = m.now + retryInterval
	if err.Kind != domain.KindStaleEpoch {
		return
	}
	// The session is closed: it expired, the worker restarted, or a newer owner
	// attached. The attach finds out which.
	m.fireWorker(w, eventRefuse)
	m.sendAttach(w)
}

func (m *StateMachine) recordAnswer(w *worker, sentAt Instant) {
	w.lastAnswerSentAt = max(w.lastAnswerSentAt, sentAt)
	w.lastAnswerAt = m.now
}

// checkWorkers handles workers that do not respond or are leaving, and removes those
// that are no longer in the VM list.
func (m *StateMachine) checkWorkers() {
	for _, w := range m.sortedWorkers() {
		age := m.now - w.lastAnswerAt
		switch {
		case w.state == workerAttached && age >= suspectAfter:
			m.fireWorker(w, eventSilent)
		case w.state == workerSuspect && age >= LeaseExpiryWait:
			m.expireSession(w)
		case len(w.tasks) > 0 && m.areTasksLost(w):
			m.handleLostTasks(w)
		case !w.registered && len(w.tasks) == 0 && m.now-w.lastAnswerAt >= LeaseExpiryWait:
			delete(m.workers, w.id)
			m.workersByID = nil
			m.policy.WorkerRemoved(m.now, w.id)
		case w.leaving && w.state == workerAttached:
			m.drainWorker(w)
		}
	}
}

// drainWorker stops batch tasks and watches on a leaving worker, so that they resume
// elsewhere. Urgent requests finish there.
func (m *StateMachine) drainWorker(w *worker) {
	for _, id := range sortedIDs(w.tasks) {
		r, known := m.requests[id]
		if known && r.state == stateRunning && !r.isUrgent() {
			m.sendStop(r, w, stopEvict)
		}
	}
}

// expireSession gives up a session that has certainly expired and attaches again.
// The worker's tasks are started again only if the attach fails, because after a
// pause of this node the worker may have finished them.
func (m *StateMachine) expireSession(w *worker) {
	w.inFlight = false
	m.fireWorker(w, eventLapse)
	m.sendAttach(w)
}

// areTasksLost reports whether the tasks of a worker have certainly stopped: the
// lease has expired, the worker does not answer, and this node was still the owner
// after the expiry, so that no other owner can have extended the lease.
func (m *StateMachine) areTasksLost(w *worker) bool {
	expiredAt := w.lastAnswerAt + LeaseExpiryWait
	if w.state == workerAttached || w.state == workerSuspect || m.now < expiredAt {
		return false
	}
	return w.attachFailedAt >= expiredAt && m.isConfirmedSince(expiredAt)
}

// handleLostTasks handles the tasks of a worker that does not answer and whose
// session has certainly expired.
func (m *StateMachine) handleLostTasks(w *worker) {
	for _, id := range sortedIDs(w.tasks) {
		if r, ok := m.requests[id]; ok {
			m.handleLost(r, fmt.Sprintf("worker %s did not answer until its lease had expired", w.id))
		}
	}
}

// handleLost handles a task that has certainly stopped and whose result is not
// known.
func (m *StateMachine) handleLost(r *request, why string) {
	m.explain(r.task.ID, why)
	r.mayHaveRun = true
	if r.stopping == stopCancel {
		m.finish(r, domain.Outcome{State: domain.OutcomeCancelled})
		return
	}
	if r.isRestartable() && !(r.isUrgent() && r.isPastDeadline(m.now)) {
		m.requeue(r)
		return
	}
	m.markUncertain(r, why)
}

// markUncertain answers the clients of a request whose outcome is not known, and
// keeps the request in case a worker reports the outcome later.
func (m *StateMachine) markUncertain(r *request, why string) {
	worker := r.worker
	m.releaseCapacity(r, ResultStopped)
	r.worker = worker
	if r.state != stateUncertain {
		m.fire(r, eventLose)
	}
	m.reply(r, unknownOutcome(r.task.ID, why))
}

// requeue queues a request for its next attempt, which starts from the last
// checkpoint. A request of an earlier owner waits in state recovering until no
// unreported attempt of it can be running any more.
func (m *StateMachine) requeue(r *request) {
	r.stopping = stopNone
	if r.inherited && !m.recovered {
		m.releaseCapacity(r, ResultStopped)
		m.fire(r, eventRecover)
		return
	}
	m.queue(r)
	if r.acknowledged && r.checkpoint != r.loggedCheckpoint {
		r.loggedCheckpoint = r.checkpoint
		m.appendUnawaited(journal.Entry{Job: r.jobRecord()})
	}
}

// releaseCapacity frees the capacity that a request has reserved on its worker.
func (m *StateMachine) releaseCapacity(r *request, result Result) {
	w, known := m.workers[r.worker]
	if !known || !w.tasks[r.task.ID] {
		return
	}
	delete(w.tasks, r.task.ID)
	w.reserved = w.reserved.Sub(r.reserved)
	m.policy.Release(m.now, w.id, r.task.ID, result, m.now-r.startedAt)
}

// reserveCapacity reserves capacity for a request that runs, or may run, on a
// worker.
func (m *StateMachine) reserveCapacity(r *request, w *worker) {
	r.worker = w.id
	w.tasks[r.task.ID] = true
	w.reserved = w.reserved.Add(r.reserved)
	m.policy.Reserve(m.now, w.id, r.demand(m.now), r.reserved)
}

// checkMajority records when more than half of the workers have accepted this epoch.
// From then on no earlier owner can be confirmed.
func (m *StateMachine) checkMajority() {
	if m.majorityAttachedAt != 0 || !m.registered {
		return
	}
	attached := 0
	for _, w := range m.workers {
		if w.attachedOnce {
			attached++
		}
	}
	if 2*attached > len(m.workers) {
		m.majorityAttachedAt = m.now
		m.renewAll()
	}
}

// renewAll immediately renews the sessions that were attached before this owner
// could extend leases. Most of their lease may have passed since the previous owner
// renewed them.
func (m *StateMachine) renewAll() {
	for _, w := range m.workers {
		w.nextCallAt = min(w.nextCallAt, m.now)
	}
	m.callWorkers()
}

// allRecordsComplete reports whether the records of all workers show every task that
// an earlier owner can have started.
func (m *StateMachine) allRecordsComplete() bool {
	if !m.registered {
		return false
	}
	for _, w := range m.workers {
		if !w.attachedOnce || !w.recordsComplete {
			return false
		}
	}
	return true
}
