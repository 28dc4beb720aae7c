package router

import (
	"github.com/basilferry/basilferry/core/domain"
)

// remedyNewID is the remedy for a request whose shard has no owner that
// answers. The authority for a key never moves to another shard.
const remedyNewID = "look the request up later, or if a repeat does no harm, send it under an id from POST /v1/ids, " +
	"whose owner answers"

// remedyLookup is the remedy for a request whose answer was lost.
const remedyLookup = "look the request up with GET /v1/requests/{id}; do not send it under another id unless a repeat does no harm"

// notRun is the outcome of a request that was never taken by an owner and
// whose id this node will not use again.
func notRun(id domain.RequestID, cause error) domain.Outcome {
	return domain.Outcome{
		ID:    id,
		State: domain.OutcomeNotRun,
		Err: &domain.Error{
			Kind:      domain.KindNotRun,
			Message:   "no shard took the request: " + domain.AsError(cause).Message,
			Remedy:    "send the request again",
			RequestID: id.String(),
		},
	}
}

// unknown is the outcome of a request of which nothing is proved.
func unknown(id domain.RequestID, message, remedy string) domain.Outcome {
	return domain.Outcome{
		ID:    id,
		State: domain.OutcomeUnknown,
		Err: &domain.Error{
			Kind:      domain.KindOutcomeUnknown,
			Message:   message,
			Remedy:    remedy,
			RequestID: id.String(),
		},
	}
}

// unknownNoOwner is unknown for a request whose owner cannot be reached.
func unknownNoOwner(id domain.RequestID, cause error) domain.Outcome {
	message := "no owner of shard " + id.Shard.String() + " answers: " + domain.AsError(cause).Message
	return unknown(id, message, remedyNewID)
}

// unknownLost is unknown for a request whose answer was lost.
func unknownLost(id domain.RequestID, cause error) domain.Outcome {
	return unknown(id, "the answer was lost: "+domain.AsError(cause).Message, remedyLookup)
}

// answeredError tells what an error that the owner answered to a submission
// means for the request.
type answeredError int

const (
	// answeredRefused: nothing was started and the error says why.
	answeredRefused answeredError = iota
	// answeredUnavailable: nothing was started by this submission.
	answeredUnavailable
	// answeredFinal: the error stands for a final outcome.
	answeredFinal
	// answeredOpen: whether the request was started is not known.
	answeredOpen
)

// classify sorts an error of a submission that is neither "not taken" nor
// without an answer. Kinds that do not promise that nothing was started are
// open.
func classify(err error) answeredError {
	switch domain.KindOf(err) {
	case domain.KindBadRequest, domain.KindTooLarge, domain.KindNotFound,
		domain.KindKeyConflict, domain.KindNeverFits, domain.KindUnauthorized:
		return answeredRefused
	case domain.KindUnavailable, domain.KindNoCapacity:
		return answeredUnavailable
	case domain.KindNotRun, domain.KindTaskFailed:
		return answeredFinal
	}
	return answeredOpen
}

// finalOutcome is the outcome that an error of class answeredFinal stands for.
func finalOutcome(id domain.RequestID, err error) domain.Outcome {
	typed := domain.AsError(err)
	state := domain.OutcomeNotRun
	if typed.Kind == domain.KindTaskFailed {
		state = domain.OutcomeFailed
	}
	return domain.Outcome{ID: id, State: state, Err: typed}
}
