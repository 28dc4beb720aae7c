package peer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/basilferry/basilferry/core/domain"
)

// NewOutcomeReply returns a reply with the outcome and the length and checksum
// of its answer.
func NewOutcomeReply(out domain.Outcome) OutcomeReply {
	return OutcomeReply{
		Outcome: out,
		Length:  len(out.Answer),
		Sum:     xxhash.Sum64(out.Answer),
	}
}

// check returns an error if the reply is for another request than want, or if
// its answer does not match the length and checksum in the reply.
func (r OutcomeReply) check(want domain.RequestID) error {
	if r.Outcome.ID != want {
		return mismatchError(want, fmt.Sprintf("the answer belongs to request %s", r.Outcome.ID))
	}
	return r.checkAnswer(want)
}

// checkReserved makes the same check for a request whose id was reserved by the
// owner of shard s.
func (r OutcomeReply) checkReserved(s domain.ShardID) error {
	id := r.Outcome.ID
	if id.Shard != s || id.DerivedFromKey() {
		return mismatchError(id, fmt.Sprintf("the answer belongs to request %s, whose id shard %s did not reserve", id, s))
	}
	return r.checkAnswer(id)
}

func (r OutcomeReply) checkAnswer(id domain.RequestID) error {
	if len(r.Outcome.Answer) != r.Length {
		return mismatchError(id, fmt.Sprintf("the answer has %d bytes of %d", len(r.Outcome.Answer), r.Length))
	}
	if xxhash.Sum64(r.Outcome.Answer) != r.Sum {
		return mismatchError(id, "the checksum of the answer is wrong")
	}
	return nil
}

// mismatchError returns an error for which IsNoReply is true: the call was
// executed, but this node does not know its outcome.
func mismatchError(id domain.RequestID, message string) error {
	return &noReplyError{&domain.Error{
		Kind:      domain.KindOutcomeUnknown,
		Message:   message,
		Remedy:    "look the request up by its id",
		RequestID: id.String(),
	}}
}
