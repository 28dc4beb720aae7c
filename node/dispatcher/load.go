package dispatcher

import (
	"fmt"
	"log/slog"
	"slices"
	"time"
)

// loadReportInterval is the time between two load reports.
const loadReportInterval = time.Second

const (
	// loadReportsPerEffects is the number of load reports per log entry of the
	// learned interference.
	loadReportsPerEffects = 5
	// minLoggedInterference is the smallest interference that is logged, for a
	// best-effort image that uses all CPU of a worker. Interference is the part
	// that the image adds to 1 - t0/t, where t is the tail latency of the serving
	// image and t0 its tail latency without load.
	minLoggedInterference = 0.1
)

// reportLoad logs the load and sets the gauges, once per loadReportInterval.
func (t *term) reportLoad(now time.Duration) {
	if now-t.lastLoadReport < loadReportInterval {
		return
	}
	t.lastLoadReport = now
	l := t.jobScheduler.Load(now, time.Now().UnixMilli())
	t.d.cfg.Logger.Info("load report",
		slog.Int("jobs", l.Jobs),
		slog.Int("waiting_serving", l.WaitingServing), slog.Int("waiting_filling", l.WaitingBestEffort), slog.Int("waiting_other", l.WaitingRegular),
		slog.Int("running_serving", l.RunningServing), slog.Int("running_filling", l.RunningBestEffort), slog.Int("running_other", l.RunningRegular),
		slog.Int("serving_over", l.ServingOverTarget), slog.Int("over_alone", l.OverTargetAlone),
		slog.Int("serving_workers", l.ServingWorkers), slog.Int("mixed_workers", l.MixedWorkers),
		slog.Int("fill_pace", l.SpeedPercent), slog.Int("fill_cores", int(l.BestEffortCores)), slog.Int("fill_demand", int(l.BestEffortDemand)),
		slog.Int("free_cores", int(l.FreeCores)), slog.Int("workers", l.UsableWorkers), slog.Int("listed", l.Registered))
	if t.loadReports++; t.loadReports%loadReportsPerEffects == 0 {
		t.logEffects()
	}
	m := t.d.cfg.Metrics
	m.Gauge("jobs_open", float64(l.Jobs))
	m.Gauge("tasks_waiting_serving", float64(l.WaitingServing))
	m.Gauge("tasks_waiting_filling", float64(l.WaitingBestEffort))
	m.Gauge("tasks_waiting_other", float64(l.WaitingRegular))
	m.Gauge("tasks_running_serving", float64(l.RunningServing))
	m.Gauge("tasks_running_filling", float64(l.RunningBestEffort))
	m.Gauge("tasks_running_other", float64(l.RunningRegular))
	m.Gauge("tasks_serving_over_target", float64(l.ServingOverTarget))
	m.Gauge("fill_pace_percent", float64(l.SpeedPercent))
	m.Gauge("cores_free", l.FreeCores)
	t.reportAccounts(now)
	t.clearHolds(false)
	m.Gauge("jobs_held", float64(t.jobScheduler.HeldCount()))
	m.Gauge("workers_usable", float64(l.UsableWorkers))
	m.Gauge("workers_listed", float64(l.Registered))
}

// logEffects logs the learned interference of best-effort images with serving
// images. It explains placements and speed limits.
func (t *term) logEffects() {
	var rows []string
	for _, e := range t.jobScheduler.Effects() {
		if e.Interference >= minLoggedInterference {
			rows = append(rows, fmt.Sprintf("%s<%s:%.3f", e.ServingImage, e.BestEffortImage, e.Interference))
		}
	}
	slices.Sort(rows)
	l := t.jobScheduler.ServingLoad()
	t.d.cfg.Logger.Info("interference report", slog.Any("pressure_on_worker", rows), slog.Int64("load_period_ms", l.Period.Milliseconds()),
		slog.Float64("load_mean", l.Mean), slog.Float64("load_swing", l.Amplitude), slog.Int("steps", l.Steps))
}
