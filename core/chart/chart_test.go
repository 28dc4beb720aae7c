package chart

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against chart files with unreachable states or ambiguous transitions.
func TestEmbeddedChartsAreValid(t *testing.T) {
	for _, name := range []string{"task", "worker"} {
		c, err := Load(name)
		assert.NilError(t, err, name)
		assert.Assert(t, c.Initial() != "", name)
	}
}

// Guards against accepting an event that has no transition from the current
// state.
func TestNextRejectsMissingTransitions(t *testing.T) {
	c := MustLoad("task")
	s, err := c.Next("queued", "place")
	assert.NilError(t, err)
	assert.Equal(t, s, State("starting"))

	s, err = c.Next("ended", "place")
	assert.ErrorContains(t, err, "event place in state ended")
	assert.Equal(t, s, State("ended"))
	assert.Assert(t, !c.Can("ended", "queue"))
}

// Guards against accepting a chart with two transitions for one event in a
// state, an unreachable state or a transition from a final state.
func TestParseRejectsInvalidCharts(t *testing.T) {
	cases := map[string]string{
		"two transitions": `{"name":"x","initial":"a","transitions":[
			{"event":"e","from":["a"],"to":"b"},{"event":"e","from":["a"],"to":"c"}]}`,
		"cannot be reached": `{"name":"x","initial":"a","transitions":[{"event":"e","from":["b"],"to":"a"}]}`,
		"final state":       `{"name":"x","initial":"a","final":["a"],"transitions":[{"event":"e","from":["a"],"to":"b"}]}`,
	}
	for want, data := range cases {
		_, err := parseChart([]byte(data))
		assert.ErrorContains(t, err, want)
	}
}
