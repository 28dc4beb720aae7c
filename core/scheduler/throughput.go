package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

const (
	// rateWindow is the time window of the rate of finished work: a few times the
	// duration of a best-effort task.
	rateWindow = 8 * time.Second
	// minRateWindow is the shortest window for which the rate is meaningful.
	minRateWindow = 4 * time.Second
	// slowdownWeight is the weight of a new sample in the moving average of the
	// slowdown.
	slowdownWeight = 0.05
)

// throughput measures how fast best-effort work is done and how much work the jobs
// of each queue contain.
type throughput struct {
	// finishedTasks are the best-effort tasks that finished within rateWindow,
	// oldest first.
	finishedTasks []finishedTask
	// work is the total work of finishedTasks, in core-seconds.
	work float64
	// since is when the measurement began.
	since fleet.Instant
	// slowdown is the moving average of actual over estimated duration.
	slowdown    float64
	workByRoute map[string]*workTotal
}

// finishedTask is the work, in core-seconds, of one task and when it finished.
type finishedTask struct {
	at   fleet.Instant
	work float64
}

// workTotal is the number of accepted jobs and their total work, in core-seconds.
type workTotal struct {
	total float64
	count int
}

func newThroughput(now fleet.Instant) *throughput {
	return &throughput{since: now, slowdown: 1, workByRoute: map[string]*workTotal{}}
}

// accepted records the work of an accepted job.
func (t *throughput) accepted(j *job.Job, work float64) {
	q := t.workByRoute[j.Queue.Route]
	if q == nil {
		q = &workTotal{}
		t.workByRoute[j.Queue.Route] = q
	}
	q.total += work
	q.count++
}

// meanWork returns the mean work of a queue's jobs, in core-seconds.
func (t *throughput) meanWork(route string) float64 {
	q := t.workByRoute[route]
	if q == nil || q.count == 0 {
		return 0
	}
	return q.total / float64(q.count)
}

// addFinishedTask records a best-effort task that is done, with its actual duration.
func (t *throughput) addFinishedTask(step *job.Step, duration, nominal time.Duration, now fleet.Instant) {
	work := nominal.Seconds() * float64(step.Need.CPUMilli) / 1000
	t.finishedTasks = append(t.finishedTasks, finishedTask{at: now, work: work})
	t.work += work
	if nominal > 0 {
		t.slowdown += slowdownWeight * (float64(duration)/float64(nominal) - t.slowdown)
	}
	t.dropOld(now)
}

// dropOld drops the tasks that finished before the window.
func (t *throughput) dropOld(now fleet.Instant) {
	old := 0
	for old < len(t.finishedTasks) && now-t.finishedTasks[old].at > rateWindow {
		t.work -= t.finishedTasks[old].work
		old++
	}
	t.finishedTasks = t.finishedTasks[old:]
}

// snapshot returns the current throughput. It returns the zero value until there
// are enough samples.
func (t *throughput) snapshot(now fleet.Instant) dispatch.Throughput {
	t.dropOld(now)
	span := min(rateWindow, now-t.since)
	if span < minRateWindow || len(t.finishedTasks) == 0 {
		return dispatch.Throughput{}
	}
	return dispatch.Throughput{BestEffortRate: t.work / span.Seconds(), Slowdown: t.slowdown}
}
