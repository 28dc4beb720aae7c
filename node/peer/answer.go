package peer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/basilferry/basilferry/core/domain"
)

// NewOutcomeReply makes a reply of an outcome, with the length and checksum of its answer.
func NewOutcomeReply(out domain.Outcome) OutcomeReply {
	return OutcomeReply{
		Outcome: out,
		Length:  len(out.Answer),
		Sum:     xxhash.Sum64(out.Answer),
	}
}

// check returns an error if the reply is for another request than want, or if
// its answer differs from what the sender sealed.
func (r OutcomeReply) check(want domain.RequestID) error {
	if r.Outcome.ID != want {
		return mismatchError(want, fmt.Sprintf("the answer belongs to request %s", r.Outcome.ID))
	}
	return r.checkAnswer(want)
}

// checkReserved is check for a request whose id was drawn by the owner of shard s.
func (r OutcomeReply) checkReserved(s domain.ShardID) error {
	id := r.Outcome.ID
	if id.Shard != s || id.DerivedFromKey() {
		return mismatchError(id, fmt.Sprintf("the answer belongs to request %s, which shard %s did not draw", id, s))
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

// mismatchError counts as a lost answer: the call was carried out, but its outcome
// is not known here.
func mismatchError(id domain.RequestID, message string) error {
	return &noReplyError{&domain.Error{
		Kind:      domain.KindOutcomeUnknown,
		Message:   message,
		Remedy:    "look the request up by its id",
		RequestID: id.String(),
	}}
}
