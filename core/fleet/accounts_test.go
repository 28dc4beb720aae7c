package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
)

// Guards against a use that drifts as attempts come, are replaced and go, that leaves out
// the CPU of best-effort tasks, or that misses the attempts of workers that are not registered.
func TestAccountUseFollowsTheAttempts(t *testing.T) {
	f := New()
	need := domain.Resources{CPUMilli: 1000, MemoryMiB: 10}
	attempt := func(index int, account string) *Attempt {
		step := &job.Step{Need: need, Fills: true}
		return &Attempt{ID: job.TaskID{Index: index}, Account: account, Step: step, Need: step.ReservedCapacity()}
	}
	w0, w1 := f.Ensure("w0"), f.Ensure("w1")
	first, again, other := attempt(0, "a"), attempt(0, "a"), attempt(1, "a")
	w0.Add(first)
	w0.Add(again) // Replaces the first attempt.
	w1.Add(other)
	w1.Add(attempt(2, "b"))
	w1.Add(attempt(3, ""))
	w1.Add(&Attempt{ID: job.TaskID{Index: 4}, Account: "b", FullNeed: need})
	w0.Remove(first) // It is no longer there.
	assert.Equal(t, f.AccountUse("a"), need.Add(need))
	assert.Equal(t, f.AccountUse("b"), need.Add(need))
	w0.Remove(again)
	w0.Remove(again)
	w1.Remove(other)
	assert.Equal(t, f.AccountUse("a"), domain.Resources{})
	assert.Equal(t, len(f.accounts), 1)
	assert.Equal(t, f.AccountUse(""), domain.Resources{})
}
