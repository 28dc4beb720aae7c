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

// notRunOutcome is the outcome of a request that was never taken by an owner and
// whose id this node will not use again.
func notRunOutcome(id domain.RequestID, cause error) domain.Outcome {
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

// unknownOutcome is the outcome of a request of which nothing is proved.
func unknownOutcome(id domain.RequestID, message, remedy string) domain.Outcome {
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

// noOwnerOutcome is unknown for a request whose owner cannot be reached.
func noOwnerOutcome(id domain.RequestID, cause error) domain.Outcome {
	message := "no owner of shard " + id.Shard.String() + " answers: " + domain.AsError(cause).Message
	return unknownOutcome(id, message, remedyNewID)
}

// lostAnswerOutcome is unknown for a request whose answer was lost.
func lostAnswerOutcome(id domain.RequestID, cause error) domain.Outcome {
	return unknownOutcome(id, "the answer was lost: "+domain.AsError(cause).Message, remedyLookup)
}

// ownerErrorClass tells what an error that the owner answered to a submission
// means for the request.
type ownerErrorClass int

const (
	// classRefused: nothing was started and the error says why.
	classRefused ownerErrorClass = iota
	// classUnavailable: nothing was started by this submission.
	classUnavailable
	// classFinal: the error stands for a final outcome.
	classFinal
	// classUnresolved: whether the request was started is not known.
	classUnresolved
)

// classifyOwnerError sorts an error of a submission that is neither "not taken" nor
// without an answer. Kinds that do not promise that nothing was started are
// open.
func classifyOwnerError(err error) ownerErrorClass {
	switch domain.KindOf(err) {
	case domain.KindBadRequest, domain.KindTooLarge, domain.KindNotFound,
		domain.KindKeyConflict, domain.KindNeverFits, domain.KindUnauthorized:
		return classRefused
	case domain.KindUnavailable, domain.KindNoCapacity:
		return classUnavailable
	case domain.KindNotRun, domain.KindTaskFailed:
		return classFinal
	}
	return classUnresolved
}

// finalOutcome is the outcome that an error of class classFinal stands for.
func finalOutcome(id domain.RequestID, err error) domain.Outcome {
	typed := domain.AsError(err)
	state := domain.OutcomeNotRun
	if typed.Kind == domain.KindTaskFailed {
		state = domain.OutcomeFailed
	}
	return domain.Outcome{ID: id, State: state, Err: typed}
}
