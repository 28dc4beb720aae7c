package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/basilferry/basilferry/core/domain"
)

// Range and precision of the latency histograms, in microseconds.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 120_000_000
	latencySignificantDigits = 3

	// maxExamples limits the number of failed calls and wrong answers in
	// Report.Examples.
	maxExamples = 5
)

// KindReport holds the results of one kind of task as the clients saw them.
type KindReport struct {
	Kind     domain.Kind
	Sent     int
	Outcomes map[domain.OutcomeState]int
	// Errors counts calls without an outcome by kind of error.
	Errors map[domain.ErrorKind]int
	// P50 to Max are quantiles of the time from the call to its answer.
	P50, P99, P999, Max time.Duration
}

// Report is the result of a load run.
type Report struct {
	Kinds []KindReport
	// BatchFinished counts the outcomes of accepted batch tasks.
	BatchFinished map[domain.OutcomeState]int
	// BatchUnfinished is the number of accepted batch tasks that had not finished
	// when the run ended.
	BatchUnfinished int
	// WatchesRunning is the number of accepted watches that were running at the end,
	// of WatchesAccepted in total.
	WatchesRunning, WatchesAccepted int
	// WrongAnswers counts answers that did not match their requests.
	WrongAnswers int
	// Examples describes the first failed calls and wrong answers.
	Examples []string
}

// results collects the results of a load run.
type results struct {
	mu      sync.Mutex
	kinds   map[domain.Kind]*KindReport
	latency map[domain.Kind]*hdrhistogram.Histogram
	totals  Report
}

func newResults() *results {
	return &results{
		kinds:   map[domain.Kind]*KindReport{},
		latency: map[domain.Kind]*hdrhistogram.Histogram{},
		totals:  Report{BatchFinished: map[domain.OutcomeState]int{}},
	}
}

func (r *results) kindReport(k domain.Kind) *KindReport {
	kr, ok := r.kinds[k]
	if !ok {
		kr = &KindReport{Kind: k, Outcomes: map[domain.OutcomeState]int{}, Errors: map[domain.ErrorKind]int{}}
		r.kinds[k] = kr
		r.latency[k] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
	}
	return kr
}

func (r *results) recordOutcome(k domain.Kind, state domain.OutcomeState, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kr := r.kindReport(k)
	kr.Sent++
	kr.Outcomes[state]++
	// The histogram rejects values above its range, so they are recorded as the
	// maximum.
	_ = r.latency[k].RecordValue(min(took.Microseconds(), maxLatencyMicros))
}

func (r *results) recordError(k domain.Kind, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kr := r.kindReport(k)
	kr.Sent++
	kr.Errors[domain.KindOf(err)]++
	if len(r.totals.Examples) < maxExamples {
		r.totals.Examples = append(r.totals.Examples, err.Error())
	}
}

func (r *results) recordWrongAnswer(example string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.WrongAnswers++
	if len(r.totals.Examples) < maxExamples {
		r.totals.Examples = append(r.totals.Examples, example)
	}
}

func (r *results) recordBatchOutcome(state domain.OutcomeState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.BatchFinished[state]++
}

func (r *results) setBatchUnfinished(n int) { r.totals.BatchUnfinished = n }

func (r *results) setWatches(running, accepted int) {
	r.totals.WatchesRunning, r.totals.WatchesAccepted = running, accepted
}

func (r *results) report() Report {
	report := r.totals
	for _, k := range []domain.Kind{domain.KindUrgent, domain.KindBatch, domain.KindWatch} {
		kr, ok := r.kinds[k]
		if !ok {
			continue
		}
		h := r.latency[k]
		kr.P50 = microseconds(h.ValueAtQuantile(50))
		kr.P99 = microseconds(h.ValueAtQuantile(99))
		kr.P999 = microseconds(h.ValueAtQuantile(99.9))
		kr.Max = microseconds(h.Max())
		report.Kinds = append(report.Kinds, *kr)
	}
	return report
}

func microseconds(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// Write writes the report as a table and a summary.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "kind\tsent\toutcomes\tp50\tp99\tp99.9\tmax")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\n", k.Kind, k.Sent, k.formatOutcomes(), k.P50, k.P99, k.P999, k.Max)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "accepted batch tasks: %s, not ended: %d\n", formatCounts(r.BatchFinished), r.BatchUnfinished)
	fmt.Fprintf(w, "watches running: %d of %d\n", r.WatchesRunning, r.WatchesAccepted)
	_, err := fmt.Fprintf(w, "wrong answers: %d\n", r.WrongAnswers)
	for _, e := range r.Examples {
		fmt.Fprintln(w, "  ", e)
	}
	return err
}

func (k KindReport) formatOutcomes() string {
	text := formatCounts(k.Outcomes)
	if len(k.Errors) > 0 {
		text += " errors: " + formatCounts(k.Errors)
	}
	return text
}

func formatCounts[K ~string](m map[K]int) string {
	text := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if text != "" {
			text += " "
		}
		text += fmt.Sprintf("%s=%d", k, m[k])
	}
	if text == "" {
		return "none"
	}
	return text
}
