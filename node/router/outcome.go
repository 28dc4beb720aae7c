package router

import (
	"github.com/basilferry/basilferry/core/domain"
)

// remedyNewID is the remedy for a request whose shard has no owner that
// responds. A key always belongs to the same shard, so another shard cannot
// serve it.
const remedyNewID = "look the request up later, or if a repeat does no harm, send it under an id from POST /v1/ids, " +
	"whose owner answers"

// remedyLookup is the remedy for a request whose answer was lost.
const remedyLookup = "look the request up with GET /v1/requests/{id}; do not send it under another id unless a repeat does no harm"

// notRunOutcome returns the outcome of a request that no owner has accepted and
// whose id this node will not use again.
func notRunOutcome(id domain.RequestID, cause error) domain.Outcome {
	return domain.Outcome{
		ID:    id,
		State: domain.OutcomeNotRun,
		Err: &domain.Error{
			Kind:      domain.KindNotRun,
			Message:   "no shard accepted the request: " + domain.AsError(cause).Message,
			Remedy:    "send the request again",
			RequestID: id.String(),
		},
	}
}

// unknownOutcome returns the outcome of a request that may have been started.
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

// noOwnerOutcome returns the unknown outcome of a request whose owner cannot be
// reached.
func noOwnerOutcome(id domain.RequestID, cause error) domain.Outcome {
	message := "no owner of shard " + id.Shard.String() + " answers: " + domain.AsError(cause).Message
	return unknownOutcome(id, message, remedyNewID)
}

// lostAnswerOutcome returns the unknown outcome of a request whose answer was
// lost.
func lostAnswerOutcome(id domain.RequestID, cause error) domain.Outcome {
	return unknownOutcome(id, "the answer was lost: "+domain.AsError(cause).Message, remedyLookup)
}

// ownerErrorClass says what an owner's error reply to a submission means for the
// request.
type ownerErrorClass int

const (
	// classRefused means that nothing was started and the error says why.
	classRefused ownerErrorClass = iota
	// classUnavailable means that this submission started nothing.
	classUnavailable
	// classFinal means that the error represents a final outcome.
	classFinal
	// classUnresolved means that the request may have been started.
	classUnresolved
)

// classifyOwnerError returns the class of an error with which the owner replied
// to a submission; notHandled and peer.IsNoReply must be false for it. Kinds that
// do not guarantee that nothing was started are unresolved.
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

// finalOutcome returns the outcome that an error of class classFinal represents.
func finalOutcome(id domain.RequestID, err error) domain.Outcome {
	typed := domain.AsError(err)
	state := domain.OutcomeNotRun
	if typed.Kind == domain.KindTaskFailed {
		state = domain.OutcomeFailed
	}
	return domain.Outcome{ID: id, State: state, Err: typed}
}
