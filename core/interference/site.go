package interference

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// maxStays bounds the tasks remembered per worker. Ended tasks are dropped
	// first, the oldest of them before others.
	maxStays = 64
	// defaultLag is assumed until a report shows the usage lag.
	defaultLag = 2 * time.Second
	// minLag is the shortest time between two reactions on a worker.
	minLag = 500 * time.Millisecond
	// victimMemory is how long an urgent class counts as present on a worker
	// after its last start. Urgent requests come and go within a usage lag.
	victimMemory = 5 * time.Second
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

// stay is a batch task or watch on a worker over a time.
type stay struct {
	Task
	from, to time.Duration
	share    float64 // the throttle share now, 1 if not throttled
	evicting bool
}

func (s *stay) runs() bool { return s.to == running }

func (s *stay) ranAt(at time.Duration) bool {
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

// site is what ran on one worker.
type site struct {
	stays    []stay // in order of start
	victims  []victim
	lag      time.Duration
	reacted  bool
	reaction time.Duration // time of the last reaction
}

func (s *site) started(now time.Duration, t Task) {
	if t.Kind == domain.KindUrgent {
		s.sawVictim(now, t.Class)
		return
	}
	s.ended(now, t.ID)
	if len(s.stays) >= maxStays {
		s.dropOne()
	}
	s.stays = append(s.stays, stay{Task: t, from: now, to: running, share: 1})
}

func (s *site) ended(now time.Duration, id domain.RequestID) {
	for i := range s.stays {
		if st := &s.stays[i]; st.ID == id && st.runs() {
			st.to = now
		}
	}
}

func (s *site) dropOne() {
	drop := 0
	for i := range s.stays {
		if !s.stays[i].runs() {
			drop = i
			break
		}
	}
	s.stays = append(s.stays[:drop], s.stays[drop+1:]...)
}

func (s *site) sawVictim(now time.Duration, class domain.Class) {
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

func (s *site) sawLag(age time.Duration) {
	s.lag = max(minLag, age)
}

// loadsAt returns the load at a time, without the task itself.
func (s *site) loadsAt(at time.Duration, self domain.RequestID) []load {
	var loads []load
	for i := range s.stays {
		st := &s.stays[i]
		if st.ID != self && st.ranAt(at) {
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
