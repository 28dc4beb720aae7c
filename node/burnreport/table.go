package burnreport

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/basilferry/basilferry/core/burn"
)

// WriteTable writes a text table with one row for each objective.
func WriteTable(w io.Writer, r burn.Report) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "burn rates at %s\n", r.At.UTC().Format(time.RFC3339))
	fmt.Fprintln(tw, "kind\tobjective\t5m\t30m\t1h\t6h\tbad/all in 6h\talerts")
	for _, o := range r.Objectives {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", o.Objective.Kind, formatObjective(o.Objective), formatRates(o), formatBadShare(o), formatFiringAlerts(o))
	}
	return tw.Flush()
}

// WriteJSON writes the report as JSON.
func WriteJSON(w io.Writer, r burn.Report) error {
	return json.NewEncoder(w).Encode(r)
}

func formatObjective(o burn.Objective) string {
	// Six digits hide the binary rounding error of targets such as 0.9999.
	text := fmt.Sprintf("%.6g%%", 100*o.Target)
	if o.Latency > 0 {
		text += " within " + o.Latency.String()
	}
	return text
}

func formatRates(o burn.ObjectiveReport) string {
	texts := make([]string, len(o.Windows))
	for i, w := range o.Windows {
		texts[i] = formatRate(w)
	}
	return strings.Join(texts, "\t")
}

// formatRate returns "-" for a window without events, to distinguish it from one
// without bad events.
func formatRate(w burn.Window) string {
	if w.Good+w.Bad == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", w.Rate)
}

func formatBadShare(o burn.ObjectiveReport) string {
	longest := o.Windows[len(o.Windows)-1]
	return fmt.Sprintf("%d/%d", longest.Bad, longest.Good+longest.Bad)
}

func formatFiringAlerts(o burn.ObjectiveReport) string {
	var firing []string
	for _, a := range o.Alerts {
		if a.Firing {
			firing = append(firing, string(a.Severity))
		}
	}
	if len(firing) == 0 {
		return "none"
	}
	return strings.Join(firing, ", ")
}
