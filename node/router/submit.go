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
	// send ends at the deadline: no try is made after it. answer ends
	// answerGrace later.
	send, answer context.Context
	retry        *retry
}

// Submit implements service.Requests.
func (r *Router) Submit(ctx context.Context, req service.SubmitRequest) (domain.Outcome, error) {
	task, err := r.resolve(req)
	if err != nil {
		return domain.Outcome{}, err
	}
	if !r.submits.enter() {
		return domain.Outcome{}, errOverloaded(task.ID)
	}
	defer r.submits.leave()
	budget := submitBudget(task)
	answer, cancelAnswer := context.WithTimeout(ctx, budget+answerGrace)
	defer cancelAnswer()
	send, cancelSend := context.WithTimeout(answer, budget)
	defer cancelSend()
	s := &submission{r: r, task: task, send: send, answer: answer, retry: newRetry()}
	if task.ID.IsZero() {
		return s.drawn()
	}
	return s.named()
}

// resolve checks the request and gives the task the id of its key.
func (r *Router) resolve(req service.SubmitRequest) (domain.Task, error) {
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
	return service.CallTimeout - answerGrace
}

// named submits a request with a key or a caller's id. It belongs to one
// shard, whoever owns it.
func (s *submission) named() (domain.Outcome, error) {
	for {
		out, err := s.try(s.task)
		if !notTaken(err) {
			return s.settle(s.task.ID, out, err)
		}
		if !s.retry.wait(s.send) {
			return unknownNoOwner(s.task.ID, err), nil
		}
	}
}

// try forwards the task once with what is left of the budget.
func (s *submission) try(task domain.Task) (domain.Outcome, error) {
	left := remaining(s.send)
	req := shard.Submitted{Task: task}
	if task.Kind == domain.KindUrgent {
		req.Budget = left
	}
	return s.r.forward(s.answer, task.ID.Shard, req, left)
}

// drawn submits a request under an id that this node has drawn. As long as no
// owner has taken the request, another id of another shard may be used for it.
func (s *submission) drawn() (domain.Outcome, error) {
	var id domain.RequestID
	err := errNoShard()
	avoided := make(map[domain.ShardID]bool)
	for {
		c, ok := s.pick(avoided)
		if ok {
			var out domain.Outcome
			id, out, err = s.tryDrawn(c, id)
			if !notTaken(err) {
				return s.settleDrawn(id, out, err)
			}
			s.r.ids.drop(c.shard)
			avoided[c.shard] = true
		}
		if !s.next(avoided, ok) {
			return s.neverTaken(id, err)
		}
	}
}

// pick returns the best shard that was not tried in this round.
func (s *submission) pick(avoided map[domain.ShardID]bool) (candidate, bool) {
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

// next prepares the next try: at once with another shard if the last try had
// one, else after a delay with all shards.
func (s *submission) next(avoided map[domain.ShardID]bool, tried bool) bool {
	if tried {
		return s.send.Err() == nil
	}
	clear(avoided)
	return s.retry.wait(s.send)
}

// tryDrawn forwards the task under a fresh id. It returns the id that was last
// tried. A failed draw counts as "not taken": it starts nothing.
func (s *submission) tryDrawn(c candidate, last domain.RequestID) (domain.RequestID, domain.Outcome, error) {
	id, err := s.r.newID(s.send, c)
	if err != nil {
		return last, domain.Outcome{}, errNotDrawn(c.shard, err)
	}
	task := s.task
	task.ID = id
	out, err := s.try(task)
	return id, out, err
}

// errNotDrawn is the error of a failed draw. Its kind tells that nothing was
// started.
func errNotDrawn(id domain.ShardID, cause error) error {
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

// neverTaken is the result of a request without a caller's id that no owner
// has taken. Without any id there is no outcome to report.
func (s *submission) neverTaken(id domain.RequestID, cause error) (domain.Outcome, error) {
	if !id.IsZero() {
		return notRun(id, cause), nil
	}
	return domain.Outcome{}, &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: "no shard took the request: " + domain.AsError(cause).Message,
		Remedy:  "send the request again; it was not started",
	}
}

// settleDrawn is settle for an id that this node drew: if the owner was
// unavailable, nobody else can have submitted the id, so it has not run.
func (s *submission) settleDrawn(id domain.RequestID, out domain.Outcome, err error) (domain.Outcome, error) {
	if err != nil && !peer.NoAnswer(err) && classify(err) == answeredUnavailable {
		return notRun(id, err), nil
	}
	return s.settle(id, out, err)
}

// settle turns the result of a call that reached the owner into the caller's
// outcome.
func (s *submission) settle(id domain.RequestID, out domain.Outcome, err error) (domain.Outcome, error) {
	if err == nil {
		return out, nil
	}
	if peer.NoAnswer(err) {
		return s.lookUp(id, err), nil
	}
	switch classify(err) {
	case answeredRefused, answeredUnavailable:
		return domain.Outcome{}, err
	case answeredFinal:
		return finalOutcome(id, err), nil
	}
	return s.lookUp(id, err), nil
}

// lookUp asks the owner, or a new one, what became of a request whose answer
// was lost, until it is settled or the deadline has passed.
func (s *submission) lookUp(id domain.RequestID, cause error) domain.Outcome {
	retry := newRetry()
	for s.answer.Err() == nil {
		out, err := s.r.query(s.answer, id)
		if err == nil && s.settles(out.State) {
			return out
		}
		if !retry.wait(s.answer) {
			break
		}
	}
	return unknownLost(id, cause)
}

// settles reports whether the state answers the caller: a batch task or watch
// is answered once it is kept.
func (s *submission) settles(state domain.OutcomeState) bool {
	if state.Final() {
		return true
	}
	kept := state == domain.OutcomeAccepted || state == domain.OutcomeRunning
	return kept && s.task.Kind != domain.KindUrgent
}
