package telemetry

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// contentType is the media type of the Prometheus text format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// ServeHTTP implements http.Handler. It serves all metrics, ordered by name and
// labels.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(r.prometheusText())
}

func (r *Reporter) prometheusText() []byte {
	var b bytes.Buffer
	writeProcessMetrics(&b)
	r.mu.Lock()
	defer r.mu.Unlock()
	writeMetric(&b, Prefix+"_metrics_dropped_series", gaugeKind, float64(r.dropped))
	for _, name := range slices.Sorted(maps.Keys(r.families)) {
		r.families[name].write(&b, name)
	}
	return b.Bytes()
}

func writeMetric(b *bytes.Buffer, name string, k kind, value float64) {
	f := family{kind: k, series: map[string]*series{"": {value: value}}}
	f.write(b, name)
}

func (f *family) write(b *bytes.Buffer, name string) {
	fmt.Fprintf(b, "# TYPE %s %s\n", name, f.kind)
	for _, labels := range slices.Sorted(maps.Keys(f.series)) {
		s := f.series[labels]
		if f.kind == histogramKind {
			s.writeBuckets(b, name, labels)
			continue
		}
		writeSample(b, name, labels, s.value)
	}
}

// writeBuckets writes the cumulative counts of a histogram. There is no _sum
// series, because tally reports only counts.
func (s *series) writeBuckets(b *bytes.Buffer, name, labels string) {
	total := int64(0)
	for i, count := range s.counts {
		total += count
		bound := "+Inf"
		if i < len(s.bounds) {
			bound = formatNumber(s.bounds[i])
		}
		writeSample(b, name+"_bucket", joinLabels(labels, `le="`+bound+`"`), float64(total))
	}
	writeSample(b, name+"_count", labels, float64(total))
}

func writeSample(b *bytes.Buffer, name, labels string, value float64) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	fmt.Fprintf(b, "%s%s %s\n", name, labels, formatNumber(value))
}

func joinLabels(labels, more string) string {
	if labels == "" {
		return more
	}
	return labels + "," + more
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// formatLabels returns the labels in the text format, ordered by name.
func formatLabels(tags map[string]string) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, key+`="`+labelEscaper.Replace(tags[key])+`"`)
	}
	return strings.Join(parts, ",")
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
