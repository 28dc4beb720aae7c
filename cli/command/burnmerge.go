package command

import (
	"math"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/burn"
)

// mergeBurnReports merges the reports of several nodes into one with the sums of
// their counts. The result has the latest time of the reports and, for each kind,
// the objective of the first report that has one. Windows of the same length are
// added up although the nodes responded at slightly different times.
func mergeBurnReports(reports []burn.Report) burn.Report {
	merged := burn.Report{At: reports[0].At}
	for _, r := range reports {
		if r.At.After(merged.At) {
			merged.At = r.At
		}
		for _, o := range r.Objectives {
			mergeObjective(&merged, o)
		}
	}
	for i := range merged.Objectives {
		updateRatesAndAlerts(&merged.Objectives[i])
	}
	return merged
}

func mergeObjective(r *burn.Report, o burn.ObjectiveReport) {
	at := slices.IndexFunc(r.Objectives, func(merged burn.ObjectiveReport) bool { return merged.Objective.Kind == o.Objective.Kind })
	if at < 0 {
		o.Windows = slices.Clone(o.Windows)
		o.Alerts = slices.Clone(o.Alerts)
		o.Points = slices.Clone(o.Points)
		r.Objectives = append(r.Objectives, o)
		return
	}
	merged := &r.Objectives[at]
	for _, w := range o.Windows {
		mergeWindow(merged, w)
	}
	// A burn rate is relative to the error budget of its own objective. The
	// objectives of two nodes can differ, so the rates are converted.
	scale := errorBudget(o.Objective) / errorBudget(merged.Objective)
	for _, p := range o.Points {
		mergePoint(merged, p, scale)
	}
}

func errorBudget(o burn.Objective) float64 { return 1 - o.Target }

func mergeWindow(merged *burn.ObjectiveReport, w burn.Window) {
	at := slices.IndexFunc(merged.Windows, func(x burn.Window) bool { return x.Length == w.Length })
	if at < 0 {
		merged.Windows = append(merged.Windows, w)
		return
	}
	merged.Windows[at].Good += w.Good
	merged.Windows[at].Bad += w.Bad
}

// mergePoint adds a point, with its rate multiplied by scale, to the points, which
// are sorted by time. The rates of two points with the same start are averaged,
// weighted by their numbers of events.
func mergePoint(merged *burn.ObjectiveReport, p burn.Point, scale float64) {
	p.Rate *= scale
	at, found := slices.BinarySearchFunc(merged.Points, p, func(x, y burn.Point) int { return x.Start.Compare(y.Start) })
	if !found {
		merged.Points = slices.Insert(merged.Points, at, p)
		return
	}
	sum := &merged.Points[at]
	if events := sum.Events + p.Events; events > 0 {
		sum.Rate = (sum.Rate*float64(sum.Events) + p.Rate*float64(p.Events)) / float64(events)
		sum.Events = events
	}
}

// updateRatesAndAlerts computes the burn rates of the windows and the states of the
// alerts from the merged counts.
func updateRatesAndAlerts(o *burn.ObjectiveReport) {
	for i := range o.Windows {
		o.Windows[i].Rate = burnRate(o.Windows[i], o.Objective)
	}
	for i, a := range o.Alerts {
		o.Alerts[i].Firing = windowRate(o, a.Short) >= a.Threshold && windowRate(o, a.Long) >= a.Threshold
	}
}

func burnRate(w burn.Window, o burn.Objective) float64 {
	events := w.Good + w.Bad
	if events == 0 {
		return 0
	}
	return float64(w.Bad) / float64(events) / errorBudget(o)
}

// windowRate returns the burn rate of the window of the given length. It returns
// NaN if there is no such window, so that no alert fires.
func windowRate(o *burn.ObjectiveReport, length time.Duration) float64 {
	for _, w := range o.Windows {
		if w.Length == length {
			return w.Rate
		}
	}
	return math.NaN()
}
