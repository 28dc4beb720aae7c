package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/basilferry/basilferry/core/backlog"
	"github.com/basilferry/basilferry/node/telemetry"
)

// latencyBuckets are the bucket bounds of the latency histograms. They range from the
// response time of a nearby worker to the longest time that a client waits.
var latencyBuckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second,
}

// metrics implements dispatcher.Metrics with tally.
type metrics struct {
	reporter *telemetry.Reporter
	scope    tally.Scope
	close    func() error
}

func newMetrics(s Settings) *metrics {
	reporter := telemetry.NewReporter()
	scope, closer := telemetry.NewScope(reporter)
	tagged := scope.Tagged(map[string]string{"node": s.Node.Name, "failure_domain": string(s.Node.Domain)})
	return &metrics{reporter: reporter, scope: tagged, close: closer.Close}
}

// Count adds n to the counter of the named decision.
func (m *metrics) Count(name string, n int64) {
	m.scope.Tagged(map[string]string{"decision": name}).Counter("decisions").Inc(n)
}

// CountDeferred adds n to the number of jobs of the named queue that were deferred.
func (m *metrics) CountDeferred(queue string, n int64) {
	m.scope.Tagged(map[string]string{"queue": queue}).Counter("deferred").Inc(n)
}

// Gauge sets the named gauge.
func (m *metrics) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// AccountGauge sets the named gauge of a client account and a resource.
func (m *metrics) AccountGauge(name, account, resource string, value float64) {
	m.scope.Tagged(map[string]string{"account": account, "resource": resource}).Gauge(name).Update(value)
}

// Observe records the latency of the named call.
func (m *metrics) Observe(name string, d time.Duration) {
	m.scope.Tagged(map[string]string{"call": name}).Histogram("latency", latencyBuckets).RecordDuration(d)
}

// SetHeld sets the size of the refused records of a held job.
func (m *metrics) SetHeld(job string, bytes int) {
	m.scope.Tagged(map[string]string{"job": job}).Gauge("job_held_bytes").Update(float64(bytes))
}

// SetBacklog sets the outstanding work of a pool, the time that the pool needs for it, and
// the rate at which it is served; the last two are 0 while the rate is not known.
func (m *metrics) SetBacklog(p backlog.Pool) {
	scope := m.scope.Tagged(map[string]string{"service": p.ID.Service, "kind": p.ID.Kind()})
	scope.Gauge("backlog_core_seconds").Update(p.Work.Total())
	scope.Gauge("backlog_seconds").Update(p.Drain().Seconds())
	scope.Gauge("backlog_rate").Update(p.Rate)
}

// CountTurnedAway counts a job of the named queue that was refused because of the backlog.
func (m *metrics) CountTurnedAway(queue string) {
	m.scope.Tagged(map[string]string{"queue": queue}).Counter("turned_away").Inc(1)
}

// ObserveStage records the time of a stage of a job of the named queue.
func (m *metrics) ObserveStage(stage, queue string, d time.Duration) {
	m.scope.Tagged(map[string]string{"stage": stage, "queue": queue}).Histogram("stage", latencyBuckets).RecordDuration(d)
}
