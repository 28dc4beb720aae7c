package domain

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two text forms of one id and against ids that change when they
// are formatted and parsed. Two owners could then schedule the same request.
func TestRequestIDHasOneTextForm(t *testing.T) {
	id := RequestID{Shard: ShardID{Domain: "larissa", Index: 1}, Epoch: 0x2a, Seq: 0xff}
	assert.Equal(t, id.String(), "larissa-1-2a-ff")
	parsed, err := ParseRequestID(id.String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, id)

	for _, text := range []string{"", "a", "a-1-2", "a-1-2-3-4", "a--1-2-3", "a-x-2-3", "-1-2-3", "a-01-2-3", "a-1-2A-3", "a-1-2-g"} {
		_, err := ParseRequestID(text)
		assert.Equal(t, KindOf(err), KindBadRequest, text)
	}
}
