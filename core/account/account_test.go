package account

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Two nodes that read the same configuration must give a shared key to the same account.
func TestSharedKeyBelongsToTheFirstAccount(t *testing.T) {
	d, conflicts := NewDirectory([]Account{
		{Name: "a", Keys: []Digest{DigestOf("shared"), DigestOf("shared")}},
		{Name: "b", Keys: []Digest{DigestOf("shared"), DigestOf("own")}},
		{Name: "a", Keys: []Digest{DigestOf("repeated name")}},
	})
	assert.DeepEqual(t, conflicts, []Conflict{{Key: DigestOf("shared"), Holder: "a", Other: "b"}})
	for key, want := range map[string]string{"shared": "a", "own": "b", "repeated name": "", "unknown": "", "": ""} {
		name, ok := d.Lookup(key)
		assert.Equal(t, name, want, "key %q", key)
		assert.Equal(t, ok, want != "", "key %q", key)
	}
}

// An empty key must not match an account whose key list contains an empty string.
func TestEmptyKeyMatchesNoAccount(t *testing.T) {
	d, _ := NewDirectory([]Account{{Name: "a", Keys: []Digest{DigestOf("")}}})
	_, ok := d.Lookup("")
	assert.Assert(t, !ok)
}
