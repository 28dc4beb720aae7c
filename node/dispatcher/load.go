package dispatcher

import (
	"log/slog"
	"time"
)

// loadInterval is the time between two summaries of the load.
const loadInterval = time.Second

// summarize logs the load and sets the gauges, once in a while.
func (o *office) summarize(now time.Duration) {
	if now-o.lastLoad < loadInterval {
		return
	}
	o.lastLoad = now
	l := o.machine.Load(now, time.Now().UnixMilli())
	o.d.cfg.Logger.Info("load",
		slog.Int("jobs", l.Jobs),
		slog.Int("waiting_serving", l.WaitingServing), slog.Int("waiting_filling", l.WaitingFilling), slog.Int("waiting_other", l.WaitingOther),
		slog.Int("running_serving", l.RunningServing), slog.Int("running_filling", l.RunningFilling), slog.Int("running_other", l.RunningOther),
		slog.Int("serving_over", l.ServingOver), slog.Int("over_alone", l.OverAlone),
		slog.Int("fill_pace", l.Pace), slog.Int("fill_cores", int(l.FillCores)), slog.Int("fill_demand", int(l.FillDemand)),
		slog.Int("free_cores", int(l.FreeCores)), slog.Int("workers", l.Workers), slog.Int("listed", l.Listed))
	m := o.d.cfg.Metrics
	m.Gauge("jobs_open", float64(l.Jobs))
	m.Gauge("tasks_waiting_serving", float64(l.WaitingServing))
	m.Gauge("tasks_waiting_filling", float64(l.WaitingFilling))
	m.Gauge("tasks_waiting_other", float64(l.WaitingOther))
	m.Gauge("tasks_running_serving", float64(l.RunningServing))
	m.Gauge("tasks_running_filling", float64(l.RunningFilling))
	m.Gauge("tasks_running_other", float64(l.RunningOther))
	m.Gauge("tasks_serving_over_target", float64(l.ServingOver))
	m.Gauge("fill_pace_percent", float64(l.Pace))
	m.Gauge("cores_free", l.FreeCores)
	m.Gauge("workers_usable", float64(l.Workers))
	m.Gauge("workers_listed", float64(l.Listed))
}
