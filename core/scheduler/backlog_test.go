package scheduler

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/backlog"
	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

var deskPool = dispatch.Pool{Service: "desk"}

// advanceTo runs the load with a summary every half second, and returns the last one.
func (r *burstRun) advanceTo(until time.Duration, each func(*backlog.Summary)) *backlog.Summary {
	var s *backlog.Summary
	for r.now < r.began+until {
		r.advance(r.now - r.began + 500*time.Millisecond)
		s = r.scheduler.Backlog(r.now, r.now.Milliseconds())
		each(s)
	}
	return s
}

// Guards against a rate that is taken from the load while there is room for more: a burst
// would then be refused although the pool can serve it. Guards also against a rate under
// overload that is not the capacity, and against a backlog that does not end.
func TestRateIsKnownOnlyWhileThePoolIsFull(t *testing.T) {
	r := newBurstRun(t, burstLoads["large tasks of a third of a worker"], 0)
	r.advanceTo(burstBegins, func(s *backlog.Summary) {
		if p := s.Pool(deskPool); p != nil {
			assert.Equal(t, p.Rate, 0.0)
		}
	})
	p := r.advanceTo(burstEnds, func(*backlog.Summary) {}).Pool(deskPool)
	// 48 cores, less the 7.5 that the large tasks hold.
	assert.Assert(t, math.Abs(p.Rate-40.5) < 5, "%+v", p)
	assert.Assert(t, math.Abs(p.Slowdown-1) < 0.2, "%+v", p)
	waiting := 0.0
	for _, e := range r.scheduler.Ledger().OpenJobs() {
		if !e.Job.HasLongRunningStep() {
			waiting += e.Job.Steps[0].CoreSeconds() / float64(e.Job.Steps[0].Count) * float64(e.WaitingCount(0, 0))
		}
	}
	assert.Assert(t, p.Work.Total() > 0.8*waiting && p.Work.Total() < waiting+60, "%v of %v", p.Work.Total(), waiting)
	r.load.interval = time.Hour
	r.nextJob = r.now + time.Hour
	r.advance(loadEnds + 20*time.Second)
	assert.Equal(t, len(r.scheduler.Backlog(r.now, r.now.Milliseconds()).Pools), 0)
}

// The tasks of an account wait for the account's limit while half of the workers are free.
// Guards against a backlog of one account that leads to refusals for others, and against one
// that is not held against the account itself.
func TestAccountAtItsLimitIsNoBacklogOfThePool(t *testing.T) {
	h := newHarness(t, 4)
	h.scheduler.SetConfig(&platform.OperatorConfig{
		Version: 2, Routes: []platform.Route{{Queue: testQueue}}, HasAccounts: true,
		Accounts: []account.Account{{Name: "laboratory", Limit: domain.Resources{CPUMilli: 8000}}},
	})
	j := singleStepJob(16, 1000)
	j.Account = "laboratory"
	h.scheduler.Accept(j, h.now)
	b := h.scheduler.Backlog(h.now, 0)
	assert.DeepEqual(t, b.Accounts, []backlog.Account{{Name: "laboratory", Rate: 8, Work: b.Pools[0].Work}})
	assert.Equal(t, b.Pools[0].Work.Total(), 16.0)
	builder := summaryBuilder{s: h.scheduler, limits: h.scheduler.accountLimits(), use: map[string]float64{"laboratory": 8}}
	waiting := &poolWork{waiting: map[string]bool{"laboratory": true}}
	assert.Assert(t, !builder.waitsForCapacity(waiting))
	waiting.waiting["other"] = true
	assert.Assert(t, builder.waitsForCapacity(waiting))
}
