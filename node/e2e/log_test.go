package e2e

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/standin/logservice"
)

const (
	outageDuration = 8 * time.Second
	// slowLogMillis exceeds engine.AppendTimeout (300 ms), after which a request
	// starts without an intent in the log.
	slowLogMillis = 400
	faultDuration = 5 * time.Second
	// outageDetectionTime is how long it takes until every node has detected an
	// outage.
	outageDetectionTime = time.Second
	// minOutageShare is the minimum share of urgent requests that succeed while
	// the log service is slow or unavailable. Owners do not need the log service to
	// run them. TestSilentConnections requires the same share after reconnectTime.
	minOutageShare = 0.95
)

// Guards against urgent requests that wait for an unavailable log service, and
// against work that is lost or repeated because of the outage.
func TestLogOutage(t *testing.T) {
	skipIfKnownRed(t, "TestLogOutage")
	c := startCluster(t, options{})
	tr := startTraffic(c, faultWorkload(401))
	tr.awaitSucceeded(150)
	began := time.Now()
	c.controlLog(logservice.Control{Outage: ptr(logservice.ModeHang)})
	waitFixed(outageDuration)
	ended := time.Now()
	c.controlLog(logservice.Control{Outage: ptr(logservice.ModePass)})
	tr.awaitSucceeded(150)
	tr.finishAndCheck()
	tr.checkSuccessShare("log down", began.Add(outageDetectionTime), ended)
}

// checkSuccessShare checks that at least minOutageShare of the urgent requests
// started in [from, to) succeeded.
func (tr *traffic) checkSuccessShare(name string, from, to time.Time) {
	tr.t.Helper()
	successShare, n := tr.successShare(from, to)
	tr.t.Logf("%s: %.3f of %d urgent requests succeeded", name, successShare, n)
	assert.Check(tr.t, successShare >= minOutageShare, name)
}

// Guards against duplicate and lost work, and against urgent requests that fail,
// while appends are slow and while appends take effect but their replies are
// lost.
func TestSlowLogAndLostAppends(t *testing.T) {
	skipIfKnownRed(t, "TestSlowLogAndLostAppends")
	c := startCluster(t, options{})
	tr := startTraffic(c, faultWorkload(411))
	tr.awaitSucceeded(150)
	began := time.Now()
	c.controlLog(logservice.Control{DelayMillis: ptr(int64(slowLogMillis))})
	waitFixed(faultDuration)
	slow := time.Now()
	c.controlLog(logservice.Control{DelayMillis: ptr(int64(0)), LoseAnswerShare: ptr(0.5)})
	waitFixed(faultDuration)
	lost := time.Now()
	c.controlLog(logservice.Control{LoseAnswerShare: ptr(0.0)})
	tr.awaitSucceeded(150)
	tr.finishAndCheck()
	tr.checkSuccessShare("slow log", began, slow)
	tr.checkSuccessShare("answers of appends lost", slow, lost)
}

// Guards against wrong outcomes when an owner is killed during a log outage,
// while no other node can claim its shards and intents are not in the log.
func TestLogOutageAndKill(t *testing.T) {
	skipIfKnownRed(t, "TestLogOutageAndKill")
	c := startCluster(t, options{})
	tr := startTraffic(c, faultWorkload(421))
	tr.awaitSucceeded(150)
	c.controlLog(logservice.Control{Outage: ptr(logservice.ModeHang)})
	waitFixed(2 * time.Second)
	n, s := c.anyOwnerIn(domains[0])
	n.proc.kill()
	waitFixed(faultDuration)
	back := time.Now()
	c.controlLog(logservice.Control{Outage: ptr(logservice.ModePass)})
	t.Logf("shard %s serves again %s after the log service is back", s, tr.awaitServed(s, back))
	c.startNode(n)
	c.awaitNode(n)
	tr.awaitSucceeded(150)
	tr.finishAndCheck()
}

// Guards against wrong outcomes when a worker is lost while the log service
// process is paused.
func TestPausedLogAndLostWorker(t *testing.T) {
	skipIfKnownRed(t, "TestPausedLogAndLostWorker")
	c := startCluster(t, options{})
	tr := startTraffic(c, faultWorkload(1001))
	tr.awaitSucceeded(150)
	c.log.signal(t, syscall.SIGSTOP)
	waitFixed(2 * time.Second)
	c.workers[0].crash(t)
	waitFixed(8 * time.Second)
	c.log.signal(t, syscall.SIGCONT)
	tr.awaitSucceeded(150)
	tr.finishAndCheck()
}
