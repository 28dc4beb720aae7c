package router

import (
	"context"
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/service"
)

// submission is one request of a caller on its way to an owner.
type submission struct {
	r    *Router
	task domain.Task
	// sendCtx ends at the deadline: no try is made after it. answer ends
	// answerGracePeriod later.
	sendCtx, answerCtx context.Context
	retry              *retry
}

// Submit implements service.Requests.
func (r *Router) Submit(ctx context.Context, req service.SubmitRequest) (domain.Outcome, error) {
	task, err := r.prepareTask(req)
	if err != nil {
		return domain.Outcome{}, err
	}
	if !r.submits.tryAcquire() {
		return domain.Outcome{}, errOverloaded(task.ID)
	}
	defer r.submits.release()
	budget := submitBudget(task)
	answerCtx, cancelAnswerCtx := context.WithTimeout(ctx, budget+answerGracePeriod)
	defer cancelAnswerCtx()
	sendCtx, cancelSendCtx := context.WithTimeout(answerCtx, budget)
	defer cancelSendCtx()
	s := &submission{r: r, task: task, sendCtx: sendCtx, answerCtx: answerCtx, retry: newRetry()}
	if task.ID.IsZero() {
		return s.submitWithoutID()
	}
	return s.submitWithID()
}

// prepareTask checks the request and gives the task the id of its key.
func (r *Router) prepareTask(req service.SubmitRequest) (domain.Task, error) {
	task := req.Task
	if err := task.Validate(); err != nil {
		return domain.Task{}, err
	}
	if limit := time.Duration(r.Limits.MaxDeadline); limit > 0 && task.Deadline > limit {
		return domain.Task{}, &domain.Error{
			Kind:    domain.KindBadRequest,
			Message: fmt.Sprintf("the deadline is %v, the limit is %v", task.Deadline, limit),
			Remedy:  "set deadline_ms within the limit, or submit a batch task",
		}
	}
	if req.Key != "" && !task.ID.IsZero() {
		return domain.Task{}, &domain.Error{
			Kind:    domain.KindBadRequest,
			Message: "the request has both a key and an id",
			Remedy:  "send either Idempotency-Key or Request-Id",
		}
	}
	if req.Key != "" {
		task.ID = r.Ring.KeyID(req.Key)
	}
	if task.ID.IsZero() {
		return task, nil
	}
	return task, r.checkID(task.ID)
}

// submitBudget is how long the request may be on its way. The answer to a
// batch task or watch is due within service.CallTimeout in all.
func submitBudget(task domain.Task) time.Duration {
	if task.Kind == domain.KindUrgent {
		return task.Deadline
	}
	return service.CallTimeout - answerGracePeriod
}

// submitWithID submits a request with a key or a caller's id. It belongs to one
// shard, whoever owns it.
func (s *submission) submitWithID() (domain.Outcome, error) {
	for {
		out, err := s.sendOnce(s.task)
		if !notHandled(err) {
			return s.resolve(s.task.ID, out, err)
		}
		if !s.retry.wait(s.sendCtx) {
			return noOwnerOutcome(s.task.ID, err), nil
		}
	}
}

// sendOnce forwards the task once with what is left of the budget.
func (s *submission) sendOnce(task domain.Task) (domain.Outcome, error) {
	left := remaining(s.sendCtx)
	req := shard.Submitted{Task: task}
	if task.Kind == domain.KindUrgent {
		req.Budget = left
	}
	return s.r.forward(s.answerCtx, task.ID.Shard, req, left)
}

// submitWithoutID submits a request under an id that this node has drawn. As long as no
// owner has taken the request, another id of another shard may be used for it.
func (s *submission) submitWithoutID() (domain.Outcome, error) {
	var id domain.RequestID
	err := errNoShard()
	avoided := make(map[domain.ShardID]bool)
	for {
		c, ok := s.pickShard(avoided)
		if ok {
			var out domain.Outcome
			id, out, err = s.sendWithNewID(c, id)
			if !notHandled(err) {
				return s.resolveReserved(id, out, err)
			}
			s.r.ids.drop(c.shard)
			avoided[c.shard] = true
		}
		if !s.waitForRetry(avoided, ok) {
			return s.notHandledResult(id, err)
		}
	}
}

// pickShard returns the best shard that was not tried in this round.
func (s *submission) pickShard(avoided map[domain.ShardID]bool) (candidate, bool) {
	if len(avoided) >= maxShardsPerRound {
		return candidate{}, false
	}
	for _, c := range s.r.candidates() {
		if !avoided[c.shard] {
			return c, true
		}
	}
	return candidate{}, false
}

// waitForRetry prepares the next try: at once with another shard if the last try had
// one, else after a delay with all shards.
func (s *submission) waitForRetry(avoided map[domain.ShardID]bool, tried bool) bool {
	if tried {
		return s.sendCtx.Err() == nil
	}
	clear(avoided)
	return s.retry.wait(s.sendCtx)
}

// sendWithNewID forwards the task under a fresh id. It returns the id that was last
// tried. A failed draw counts as "not taken": it starts nothing.
func (s *submission) sendWithNewID(c candidate, last domain.RequestID) (domain.RequestID, domain.Outcome, error) {
	id, err := s.r.newID(s.sendCtx, c)
	if err != nil {
		return last, domain.Outcome{}, errNoIDReserved(c.shard, err)
	}
	task := s.task
	task.ID = id
	out, err := s.sendOnce(task)
	return id, out, err
}

// errNoIDReserved is the error of a failed draw. Its kind tells that nothing was
// started.
func errNoIDReserved(id domain.ShardID, cause error) error {
	return &domain.Error{
		Kind:    domain.KindStaleEpoch,
		Message: "shard " + id.String() + " issued no id: " + domain.AsError(cause).Message,
		Remedy:  "try again",
	}
}

func errNoShard() error {
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: "no shard of the own failure domain or of a reachable one takes requests",
		Remedy:  "send the request again, or through a node of another failure domain",
	}
}

// notHandledResult is the result of a request without a caller's id that no owner
// has taken. Without any id there is no outcome to report.
func (s *submission) notHandledResult(id domain.RequestID, cause error) (domain.Outcome, error) {
	if !id.IsZero() {
		return notRunOutcome(id, cause), nil
	}
	return domain.Outcome{}, &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: "no shard took the request: " + domain.AsError(cause).Message,
		Remedy:  "send the request again; it was not started",
	}
}

// resolveReserved is settle for an id that this node drew: if the owner was
// unavailable, nobody else can have submitted the id, so it has not run.
func (s *submission) resolveReserved(id domain.RequestID, out domain.Outcome, err error) (domain.Outcome, error) {
	if err != nil && !peer.IsNoReply(err) && classifyOwnerError(err) == classUnavailable {
		return notRunOutcome(id, err), nil
	}
	return s.resolve(id, out, err)
}

// resolve turns the result of a call that reached the owner into the caller's
// outcome.
func (s *submission) resolve(id domain.RequestID, out domain.Outcome, err error) (domain.Outcome, error) {
	if err == nil {
		return out, nil
	}
	if peer.IsNoReply(err) {
		return s.lookUpLostAnswer(id, err), nil
	}
	switch classifyOwnerError(err) {
	case classRefused, classUnavailable:
		return domain.Outcome{}, err
	case classFinal:
		return finalOutcome(id, err), nil
	}
	return s.lookUpLostAnswer(id, err), nil
}

// lookUpLostAnswer asks the owner, or a new one, what became of a request whose answer
// was lost, until it is settled or the deadline has passed.
func (s *submission) lookUpLostAnswer(id domain.RequestID, cause error) domain.Outcome {
	retry := newRetry()
	for s.answerCtx.Err() == nil {
		out, err := s.r.lookupOnce(s.answerCtx, id)
		if err == nil && s.isAnswer(out.State) {
			return out
		}
		if !retry.wait(s.answerCtx) {
			break
		}
	}
	return lostAnswerOutcome(id, cause)
}

// isAnswer reports whether the state answers the caller: a batch task or watch
// is answered once it is kept.
func (s *submission) isAnswer(state domain.OutcomeState) bool {
	if state.Final() {
		return true
	}
	kept := state == domain.OutcomeAccepted || state == domain.OutcomeRunning
	return kept && s.task.Kind != domain.KindUrgent
}
