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

const testMaxAge = 4500 * time.Millisecond

// bench is an intake with a configuration of a chosen age.
type bench struct {
	*Intake
	routes *Routes
	view   *jobview.View
	log    bytes.Buffer
	counts map[string]int64
	// age is the age of the configuration; negative before the first read.
	age time.Duration
}

func newBench() *bench {
	b := &bench{routes: &Routes{}, view: jobview.New(), counts: map[string]int64{}}
	clock := steady.New()
	b.Intake = New(Config{
		Routes: b.routes, View: b.view, Clock: clock, Logger: slog.New(slog.NewTextHandler(&b.log, nil)), MaxConfigAge: testMaxAge,
		Requests:    storelog.NewFollower(storelog.FollowerConfig{Clock: clock}),
		Newest:      func() *storelog.Follower { return nil },
		ConfigKnown: func() (time.Duration, bool) { return clock.Now() - b.age, b.age >= 0 },
		Count:       func(name string, n int64) { b.counts[name] += n },
	})
	return b
}

func accountWith(name string, keys ...string) account.Account {
	a := account.Account{Name: name, Weight: 1}
	for _, key := range keys {
		a.Keys = append(a.Keys, account.DigestOf(key))
	}
	return a
}

func (b *bench) set(version int64, accounts ...account.Account) {
	b.routes.Set(&platform.OperatorConfig{
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
		accounts          []account.Account
		k1, k2, none, big string
	}{
		{nil, "account ", "account ", "account ", "account "},
		{[]account.Account{}, denied, denied, denied, denied},
		{[]account.Account{accountWith("a", "k1")}, "account a", denied, denied, denied},
		{[]account.Account{accountWith("a", "k2"), accountWith("b", "k2", "k1")}, "account b", "account a", denied, denied},
		{[]account.Account{accountWith("a", "k2", "")}, denied, "account a", denied, denied},
		{[]account.Account{accountWith("a", "k1")}, "account a", denied, denied, denied},
	} {
		b.set(int64(i+1), c.accounts...)
		got := []string{b.authorize("/x", "k1"), b.authorize("/x", "k2"), b.authorize("/x", ""), b.authorize("/x", strings.Repeat("k1", 1000))}
		assert.DeepEqual(t, got, []string{c.k1, c.k2, c.none, c.big})
	}
	assert.Equal(t, b.authorize("/open/x", "wrong"), "account ", "a public route ignores keys")
}

// Guards against a removed key that a node without a recent configuration accepts, and
// against refusals where nothing can have been removed.
func TestOldConfigurationRefusesKeys(t *testing.T) {
	const stale = string(domain.KindNotRun)
	for _, c := range []struct {
		name         string
		age          time.Duration
		hasAccounts  bool
		path, key    string
		want         string
		wantNotReady bool
	}{
		{"recent", testMaxAge - time.Second, true, "/x", "k1", "account a", false},
		{"old", testMaxAge + time.Millisecond, true, "/x", "k1", stale, true},
		{"old, unknown key", testMaxAge + time.Millisecond, true, "/x", "wrong", stale, true},
		{"not read to its end", -1, true, "/x", "k1", stale, true},
		{"old, public", testMaxAge + time.Millisecond, true, "/open/x", "k1", "account ", true},
		{"old, without accounts", testMaxAge + time.Millisecond, false, "/x", "k1", "account ", false},
	} {
		b := newBench()
		b.age = c.age
		b.set(1)
		if c.hasAccounts {
			b.set(2, accountWith("a", "k1"))
		}
		assert.Equal(t, b.authorize(c.path, c.key), c.want, c.name)
		assert.Equal(t, !b.Ready(), c.wantNotReady, c.name)
		if c.want == stale {
			_, _, err := b.Authorize("h", c.path, c.key)
			assert.Assert(t, domain.AsError(err).RetryAfter > 0, c.name)
			assert.Equal(t, b.counts[countConfigTooOld], int64(2), c.name)
		}
	}
}

// Guards against keys in the log or in errors, and against a client that fills the log.
func TestRejectedKeysAreLoggedAsDigestsOncePerSecond(t *testing.T) {
	b := newBench()
	b.set(1, accountWith("a", "k1"))
	for range 100 {
		_, _, err := b.Authorize("h", "/x", "sk-secret")
		assert.Assert(t, !strings.Contains(err.Error(), "sk-secret"))
	}
	assert.Equal(t, b.counts[countUnauthorized], int64(100))
	assert.Assert(t, strings.Contains(b.log.String(), "key_digest="+account.DigestOf("sk-secret").Short()))
	assert.Assert(t, !strings.Contains(b.log.String(), "sk-secret"))
	var l refusalLog
	lines := 0
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		if n := l.add(now); n > 0 {
			lines++
		}
	}
	assert.Equal(t, lines, 3)
}

// Guards against access to a job of another account, also through a public route, and
// against a job of no account that some clients cannot reach.
func TestJobsOfOtherAccountsDoNotExist(t *testing.T) {
	const owned, open = job.ID("00000000000000aa"), job.ID("00000000000000bb")
	b := newBench()
	b.set(1, accountWith("a", "k1"), accountWith("b", "k2"))
	for id, name := range map[job.ID]string{owned: "a", open: ""} {
		b.apply(t, id, name)
	}
	for _, c := range []struct {
		id      job.ID
		caller  string
		allowed bool
	}{{owned, "a", true}, {owned, "b", false}, {owned, "", false}, {open, "a", true}, {open, "", true}} {
		state, err := b.State(context.Background(), c.id, c.caller)
		submitErr := b.Submit(context.Background(), &job.Job{ID: c.id, Account: c.caller})
		if c.allowed {
			assert.NilError(t, err)
			assert.NilError(t, submitErr)
			continue
		}
		assert.Equal(t, domain.KindOf(err), domain.KindNotFound)
		assert.Equal(t, domain.AsError(err).RequestID, string(c.id), "the adapter answers 410")
		assert.Equal(t, state, job.State(""))
		assert.Equal(t, domain.KindOf(submitErr), domain.KindKeyConflict)
		// Without a committer, a cancellation that is stored would panic.
		assert.Equal(t, domain.KindOf(b.Cancel(context.Background(), c.id, c.caller)), domain.KindNotFound)
	}
	b.set(2)
	_, err := b.State(context.Background(), owned, "")
	assert.NilError(t, err, "without accounts, all clients have access")
}

func (b *bench) apply(t *testing.T, id job.ID, name string) {
	t.Helper()
	j := &job.Job{ID: id, Account: name, Steps: []job.Step{{Count: 1, Estimate: time.Second}}, Queue: job.Queue{Route: "q"}}
	value, err := ledger.EncodeJob(j)
	assert.NilError(t, err)
	assert.NilError(t, b.view.Apply(platform.KeyedRecord{Key: jobview.Key(jobview.KindJob, id), Value: value}))
}

// Guards against a gang that is accepted and waits for ever, and against refusing what can
// start.
func TestGangsAboveTheLimitAreRefused(t *testing.T) {
	limited := accountWith("a", "k1")
	limited.Limit = domain.Resources{CPUMilli: 1000, MemoryMiB: 100}
	b := newBench()
	b.set(1, limited)
	for _, c := range []struct {
		name, account string
		step          job.Step
		refused       bool
	}{
		{"fits", "a", job.Step{Count: 4, Gang: true, Need: domain.Resources{CPUMilli: 250, MemoryMiB: 25, Accelerators: 9}}, false},
		{"too much memory", "a", job.Step{Count: 4, Gang: true, Need: domain.Resources{MemoryMiB: 26}}, true},
		{"best-effort", "a", job.Step{Count: 4, Gang: true, Fills: true, Need: domain.Resources{CPUMilli: 251}}, true},
		{"no gang", "a", job.Step{Count: 4, Need: domain.Resources{CPUMilli: 900}}, false},
		{"one task", "a", job.Step{Count: 1, Gang: true, Need: domain.Resources{CPUMilli: 2000}}, false},
		{"other account", "b", job.Step{Count: 4, Gang: true, Need: domain.Resources{CPUMilli: 900}}, false},
		{"no account", "", job.Step{Count: 4, Gang: true, Need: domain.Resources{CPUMilli: 900}}, false},
	} {
		err := b.checkGangs(&job.Job{Account: c.account, Steps: []job.Step{c.step}})
		assert.Equal(t, err != nil, c.refused, c.name)
		if err != nil {
			assert.Equal(t, domain.KindOf(err), domain.KindNotRun)
			assert.Equal(t, domain.AsError(err).RetryAfter, time.Duration(0))
		}
	}
}
