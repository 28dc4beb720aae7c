package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/standin/worker"
)

const (
	// reconnectTime is 1 s of silence until a connection is closed, and as much
	// for the new one on a busy machine.
	reconnectTime = 2 * time.Second
	// longDelayMillis is above the deadline of the requests.
	longDelayMillis  = 3500
	shortDelayMillis = 300
	swappedPairs     = 20
)

// Guards against connections that are open but dead: requests have to go on
// over new ones.
func TestSilentConnections(t *testing.T) {
	knownRed(t, "TestSilentConnections")
	c := startCluster(t, options{})
	tr := startTraffic(c, faultWorkload(901))
	tr.awaitSucceeded(150)
	for range 3 {
		for _, w := range c.workers {
			w.setControl(t, worker.Control{SilenceEstablished: true})
		}
		silent := time.Now()
		waitFixed(reconnectTime + 2*time.Second)
		tr.checkReconnected(silent)
	}
	tr.finishAndCheck()
}

// checkReconnected checks that requests ran over new connections.
func (tr *traffic) checkReconnected(silent time.Time) {
	tr.t.Helper()
	from, to := silent.Add(reconnectTime), silent.Add(reconnectTime+time.Second)
	tr.checkSuccessShare("silent connections", from, to)
	during, n := tr.successShare(silent, from)
	tr.t.Logf("in the first %s %.3f of %d urgent requests ran", reconnectTime, during, n)
}

// Guards against answers that reach the wrong caller because the worker sends
// them late or to the wrong call.
func TestLateAndCrossedAnswers(t *testing.T) {
	knownRed(t, "TestLateAndCrossedAnswers")
	c := startCluster(t, options{})
	tr := startTraffic(c, faultWorkload(911))
	tr.awaitSucceeded(150)
	for _, w := range c.workers {
		w.setControl(t, worker.Control{SwapNext: ptr(swappedPairs), DelayMillis: ptr(int64(shortDelayMillis))})
	}
	waitFixed(faultDuration)
	c.workers[0].setControl(t, worker.Control{DelayMillis: ptr(int64(longDelayMillis))})
	waitFixed(faultDuration)
	for _, w := range c.workers {
		w.setControl(t, worker.Control{DelayMillis: ptr(int64(0))})
	}
	at := time.Now()
	tr.awaitSucceeded(150)
	got, _ := tr.finishAndCheck()
	t.Logf("150 requests ran within %s of the end of the delays; outcomes %v", time.Since(at), got.states)
	assert.Equal(t, got.failures, 0)
}
