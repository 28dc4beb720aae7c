package decisionlog

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against lines that are dropped without a report, and against a Write that
// waits for the output.
func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out)
	const excess = 7
	for range maxQueuedLines + excess {
		n, err := s.Write([]byte("{}\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 3)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Run(ctx)
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	assert.Equal(t, len(lines), maxQueuedLines+1)
	var last struct {
		Msg   string
		Count int
	}
	assert.NilError(t, json.Unmarshal(lines[maxQueuedLines], &last))
	assert.Equal(t, last.Msg, "log lines dropped")
	assert.Equal(t, last.Count, excess)
}
