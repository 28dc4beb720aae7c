package interference

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// maxTaskRecords bounds the tasks remembered per worker. Ended tasks are dropped
	// first, the oldest of them before others.
	maxTaskRecords = 64
	// defaultLag is assumed until a report shows the usage lag.
	defaultLag = 2 * time.Second
	// minLag is the shortest time between two reactions on a worker.
	minLag = 500 * time.Millisecond
	// victimRetention is how long an urgent class counts as present on a worker
	// after its last start. Urgent requests come and go within a usage lag.
	victimRetention = 5 * time.Second
	// maxVictims bounds the urgent classes remembered per worker.
	maxVictims = 16
	// running is the end of a task that has not ended.
	running time.Duration = -1
)

// Task is a task on a worker.
type Task struct {
	ID    domain.RequestID
	Class domain.Class
	Kind  domain.Kind
}

// taskRecord is a batch task or watch on a worker over a time.
type taskRecord struct {
	Task
	from, to time.Duration
	share    float64 // the throttle share now, 1 if not throttled
	evicting bool
}

func (s *taskRecord) isRunning() bool { return s.to == running }

func (s *taskRecord) wasRunningAt(at time.Duration) bool {
	return s.from <= at && (s.to == running || at < s.to)
}

// victim is an urgent class that was started on the worker.
type victim struct {
	class domain.Class
	last  time.Duration
}

// load is the number of running tasks of a class, throttled ones counted by
// their share.
type load struct {
	class  domain.Class
	amount float64
}

// workerRecord is what ran on one worker.
type workerRecord struct {
	tasks        []taskRecord // in order of start
	victims      []victim
	lag          time.Duration
	hasReacted   bool
	lastReaction time.Duration // time of the last reaction
}

func (s *workerRecord) recordStart(now time.Duration, t Task) {
	if t.Kind == domain.KindUrgent {
		s.recordVictim(now, t.Class)
		return
	}
	s.recordFinish(now, t.ID)
	if len(s.tasks) >= maxTaskRecords {
		s.dropRecord()
	}
	s.tasks = append(s.tasks, taskRecord{Task: t, from: now, to: running, share: 1})
}

func (s *workerRecord) recordFinish(now time.Duration, id domain.RequestID) {
	for i := range s.tasks {
		if st := &s.tasks[i]; st.ID == id && st.isRunning() {
			st.to = now
		}
	}
}

func (s *workerRecord) dropRecord() {
	drop := 0
	for i := range s.tasks {
		if !s.tasks[i].isRunning() {
			drop = i
			break
		}
	}
	s.tasks = append(s.tasks[:drop], s.tasks[drop+1:]...)
}

func (s *workerRecord) recordVictim(now time.Duration, class domain.Class) {
	oldest := 0
	for i := range s.victims {
		if s.victims[i].class == class {
			s.victims[i].last = now
			return
		}
		if s.victims[i].last < s.victims[oldest].last {
			oldest = i
		}
	}
	if len(s.victims) == maxVictims {
		s.victims[oldest] = victim{class, now}
		return
	}
	s.victims = append(s.victims, victim{class, now})
}

func (s *workerRecord) recordLag(age time.Duration) {
	s.lag = max(minLag, age)
}

// loadsAt returns the load at a time, without the task itself.
func (s *workerRecord) loadsAt(at time.Duration, self domain.RequestID) []load {
	var loads []load
	for i := range s.tasks {
		st := &s.tasks[i]
		if st.ID != self && st.wasRunningAt(at) {
			loads = addLoad(loads, st.Class, st.share)
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
