package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets range from responses within a few milliseconds up to the longest
// request deadlines.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond,
	2500 * time.Microsecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	25 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	250 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2500 * time.Millisecond,
	5 * time.Second,
	10 * time.Second,
	30 * time.Second,
}

// metrics are the HTTP metrics listed in docs/metrics.md.
type metrics struct {
	scope         tally.Scope
	inFlight      tally.Gauge
	refused       tally.Counter
	lostResponses tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("http")
	return &metrics{
		scope:         scope,
		inFlight:      scope.Gauge("in_flight"),
		refused:       scope.Counter("refused_total"),
		lostResponses: scope.Counter("lost_answers_total"),
	}
}

// record records one response. The route label is the path template, and methods
// that the API does not use share one label, so that clients cannot create new
// time series.
func (m *metrics) record(route, method string, status int, took time.Duration) {
	m.scope.Tagged(map[string]string{
		"route":  route,
		"method": methodLabel(method),
		"status": strconv.Itoa(status),
	}).Counter("requests_total").Inc(1)
	m.scope.Tagged(map[string]string{"route": route}).
		Histogram("latency_seconds", latencyBuckets).
		RecordDuration(took)
}

func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}
