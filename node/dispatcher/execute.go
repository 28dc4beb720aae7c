package dispatcher

import (
	"log/slog"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
)

func workerID(key string) domain.WorkerID { return domain.WorkerID(key) }

// execute sends one command and passes its result to the scheduler.
func (t *term) execute(command *scheduler.Command) {
	result := scheduler.Result{Command: command}
	sent := t.d.cfg.Clock.Now()
	if err := t.d.cfg.Guard.Do("command", func() { t.call(command, &result) }, "worker", command.Worker); err != nil {
		// The command may have been carried out.
		result = scheduler.Result{Command: command, Err: err}
	}
	t.d.postForTerm(t, func() {
		now := t.d.cfg.Clock.Now()
		if command.Kind == scheduler.CommandStart {
			t.d.cfg.Metrics.Observe("worker_start", now-sent)
		}
		t.jobScheduler.HandleResult(result, now)
	})
}

// call sends one command and records its result.
func (t *term) call(command *scheduler.Command, result *scheduler.Result) {
	workerClient := t.d.cfg.Platform.WorkerClient
	if result.Err = command.PrepareSend(t.d.cfg.Clock.Now()); result.Err != nil {
		return
	}
	switch command.Kind {
	case scheduler.CommandHeartbeat:
		result.Report, result.Err = workerClient.Heartbeat(t.ctx, command.To, command.Heartbeat)
	case scheduler.CommandStart:
		result.Clock, result.Err = workerClient.Start(t.ctx, command.To, command.Start)
	case scheduler.CommandStop:
		result.Err = workerClient.Stop(t.ctx, command.To, command.Key(), command.Token)
	case scheduler.CommandThrottle:
		result.Err = workerClient.Throttle(t.ctx, command.To, command.Key(), command.Percent, command.Token)
	case scheduler.CommandAdvise:
		result.Advice, result.Err = t.advise(command)
	}
}

// advise asks the policy service for advice about a step.
func (t *term) advise(command *scheduler.Command) (platform.Advice, error) {
	advisor := t.d.cfg.Platform.Advisor
	if advisor == nil {
		return platform.Advice{}, &domain.Error{
			Kind: domain.KindUnavailable, Message: "no policy service is configured", Remedy: "set advice.address",
		}
	}
	return advisor.Advise(t.ctx, command.Step.String(), command.Workers)
}

// reportDecisions logs the decisions since the last call and updates their
// counters.
func (t *term) reportDecisions() {
	decisions, dropped := t.jobScheduler.TakeDecisions()
	for i := range decisions {
		t.logDecision(&decisions[i])
	}
	if dropped > 0 {
		t.d.cfg.Logger.Warn("decisions were dropped and not logged", "count", dropped)
	}
	t.countDecisions()
	for queue, n := range t.jobScheduler.TakeDeferred() {
		t.d.cfg.Metrics.CountDeferred(queue, n)
	}
	for _, stage := range t.jobScheduler.TakeStages() {
		t.d.cfg.Metrics.ObserveStage(string(stage.Stage), stage.Route, stage.Took)
	}
}

func (t *term) logDecision(d *scheduler.Decision) {
	attrs := make([]any, 0, 16)
	add := func(name, value string) {
		if value != "" {
			attrs = append(attrs, slog.String(name, value))
		}
	}
	add("job", string(d.Job))
	add("queue", d.Route)
	add("task", d.Task)
	if d.Attempt > 0 {
		attrs = append(attrs, slog.Int("run", d.Attempt))
	}
	add("worker", string(d.Worker))
	if d.Token > 0 {
		attrs = append(attrs, slog.Int64("token", int64(d.Token)))
	}
	if d.Incarnation > 0 {
		attrs = append(attrs, slog.Int64("incarnation", d.Incarnation))
	}
	add("reason", d.Reason)
	if d.Age > 0 {
		attrs = append(attrs, slog.Int64("age_ms", d.Age.Milliseconds()))
	}
	t.d.cfg.Logger.Info(d.Action, attrs...)
}

func (t *term) countDecisions() {
	now, before := t.jobScheduler.Counters, t.reportedCounters
	t.reportedCounters = now
	m := t.d.cfg.Metrics
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
		{"worker_restarts", now.Restarts - before.Restarts},
		{"job_held", now.Held - before.Held},
		{"account_wait", now.AccountWaits - before.AccountWaits},
		{"account_released", now.AccountReleased - before.AccountReleased},
	} {
		if c.n != 0 {
			m.Count(c.name, c.n)
		}
	}
}
