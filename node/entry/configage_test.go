package entry

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// Guards against a configuration that counts as known although a later record, which may
// remove a key, could not be read.
func TestUnreadableRecordStopsTheAgeOfTheConfiguration(t *testing.T) {
	var lastSent time.Duration = -1
	a := newConfigAge(func() (time.Duration, bool) { return lastSent, lastSent >= 0 })
	for i, step := range []struct {
		sent                time.Duration
		inForce, unreadable int64
		want                time.Duration
		ok                  bool
	}{
		{-1, -1, -1, -1, false}, // Nothing has been read.
		{-1, 10, -1, -1, false}, // The load is not complete.
		{5, -1, -1, 5, true},
		{6, -1, 12, 6, true},
		{9, -1, 13, 6, true},  // A second unreadable record.
		{11, 10, -1, 6, true}, // An older version is read again.
		{12, 14, -1, 12, true},
		{13, -1, 12, 13, true}, // An older unreadable record is read again.
	} {
		lastSent = step.sent
		if step.inForce >= 0 {
			a.setInForce(step.inForce)
		}
		if step.unreadable >= 0 {
			a.setUnreadable(step.unreadable)
		}
		at, ok := a.known()
		assert.Assert(t, at == step.want && ok == step.ok, "step %d: %v %v", i, at, ok)
	}
}

// silentStore refuses all reads while silent is set.
type silentStore struct {
	platform.Store
	silent *atomic.Bool
}

func (s silentStore) Read(ctx context.Context, p platform.Partition, from int64, wait time.Duration) (platform.ReadResult, error) {
	if s.silent.Load() {
		return platform.ReadResult{}, platform.ErrRefused
	}
	return s.Store.Read(ctx, p, from, wait)
}

// decodeKeys decodes a configuration of a test: a word whose length is the version, and keys
// that are also the names of their accounts. All accounts have one more key in common. The
// key "bad" makes the record undecodable.
func decodeKeys(r platform.KeyedRecord) (platform.OperatorChange, error) {
	fields := strings.Fields(string(r.Value))
	c := &platform.OperatorConfig{
		Version: int64(len(fields[0])), HasAccounts: true, Routes: []platform.Route{{Queue: testQueue, Host: "h", PathPrefix: "/"}},
	}
	for _, key := range fields[1:] {
		if key == "bad" {
			return platform.OperatorChange{}, errors.New("cannot be read")
		}
		keys := []account.Digest{account.DigestOf(key), account.DigestOf("shared")}
		c.Accounts = append(c.Accounts, account.Account{Name: key, Keys: keys, Weight: 1})
	}
	return platform.OperatorChange{Config: c}, nil
}

func (c *cluster) writeKeys(value string) {
	c.t.Helper()
	c.write(operatorPartition, platform.KeyedRecord{Key: "config", Value: []byte(value)})
}

// awaitKey waits until a node answers requests with a key in the given way: with the empty
// kind for success.
func (n *testNode) awaitKey(t *testing.T, key string, want domain.ErrorKind) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, _, err := n.intake.Authorize("h", "/x", key); domain.KindOf(err) != want {
			return poll.Continue("the answer for %s is %v", key, err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// Guards against a removed key that a node without the store accepts for longer than it may,
// that an undecodable version leaves in force, and that is not accepted when it is back.
func TestRemovedKeyEndsOnANodeWithoutTheStore(t *testing.T) {
	t.Parallel()
	const unauthorized, stale = domain.KindUnauthorized, domain.KindNotRun
	c := newCluster(t, 0)
	c.decodeConfig = decodeKeys
	c.writeKeys("v stolen other")
	strict := func(s *Settings) { s.Accounts.StrictRevoke, s.Accounts.RevokeMS = true, 2000 }
	reads := c.startWith("n1", strict)
	var silent atomic.Bool
	c.operatorStore = silentStore{c.store, &silent}
	cutOff := c.startWith("n2", strict)
	for _, n := range c.nodes {
		n.awaitKey(t, "stolen", "")
	}
	silent.Store(true)
	c.writeKeys("vv other")
	reads.awaitKey(t, "stolen", unauthorized)
	cutOff.awaitKey(t, "stolen", stale)
	cutOff.awaitKey(t, "other", stale)
	assert.Assert(t, !cutOff.intake.Ready())
	reads.awaitKey(t, "other", "")
	silent.Store(false)
	cutOff.awaitKey(t, "stolen", unauthorized)
	cutOff.awaitKey(t, "other", "")
	c.writeKeys("vvv bad")
	for _, n := range c.nodes {
		n.awaitKey(t, "other", stale)
	}
	c.writeKeys("vvvv stolen other")
	for _, n := range c.nodes {
		n.awaitKey(t, "stolen", "")
		assert.Assert(t, !strings.Contains(n.log.String(), "shared"))
	}
	c.waitForLog(0, `"msg":"key of two accounts"`)
}
