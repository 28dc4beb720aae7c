package command

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const traceLog = `  3.2 n2 {"time":"2026-07-10T16:23:12.126Z","level":"INFO","msg":"place","node":"n2","part":"schedule","job":"527a3d70119eb1ef","worker":"i-1","run":2}
not JSON 527a3d70119eb1ef
  1.0 n1 {"time":"2026-07-10T16:23:09.116Z","level":"INFO","msg":"accept","node":"n1","part":"intake","job":"527a3d70119eb1ef","config":2}
  1.1 n1 {"time":"2026-07-10T16:23:09.216Z","level":"INFO","msg":"accept","node":"n1","part":"intake","job":"0000000000000000"}
`

// Guards against a trace that prints the lines of several nodes out of order, or
// stops at a line that is not JSON.
func TestTraceOrdersLinesOfOneJob(t *testing.T) {
	var out, errs bytes.Buffer
	env := Env{In: strings.NewReader(traceLog), Out: &out, Err: &errs}
	assert.Equal(t, Run(context.Background(), []string{"basilferry", "trace", "527a3d70119eb1ef"}, env), 0)
	assert.Equal(t, out.String(), "16:23:09.116 n1 intake: accept config=2\n16:23:12.126 n2 schedule: place run=2 worker=i-1\n"+
		"stages: accept_to_place=3010ms; longest: accept_to_place\n")
}

// Guards against an empty result without an error for an id that no line contains.
func TestTraceOfUnknownJobFails(t *testing.T) {
	var out, errs bytes.Buffer
	env := Env{In: strings.NewReader(traceLog), Out: &out, Err: &errs}
	assert.Assert(t, Run(context.Background(), []string{"basilferry", "trace", "ffffffffffffffff"}, env) != 0)
	assert.Assert(t, strings.Contains(errs.String(), "give the logs of all nodes"))
}
