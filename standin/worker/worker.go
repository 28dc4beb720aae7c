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

// Worker implements platform.Worker. Use New, and Close at the end.
type Worker struct {
	config Config
	gate   *fault.Gate

	mu sync.Mutex
	// advancedTo is the time up to which the state is brought.
	advancedTo time.Time
	// bootedAt is the zero of WorkerTime.
	bootedAt time.Time
	// recordsCompleteFrom is when the records are complete again after a restart.
	recordsCompleteFrom time.Time
	// incarnation changes with each restart.
	incarnation uint64
	epoch       domain.Epoch
	session     session
	leaving     bool
	closed      bool
	timer       clockwork.Timer

	// records has the newest run of each id, running or ended.
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

// session is the latest grant of the worker.
type session struct {
	open    bool
	id      platform.SessionID
	expires time.Time
}

var _ platform.Worker = (*Worker)(nil)

// New returns a running worker without tasks.
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
	// Session numbers start at the wall clock, so that a new process of the
	// same VM does not repeat a number.
	w.session.id = platform.SessionID(now.UnixNano())
	w.incarnation = uint64(now.UnixNano())
	if config.RecordsLost {
		w.recordsCompleteFrom = now.Add(platform.ResultRetention)
	}
	return w
}

// Close stops the worker's timer. Tasks make no progress afterwards unless
// calls are made.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.resetTimer()
}

// Attach implements platform.Worker. The new session takes over the expiry of
// an open one that has running tasks: an attach whose answers are lost can be
// repeated without end, and only a renewal shows that its sender hears the
// worker. Otherwise the session lasts LeaseDuration.
func (w *Worker) Attach(ctx context.Context, req platform.AttachRequest) (platform.AttachReply, error) {
	return invoke(ctx, w, func() (platform.AttachReply, error) { return w.attach(req) })
}

func (w *Worker) attach(req platform.AttachRequest) (platform.AttachReply, error) {
	if req.Epoch == 0 || req.Owner == "" {
		return platform.AttachReply{}, newError(domain.KindBadRequest, domain.RequestID{},
			"the attach has no epoch or no owner", "send the epoch of the claim and the node's id")
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
			"the renewal names a time or an event that is still to come", "attach again and count events from 0")
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

// Run implements platform.Worker. If ctx ends first the task runs on.
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
		return platform.TaskStatus{}, fault.Unavailable("the worker restarted during the call")
	}
	// The status does not change once the task has ended.
	status := w.answerSwapper.swap(ctx, t.status)
	return finishCall(ctx, w, status, nil)
}

func wrongKindError(t domain.Task, remedy string) error {
	return newError(domain.KindBadRequest, t.ID, fmt.Sprintf("a task of kind %q is not started by this call", t.Kind), remedy)
}

// start starts a task, or returns the record that makes the start a repeat.
func (w *Worker) start(req platform.StartRequest) (*taskAttempt, error) {
	if err := w.checkSession(req.Epoch, req.Session); err != nil {
		return nil, err
	}
	if err := checkStart(req); err != nil {
		return nil, err
	}
	if known := w.records[req.Task.ID]; known != nil {
		if req.Attempt <= known.status.Attempt {
			return known, nil
		}
		if known.status.State == platform.TaskRunning {
			return nil, newError(domain.KindBadRequest, req.Task.ID,
				fmt.Sprintf("attempt %d is running", known.status.Attempt), "stop it before a new attempt")
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
			"the start has no id, no attempt number or a negative reservation", "set each of them")
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

// Stop implements platform.Worker. A task that has ended is not changed; a
// later attempt of it is not started any more.
func (w *Worker) Stop(ctx context.Context, req platform.StopRequest) (platform.TaskStatus, error) {
	return invoke(ctx, w, func() (platform.TaskStatus, error) {
		if err := w.checkSession(req.Epoch, req.Session); err != nil {
			return platform.TaskStatus{}, err
		}
		return w.stop(req).status, nil
	})
}

func (w *Worker) stop(req platform.StopRequest) *taskAttempt {
	known := w.records[req.ID]
	switch {
	case known == nil:
		return w.recordNeverStarted(domain.Task{ID: req.ID}, req.Attempt, "")
	case known.status.State == platform.TaskRunning:
		w.stopAttempt(known, req.Checkpoint, CompletionStopped)
	case known.status.Attempt < req.Attempt:
		return w.recordNeverStarted(known.status.Task, req.Attempt, known.status.Checkpoint)
	}
	return known
}

// recordNeverStarted records that attempts up to the one given are not started here,
// so that a start that is still under way starts nothing.
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

// Throttle implements platform.Worker. A batch task that has ended is not
// changed.
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
			"the task is no batch task or the share is outside (0, 1]", "throttle batch tasks only, to a share in (0, 1]")
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

// checkSession returns an error of kind KindStaleEpoch unless epoch and session are
// those in force.
func (w *Worker) checkSession(epoch domain.Epoch, id platform.SessionID) error {
	if epoch != w.epoch {
		return w.staleEpochError(epoch)
	}
	if !w.session.open || id != w.session.id {
		return newError(domain.KindStaleEpoch, domain.RequestID{}, "the session is not open", "attach again if the epoch is still in force")
	}
	return nil
}

func (w *Worker) staleEpochError(epoch domain.Epoch) error {
	return newError(domain.KindStaleEpoch, domain.RequestID{},
		fmt.Sprintf("epoch %d is not the epoch %d in force", epoch, w.epoch), "read the shard's stream for its owner")
}

// workerTime returns the worker's monotonic clock.
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
