package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/platform"
)

// A job of two steps. Guards against a stage that is measured for each task instead of
// once, and against a wait that is attributed to the wrong stage.
func TestStagesOfAJobAreMeasuredOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.runFor(time.Second)
	j := singleStepJob(2, 1000)
	second := j.Steps[0]
	second.DependsOn = []int{0}
	j.Steps = append(j.Steps, second)
	h.scheduler.Accept(j, h.now)
	h.runFor(400 * time.Millisecond)
	for _, task := range []string{"0123456789abcdef.0.0.0", "0123456789abcdef.0.0.1"} {
		h.workersRunning(task)[0].finish(task, platform.CompletionDone)
	}
	h.runFor(1500 * time.Millisecond)
	count := map[Stage]int{}
	for _, s := range h.scheduler.TakeStages() {
		count[s.Stage]++
		assert.Equal(t, s.Route, testQueue.Route)
		assert.Assert(t, s.Took >= 0 && s.Took < time.Second, "%s %v", s.Stage, s.Took)
	}
	assert.DeepEqual(t, count, map[Stage]int{StageFirstPlace: 1, StageNextPlace: 1, StageStart: 4})
	assert.Equal(t, len(h.scheduler.TakeStages()), 0)
}
