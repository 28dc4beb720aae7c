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

// submission is one client request while it is routed to the owner of a shard.
type submission struct {
	r    *Router
	task domain.Task
	// sendCtx ends at the deadline; the request is not sent after it. answerCtx
	// ends answerGracePeriod later.
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

// prepareTask validates the request and derives the task's id from the key, if
// there is one.
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
		task.ID = r.Ring.RequestIDForKey(req.Key)
	}
	if task.ID.IsZero() {
		return task, nil
	}
	return task, r.checkID(task.ID)
}

// submitBudget returns how long the router may try to submit the request. The
// answer to a batch task or watch is due within service.CallTimeout in total.
func submitBudget(task domain.Task) time.Duration {
	if task.Kind == domain.KindUrgent {
		return task.Deadline
	}
	return service.CallTimeout - answerGracePeriod
}

// submitWithID submits a request with a key or an id from the client. The id
// determines the shard, also when the owner changes.
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

// sendOnce forwards the task once with the remaining time budget. It sends nothing if
// there is none left: the owner of a request without a budget records it as not run.
func (s *submission) sendOnce(task domain.Task) (domain.Outcome, error) {
	left := remaining(s.sendCtx)
	if left <= 0 {
		return domain.Outcome{}, errNoBudget(task.ID)
	}
	req := shard.Submitted{Task: task}
	if task.Kind == domain.KindUrgent {
		req.Budget = left
	}
	return s.r.forward(s.answerCtx, task.ID.Shard, req, left)
}

// errNoBudget returns the error of a request whose time is used up. Its kind means that
// this copy was not sent.
func errNoBudget(id domain.RequestID) error {
	return &domain.Error{
		Kind:      domain.KindStaleEpoch,
		Message:   "the time budget of the request was used up before it was sent",
		Remedy:    "send the request again with a later deadline",
		RequestID: id.String(),
	}
}

// submitWithoutID submits a request under an id that this node has reserved.
// While no owner has accepted the request, it may be sent under an id of another
// shard.
func (s *submission) submitWithoutID() (domain.Outcome, error) {
	var id domain.RequestID
	err := errNoShard()
	triedShards := make(map[domain.ShardID]bool)
	for {
		c, ok := s.pickShard(triedShards)
		if ok {
			var out domain.Outcome
			id, out, err = s.sendWithNewID(c, id)
			if !notHandled(err) {
				return s.resolveReserved(id, out, err)
			}
			s.r.ids.drop(c.shard)
			triedShards[c.shard] = true
		}
		if !s.waitForRetry(triedShards, ok) {
			return s.notHandledResult(id, err)
		}
	}
}

// pickShard returns the best shard that was not tried in this round. It returns false
// if there is none, or if maxShardsPerRound shards were tried.
func (s *submission) pickShard(triedShards map[domain.ShardID]bool) (candidate, bool) {
	if len(triedShards) >= maxShardsPerRound {
		return candidate{}, false
	}
	for _, c := range s.r.candidates() {
		if !triedShards[c.shard] {
			return c, true
		}
	}
	return candidate{}, false
}

// waitForRetry returns true when the request may be sent again: immediately to
// another shard if it was just sent to one, else to any shard after a delay. It
// returns false if no time or no retry is left.
func (s *submission) waitForRetry(triedShards map[domain.ShardID]bool, sent bool) bool {
	if sent {
		return s.sendCtx.Err() == nil
	}
	clear(triedShards)
	return s.retry.wait(s.sendCtx)
}

// sendWithNewID forwards the task under a newly reserved id. It returns the id
// under which the task was last sent. If no id can be reserved, notHandled is
// true for the error, because nothing was started.
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

// errNoIDReserved returns the error of a failed reservation of ids. Its kind
// means that nothing was started.
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
		Message: "no shard of this failure domain or of a reachable one accepts requests",
		Remedy:  "send the request again, or through a node of another failure domain",
	}
}

// notHandledResult returns the result of a request without a client's id that no
// owner has accepted. If it was never sent under an id, there is no outcome to
// report and the result is an error.
func (s *submission) notHandledResult(id domain.RequestID, cause error) (domain.Outcome, error) {
	if !id.IsZero() {
		return notRunOutcome(id, cause), nil
	}
	return domain.Outcome{}, &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: "no shard accepted the request: " + domain.AsError(cause).Message,
		Remedy:  "send the request again; it was not started",
	}
}

// resolveReserved is resolve for an id that this node reserved. Nobody else can
// have submitted the id, so if the owner was unavailable, the request has not
// run.
func (s *submission) resolveReserved(id domain.RequestID, out domain.Outcome, err error) (domain.Outcome, error) {
	if err != nil && !peer.IsNoReply(err) && classifyOwnerError(err) == classUnavailable {
		return notRunOutcome(id, err), nil
	}
	return s.resolve(id, out, err)
}

// resolve converts the result of a call that may have reached the owner into the
// result for the client. If the answer was lost, it looks the outcome up.
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

// lookUpLostAnswer asks the current owner for the outcome of a request whose
// answer was lost, until the outcome answers the client or answerCtx ends.
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

// isAnswer reports whether the state answers the client. A batch task or watch
// is answered once it is accepted, an urgent task once its outcome is final.
func (s *submission) isAnswer(state domain.OutcomeState) bool {
	if state.Final() {
		return true
	}
	accepted := state == domain.OutcomeAccepted || state == domain.OutcomeRunning
	return accepted && s.task.Kind != domain.KindUrgent
}
