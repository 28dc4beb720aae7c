package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/standin/worker"
)

const (
	// reconnectTime bounds the time until requests use new connections: 1 s until
	// an unresponsive connection is closed, and 1 s to open a new one on a busy
	// host.
	reconnectTime = 2 * time.Second
	// longDelayMillis exceeds urgentDeadline.
	longDelayMillis  = 3500
	shortDelayMillis = 300
	// swappedPairs is the number of pairs of calls for which each worker swaps
	// the answers.
	swappedPairs = 20
)

// Guards against requests that keep using connections that are open but no longer
// transfer data, instead of new connections.
func TestSilentConnections(t *testing.T) {
	skipIfKnownRed(t, "TestSilentConnections")
	c := startCluster(t, options{})
	tr := startTraffic(c, faultWorkload(901))
	tr.awaitSucceeded(150)
	for range 3 {
		for _, w := range c.workers {
			w.setControl(t, worker.Control{SilenceEstablished: true})
		}
		since := time.Now()
		waitFixed(reconnectTime + 2*time.Second)
		tr.checkReconnected(since)
	}
	tr.finishAndCheck()
}

// checkReconnected checks that requests succeed once reconnectTime has passed
// since the connections became silent. It only logs how many succeed before.
func (tr *traffic) checkReconnected(since time.Time) {
	tr.t.Helper()
	from, to := since.Add(reconnectTime), since.Add(reconnectTime+time.Second)
	tr.checkSuccessShare("silent connections", from, to)
	during, n := tr.successShare(since, from)
	tr.t.Logf("in the first %s %.3f of %d urgent requests succeeded", reconnectTime, during, n)
}

// Guards against answers that reach the wrong client because the worker sends
// them late or swaps them between calls.
func TestLateAndCrossedAnswers(t *testing.T) {
	skipIfKnownRed(t, "TestLateAndCrossedAnswers")
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
	t.Logf("150 requests succeeded within %s after the delays ended; outcomes %v", time.Since(at), got.states)
	assert.Equal(t, got.failures, 0)
}
