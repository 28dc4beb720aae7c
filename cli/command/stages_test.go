package command

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const stagesLog = `{"time":"2026-01-01T10:00:00.000Z","node":"e1","part":"intake","msg":"accept","job":"41d5497142bc9833"}
{"time":"2026-01-01T10:00:00.690Z","node":"e2","part":"schedule","msg":"place","job":"41d5497142bc9833","task":"41d5497142bc9833.0.0.0","run":1}
{"time":"2026-01-01T10:00:00.700Z","node":"e2","part":"schedule","msg":"place","job":"41d5497142bc9833","task":"41d5497142bc9833.0.0.1","run":1}
{"time":"2026-01-01T10:00:00.720Z","node":"e2","part":"schedule","msg":"started","job":"41d5497142bc9833","task":"41d5497142bc9833.0.0.0","run":1}
{"time":"2026-01-01T10:00:00.900Z","node":"e2","part":"schedule","msg":"started","job":"41d5497142bc9833","task":"41d5497142bc9833.0.0.1","run":1}
{"time":"2026-01-01T10:00:01.300Z","node":"e2","part":"schedule","msg":"end","job":"41d5497142bc9833","task":"41d5497142bc9833.0.0.0","run":1}
{"time":"2026-01-01T10:00:01.400Z","node":"e2","part":"schedule","msg":"end","job":"41d5497142bc9833","task":"41d5497142bc9833.0.0.1","run":1}
{"time":"2026-01-01T10:00:02.400Z","node":"e2","part":"schedule","msg":"place","job":"41d5497142bc9833","task":"41d5497142bc9833.0.1.0","run":1}
{"time":"2026-01-01T10:00:02.500Z","node":"e2","part":"schedule","msg":"started","job":"41d5497142bc9833","task":"41d5497142bc9833.0.1.0","run":1}
{"time":"2026-01-01T10:00:03.100Z","node":"e2","part":"schedule","msg":"end","job":"41d5497142bc9833","task":"41d5497142bc9833.0.1.0","run":1}
{"time":"2026-01-01T10:00:03.101Z","node":"e2","part":"schedule","msg":"close","job":"41d5497142bc9833"}
`

// A late job whose second step waited. Guards against a stage that is attributed to
// another one, such as the wait of a step that runs beside others.
func TestTraceSaysWhichStageTookTheTime(t *testing.T) {
	lines, err := readTraceLines(strings.NewReader(stagesLog), "41d5497142bc9833")
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, writeStages(&out, lines))
	assert.Equal(t, out.String(), "stages: accept_to_place=690ms place_to_start=200ms (41d5497142bc9833.0.0.1 run 1)"+
		" start_to_end=600ms (41d5497142bc9833.0.1.0 run 1) end_to_place=1000ms (41d5497142bc9833.0.1.0 run 1)"+
		" end_to_close=1ms; longest: end_to_place\n")
}

// Lines about a refused request contain no stage.
func TestTraceWithoutDecisionsHasNoStages(t *testing.T) {
	lines, err := readTraceLines(strings.NewReader(`{"time":"2026-01-01T10:00:00Z","msg":"refuse","job":"x"}`), "x")
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, writeStages(&out, lines))
	assert.Equal(t, out.String(), "")
}
