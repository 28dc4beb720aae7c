package intake

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/steady"
	"github.com/basilferry/basilferry/node/storelog"
)

// bench is an intake with a configuration of a chosen age; a negative age stands for none.
type bench struct {
	*Intake
	log    bytes.Buffer
	counts map[string]int64
	age    time.Duration
}

const testMaxAge = 4500 * time.Millisecond

func newBench() *bench {
	b, clock := &bench{counts: map[string]int64{}}, steady.New()
	b.Intake = New(Config{
		Routes: &Routes{}, View: jobview.New(), Clock: clock, Logger: slog.New(slog.NewTextHandler(&b.log, nil)), MaxConfigAge: testMaxAge,
		Requests: storelog.NewFollower(storelog.FollowerConfig{Clock: clock}), Newest: func() *storelog.Follower { return nil },
		ConfigKnown: func() (time.Duration, bool) { return clock.Now() - b.age, b.age >= 0 },
		Count:       func(name string, n int64) { b.counts[name] += n },
	})
	return b
}

// accounts decodes accounts of the form "name:key,key"; nil disables them.
func accounts(texts ...string) []account.Account {
	out := []account.Account{}
	for _, text := range texts {
		name, keys, _ := strings.Cut(text, ":")
		a := account.Account{Name: name, Weight: 1, Limit: domain.Resources{CPUMilli: 1000, MemoryMiB: 100}}
		for key := range strings.SplitSeq(keys, ",") {
			a.Keys = append(a.Keys, account.DigestOf(key))
		}
		out = append(out, a)
	}
	return out
}

func (b *bench) set(version int64, accounts []account.Account) {
	b.cfg.Routes.Set(&platform.OperatorConfig{
		Version: version, HasAccounts: accounts != nil, Accounts: accounts,
		Routes: []platform.Route{{Host: "h", PathPrefix: "/open/", Public: true}, {Host: "h", PathPrefix: "/"}},
	})
}

// authorize returns the account of a key, or the kind of the refusal.
func (b *bench) authorize(path, key string) string {
	_, name, err := b.Authorize("h", path, key)
	if err != nil {
		return string(domain.KindOf(err))
	}
	return "account " + name
}

// Guards against a key that is accepted before it is added or after it is removed, that is
// lost when it is given back, or that belongs to the second of two accounts.
func TestKeysFollowTheConfiguration(t *testing.T) {
	const denied = string(domain.KindUnauthorized)
	b := newBench()
	assert.Equal(t, b.authorize("/x", "k1"), string(domain.KindUnavailable), "no configuration")
	for i, c := range []struct {
		accounts []account.Account
		want     []string
	}{
		{nil, []string{"account ", "account ", "account "}},
		{accounts(), []string{denied, denied, denied}},
		{accounts("a:k1"), []string{"account a", denied, denied}},
		{accounts("a:k2", "b:k2,k1"), []string{"account b", "account a", denied}},
		{accounts("a:k2,"), []string{denied, "account a", denied}},
		{accounts("a:k1"), []string{"account a", denied, denied}},
	} {
		b.set(int64(i+1), c.accounts)
		assert.DeepEqual(t, []string{b.authorize("/x", "k1"), b.authorize("/x", "k2"), b.authorize("/x", "")}, c.want)
	}
	assert.Equal(t, b.authorize("/open/x", "wrong"), "account ", "a public route ignores keys")
}

// Guards against a removed key that a node without a recent configuration accepts, and
// against refusals where nothing can have been removed.
func TestOldConfigurationRefusesKeys(t *testing.T) {
	const stale, old = string(domain.KindNotRun), testMaxAge + time.Millisecond
	for _, c := range []struct {
		name            string
		age             time.Duration
		accounts        []account.Account
		path, key, want string
		ready           bool
	}{
		{"recent", testMaxAge - time.Second, accounts("a:k1"), "/x", "k1", "account a", true},
		{"old", old, accounts("a:k1"), "/x", "k1", stale, false},
		{"old, unknown key", old, accounts("a:k1"), "/x", "wrong", stale, false},
		{"not read to its end", -1, accounts("a:k1"), "/x", "k1", stale, false},
		{"old, public", old, accounts("a:k1"), "/open/x", "k1", "account ", false},
		{"old, without accounts", old, nil, "/x", "k1", "account ", true},
	} {
		b := newBench()
		b.age = c.age
		b.set(1, c.accounts)
		assert.Equal(t, b.authorize(c.path, c.key), c.want, c.name)
		assert.Equal(t, b.Ready(), c.ready, c.name)
		if c.want == stale {
			_, _, err := b.Authorize("h", c.path, c.key)
			assert.Assert(t, domain.AsError(err).RetryAfter > 0 && b.counts[countConfigTooOld] == 2, c.name)
		}
	}
}

// Guards against keys in the log or in errors, and against a client that fills the log.
func TestRejectedKeysAreLoggedAsDigestsOncePerSecond(t *testing.T) {
	b := newBench()
	b.set(1, accounts("a:k1"))
	_, _, err := b.Authorize("h", "/x", "sk-secret")
	assert.Assert(t, !strings.Contains(err.Error()+b.log.String(), "sk-secret") && b.counts[countUnauthorized] == 1)
	assert.Assert(t, strings.Contains(b.log.String(), "key_digest="+account.DigestOf("sk-secret").Short()))
	var l refusalLog
	var logged []int64
	for now := time.Duration(0); now < 2*time.Second; now += 500 * time.Millisecond {
		logged = append(logged, l.add(now))
	}
	assert.DeepEqual(t, logged, []int64{1, 0, 2, 0})
}

// Guards against access to a job of another account, also through a public route, and
// against a job of no account that some clients cannot reach.
func TestJobsOfOtherAccountsDoNotExist(t *testing.T) {
	const owned, open = job.ID("00000000000000aa"), job.ID("00000000000000bb")
	b, ctx := newBench(), context.Background()
	b.set(1, accounts("a:k1", "b:k2"))
	for id, name := range map[job.ID]string{owned: "a", open: ""} {
		value, err := ledger.EncodeJob(&job.Job{ID: id, Account: name})
		assert.NilError(t, err)
		assert.NilError(t, b.cfg.View.Apply(platform.KeyedRecord{Key: jobview.Key(jobview.KindJob, id), Value: value}))
	}
	for _, c := range []struct {
		id            job.ID
		caller        string
		state, submit domain.ErrorKind
	}{
		{owned, "a", "", ""}, {open, "a", "", ""}, {open, "", "", ""},
		{owned, "b", domain.KindNotFound, domain.KindKeyConflict}, {owned, "", domain.KindNotFound, domain.KindKeyConflict},
	} {
		_, err := b.State(ctx, c.id, c.caller)
		assert.Equal(t, domain.KindOf(err), c.state)
		assert.Equal(t, domain.KindOf(b.Submit(ctx, &job.Job{ID: c.id, Account: c.caller})), c.submit)
		if err != nil {
			// A cancellation that is stored would panic: there is no committer.
			assert.Equal(t, domain.KindOf(b.Cancel(ctx, c.id, c.caller)), c.state)
			assert.Equal(t, domain.AsError(err).RequestID, string(c.id), "the adapter answers 410")
		}
	}
	b.set(2, nil)
	_, err := b.State(ctx, owned, "")
	assert.NilError(t, err, "without accounts, all clients have access")
}

// Guards against a gang that is accepted and waits for ever, and against refusing what can
// start. The limit is 1,000 thousandths of a core and 100 MiB.
func TestGangsAboveTheLimitAreRefused(t *testing.T) {
	b := newBench()
	b.set(1, accounts("a:k1"))
	for _, c := range []struct {
		account string
		step    job.Step
		refused bool
	}{
		{"a", job.Step{Count: 4, Gang: true, Need: domain.Resources{CPUMilli: 250, MemoryMiB: 25, Accelerators: 9}}, false},
		{"a", job.Step{Count: 4, Gang: true, Need: domain.Resources{MemoryMiB: 26}}, true},
		{"a", job.Step{Count: 4, Gang: true, Fills: true, Need: domain.Resources{CPUMilli: 251}}, true},
		{"a", job.Step{Count: 4, Need: domain.Resources{CPUMilli: 900}}, false},
		{"a", job.Step{Count: 1, Gang: true, Need: domain.Resources{CPUMilli: 2000}}, false},
		{"", job.Step{Count: 4, Gang: true, Need: domain.Resources{CPUMilli: 900}}, false},
	} {
		err := b.checkGangs(&job.Job{Account: c.account, Steps: []job.Step{c.step}})
		assert.Equal(t, err != nil, c.refused, "%+v", c)
		assert.Assert(t, err == nil || domain.KindOf(err) == domain.KindNotRun && domain.AsError(err).RetryAfter == 0)
	}
}
