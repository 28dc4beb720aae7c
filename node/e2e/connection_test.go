package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/standin/worker"
)

const (
	// redialTime is 1 s of silence until a connection is closed, and as much
	// for the new one on a busy machine.
	redialTime = 2 * time.Second
	// longDelayMillis is above the deadline of the requests.
	longDelayMillis  = 3500
	shortDelayMillis = 300
	crossedPairs     = 20
)

// Guards against connections that are open but dead: requests have to go on
// over new ones.
func TestSilentConnections(t *testing.T) {
	knownRed(t, "TestSilentConnections")
	c := startCluster(t, options{})
	tr := startTraffic(c, usualMix(901))
	tr.awaitRan(150)
	for range 3 {
		for _, w := range c.workers {
			w.set(t, worker.Control{SilenceEstablished: true})
		}
		silent := time.Now()
		hold(redialTime + 2*time.Second)
		tr.checkSilence(silent)
	}
	tr.settle()
}

// checkSilence checks that requests ran over new connections.
func (tr *traffic) checkSilence(silent time.Time) {
	tr.t.Helper()
	from, to := silent.Add(redialTime), silent.Add(redialTime+time.Second)
	tr.checkShare("silent connections", from, to)
	during, n := tr.share(silent, from)
	tr.t.Logf("in the first %s %.3f of %d urgent requests ran", redialTime, during, n)
}

// Guards against answers that reach the wrong caller because the worker sends
// them late or to the wrong call.
func TestLateAndCrossedAnswers(t *testing.T) {
	knownRed(t, "TestLateAndCrossedAnswers")
	c := startCluster(t, options{})
	tr := startTraffic(c, usualMix(911))
	tr.awaitRan(150)
	for _, w := range c.workers {
		w.set(t, worker.Control{SwapNext: ptr(crossedPairs), DelayMillis: ptr(int64(shortDelayMillis))})
	}
	hold(faultLength)
	c.workers[0].set(t, worker.Control{DelayMillis: ptr(int64(longDelayMillis))})
	hold(faultLength)
	for _, w := range c.workers {
		w.set(t, worker.Control{DelayMillis: ptr(int64(0))})
	}
	at := time.Now()
	tr.awaitRan(150)
	got, _ := tr.settle()
	t.Logf("150 requests ran within %s of the end of the delays; outcomes %v", time.Since(at), got.states)
	assert.Equal(t, got.failures, 0)
}
