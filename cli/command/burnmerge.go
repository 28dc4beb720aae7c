package command

import (
	"math"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/burn"
)

// mergeBurn adds the reports of several nodes up. The result has the latest
// time. Of each kind the objective that comes first is kept. Windows of nodes
// that answered at different moments are taken as equal.
func mergeBurn(reports []burn.Report) burn.Report {
	merged := burn.Report{At: reports[0].At}
	for _, r := range reports {
		if r.At.After(merged.At) {
			merged.At = r.At
		}
		for _, o := range r.Objectives {
			addObjective(&merged, o)
		}
	}
	for i := range merged.Objectives {
		judge(&merged.Objectives[i])
	}
	return merged
}

func addObjective(r *burn.Report, o burn.ObjectiveReport) {
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
		addWindow(own, w)
	}
	// Rates are relative to the budget of their own objective.
	scale := budget(o.Objective) / budget(own.Objective)
	for _, p := range o.Points {
		addPoint(own, p, scale)
	}
}

func budget(o burn.Objective) float64 { return 1 - o.Target }

func addWindow(own *burn.ObjectiveReport, w burn.Window) {
	at := slices.IndexFunc(own.Windows, func(x burn.Window) bool { return x.Length == w.Length })
	if at < 0 {
		own.Windows = append(own.Windows, w)
		return
	}
	own.Windows[at].Good += w.Good
	own.Windows[at].Bad += w.Bad
}

// addPoint adds a point up by its share of events. Points are ordered by time.
func addPoint(own *burn.ObjectiveReport, p burn.Point, scale float64) {
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

// judge computes rates and alerts from the counts.
func judge(o *burn.ObjectiveReport) {
	for i := range o.Windows {
		o.Windows[i].Rate = rate(o.Windows[i], o.Objective)
	}
	for i, a := range o.Alerts {
		o.Alerts[i].Firing = rateOf(o, a.Short) >= a.Threshold && rateOf(o, a.Long) >= a.Threshold
	}
}

func rate(w burn.Window, o burn.Objective) float64 {
	events := w.Good + w.Bad
	if events == 0 {
		return 0
	}
	return float64(w.Bad) / float64(events) / budget(o)
}

func rateOf(o *burn.ObjectiveReport, length time.Duration) float64 {
	for _, w := range o.Windows {
		if w.Length == length {
			return w.Rate
		}
	}
	return math.NaN()
}
