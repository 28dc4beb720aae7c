package burn

import "time"

// Severity says how urgent an alert is.
type Severity string

// Values of Severity. The durations hold at the threshold of the alert rule.
const (
	// Page asks for immediate action: the 30-day budget would last about two days.
	Page Severity = "page"
	// Ticket asks for action within a day: the 30-day budget would last five
	// days.
	Ticket Severity = "ticket"
)

// alertRule fires while the burn rates of both windows are at or above the
// threshold. The long window shows that a significant part of the budget is
// spent, the short one that the problem continues.
type alertRule struct {
	severity    Severity
	short, long time.Duration
	threshold   float64
}

// The thresholds are reached if 2% of a 30-day budget is spent in 1 h, or 5% in
// 6 h.
var alertRules = []alertRule{
	{Page, 5 * time.Minute, time.Hour, 14.4},
	{Ticket, 30 * time.Minute, 6 * time.Hour, 6},
}

var windowLengths = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, longestWindow}

// pointWidth is the resolution of the plotted burn rate.
const pointWidth = 5 * time.Minute

// Window has the counts of a time window that ends at the time of the report.
type Window struct {
	Length time.Duration `json:"length_ns"`
	Good   uint64        `json:"good"`
	Bad    uint64        `json:"bad"`
	// Rate is the burn rate, or 0 if there were no events.
	Rate float64 `json:"rate"`
}

// Alert is the state of one alert rule. It fires while the burn rates of its short
// and its long window are both at or above the threshold.
type Alert struct {
	Severity  Severity      `json:"severity"`
	Short     time.Duration `json:"short_ns"`
	Long      time.Duration `json:"long_ns"`
	Threshold float64       `json:"threshold"`
	Firing    bool          `json:"firing"`
}

// Point is the burn rate of the pointWidth interval that starts at Start.
type Point struct {
	Start  time.Time `json:"start"`
	Events uint64    `json:"events"`
	Rate   float64   `json:"rate"`
}

// ObjectiveReport is the state of one objective.
type ObjectiveReport struct {
	Objective Objective `json:"objective"`
	// Windows are ordered from short to long.
	Windows []Window `json:"windows"`
	Alerts  []Alert  `json:"alerts"`
	// Points cover the longest window, oldest first.
	Points []Point `json:"points"`
}

// Report is the state of all objectives at one time.
type Report struct {
	At         time.Time         `json:"at"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// Evaluate computes the windows, alerts and points of a snapshot.
func Evaluate(s Snapshot) Report {
	report := Report{At: s.At}
	for _, series := range s.Series {
		report.Objectives = append(report.Objectives, series.evaluate(s.At))
	}
	return report
}

func (s Series) evaluate(now time.Time) ObjectiveReport {
	r := ObjectiveReport{Objective: s.Objective, Points: s.points(now)}
	for _, length := range windowLengths {
		r.Windows = append(r.Windows, s.window(now, length))
	}
	for _, rule := range alertRules {
		r.Alerts = append(r.Alerts, s.alert(now, rule))
	}
	return r
}

func (s Series) window(now time.Time, length time.Duration) Window {
	last := indexOf(now)
	w := Window{Length: length}
	w.Good, w.Bad = s.count(last-int64(length/BucketWidth), last)
	w.Rate = s.rate(w.Good, w.Bad)
	return w
}

// count adds up the buckets with an index in (after, last].
func (s Series) count(after, last int64) (good, bad uint64) {
	for _, b := range s.Buckets {
		if b.Index > after && b.Index <= last {
			good += b.Good
			bad += b.Bad
		}
	}
	return good, bad
}

func (s Series) rate(good, bad uint64) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / s.Objective.budget()
}

func (s Series) alert(now time.Time, r alertRule) Alert {
	firing := s.window(now, r.short).Rate >= r.threshold && s.window(now, r.long).Rate >= r.threshold
	return Alert{Severity: r.severity, Short: r.short, Long: r.long, Threshold: r.threshold, Firing: firing}
}

func (s Series) points(now time.Time) []Point {
	perPoint := int64(pointWidth / BucketWidth)
	last := indexOf(now)
	var points []Point
	for after := last - ringSize; after < last; after += perPoint {
		good, bad := s.count(after, after+perPoint)
		points = append(points, Point{
			Start:  time.Unix((after+1)*int64(BucketWidth/time.Second), 0).UTC(),
			Events: good + bad,
			Rate:   s.rate(good, bad),
		})
	}
	return points
}
