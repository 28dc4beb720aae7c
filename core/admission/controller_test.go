package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func newMeasuredController(took time.Duration) *Controller {
	c := New()
	for range 2 * minSamples {
		c.RecordStart(0, "c", false)
		c.RecordServiceTime(0, "c", took)
	}
	return c
}

// Guards against admitting a request that is expected to miss its deadline, whose
// client is better served by an early refusal, and against refusals without enough
// measurements.
func TestCheckAdmitsOnlyWhatFitsTheBudget(t *testing.T) {
	for _, test := range []struct {
		name    string
		c       *Controller
		r       Request
		refused bool
	}{
		{"no measurements", New(), Request{Class: "c", Budget: ms}, false},
		{"no time left", New(), Request{Class: "c"}, true},
		{"wait too long", New(), Request{Class: "c", Budget: ms, Wait: 2 * ms}, true},
		{"fits", newMeasuredController(100 * ms), Request{Class: "c", Budget: 120 * ms}, false},
		{"service too long", newMeasuredController(100 * ms), Request{Class: "c", Budget: 90 * ms}, true},
		{"wait and service too long", newMeasuredController(100 * ms), Request{Class: "c", Budget: 120 * ms, Wait: 30 * ms}, true},
		{"other class", newMeasuredController(100 * ms), Request{Class: "d", Budget: 90 * ms}, false},
	} {
		got := test.c.Check(0, test.r)
		assert.Equal(t, got != "", test.refused, "%s: %s", test.name, got)
	}
}

// Guards against a class whose requests are refused forever, because its service
// time is not measured again after it was slow for a while.
func TestProbesRefusedClass(t *testing.T) {
	c := newMeasuredController(100 * ms)
	r := Request{Class: "c", Budget: 90 * ms}
	assert.Assert(t, c.Check(probeInterval-1, r) != "")
	assert.Equal(t, c.Check(probeInterval, r), "")
	c.RecordStart(probeInterval, "c", false)
	assert.Assert(t, c.Check(probeInterval, r) != "")
	assert.Assert(t, c.IsTooLate(probeInterval, r))
	r.Budget = time.Hour
	assert.Assert(t, !c.IsTooLate(probeInterval, r))
}

// Guards against retries that multiply the load when many starts are refused.
func TestRetriesStayWithinBudget(t *testing.T) {
	c := New()
	retry := Request{Class: "c", Budget: ms, Retry: true}
	assert.Assert(t, c.Check(0, retry) != "")
	c.SetRetryShare(0.1)
	retries := 0
	for range 1000 {
		c.RecordStart(0, "c", false)
		for c.Check(0, retry) == "" {
			c.RecordStart(0, "c", true)
			retries++
		}
	}
	assert.Assert(t, retries >= 100 && retries <= 100+maxRetryTokens, "%d retries", retries)
}
