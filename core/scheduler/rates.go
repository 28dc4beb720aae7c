package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

const (
	// rateWindow is the time over which the rate of finished work is measured:
	// a few durations of a filling task.
	rateWindow = 8 * time.Second
	// minRateWindow is how long work must have ended before the rate means anything.
	minRateWindow = 4 * time.Second
	// slowdownWeight is the weight of a new duration in the mean slowdown.
	slowdownWeight = 0.05
)

// throughput learns how fast work gets done.
type throughput struct {
	finishedTasks []finishedTask
	work          float64
	since         fleet.Instant
	slowdown      float64
	workByRoute   map[string]*workTotal
}

type finishedTask struct {
	at   fleet.Instant
	work float64
}

type workTotal struct {
	total float64
	count int
}

func newThroughput(now fleet.Instant) *throughput {
	return &throughput{since: now, slowdown: 1, workByRoute: map[string]*workTotal{}}
}

// accepted takes note of the size of a job.
func (r *throughput) accepted(j *job.Job) {
	q := r.workByRoute[j.Queue.Route]
	if q == nil {
		q = &workTotal{}
		r.workByRoute[j.Queue.Route] = q
	}
	q.total += j.Work()
	q.count++
}

// meanWork returns the mean work of a queue's jobs in core-seconds.
func (r *throughput) meanWork(route string) float64 {
	q := r.workByRoute[route]
	if q == nil || q.count == 0 {
		return 0
	}
	return q.total / float64(q.count)
}

// addFinishedTask takes note of a filling task that ended as done after took.
func (r *throughput) addFinishedTask(step *job.Step, took time.Duration, now fleet.Instant) {
	work := step.Work() / float64(step.Count)
	r.finishedTasks = append(r.finishedTasks, finishedTask{at: now, work: work})
	r.work += work
	if step.Estimate > 0 {
		r.slowdown += slowdownWeight * (float64(took)/float64(step.Estimate) - r.slowdown)
	}
	r.dropOld(now)
}

func (r *throughput) dropOld(now fleet.Instant) {
	old := 0
	for old < len(r.finishedTasks) && now-r.finishedTasks[old].at > rateWindow {
		r.work -= r.finishedTasks[old].work
		old++
	}
	r.finishedTasks = r.finishedTasks[old:]
}

// capacity returns what was learned; the rate is zero before it means anything.
func (r *throughput) capacity(now fleet.Instant) dispatch.Throughput {
	r.dropOld(now)
	span := min(rateWindow, now-r.since)
	if span < minRateWindow || len(r.finishedTasks) == 0 {
		return dispatch.Throughput{}
	}
	return dispatch.Throughput{BestEffortRate: r.work / span.Seconds(), Slowdown: r.slowdown}
}
