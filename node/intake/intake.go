package intake

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/backlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/steady"
	"github.com/basilferry/basilferry/node/storelog"
)

const (
	// catchUpTimeout is the longest wait for the requests that were stored before a
	// client asked for a job that is not known.
	catchUpTimeout = 1500 * time.Millisecond
	// stateRefreshTimeout is the longest wait for the latest state of an unfinished
	// job. A read takes about 10 ms, and a slightly older state is also a correct
	// answer.
	stateRefreshTimeout = 40 * time.Millisecond
	// storeUnreachableAfter is the time since the last complete read after which new
	// jobs are refused without an append, which would only delay the response.
	storeUnreachableAfter = 2500 * time.Millisecond
	// retryAfterOutage is the retry delay for clients of a node that cannot serve
	// them. An outage of the store lasts seconds, and another node may reach it
	// now.
	retryAfterOutage = time.Second
)

// Config configures an Intake.
type Config struct {
	Routes *Routes
	View   *jobview.View
	// Requests is the follower of the requests partition, and Required the followers
	// that must be up to date for the node to be ready.
	Requests *storelog.Follower
	Required []*storelog.Follower
	// Newest returns the follower that reads the newest states; nil if the view has
	// them already.
	Newest    func() *storelog.Follower
	Committer *storelog.Committer
	// Limits are the sizes that the store accepts.
	Limits platform.StoreLimits
	// OnCommit is called with each record that this node has committed.
	OnCommit func(platform.KeyedRecord)
	// ConfigKnown returns the time for which the newest version of the configuration is
	// certainly known; ok is false before the first complete read.
	ConfigKnown func() (at time.Duration, ok bool)
	// MaxConfigAge is the time since ConfigKnown after which requests that need a key are
	// refused; 0 for no limit.
	MaxConfigAge time.Duration
	// Count adds to the counter of the named decision; nil for no counters.
	Count func(name string, n int64)
	// OnTurnedAway is called with the queue of each job that is refused because of the
	// backlog. It may be nil.
	OnTurnedAway func(queue string)
	Clock        *steady.Clock
	Logger       *slog.Logger
}

// Intake handles the client requests of one node.
type Intake struct {
	cfg Config
	// rejectedKeys and staleConfig limit the log lines of the refusals of Authorize.
	rejectedKeys, staleConfig refusalLog
	// backlog is the newest known backlog of the owner; nil if there is none.
	backlog atomic.Pointer[readBacklog]
}

// New returns an intake.
func New(cfg Config) *Intake { return &Intake{cfg: cfg} }

// Limits returns the request limits in force.
func (in *Intake) Limits() platform.RequestLimits { return in.cfg.Routes.Limits() }

// Submit stores a job. It returns nil if the job is accepted or was accepted
// before. A job that was cancelled before is accepted as a cancelled one. An *Error of
// kind KindNotRun means that the job is not accepted and never runs, and one of kind
// KindKeyConflict that its id belongs to a job of another account.
func (in *Intake) Submit(ctx context.Context, j *job.Job) error {
	if _, _, known := in.cfg.View.State(j.ID); known {
		if !in.mayAccess(j.ID, j.Account) {
			return in.refuseID(j.ID)
		}
		in.logRequest("submit", j.ID, "already accepted", nil)
		return nil
	}
	if err := in.checkStoreReachable(j.ID); err != nil {
		in.logRequest("refuse", j.ID, "store unreachable", err)
		return err
	}
	if err := in.checkGangs(j); err != nil {
		in.logRequest("refuse", j.ID, "gang above the limit of its account", err)
		return err
	}
	if err := in.checkBacklog(j); err != nil {
		return err
	}
	record, err := in.acceptanceRecord(j)
	if err != nil {
		in.logRequest("refuse", j.ID, "too large", err)
		return err
	}
	err = in.commit(ctx, record)
	if err != nil {
		in.logRequest("submit failed", j.ID, "store", err)
		return err
	}
	if !in.mayAccess(j.ID, j.Account) {
		return in.refuseID(j.ID) // The job of the other account was read meanwhile.
	}
	reason := "stored"
	if in.cfg.View.IsCancelled(j.ID) {
		reason = "stored, and cancelled before"
	}
	in.logRequest("accept", j.ID, reason, nil)
	return nil
}

// acceptanceRecord returns the record of a job, or an *Error of kind KindNotRun if the job
// is too large.
func (in *Intake) acceptanceRecord(j *job.Job) (platform.KeyedRecord, error) {
	if err := j.CheckTotal(); err != nil {
		return platform.KeyedRecord{}, err
	}
	value, err := ledger.EncodeJob(j)
	if err != nil {
		return platform.KeyedRecord{}, &domain.Error{Kind: domain.KindBadRequest, Message: err.Error(), Remedy: "send a smaller job"}
	}
	record := platform.KeyedRecord{Key: jobview.Key(jobview.KindJob, j.ID), Value: value}
	if size := platform.EncodedSize(record); in.cfg.Limits.Record > 0 && size > in.cfg.Limits.Record {
		return platform.KeyedRecord{}, &domain.Error{
			Kind: domain.KindNotRun, Message: fmt.Sprintf("the description of the job takes %d bytes", size),
			Remedy: fmt.Sprintf("send at most %d bytes, with fewer steps or dependencies", in.cfg.Limits.Record),
		}
	}
	return record, nil
}

func (in *Intake) commit(ctx context.Context, r platform.KeyedRecord) error {
	r.Offset = platform.UnknownOffset
	if err := in.cfg.Committer.Commit(ctx, r); err != nil {
		return err
	}
	if err := in.cfg.View.Apply(r); err != nil {
		in.cfg.Logger.Error("committed record cannot be applied to the read model", "key", r.Key, "err", err)
	}
	in.cfg.OnCommit(r)
	return nil
}

// checkStoreReachable returns an error immediately if the last complete read was
// too long ago.
func (in *Intake) checkStoreReachable(id job.ID) error {
	lastRead, ok := in.cfg.Requests.LastRead()
	if ok && in.cfg.Clock.Now()-lastRead < storeUnreachableAfter {
		return nil
	}
	return &domain.Error{
		Kind: domain.KindNotRun, Message: "the store cannot be reached from this node",
		Remedy: "send the request again, if possible to another node", RetryAfter: backlog.RetryAfterUnreachable(id),
	}
}

// State returns the state of a job for a client of the given account, which is empty for
// none. It returns an *Error of kind KindNotFound if no such job had been accepted by any
// node before the call or the job belongs to another account, and of kind KindUnavailable
// if that cannot be determined.
func (in *Intake) State(ctx context.Context, id job.ID, account string) (job.State, error) {
	state, err := in.state(ctx, id)
	if err == nil && !in.mayAccess(id, account) {
		in.logRequest("no such job", id, "it belongs to another account", nil)
		return "", jobNotFound(id)
	}
	return state, err
}

func (in *Intake) state(ctx context.Context, id job.ID) (job.State, error) {
	if state, _, ok := in.cfg.View.State(id); ok {
		if state.IsFinal() {
			return state, nil
		}
		if newest := in.cfg.Newest(); newest != nil {
			newest.Refresh(ctx, stateRefreshTimeout)
			state, _, _ = in.cfg.View.State(id)
		}
		return state, nil
	}
	if err := in.catchUp(ctx); err != nil {
		in.logRequest("existence unknown", id, "requests not read to their end", err)
		return "", err
	}
	if state, _, ok := in.cfg.View.State(id); ok {
		return state, nil
	}
	in.logRequest("no such job", id, "requests read to their end", nil)
	return "", jobNotFound(id)
}

func jobNotFound(id job.ID) error {
	return &domain.Error{
		Kind: domain.KindNotFound, Message: "there is no job " + string(id), Remedy: "check the id, or submit the job",
		RequestID: string(id),
	}
}

// catchUp waits until the read model contains all jobs that were accepted before the call.
func (in *Intake) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := in.cfg.Requests.CatchUp(ctx); err != nil {
		return &domain.Error{
			Kind: domain.KindUnavailable, Message: "it is unknown whether the job exists, because the store cannot be read: " + err.Error(),
			Remedy: "send the request again, if possible to another node", RetryAfter: retryAfterOutage,
		}
	}
	return nil
}

// Cancel cancels a job for a client of the given account, which is empty for none. It has
// no effect on a finished job. It returns an *Error of kind KindNotFound if no such job had
// been accepted before the call, and none that is accepted later under this id will run;
// and for a job of another account, on which it has no effect. Of other errors, KindOutcomeUnknown and KindInternal leave
// open whether the job is cancelled, and the others mean that it is not.
func (in *Intake) Cancel(ctx context.Context, id job.ID, account string) error {
	state, err := in.state(ctx, id)
	switch {
	case domain.KindOf(err) == domain.KindNotFound:
		return in.cancelUnknown(ctx, id)
	case err != nil:
		return err
	case !in.mayAccess(id, account):
		in.logRequest("cancel", id, "refused, it belongs to another account", nil)
		return jobNotFound(id)
	case state.IsFinal():
		in.logRequest("cancel", id, "already "+string(state), nil)
		return nil
	}
	err = in.storeCancel(ctx, id)
	in.logRequest("cancel", id, "requested by the client", err)
	return err
}

// cancelUnknown stores the cancellation of a job that has not been accepted. Its request,
// or an append of its acceptance whose outcome is unknown, may still be on the way.
func (in *Intake) cancelUnknown(ctx context.Context, id job.ID) error {
	if in.cfg.View.IsCancelled(id) {
		in.logRequest("cancel", id, "cancelled before, and no such job since", nil)
		return jobNotFound(id)
	}
	if err := in.storeCancel(ctx, id); err != nil {
		in.logRequest("cancel", id, "no such job yet", err)
		return err
	}
	in.logRequest("cancel", id, "no such job, and a later one is void", nil)
	return jobNotFound(id)
}

func (in *Intake) storeCancel(ctx context.Context, id job.ID) error {
	return in.commit(ctx, platform.KeyedRecord{Key: jobview.Key(jobview.KindCancel, id), Value: []byte{1}})
}

// PendingCount returns the number of accepted jobs of the queue that have not started.
func (in *Intake) PendingCount(q job.Queue) int { return in.cfg.View.PendingCount(q.Route) }

// Ready reports whether the node can serve clients.
func (in *Intake) Ready() bool {
	if in.cfg.Routes.Version() == 0 {
		return false
	}
	if tooOld := in.configTooOld(); tooOld && in.cfg.Routes.Accounts() != nil {
		return false
	}
	for _, f := range in.cfg.Required {
		if lastRead, ok := f.LastRead(); !ok || in.cfg.Clock.Now()-lastRead > 2*storeUnreachableAfter {
			return false
		}
	}
	return true
}

func (in *Intake) logRequest(message string, id job.ID, reason string, err error) {
	attrs := []any{slog.String("job", string(id)), slog.String("reason", reason), slog.Int64("config", in.cfg.Routes.Version())}
	if lastRead, ok := in.cfg.Requests.LastRead(); ok {
		attrs = append(attrs, slog.Int64("view_age_ms", (in.cfg.Clock.Now()-lastRead).Milliseconds()))
	}
	if err != nil {
		attrs = append(attrs, slog.String("err", err.Error()))
	}
	in.cfg.Logger.Info(message, attrs...)
}
