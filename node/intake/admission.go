package intake

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/basilferry/basilferry/core/backlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/platform"
)

// maxBacklogAge is how long after it was read the owner's backlog is used. A living owner
// with a backlog stores it every 1 to 1.5 s.
const maxBacklogAge = 2 * time.Second

// readBacklog is the owner's backlog and when this node read it, on the node's clock.
type readBacklog struct {
	summary *backlog.Summary
	offset  int64
	at      time.Duration
}

// ObserveRequest takes note of a record of the requests partition after the view has applied
// it. A record of the backlog that cannot be decoded counts as none.
func (in *Intake) ObserveRequest(r platform.KeyedRecord) {
	if r.Key != jobview.LoadKey {
		return
	}
	record, offset := in.cfg.View.Load()
	if known := in.backlog.Load(); known != nil && known.offset == offset {
		return // A record that is read again is no newer.
	}
	lastRead, ok := in.cfg.Requests.LastRead()
	if len(record) == 0 || !ok || in.cfg.Clock.Now()-lastRead > maxBacklogAge {
		// After a gap in the reads, the record may have been written long ago.
		in.backlog.Store(nil)
		return
	}
	summary, err := backlog.Decode(record)
	if err != nil {
		in.cfg.Logger.Warn("backlog of the owner ignored", "offset", offset, "err", err)
	}
	in.backlog.Store(&readBacklog{summary: summary, offset: offset, at: in.cfg.Clock.Now()})
}

// recentBacklog returns the owner's backlog and its age; nil if none is recent enough.
func (in *Intake) recentBacklog() (*backlog.Summary, time.Duration) {
	known := in.backlog.Load()
	if known == nil {
		return nil, 0
	}
	age := in.cfg.Clock.Now() - known.at
	if age > maxBacklogAge {
		return nil, age
	}
	return known.summary, age
}

// checkBacklog returns an *Error of kind KindNotRun if the job would finish too late to have
// any value.
func (in *Intake) checkBacklog(j *job.Job) error {
	summary, age := in.recentBacklog()
	v := backlog.Estimate(j, j.Queue, summary)
	if !v.Refuse {
		return nil
	}
	in.logRefusal(j, v, age)
	if in.cfg.OnTurnedAway != nil {
		in.cfg.OnTurnedAway(j.Queue.Route)
	}
	return &domain.Error{
		Kind: domain.KindNotRun,
		Message: fmt.Sprintf("the job is expected to finish in %.1f s, which is too late for its objective of %.1f s",
			v.Finish.Seconds(), v.Objective.Seconds()),
		Remedy: fmt.Sprintf("send the request again in %.0f s", v.RetryAfter.Seconds()), RetryAfter: v.RetryAfter,
	}
}

// logRefusal logs a refusal with the parts of the estimate. Work is in core-seconds, and the
// rate in core-seconds per second.
func (in *Intake) logRefusal(j *job.Job, v backlog.Verdict, age time.Duration) {
	in.cfg.Logger.Info("refuse",
		slog.String("job", string(j.ID)), slog.String("reason", "backlog"), slog.String("queue", j.Queue.Route), slog.String("account", j.Account),
		slog.Int64("finish_ms", v.Finish.Milliseconds()), slog.Int64("limit_ms", v.Limit.Milliseconds()),
		slog.Int64("objective_ms", v.Objective.Milliseconds()), slog.String("bound", v.Bound.String()),
		slog.Float64("before", v.Bound.Before), slog.Float64("before_certain", v.Bound.Certain),
		slog.Float64("own", v.Bound.Own), slog.Float64("rate", v.Bound.Rate),
		slog.Int64("chain_ms", v.Chain.Milliseconds()), slog.Int("priority", j.Queue.Priority), slog.Int("value_class", v.Class),
		slog.Int64("retry_after_s", int64(v.RetryAfter/time.Second)), slog.Int64("backlog_age_ms", age.Milliseconds()),
		slog.Int64("config", in.cfg.Routes.Version()))
}
