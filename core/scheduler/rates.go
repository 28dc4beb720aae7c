package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

const (
	// rateSpan is the time over which the rate of finished work is measured:
	// a few durations of a filling task.
	rateSpan = 8 * time.Second
	// rateSettle is how long work must have ended before the rate means anything.
	rateSettle = 4 * time.Second
	// slowdownWeight is the weight of a new duration in the mean slowdown.
	slowdownWeight = 0.05
)

// rates learns how fast work gets done.
type rates struct {
	ends     []finished
	work     float64
	since    fleet.Instant
	slowdown float64
	queues   map[string]*workMean
}

type finished struct {
	at   fleet.Instant
	work float64
}

type workMean struct {
	total float64
	count int
}

func newRates(now fleet.Instant) *rates {
	return &rates{since: now, slowdown: 1, queues: map[string]*workMean{}}
}

// accepted takes note of the size of a job.
func (r *rates) accepted(j *job.Job) {
	q := r.queues[j.Queue.Route]
	if q == nil {
		q = &workMean{}
		r.queues[j.Queue.Route] = q
	}
	q.total += j.Work()
	q.count++
}

// meanWork returns the mean work of a queue's jobs in core-seconds.
func (r *rates) meanWork(route string) float64 {
	q := r.queues[route]
	if q == nil || q.count == 0 {
		return 0
	}
	return q.total / float64(q.count)
}

// done takes note of a filling task that ended as done after took.
func (r *rates) done(step *job.Step, took time.Duration, now fleet.Instant) {
	work := step.Work() / float64(step.Count)
	r.ends = append(r.ends, finished{at: now, work: work})
	r.work += work
	if step.Estimate > 0 {
		r.slowdown += slowdownWeight * (float64(took)/float64(step.Estimate) - r.slowdown)
	}
	r.expire(now)
}

func (r *rates) expire(now fleet.Instant) {
	old := 0
	for old < len(r.ends) && now-r.ends[old].at > rateSpan {
		r.work -= r.ends[old].work
		old++
	}
	r.ends = r.ends[old:]
}

// capacity returns what was learned; the rate is zero before it means anything.
func (r *rates) capacity(now fleet.Instant) dispatch.Throughput {
	r.expire(now)
	span := min(rateSpan, now-r.since)
	if span < rateSettle || len(r.ends) == 0 {
		return dispatch.Throughput{}
	}
	return dispatch.Throughput{BestEffortRate: r.work / span.Seconds(), Slowdown: r.slowdown}
}
