package interference

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// maxTaskRecords is the maximum number of tasks recorded per worker. Of the
	// finished tasks, the one that started first is dropped first.
	maxTaskRecords = 64
	// defaultLag is the assumed age of usage reports until the first one
	// arrives.
	defaultLag = 2 * time.Second
	// minLag is the shortest time between two reactions on a worker, even if its
	// usage reports arrive sooner.
	minLag = 500 * time.Millisecond
	// victimRetention is how long an urgent class counts as present on a worker
	// after its last start there. A single urgent request is shorter than the
	// usage lag, so the running requests alone do not show which classes to
	// protect.
	victimRetention = 5 * time.Second
	// maxVictims is the maximum number of urgent classes recorded per worker.
	maxVictims = 16
	// running is the finish time of a task that is still running.
	running time.Duration = -1
)

// Task is a task on a worker.
type Task struct {
	ID    domain.RequestID
	Class domain.Class
	Kind  domain.Kind
}

// taskRecord records a batch task or watch on a worker, with the time in which
// it ran.
type taskRecord struct {
	Task
	started, finished time.Duration
	share             float64 // current throttle share; 1 if not throttled
	evicting          bool
}

func (t *taskRecord) isRunning() bool { return t.finished == running }

func (t *taskRecord) wasRunningAt(at time.Duration) bool {
	return t.started <= at && (t.finished == running || at < t.finished)
}

// victim is an urgent class of which a request was started on the worker.
type victim struct {
	class     domain.Class
	lastStart time.Duration
}

// load is the number of running tasks of a class. A throttled task counts as
// its throttle share.
type load struct {
	class  domain.Class
	amount float64
}

// workerRecord records what ran on one worker.
type workerRecord struct {
	tasks        []taskRecord // in start order
	victims      []victim
	lag          time.Duration // age of the newest usage report on arrival, at least minLag
	hasReacted   bool
	lastReaction time.Duration
}

func (w *workerRecord) recordStart(now time.Duration, t Task) {
	if t.Kind == domain.KindUrgent {
		w.recordVictim(now, t.Class)
		return
	}
	w.recordFinish(now, t.ID)
	if len(w.tasks) >= maxTaskRecords {
		w.dropRecord()
	}
	w.tasks = append(w.tasks, taskRecord{Task: t, started: now, finished: running, share: 1})
}

func (w *workerRecord) recordFinish(now time.Duration, id domain.RequestID) {
	for i := range w.tasks {
		if t := &w.tasks[i]; t.ID == id && t.isRunning() {
			t.finished = now
		}
	}
}

// dropRecord drops the first record of a finished task, or the first record if
// all tasks are running.
func (w *workerRecord) dropRecord() {
	drop := 0
	for i := range w.tasks {
		if !w.tasks[i].isRunning() {
			drop = i
			break
		}
	}
	w.tasks = append(w.tasks[:drop], w.tasks[drop+1:]...)
}

func (w *workerRecord) recordVictim(now time.Duration, class domain.Class) {
	oldest := 0
	for i := range w.victims {
		if w.victims[i].class == class {
			w.victims[i].lastStart = now
			return
		}
		if w.victims[i].lastStart < w.victims[oldest].lastStart {
			oldest = i
		}
	}
	if len(w.victims) == maxVictims {
		w.victims[oldest] = victim{class, now}
		return
	}
	w.victims = append(w.victims, victim{class, now})
}

func (w *workerRecord) recordLag(age time.Duration) {
	w.lag = max(minLag, age)
}

// loadsAt returns the load per class at a time. It leaves out the task with the
// id exclude.
func (w *workerRecord) loadsAt(at time.Duration, exclude domain.RequestID) []load {
	var loads []load
	for i := range w.tasks {
		t := &w.tasks[i]
		if t.ID != exclude && t.wasRunningAt(at) {
			loads = addLoad(loads, t.Class, t.share)
		}
	}
	return loads
}

func addLoad(loads []load, class domain.Class, amount float64) []load {
	for i := range loads {
		if loads[i].class == class {
			loads[i].amount += amount
			return loads
		}
	}
	return append(loads, load{class, amount})
}
