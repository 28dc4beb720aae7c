package telemetry

import (
	"bytes"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/settings"
)

// Guards against log lines without the component's name and against secrets in
// log lines.
func TestLogsNameComponentAndRedactSecrets(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		var out bytes.Buffer
		logs, err := NewLogs(&out, settings.Log{Level: "info", Format: format}, "", "t0ken", `a"b\c&<`)
		assert.NilError(t, err)
		logger := logs.Component("engine")
		logger.Debug("hidden")
		logger.Warn("Call failed", "err", errors.New("header t0ken"), "other", `a"b\c&<`)
		line := out.String()
		assert.Assert(t, cmp.Contains(line, "engine"))
		assert.Equal(t, strings.Count(line, redactedText), 2, line)
		assert.Assert(t, !strings.Contains(line, "t0ken") && !strings.Contains(line, "hidden"))
	}
	_, err := NewLogs(nil, settings.Log{Level: "loud", Format: "text"})
	assert.Equal(t, domain.KindOf(err), domain.KindBadRequest)
	_, err = NewLogs(nil, settings.Log{Level: "info", Format: "xml"})
	assert.Equal(t, domain.KindOf(err), domain.KindBadRequest)
}

// Guards against a fault that floods the log, suppresses other faults or is not
// counted, and against memory use that grows with the number of faults.
func TestFaultsAreRateLimitedAndBounded(t *testing.T) {
	var out bytes.Buffer
	logs, err := NewLogs(&out, settings.Log{Level: "info", Format: "text"})
	assert.NilError(t, err)
	now := time.Unix(0, 0)
	f := NewFaults(logs.Component("engine"), func() time.Time { return now }, 10*time.Second)
	for range 100 {
		f.Warn("a", "Worker is unreachable")
	}
	f.Warn("b", "Log is down")
	assert.Equal(t, strings.Count(out.String(), "Worker is unreachable"), faultBurst)
	assert.Equal(t, strings.Count(out.String(), "Log is down"), 1)
	now = now.Add(10 * time.Second)
	f.Warn("a", "Worker is unreachable")
	assert.Assert(t, cmp.Contains(out.String(), "left_out=97"))
	f.Warn("a", "Worker is unreachable")
	f.Flush()
	assert.Assert(t, cmp.Contains(out.String(), "left_out=1"))

	for i := range 3 * maxFaults {
		f.Warn(fmt.Sprint(i), "Many faults")
	}
	assert.Assert(t, len(f.faults) <= maxFaults+1)
	now = now.Add(time.Hour)
	f.Flush()
	f.Warn("new", "New fault")
	assert.Equal(t, len(f.faults), 1)
	f.StandardLog("http").Print("From net/http")
	assert.Assert(t, cmp.Contains(out.String(), "From net/http"))
	var none *Faults
	none.Warn("a", "b")
	none.Flush()
}

func scrape(r *Reporter) string {
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	return text[strings.Index(text, "# TYPE basilferry_metrics_dropped_series"):]
}

// Guards against served values, labels or buckets that differ from the recorded
// ones.
func TestPrometheusText(t *testing.T) {
	r := NewReporter()
	scope, closer := NewScope(r)
	scope = scope.SubScope("http")
	scope.Tagged(map[string]string{"route": "/v1/{id}", "b": "x\"\n\\"}).Counter("requests_total").Inc(3)
	scope.Gauge("in_flight").Update(1.5)
	h := scope.Histogram("latency_seconds", tally.DurationBuckets{time.Millisecond, 2500 * time.Microsecond})
	for _, d := range []time.Duration{time.Millisecond, 2 * time.Millisecond, time.Second} {
		h.RecordDuration(d)
	}
	scope.Histogram("sizes", tally.ValueBuckets{1, 10}).RecordValue(5)
	scope.Timer("took").Record(30 * time.Millisecond)
	assert.NilError(t, closer.Close())
	want := `# TYPE basilferry_metrics_dropped_series gauge
basilferry_metrics_dropped_series 0
# TYPE basilferry_http_in_flight gauge
basilferry_http_in_flight 1.5
# TYPE basilferry_http_latency_seconds histogram
basilferry_http_latency_seconds_bucket{le="0.001"} 1
basilferry_http_latency_seconds_bucket{le="0.0025"} 2
basilferry_http_latency_seconds_bucket{le="+Inf"} 3
basilferry_http_latency_seconds_count 3
# TYPE basilferry_http_requests_total counter
basilferry_http_requests_total{b="x\"\n\\",route="/v1/{id}"} 3
# TYPE basilferry_http_sizes histogram
basilferry_http_sizes_bucket{le="1"} 0
basilferry_http_sizes_bucket{le="10"} 1
basilferry_http_sizes_bucket{le="+Inf"} 1
basilferry_http_sizes_count 1
# TYPE basilferry_http_took histogram
basilferry_http_took_bucket{le="0.001"} 0
basilferry_http_took_bucket{le="0.005"} 0
basilferry_http_took_bucket{le="0.025"} 0
basilferry_http_took_bucket{le="0.1"} 1
basilferry_http_took_bucket{le="0.5"} 1
basilferry_http_took_bucket{le="2.5"} 1
basilferry_http_took_bucket{le="10"} 1
basilferry_http_took_bucket{le="+Inf"} 1
basilferry_http_took_count 1
`
	assert.Equal(t, scrape(r), want)
}

// Guards against memory use that grows with the number of label values.
func TestSeriesBeyondLimitAreDropped(t *testing.T) {
	r := NewReporter()
	for i := range maxSeries + 5 {
		r.AllocateCounter("c", map[string]string{"i": fmt.Sprint(i)}).ReportCount(1)
	}
	r.AllocateGauge("c", nil).ReportGauge(1)
	assert.Assert(t, cmp.Contains(scrape(r), "dropped_series 6\n"))
}
