package telemetry

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxSeries is the largest number of series, which bounds the memory of the
// metrics. Further series are dropped and counted in
// basilferry_metrics_dropped_series.
const maxSeries = 10_000

// timerBuckets are the histogram buckets for tally timers, which define none.
var timerBuckets = tally.DurationBuckets{
	time.Millisecond,
	5 * time.Millisecond,
	25 * time.Millisecond,
	100 * time.Millisecond,
	500 * time.Millisecond,
	2500 * time.Millisecond,
	10 * time.Second,
}

// Reporter stores the values of all metrics and serves them in the Prometheus
// text format. The reporter that tally provides for this needs a client library
// that the project does not use.
type Reporter struct {
	mu       sync.Mutex
	families map[string]*family
	series   int
	dropped  int
}

// family has all series of one metric name.
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

// series is a metric with one set of labels. It implements tally.CachedCount,
// CachedGauge, CachedTimer and CachedHistogram.
type series struct {
	reporter *Reporter
	value    float64
	// bounds are the upper bounds of the histogram's buckets, ascending,
	// without infinity. counts has one more element, for the last bucket.
	bounds []float64
	counts []int64
}

// NewReporter returns a Reporter without series.
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

// upperBounds returns the sorted upper bounds of the buckets; durations are
// converted to seconds.
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

// allocate returns the series with the given name and labels, and creates it if
// necessary. A series beyond maxSeries, or of a different kind than its family,
// accepts values but is not served.
func (r *Reporter) allocate(k kind, name string, tags map[string]string, bounds []float64) *series {
	r.mu.Lock()
	defer r.mu.Unlock()
	created := &series{reporter: r, bounds: bounds, counts: make([]int64, len(bounds)+1)}
	f, ok := r.families[name]
	if !ok {
		f = &family{kind: k, series: make(map[string]*series)}
	}
	labels := formatLabels(tags)
	if existing, ok := f.series[labels]; ok && f.kind == k {
		return existing
	}
	if f.kind != k || r.series >= maxSeries {
		r.dropped++
		return created
	}
	r.families[name] = f
	f.series[labels] = created
	r.series++
	return created
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

// add adds samples to the bucket that contains the value.
func (s *series) add(value float64, samples int64) {
	s.reporter.mu.Lock()
	defer s.reporter.mu.Unlock()
	index, _ := slices.BinarySearch(s.bounds, value)
	s.counts[index] += samples
}
