package burnreport

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/basilferry/basilferry/core/burn"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// Size of a plot in SVG units, without its margins.
const (
	plotWidth  = 720
	plotHeight = 120
	// minPlotRate is the minimum burn rate at the top of a plot. It is above the
	// alert thresholds, so that they are inside the plot.
	minPlotRate = 16.0
)

type pageView struct {
	At         string
	Objectives []objectiveView
}

type objectiveView struct {
	Kind, Goal, Share, Alerts string
	Firing                    bool
	Windows                   []windowView
	Plot                      plotView
}

type windowView struct{ Length, Rate string }

// plotView is a plot of the burn rates of one objective. Coordinates grow to the
// right and downwards.
type plotView struct {
	Width, Height int
	Line          string
	Thresholds    []thresholdView
	// From and To are the times at the left and right ends, and Top is the burn
	// rate at the top.
	From, To, Top string
}

type thresholdView struct {
	Y    string
	Text string
}

// WriteHTML writes a page with inline styles and SVG plots.
func WriteHTML(w io.Writer, r burn.Report) error {
	view := pageView{At: r.At.UTC().Format(time.RFC3339)}
	for _, o := range r.Objectives {
		view.Objectives = append(view.Objectives, newObjectiveView(o))
	}
	return page.Execute(w, view)
}

func newObjectiveView(o burn.ObjectiveReport) objectiveView {
	v := objectiveView{
		Kind:   string(o.Objective.Kind),
		Goal:   formatObjective(o.Objective),
		Share:  formatBadShare(o),
		Alerts: formatFiringAlerts(o),
		Plot:   newPlotView(o),
	}
	for _, a := range o.Alerts {
		v.Firing = v.Firing || a.Firing
	}
	for _, w := range o.Windows {
		v.Windows = append(v.Windows, windowView{Length: formatLength(w.Length), Rate: formatRate(w)})
	}
	return v
}

// formatLength formats a duration as a whole number of hours or minutes.
func formatLength(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%d h", d/time.Hour)
	}
	return fmt.Sprintf("%d min", d/time.Minute)
}

func newPlotView(o burn.ObjectiveReport) plotView {
	top := minPlotRate
	for _, p := range o.Points {
		top = max(top, p.Rate)
	}
	v := plotView{Width: plotWidth, Height: plotHeight, Line: polylinePoints(o.Points, top), Top: fmt.Sprintf("%.0f", top)}
	for _, a := range o.Alerts {
		text := fmt.Sprintf("%s %g", a.Severity, a.Threshold)
		v.Thresholds = append(v.Thresholds, thresholdView{Y: formatCoordinate(plotY(a.Threshold, top)), Text: text})
	}
	if len(o.Points) > 0 {
		v.From = formatClock(o.Points[0].Start)
		v.To = formatClock(o.Points[len(o.Points)-1].Start)
	}
	return v
}

// polylinePoints returns the points attribute of an SVG polyline.
func polylinePoints(points []burn.Point, top float64) string {
	var sb strings.Builder
	step := float64(plotWidth) / float64(max(len(points)-1, 1))
	for i, p := range points {
		fmt.Fprintf(&sb, "%s,%s ", formatCoordinate(float64(i)*step), formatCoordinate(plotY(p.Rate, top)))
	}
	return strings.TrimSpace(sb.String())
}

func plotY(rate, top float64) float64 { return plotHeight * (1 - rate/top) }

func formatCoordinate(f float64) string { return fmt.Sprintf("%.1f", f) }

func formatClock(t time.Time) string { return t.UTC().Format("15:04") + " UTC" }
