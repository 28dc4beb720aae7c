package telemetry

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxSeries bounds the memory of the metrics. Further ones are not kept and
// counted in basilferry_metrics_dropped_series.
const maxSeries = 10_000

// timerBuckets are the buckets of a tally timer, which has none of its own.
var timerBuckets = tally.DurationBuckets{
	time.Millisecond,
	5 * time.Millisecond,
	25 * time.Millisecond,
	100 * time.Millisecond,
	500 * time.Millisecond,
	2500 * time.Millisecond,
	10 * time.Second,
}

// Reporter keeps the values of all metrics and serves them in the Prometheus
// text format. tally's own package for that needs a client library that the
// project does not use.
type Reporter struct {
	mu       sync.Mutex
	families map[string]*family
	series   int
	dropped  int
}

// family is all series of one name.
type family struct {
	kind   kind
	series map[string]*series
}

type kind string

const (
	counterKind   kind = "counter"
	gaugeKind     kind = "gauge"
	histogramKind kind = "histogram"
)

// series is one metric with its labels. It implements the handles that tally
// reports to.
type series struct {
	reporter *Reporter
	value    float64
	// bounds are the upper bounds of a histogram, ascending, without infinity;
	// counts has one more element.
	bounds []float64
	counts []int64
}

// NewReporter returns a Reporter without values.
func NewReporter() *Reporter {
	return &Reporter{families: make(map[string]*family)}
}

// Capabilities implements tally.BaseStatsReporter.
func (r *Reporter) Capabilities() tally.Capabilities { return capabilities{} }

// Flush implements tally.BaseStatsReporter.
func (r *Reporter) Flush() {}

type capabilities struct{}

// Reporting implements tally.Capabilities.
func (capabilities) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (capabilities) Tagging() bool { return true }

// AllocateCounter implements tally.CachedStatsReporter.
func (r *Reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return r.allocate(counterKind, name, tags, nil)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *Reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return r.allocate(gaugeKind, name, tags, nil)
}

// AllocateTimer implements tally.CachedStatsReporter.
func (r *Reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return r.allocate(histogramKind, name, tags, upperBounds(timerBuckets))
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *Reporter) AllocateHistogram(name string, tags map[string]string, buckets tally.Buckets) tally.CachedHistogram {
	return r.allocate(histogramKind, name, tags, upperBounds(buckets))
}

// upperBounds returns durations in seconds.
func upperBounds(buckets tally.Buckets) []float64 {
	bounds := buckets.AsValues()
	if durations, ok := buckets.(tally.DurationBuckets); ok {
		bounds = make([]float64, len(durations))
		for i, d := range durations {
			bounds[i] = d.Seconds()
		}
	}
	bounds = slices.Clone(bounds)
	slices.Sort(bounds)
	return bounds
}

// allocate returns the series of the name and labels. A series beyond the limit
// or of another kind than its family takes values that are not served.
func (r *Reporter) allocate(k kind, name string, tags map[string]string, bounds []float64) *series {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := &series{reporter: r, bounds: bounds, counts: make([]int64, len(bounds)+1)}
	f, ok := r.families[name]
	if !ok {
		f = &family{kind: k, series: make(map[string]*series)}
	}
	labels := formatLabels(tags)
	if known, ok := f.series[labels]; ok && f.kind == k {
		return known
	}
	if f.kind != k || r.series >= maxSeries {
		r.dropped++
		return fresh
	}
	r.families[name] = f
	f.series[labels] = fresh
	r.series++
	return fresh
}

// ReportCount implements tally.CachedCount; value is the increase.
func (s *series) ReportCount(value int64) {
	s.reporter.mu.Lock()
	defer s.reporter.mu.Unlock()
	s.value += float64(value)
}

// ReportGauge implements tally.CachedGauge.
func (s *series) ReportGauge(value float64) {
	s.reporter.mu.Lock()
	defer s.reporter.mu.Unlock()
	s.value = value
}

// ReportTimer implements tally.CachedTimer.
func (s *series) ReportTimer(interval time.Duration) { s.add(interval.Seconds(), 1) }

// ValueBucket implements tally.CachedHistogram.
func (s *series) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	return bucket{s, upper}
}

// DurationBucket implements tally.CachedHistogram.
func (s *series) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return bucket{s, math.Inf(1)}
	}
	return bucket{s, upper.Seconds()}
}

type bucket struct {
	series *series
	upper  float64
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b bucket) ReportSamples(value int64) { b.series.add(b.upper, value) }

// add counts samples in the bucket that holds the value.
func (s *series) add(value float64, samples int64) {
	s.reporter.mu.Lock()
	defer s.reporter.mu.Unlock()
	at, _ := slices.BinarySearch(s.bounds, value)
	s.counts[at] += samples
}
