package backlog

import (
	"math"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/duration"
)

// Classes is the number of classes of value per unit of work; see ClassOf.
const Classes = 8

const (
	// topClassValue is the least value per core-second of class 0. A job with the mean
	// work of its queue has a value of 1, so this is a job of 0.1 core-seconds.
	topClassValue = 10.0
	// classFactor is the ratio of the values of two neighbouring classes. The last class
	// begins below 1/73 per core-second, a job of about 70 core-seconds.
	classFactor = 3.0
)

// ClassOf returns the class of a value per core-second, from 0 for the highest values to
// Classes-1. A value that is not a number is in the last class.
func ClassOf(valuePerWork float64) int {
	bound := topClassValue
	for class := range Classes - 1 {
		if valuePerWork >= bound {
			return class
		}
		bound /= classFactor
	}
	return Classes - 1
}

// Cell is the outstanding work of one priority and class.
type Cell struct {
	// Priority is that of the queues; 0 is the most urgent.
	Priority int
	// Class is the class of the value per work; see ClassOf.
	Class int
	// Work is in core-seconds. OnTime is the part of it that runs, or belongs to jobs that can
	// still meet their objective. The scheduler serves it first. It does not include work of
	// which only the clients' estimates tell how much it is.
	Work, OnTime float64
}

// Histogram holds outstanding work by priority and class, each combination once.
type Histogram []Cell

// Add adds the work of a cell.
func (h *Histogram) Add(add Cell) {
	for i := range *h {
		if c := &(*h)[i]; c.Priority == add.Priority && c.Class == add.Class {
			c.Work += add.Work
			c.OnTime += add.OnTime
			return
		}
	}
	*h = append(*h, add)
}

// Total returns all work, in core-seconds.
func (h Histogram) Total() float64 {
	total := 0.0
	for _, c := range h {
		total += c.Work
	}
	return total
}

// Before returns the work, in core-seconds, that comes before a new job: that of higher
// priority, and that of its priority in its class or a more valuable one. certain is the part
// of it that comes first also while the new job can still meet its objective: that of a higher
// priority or class which can be on time itself. Jobs of the same class become late before the
// new one does, and then give up their place.
func (h Histogram) Before(priority, class int) (work, certain float64) {
	for _, c := range h {
		if c.Priority < priority || c.Priority == priority && c.Class <= class {
			work += c.Work
			if c.Priority < priority || c.Class < class {
				certain += c.OnTime
			}
		}
	}
	return work, certain
}

// Pool is the outstanding work of one pool and how fast it is served.
type Pool struct {
	ID dispatch.Pool
	// Rate is how much work the pool serves, in core-seconds of estimated work per
	// second; 0 if it is not known, or if the pool has room for more work.
	Rate float64
	// Slowdown is the mean ratio of the duration of tasks to their estimate; 0 if it is
	// not known.
	Slowdown float64
	Work     Histogram
}

// Account is an account whose own outstanding work takes longer under its limit than that
// of the pools.
type Account struct {
	Name string
	// Rate is the account's limit on CPU, in cores. A core serves at most one core-second
	// of estimated work per second.
	Rate float64
	Work Histogram
}

// Queue holds what is known about the jobs of one queue.
type Queue struct {
	Route string
	// MeanWork is the mean work of its jobs, in core-seconds.
	MeanWork float64
	// Correction turns the clients' estimates into predicted durations.
	Correction duration.Correction
}

// Summary is a compact description of the owner's backlog. The zero value describes an
// empty one.
type Summary struct {
	Pools    []Pool
	Accounts []Account
	// Queues are those whose jobs have shown how long they take.
	Queues []Queue
}

// CanRefuse reports whether the summary can lead to a refusal: work is outstanding in a pool
// whose rate is known, or under the limit of an account.
func (s *Summary) CanRefuse() bool {
	for i := range s.Pools {
		if s.Pools[i].Drain() > 0 {
			return true
		}
	}
	return len(s.Accounts) > 0
}

// Pool returns a pool; nil if the summary does not have it.
func (s *Summary) Pool(id dispatch.Pool) *Pool {
	for i := range s.Pools {
		if s.Pools[i].ID == id {
			return &s.Pools[i]
		}
	}
	return nil
}

// Drain returns how long the pool needs for all of its outstanding work; 0 if its rate is
// not known.
func (p *Pool) Drain() time.Duration { return seconds(p.Work.Total(), p.Rate) }

// account returns an account; nil if the summary does not have it, or for no name.
func (s *Summary) account(name string) *Account {
	if name == "" {
		return nil
	}
	for i := range s.Accounts {
		if s.Accounts[i].Name == name {
			return &s.Accounts[i]
		}
	}
	return nil
}

// hasQueue reports whether the summary has the queue.
func (s *Summary) hasQueue(route string) bool {
	return slices.ContainsFunc(s.Queues, func(q Queue) bool { return q.Route == route })
}

// meanWork returns the mean work of a queue's jobs; 0 if it is not known.
func (s *Summary) meanWork(route string) float64 {
	for _, q := range s.Queues {
		if q.Route == route {
			return q.MeanWork
		}
	}
	return 0
}

// correction returns the correction of a queue's estimates; none if it is not known.
func (s *Summary) correction(route string) duration.Correction {
	for _, q := range s.Queues {
		if q.Route == route {
			return q.Correction
		}
	}
	return duration.Identity
}

// maxDrain bounds a computed duration, so that it does not overflow.
const maxDrain = 24 * time.Hour

// seconds returns the time for work, in core-seconds, at a rate; 0 for a rate of 0.
func seconds(work, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(work/rate, maxDrain.Seconds()) * float64(time.Second))
}

const (
	// noticeableShare is the relative change of a pool's time for its work, or of the work
	// before some priority, that is noticeable. Estimates of durations are no better.
	noticeableShare = 0.1
	// noticeableTime is the least change of that time that is noticeable. Objectives are
	// longer than a second.
	noticeableTime = 100 * time.Millisecond
)

// DiffersNoticeably reports whether a decision can differ between the two summaries: the
// time that a pool needs for the work of a priority and all higher ones differs by more
// than noticeableShare and noticeableTime, or a rate or a slowdown has become known or
// unknown, or the summary can lead to refusals only now or no longer.
func (s *Summary) DiffersNoticeably(other *Summary) bool {
	if s.CanRefuse() != other.CanRefuse() || len(s.Pools) != len(other.Pools) || len(s.Accounts) != len(other.Accounts) {
		return true
	}
	for i := range s.Pools {
		p := &s.Pools[i]
		q := other.Pool(p.ID)
		if q == nil || (p.Rate > 0) != (q.Rate > 0) || differs(p.Slowdown, q.Slowdown, 0) || differHistograms(p.Work, p.Rate, q.Work, q.Rate) {
			return true
		}
	}
	for i := range s.Accounts {
		a := &s.Accounts[i]
		b := other.account(a.Name)
		if b == nil || differHistograms(a.Work, a.Rate, b.Work, b.Rate) {
			return true
		}
	}
	return false
}

// differHistograms compares the time for the work up to each priority. Without a rate, no
// decision depends on the work.
func differHistograms(a Histogram, rateA float64, b Histogram, rateB float64) bool {
	if rateA <= 0 || rateB <= 0 {
		return (rateA > 0) != (rateB > 0)
	}
	for _, c := range slices.Concat(a, b) {
		// The work of a class is certain to come first only for jobs of a later one.
		for class := c.Class; class <= c.Class+1; class++ {
			workA, certainA := a.Before(c.Priority, class)
			workB, certainB := b.Before(c.Priority, class)
			least := noticeableTime.Seconds()
			if differs(workA/rateA, workB/rateB, least) || differs(certainA/rateA, certainB/rateB, least) {
				return true
			}
		}
	}
	return false
}

// differs reports whether two quantities differ by more than noticeableShare and least.
func differs(a, b, least float64) bool {
	difference := math.Abs(a - b)
	return difference > least && difference > noticeableShare*max(a, b)
}
