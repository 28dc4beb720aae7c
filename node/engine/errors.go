package engine

import (
	"fmt"

	"github.com/basilferry/basilferry/core/domain"
)

func notOwnedError(id domain.ShardID) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindStaleEpoch,
		Message: fmt.Sprintf("this node does not own shard %s", id),
		Remedy:  "send the request to the shard's owner; nothing was started",
	}
}

func notReadyError(id domain.ShardID) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindStaleEpoch,
		Message: fmt.Sprintf("shard %s is not recovered yet", id),
		Remedy:  "try again; nothing was started",
	}
}

func queueFullError(id domain.ShardID) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: fmt.Sprintf("%d requests already wait for shard %s, which is the limit", maxQueuedRequests, id),
		Remedy:  "try again later; nothing was started",
	}
}

func noReplyError(id domain.ShardID) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: fmt.Sprintf("shard %s did not answer in time", id),
		Remedy:  "try again; nothing was changed",
	}
}

// unknownOutcome returns the outcome of a request that may have run.
func unknownOutcome(id domain.RequestID, message string) domain.Outcome {
	return domain.Outcome{
		ID:    id,
		State: domain.OutcomeUnknown,
		Err: &domain.Error{
			Kind:      domain.KindOutcomeUnknown,
			Message:   message,
			Remedy:    "look the request up by its id",
			RequestID: id.String(),
		},
	}
}
