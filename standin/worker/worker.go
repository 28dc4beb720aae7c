package worker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/standin/internal/fault"
	"github.com/jonboulle/clockwork"
)

// Worker implements platform.Worker. Create it with New, and call Close when it is
// no longer needed.
type Worker struct {
	config Config
	gate   *fault.Gate

	mu sync.Mutex
	// advancedTo is the time up to which the state has been advanced.
	advancedTo time.Time
	// bootedAt is the zero point of WorkerTime.
	bootedAt time.Time
	// recordsCompleteFrom is the time from which the records cover the last
	// ResultRetention, after a restart or with Config.RecordsLost.
	recordsCompleteFrom time.Time
	// incarnation changes with each restart.
	incarnation uint64
	epoch       domain.Epoch
	session     session
	leaving     bool
	closed      bool
	timer       clockwork.Timer

	// records has the latest attempt by request id, running or finished.
	records  map[domain.RequestID]*taskAttempt
	running  []*taskAttempt
	finished []*taskAttempt
	reserved domain.Resources
	history  []AttemptInterval

	events        []platform.TaskEvent
	lastEvent     uint64
	reports       []usageReport
	nextSampleEnd time.Time

	paused bool
	// resumed is closed when a pause ends.
	resumed       chan struct{}
	failAll       bool
	answerSwapper answerSwapper
}

// session is the latest session of the worker; open is false once it has ended.
type session struct {
	open    bool
	id      platform.SessionID
	expires time.Time
}

var _ platform.Worker = (*Worker)(nil)

// New returns a worker without tasks.
func New(config Config) *Worker {
	config = config.withDefaults()
	now := config.Clock.Now()
	w := &Worker{
		config:        config,
		gate:          fault.NewGate(config.Clock),
		advancedTo:    now,
		bootedAt:      now,
		records:       map[domain.RequestID]*taskAttempt{},
		resumed:       make(chan struct{}),
		answerSwapper: answerSwapper{clock: config.Clock},
	}
	// Session numbers start at the current wall clock time, so that a new process
	// on the same VM does not reuse a number.
	w.session.id = platform.SessionID(now.UnixNano())
	w.incarnation = uint64(now.UnixNano())
	if config.RecordsLost {
		w.recordsCompleteFrom = now.Add(platform.ResultRetention)
	}
	return w
}

// Close stops the worker's timer. Afterwards, tasks make progress only when the
// worker is called.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.resetTimer()
}

// Attach implements platform.Worker. If a session is open and has running tasks,
// the new session inherits its expiry. Otherwise the new session lasts
// LeaseDuration. The expiry is inherited because an attach whose answer is lost
// can be repeated forever; only a renewal shows that the owner receives the
// worker's answers.
func (w *Worker) Attach(ctx context.Context, req platform.AttachRequest) (platform.AttachReply, error) {
	return invoke(ctx, w, func() (platform.AttachReply, error) { return w.attach(req) })
}

func (w *Worker) attach(req platform.AttachRequest) (platform.AttachReply, error) {
	if req.Epoch == 0 || req.Owner == "" {
		return platform.AttachReply{}, newError(domain.KindBadRequest, domain.RequestID{},
			"the attach request has no epoch or no owner", "send the epoch of the ownership claim and the node's id")
	}
	if req.Epoch < w.epoch {
		return platform.AttachReply{}, w.staleEpochError(req.Epoch)
	}
	w.epoch = req.Epoch
	if !w.session.open || len(w.running) == 0 {
		w.session.expires = w.advancedTo.Add(platform.LeaseDuration)
	}
	w.session.open = true
	w.session.id++
	reply := platform.AttachReply{
		Session:         w.session.id,
		Incarnation:     w.incarnation,
		Now:             w.workerTime(),
		Domain:          w.config.Domain,
		Rack:            w.config.Rack,
		Capacity:        w.config.Capacity,
		RecordsComplete: !w.advancedTo.Before(w.recordsCompleteFrom),
		Leaving:         w.leaving,
	}
	for _, t := range w.finished {
		if w.records[t.status.Task.ID] == t {
			reply.Tasks = append(reply.Tasks, t.status)
		}
	}
	for _, t := range w.running {
		reply.Tasks = append(reply.Tasks, t.status)
	}
	return reply, nil
}

// Renew implements platform.Worker.
func (w *Worker) Renew(ctx context.Context, req platform.RenewRequest) (platform.RenewReply, error) {
	return invoke(ctx, w, func() (platform.RenewReply, error) { return w.renew(req) })
}

func (w *Worker) renew(req platform.RenewRequest) (platform.RenewReply, error) {
	if err := w.checkSession(req.Epoch, req.Session); err != nil {
		return platform.RenewReply{}, err
	}
	if req.Echo > w.workerTime() || req.EventsAfter > w.lastEvent {
		return platform.RenewReply{}, newError(domain.KindBadRequest, domain.RequestID{},
			"the renewal refers to a time or an event in the future", "attach again and count events from 0")
	}
	expires := w.bootedAt.Add(time.Duration(req.Echo)).Add(platform.LeaseDuration)
	if expires.After(w.session.expires) {
		w.session.expires = expires
	}
	w.dropEvents(req.EventsAfter)
	return platform.RenewReply{
		Now:     w.workerTime(),
		Events:  append([]platform.TaskEvent(nil), w.events...),
		Usage:   w.takeDueUsage(),
		Leaving: w.leaving,
	}, nil
}

// Start implements platform.Worker.
func (w *Worker) Start(ctx context.Context, req platform.StartRequest) (platform.TaskStatus, error) {
	return invoke(ctx, w, func() (platform.TaskStatus, error) {
		if req.Task.Kind == domain.KindUrgent {
			return platform.TaskStatus{}, wrongKindError(req.Task, "use Run for an urgent task")
		}
		t, err := w.start(req)
		if err != nil {
			return platform.TaskStatus{}, err
		}
		return t.status, nil
	})
}

// Run implements platform.Worker. If ctx ends first, the task continues to run.
func (w *Worker) Run(ctx context.Context, req platform.StartRequest) (platform.TaskStatus, error) {
	t, err := beginCall(ctx, w, func() (*taskAttempt, error) {
		if req.Task.Kind != domain.KindUrgent {
			return nil, wrongKindError(req.Task, "use Start for a batch task or a watch")
		}
		return w.start(req)
	})
	if err != nil {
		return finishCall(ctx, w, platform.TaskStatus{}, err)
	}
	select {
	case <-t.done:
	case <-ctx.Done():
		return platform.TaskStatus{}, fault.ContextError(ctx)
	}
	if t.lostInRestart {
		return platform.TaskStatus{}, fault.UnavailableError("the worker restarted during the call")
	}
	// The status no longer changes after the task has finished.
	status := w.answerSwapper.swap(ctx, t.status)
	return finishCall(ctx, w, status, nil)
}

func wrongKindError(t domain.Task, remedy string) error {
	return newError(domain.KindBadRequest, t.ID, fmt.Sprintf("this call does not start tasks of kind %q", t.Kind), remedy)
}

// start starts a task. If there is already a record of the same or a later
// attempt, it returns that record instead.
func (w *Worker) start(req platform.StartRequest) (*taskAttempt, error) {
	if err := w.checkSession(req.Epoch, req.Session); err != nil {
		return nil, err
	}
	if err := checkStart(req); err != nil {
		return nil, err
	}
	if existing := w.records[req.Task.ID]; existing != nil {
		if req.Attempt <= existing.status.Attempt {
			return existing, nil
		}
		if existing.status.State == platform.TaskRunning {
			return nil, newError(domain.KindBadRequest, req.Task.ID,
				fmt.Sprintf("attempt %d is running", existing.status.Attempt), "stop it before a new attempt")
		}
	}
	if err := w.checkCapacity(req); err != nil {
		return nil, err
	}
	return w.addAttempt(req)
}

func checkStart(req platform.StartRequest) error {
	if req.Task.ID.IsZero() || req.Attempt < 1 || req.Reserved.HasNegative() {
		return newError(domain.KindBadRequest, req.Task.ID,
			"the start request has no id, no attempt number or a negative reservation", "set the id, the attempt number and a reservation without negative values")
	}
	return req.Task.Validate()
}

func (w *Worker) checkCapacity(req platform.StartRequest) error {
	if w.leaving {
		return newError(domain.KindNoCapacity, req.Task.ID, "the worker is leaving", "start the task on another worker")
	}
	if !req.Reserved.Fits(w.config.Capacity.Sub(w.reserved)) {
		return newError(domain.KindNoCapacity, req.Task.ID,
			fmt.Sprintf("the reservation %+v does not fit: %+v of %+v are reserved", req.Reserved, w.reserved, w.config.Capacity),
			"start the task on another worker")
	}
	return nil
}

func (w *Worker) addAttempt(req platform.StartRequest) (*taskAttempt, error) {
	firstStep := int64(0)
	if req.Checkpoint != "" {
		var err error
		if firstStep, err = CheckpointSteps(req.Task.ID, req.Checkpoint); err != nil {
			return nil, err
		}
	}
	t := newTaskAttempt(req, firstStep, w.failAll)
	if len(w.running) == 0 {
		w.nextSampleEnd = w.advancedTo.Add(w.config.UsageInterval)
	}
	w.records[req.Task.ID] = t
	w.running = append(w.running, t)
	w.reserved = w.reserved.Add(req.Reserved)
	t.historyIndex = w.recordStart(t)
	return t, nil
}

// Stop implements platform.Worker. A finished task does not change. If the stop is
// for a later attempt than the recorded one, that attempt cannot start any more.
func (w *Worker) Stop(ctx context.Context, req platform.StopRequest) (platform.TaskStatus, error) {
	return invoke(ctx, w, func() (platform.TaskStatus, error) {
		if err := w.checkSession(req.Epoch, req.Session); err != nil {
			return platform.TaskStatus{}, err
		}
		return w.stop(req).status, nil
	})
}

func (w *Worker) stop(req platform.StopRequest) *taskAttempt {
	existing := w.records[req.ID]
	switch {
	case existing == nil:
		return w.recordNeverStarted(domain.Task{ID: req.ID}, req.Attempt, "")
	case existing.status.State == platform.TaskRunning:
		w.stopAttempt(existing, req.Checkpoint, CompletionStopped)
	case existing.status.Attempt < req.Attempt:
		return w.recordNeverStarted(existing.status.Task, req.Attempt, existing.status.Checkpoint)
	}
	return existing
}

// recordNeverStarted records that attempts up to the given one must not start on
// this worker, so that a delayed start request has no effect.
func (w *Worker) recordNeverStarted(task domain.Task, attempt int, checkpoint string) *taskAttempt {
	t := &taskAttempt{done: make(chan struct{}), finishedAt: w.advancedTo}
	t.status = platform.TaskStatus{
		Task:       task,
		Attempt:    attempt,
		State:      platform.TaskNeverStarted,
		Checkpoint: checkpoint,
	}
	close(t.done)
	w.records[task.ID] = t
	w.finished = append(w.finished, t)
	return t
}

// Throttle implements platform.Worker. A finished batch task does not change.
func (w *Worker) Throttle(ctx context.Context, req platform.ThrottleRequest) error {
	_, err := invoke(ctx, w, func() (struct{}, error) { return struct{}{}, w.throttle(req) })
	return err
}

func (w *Worker) throttle(req platform.ThrottleRequest) error {
	if err := w.checkSession(req.Epoch, req.Session); err != nil {
		return err
	}
	t, err := w.findRecord(req.ID)
	if err != nil {
		return err
	}
	if t.status.Task.Kind != domain.KindBatch || !(req.Share > 0 && req.Share <= 1) {
		return newError(domain.KindBadRequest, req.ID,
			"the task is not a batch task or the share is outside (0, 1]", "throttle only batch tasks, to a share in (0, 1]")
	}
	if t.status.State == platform.TaskRunning {
		t.status.Throttle = req.Share
	}
	return nil
}

// Lookup implements platform.Worker.
func (w *Worker) Lookup(ctx context.Context, id domain.RequestID) (platform.TaskStatus, error) {
	return invoke(ctx, w, func() (platform.TaskStatus, error) {
		t, err := w.findRecord(id)
		if err != nil {
			return platform.TaskStatus{}, err
		}
		return t.status, nil
	})
}

func (w *Worker) findRecord(id domain.RequestID) (*taskAttempt, error) {
	if t := w.records[id]; t != nil {
		return t, nil
	}
	return nil, newError(domain.KindNotFound, id, "the worker has no record of the task", "ask the other workers of the shard")
}

// checkSession returns an error of kind KindStaleEpoch unless the epoch is current
// and the session is the open one.
func (w *Worker) checkSession(epoch domain.Epoch, id platform.SessionID) error {
	if epoch != w.epoch {
		return w.staleEpochError(epoch)
	}
	if !w.session.open || id != w.session.id {
		return newError(domain.KindStaleEpoch, domain.RequestID{}, "the session is not open", "attach again if the epoch is still current")
	}
	return nil
}

func (w *Worker) staleEpochError(epoch domain.Epoch) error {
	return newError(domain.KindStaleEpoch, domain.RequestID{},
		fmt.Sprintf("epoch %d is not the current epoch %d", epoch, w.epoch), "read the shard's stream to find its owner")
}

// workerTime returns the reading of the worker's monotonic clock at advancedTo.
func (w *Worker) workerTime() platform.WorkerTime {
	return platform.WorkerTime(w.advancedTo.Sub(w.bootedAt))
}

func newError(kind domain.ErrorKind, id domain.RequestID, message, remedy string) error {
	e := &domain.Error{Kind: kind, Message: message, Remedy: remedy}
	if !id.IsZero() {
		e.RequestID = id.String()
	}
	return e
}
