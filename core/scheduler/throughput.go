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

// throughput measures how fast the work of each pool is done and how much work the jobs
// of each queue contain.
type throughput struct {
	pools map[dispatch.Pool]*poolThroughput
	// since is when the measurement began.
	since       fleet.Instant
	workByRoute map[string]*workTotal
}

// poolThroughput is the throughput of one pool.
type poolThroughput struct {
	// finishedTasks are the tasks that finished within rateWindow, oldest first.
	finishedTasks []finishedTask
	// work is the total work of finishedTasks, in core-seconds.
	work float64
	// slowdown is the moving average of actual duration over that at full speed.
	slowdown float64
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
	return &throughput{since: now, pools: map[dispatch.Pool]*poolThroughput{}, workByRoute: map[string]*workTotal{}}
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

// addFinishedTask records a task of a pool that is done, with its actual duration and that at
// full speed.
func (t *throughput) addFinishedTask(pool dispatch.Pool, step *job.Step, duration, nominal time.Duration, now fleet.Instant) {
	p := t.pools[pool]
	if p == nil {
		p = &poolThroughput{slowdown: 1}
		t.pools[pool] = p
	}
	if nominal > 0 {
		p.slowdown += slowdownWeight * (float64(duration)/float64(nominal) - p.slowdown)
	}
	work := nominal.Seconds() * float64(step.Need.CPUMilli) / milliPerCore
	p.finishedTasks = append(p.finishedTasks, finishedTask{at: now, work: work})
	p.work += work
	p.dropOld(now)
}

// dropOld drops the tasks that finished before the window.
func (p *poolThroughput) dropOld(now fleet.Instant) {
	old := 0
	for old < len(p.finishedTasks) && now-p.finishedTasks[old].at > rateWindow {
		p.work -= p.finishedTasks[old].work
		old++
	}
	p.finishedTasks = p.finishedTasks[old:]
}

// slowdown returns the slowdown of a pool; 1 if it is unknown.
func (t *throughput) slowdown(pool dispatch.Pool) float64 {
	if p := t.pools[pool]; p != nil {
		return p.slowdown
	}
	return 1
}

// minSlowdown is the least slowdown that the rate of a pool is computed with.
const minSlowdown = 0.1

// snapshot returns the slowdown of a pool, the rate at which its tasks have finished, and from
// how many tasks it is measured. The rate is 0 until it has been measured for long enough.
func (t *throughput) snapshot(pool dispatch.Pool, now fleet.Instant) (out dispatch.PoolLoad, samples int) {
	p := t.pools[pool]
	if p == nil {
		return dispatch.PoolLoad{Slowdown: 1}, 0
	}
	p.dropOld(now)
	out = dispatch.PoolLoad{Slowdown: max(minSlowdown, p.slowdown)}
	if span := min(rateWindow, now-t.since); span >= minRateWindow && len(p.finishedTasks) > 0 {
		out.Rate = p.work / span.Seconds()
	}
	return out, len(p.finishedTasks)
}
