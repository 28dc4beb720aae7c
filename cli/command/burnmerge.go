package command

import (
	"math"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/burn"
)

// mergeBurnReports adds the reports of several nodes up. The result has the latest
// time. Of each kind the objective that comes first is kept. Windows of nodes
// that answered at different moments are taken as equal.
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
	at := slices.IndexFunc(r.Objectives, func(own burn.ObjectiveReport) bool { return own.Objective.Kind == o.Objective.Kind })
	if at < 0 {
		o.Windows = slices.Clone(o.Windows)
		o.Alerts = slices.Clone(o.Alerts)
		o.Points = slices.Clone(o.Points)
		r.Objectives = append(r.Objectives, o)
		return
	}
	own := &r.Objectives[at]
	for _, w := range o.Windows {
		mergeWindow(own, w)
	}
	// Rates are relative to the budget of their own objective.
	scale := errorBudget(o.Objective) / errorBudget(own.Objective)
	for _, p := range o.Points {
		mergePoint(own, p, scale)
	}
}

func errorBudget(o burn.Objective) float64 { return 1 - o.Target }

func mergeWindow(own *burn.ObjectiveReport, w burn.Window) {
	at := slices.IndexFunc(own.Windows, func(x burn.Window) bool { return x.Length == w.Length })
	if at < 0 {
		own.Windows = append(own.Windows, w)
		return
	}
	own.Windows[at].Good += w.Good
	own.Windows[at].Bad += w.Bad
}

// mergePoint adds a point up by its share of events. Points are ordered by time.
func mergePoint(own *burn.ObjectiveReport, p burn.Point, scale float64) {
	p.Rate *= scale
	at, found := slices.BinarySearchFunc(own.Points, p, func(x, y burn.Point) int { return x.Start.Compare(y.Start) })
	if !found {
		own.Points = slices.Insert(own.Points, at, p)
		return
	}
	sum := &own.Points[at]
	if events := sum.Events + p.Events; events > 0 {
		sum.Rate = (sum.Rate*float64(sum.Events) + p.Rate*float64(p.Events)) / float64(events)
		sum.Events = events
	}
}

// updateRatesAndAlerts computes rates and alerts from the counts.
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

func windowRate(o *burn.ObjectiveReport, length time.Duration) float64 {
	for _, w := range o.Windows {
		if w.Length == length {
			return w.Rate
		}
	}
	return math.NaN()
}
