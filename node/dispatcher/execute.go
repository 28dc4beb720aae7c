package dispatcher

import (
	"log/slog"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
)

func workerID(key string) domain.WorkerID { return domain.WorkerID(key) }

// execute carries out one order and hands its answer to the machine.
func (o *term) execute(order *scheduler.Command) {
	answer := scheduler.Result{Command: order}
	orders := o.d.cfg.Platform.Commands
	sent := o.d.cfg.Clock.Now()
	switch order.Kind {
	case scheduler.CommandHeartbeat:
		answer.Report, answer.Err = orders.Hold(o.ctx, order.To, order.Hold)
	case scheduler.CommandStart:
		answer.Clock, answer.Err = orders.Start(o.ctx, order.To, order.Start)
	case scheduler.CommandStop:
		answer.Err = orders.Stop(o.ctx, order.To, order.Key(), order.Token)
	case scheduler.CommandThrottle:
		answer.Err = orders.Throttle(o.ctx, order.To, order.Key(), order.Percent, order.Token)
	case scheduler.CommandAdvise:
		answer.Advice, answer.Err = o.advise(order)
	}
	o.d.postForTerm(o, func() {
		now := o.d.cfg.Clock.Now()
		if order.Kind == scheduler.CommandStart {
			o.d.cfg.Metrics.Observe("worker_start", now-sent)
		}
		o.jobScheduler.HandleResult(answer, now)
	})
}

// advise asks the policy service.
func (o *term) advise(order *scheduler.Command) (platform.Advice, error) {
	advisor := o.d.cfg.Platform.Advisor
	if advisor == nil {
		return platform.Advice{}, &domain.Error{
			Kind: domain.KindUnavailable, Message: "the settings name no policy service", Remedy: "set advice.address",
		}
	}
	return advisor.Advise(o.ctx, order.Step.String(), order.Workers)
}

// reportDecisions logs the decisions and counts them.
func (o *term) reportDecisions() {
	decisions, dropped := o.jobScheduler.TakeDecisions()
	for i := range decisions {
		o.logDecision(&decisions[i])
	}
	if dropped > 0 {
		o.d.cfg.Logger.Warn("decisions not logged", "count", dropped)
	}
	o.countDecisions()
}

func (o *term) logDecision(d *scheduler.Decision) {
	attrs := make([]any, 0, 16)
	add := func(name, value string) {
		if value != "" {
			attrs = append(attrs, slog.String(name, value))
		}
	}
	add("job", string(d.Job))
	add("task", d.Task)
	if d.Run > 0 {
		attrs = append(attrs, slog.Int("run", d.Run))
	}
	add("worker", string(d.Worker))
	add("reason", d.Reason)
	if d.Age > 0 {
		attrs = append(attrs, slog.Int64("age_ms", d.Age.Milliseconds()))
	}
	o.d.cfg.Logger.Info(d.Action, attrs...)
}

func (o *term) countDecisions() {
	now, before := o.jobScheduler.Counters, o.reportedCounters
	o.reportedCounters = now
	m := o.d.cfg.Metrics
	for _, c := range []struct {
		name string
		n    int64
	}{
		{"placed", now.Placed - before.Placed},
		{"started", now.Started - before.Started},
		{"start_refused", now.Refused - before.Refused},
		{"start_unresolved", now.Unresolved - before.Unresolved},
		{"run_lost", now.Lost - before.Lost},
		{"run_done", now.Done - before.Done},
		{"run_failed", now.Failed - before.Failed},
		{"run_stopped", now.Stopped - before.Stopped},
		{"run_lapsed", now.Expired - before.Expired},
		{"holds", now.Heartbeats - before.Heartbeats},
		{"paced", now.Throttled - before.Throttled},
		{"run_moved", now.Moved - before.Moved},
	} {
		if c.n != 0 {
			m.Count(c.name, c.n)
		}
	}
}
