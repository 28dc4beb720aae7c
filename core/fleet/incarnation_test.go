package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/platform"
)

// Guards against commands to a worker that is added again with a lower fencing token
// than it has seen.
func TestReaddedWorkerKeepsItsRaisedToken(t *testing.T) {
	f := New()
	w := f.Ensure("w1")
	f.RaiseToken(w)
	before := platform.Token(7).Raised(w.TokenRaises)
	f.Forget(w)
	assert.Assert(t, platform.Token(7).Raised(f.Ensure("w1").TokenRaises) >= before)
}

// Guards against a raised token that is higher than the token of a later owner.
func TestRaisedTokenIsLowerThanThatOfTheNextOwner(t *testing.T) {
	assert.Assert(t, platform.Token(7).Raised(platform.MaxRaises) < platform.Token(8).Raised(0))
	assert.Assert(t, platform.Token(7).Raised(0) < platform.Token(7).Raised(1))
}
