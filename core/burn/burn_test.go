package burn

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
)

var testStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

var urgentObjective = Objective{Kind: domain.KindUrgent, Target: 0.99, Latency: time.Second}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-9, "got %v, want %v", got, want)
}

// recordEvents records good and bad events once per BucketWidth in [from, to).
func recordEvents(r *Recorder, from, to time.Duration, good, bad int) {
	for at := from; at < to; at += BucketWidth {
		for range good {
			r.Record(testStart.Add(at), domain.KindUrgent, Good)
		}
		for range bad {
			r.Record(testStart.Add(at), domain.KindUrgent, Bad)
		}
	}
}

// Guards against wrong burn rates and alerts. There are 4 events every 30 s. All
// are good until hour 5.5; then 1 of 4 is bad for 30 minutes:
//
//	5 min:  10 bad of 40            -> 0.25 / 0.01            = 25
//	30 min: 60 bad of 240           -> 0.25 / 0.01            = 25
//	1 h:    60 bad of 480           -> 0.125 / 0.01           = 12.5
//	6 h:    60 bad of 2,880         -> 0.0208333 / 0.01       = 2.0833
func TestBurnRatesAndAlertsMatchManualCalculation(t *testing.T) {
	r := NewRecorder([]Objective{urgentObjective})
	recordEvents(r, 0, 330*time.Minute, 4, 0)
	recordEvents(r, 330*time.Minute, 360*time.Minute, 3, 1)
	report := Evaluate(r.Snapshot(testStart.Add(6*time.Hour - time.Second)))
	got := report.Objectives[0]
	for i, want := range []float64{25, 25, 12.5, 100.0 / 48} {
		assertNear(t, got.Windows[i].Rate, want)
	}
	assert.Equal(t, got.Windows[3].Good+got.Windows[3].Bad, uint64(2880))
	assert.Assert(t, !got.Alerts[0].Firing && !got.Alerts[1].Firing)
	assert.Equal(t, len(got.Points), 72)
	assert.Equal(t, got.Points[0].Start, testStart)
	assertNear(t, got.Points[65].Rate, 0)
	assertNear(t, got.Points[66].Rate, 25)

	// After 15 more minutes the 1 h window has 90 bad of 480 -> 18.75. That and
	// the 25 of the 5 min window are above 14.4. The 6 h window has 90 of 2,880
	// -> 3.125, below 6.
	recordEvents(r, 360*time.Minute, 375*time.Minute, 3, 1)
	got = Evaluate(r.Snapshot(testStart.Add(375*time.Minute - time.Second))).Objectives[0]
	assertNear(t, got.Windows[2].Rate, 18.75)
	assertNear(t, got.Windows[3].Rate, 3.125)
	assert.Assert(t, got.Alerts[0].Firing && !got.Alerts[1].Firing)

	// 10 good minutes end the page alert, because the short window has no bad events.
	recordEvents(r, 375*time.Minute, 385*time.Minute, 4, 0)
	got = Evaluate(r.Snapshot(testStart.Add(385*time.Minute - time.Second))).Objectives[0]
	assertNear(t, got.Windows[0].Rate, 0)
	assert.Assert(t, !got.Alerts[0].Firing)
}

// Guards against counting events that are older than the window. An older event
// may have the same position in the ring as a newer one, for example after the
// clock was set back.
func TestIgnoresEventsOutsideLongestWindow(t *testing.T) {
	r := NewRecorder([]Objective{urgentObjective})
	recordEvents(r, 0, time.Hour, 0, 1)
	now := testStart.Add(7 * time.Hour)
	got := Evaluate(r.Snapshot(now)).Objectives[0]
	assert.Equal(t, got.Windows[3].Bad, uint64(0))
	assertNear(t, got.Windows[3].Rate, 0)
	r.Record(now, domain.KindUrgent, Good)
	r.Record(now.Add(-longestWindow), domain.KindUrgent, Bad)
	got = Evaluate(r.Snapshot(now)).Objectives[0]
	assert.Equal(t, got.Windows[3].Good, uint64(1))
	assert.Equal(t, got.Windows[3].Bad, uint64(0))
	r.Record(now, domain.KindWatch, Bad)
	assert.Equal(t, len(r.Snapshot(now).Series), 1)
}

// Guards against a merge that loses or doubles counts, or changes its inputs.
func TestMergeAddsCounts(t *testing.T) {
	expected, a, b := NewRecorder([]Objective{urgentObjective}), NewRecorder([]Objective{urgentObjective}), NewRecorder([]Objective{urgentObjective})
	recordEvents(a, 0, 10*time.Minute, 2, 0)
	recordEvents(b, 5*time.Minute, 15*time.Minute, 1, 1)
	recordEvents(expected, 0, 10*time.Minute, 2, 0)
	recordEvents(expected, 5*time.Minute, 15*time.Minute, 1, 1)
	now := testStart.Add(15*time.Minute - time.Second)
	first := a.Snapshot(now.Add(-time.Minute))
	before := a.Snapshot(now.Add(-time.Minute))
	merged := Merge(first, b.Snapshot(now))
	assert.DeepEqual(t, merged, expected.Snapshot(now))
	assert.DeepEqual(t, first, before)
	assert.DeepEqual(t, Merge(b.Snapshot(now), first), merged)
}

// Guards against outcomes that are classified wrongly.
func TestClassifiesOutcomes(t *testing.T) {
	batch := Objective{Kind: domain.KindBatch, Target: 0.9}
	for _, test := range []struct {
		o     Objective
		state domain.OutcomeState
		took  time.Duration
		want  Verdict
	}{
		{urgentObjective, domain.OutcomeSucceeded, time.Second, Good},
		{urgentObjective, domain.OutcomeSucceeded, time.Second + 1, Bad},
		{urgentObjective, domain.OutcomeNotRun, 0, Bad},
		{urgentObjective, domain.OutcomeUnknown, 0, Bad},
		{urgentObjective, domain.OutcomeRunning, 0, Ignored},
		{urgentObjective, domain.OutcomeCancelled, 0, Ignored},
		{batch, domain.OutcomeRunning, time.Hour, Good},
		{batch, domain.OutcomeAccepted, 0, Ignored},
		{batch, domain.OutcomeFailed, 0, Bad},
	} {
		r := NewRecorder([]Objective{test.o})
		r.Observe(testStart, test.o.Kind, test.state, test.took)
		assert.Equal(t, test.o.Classify(test.state, test.took), test.want)
		assert.Equal(t, len(r.Snapshot(testStart).Series[0].Buckets), min(int(test.want), 1))
	}
}
