package e2e

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/standin/logservice"
)

const (
	outageLength = 8 * time.Second
	// slowLogMillis is above the 300 ms after which a request starts without
	// an intent.
	slowLogMillis = 400
	faultLength   = 5 * time.Second
	// noticeOutage is the time for every node to notice an outage.
	noticeOutage = time.Second
	// minOutageShare is the least share of urgent requests that run while the
	// log service is down, which no owner needs for them.
	minOutageShare = 0.95
)

// Guards against urgent requests that wait for a log service that is down, and
// against lost or repeated work over the outage.
func TestLogOutage(t *testing.T) {
	knownRed(t, "TestLogOutage")
	c := startCluster(t, options{})
	tr := startTraffic(c, usualMix(401))
	tr.awaitRan(150)
	began := time.Now()
	c.controlLog(logservice.Control{Outage: ptr(logservice.ModeHang)})
	hold(outageLength)
	ended := time.Now()
	c.controlLog(logservice.Control{Outage: ptr(logservice.ModePass)})
	tr.awaitRan(150)
	tr.settle()
	tr.checkShare("log down", began.Add(noticeOutage), ended)
}

// checkShare checks that urgent requests of the interval ran.
func (tr *traffic) checkShare(name string, from, to time.Time) {
	tr.t.Helper()
	share, n := tr.share(from, to)
	tr.t.Logf("%s: %.3f of %d urgent requests ran", name, share, n)
	assert.Check(tr.t, share >= minOutageShare, name)
}

// Guards against duplicates and losses while appends are slow, and while they
// take effect without an answer.
func TestSlowLogAndLostAppends(t *testing.T) {
	knownRed(t, "TestSlowLogAndLostAppends")
	c := startCluster(t, options{})
	tr := startTraffic(c, usualMix(411))
	tr.awaitRan(150)
	began := time.Now()
	c.controlLog(logservice.Control{DelayMillis: ptr(int64(slowLogMillis))})
	hold(faultLength)
	slow := time.Now()
	c.controlLog(logservice.Control{DelayMillis: ptr(int64(0)), LoseAnswerShare: ptr(0.5)})
	hold(faultLength)
	lost := time.Now()
	c.controlLog(logservice.Control{LoseAnswerShare: ptr(0.0)})
	tr.awaitRan(150)
	tr.settle()
	tr.checkShare("slow log", began, slow)
	tr.checkShare("answers of appends lost", slow, lost)
}

// Guards against wrong reports when an owner is lost while no other node can
// claim its shards and intents are not in the log.
func TestLogOutageAndKill(t *testing.T) {
	knownRed(t, "TestLogOutageAndKill")
	c := startCluster(t, options{})
	tr := startTraffic(c, usualMix(421))
	tr.awaitRan(150)
	c.controlLog(logservice.Control{Outage: ptr(logservice.ModeHang)})
	hold(2 * time.Second)
	n, s := c.owner(domains[0])
	n.proc.kill()
	hold(faultLength)
	back := time.Now()
	c.controlLog(logservice.Control{Outage: ptr(logservice.ModePass)})
	t.Logf("shard %s serves again %s after the log service", s, tr.awaitServed(s, back))
	c.start(n)
	c.awaitNode(n)
	tr.awaitRan(150)
	tr.settle()
}

// Guards against the same with a log service process that is stopped while a
// worker is lost.
func TestPausedLogAndLostWorker(t *testing.T) {
	knownRed(t, "TestPausedLogAndLostWorker")
	c := startCluster(t, options{})
	tr := startTraffic(c, usualMix(1001))
	tr.awaitRan(150)
	c.log.signal(t, syscall.SIGSTOP)
	hold(2 * time.Second)
	c.workers[0].crash(t)
	hold(8 * time.Second)
	c.log.signal(t, syscall.SIGCONT)
	tr.awaitRan(150)
	tr.settle()
}
