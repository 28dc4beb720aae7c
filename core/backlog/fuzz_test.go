package backlog

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a record that ends the process of each node that reads it, and against one
// that is stored in a form that the next node cannot decode.
func FuzzDecode(f *testing.F) {
	record, err := desk(Cell{Class: 3, Work: 12.5, OnTime: 4.5}).Encode()
	assert.NilError(f, err)
	f.Add(record)
	f.Fuzz(func(t *testing.T, record []byte) {
		s, err := Decode(record)
		if err != nil {
			return
		}
		for _, j := range []struct{ tasks int }{{1}, {100_000}} {
			v := Estimate(testJob(shortQueue, j.tasks), shortQueue, s)
			assert.Assert(t, v.Finish >= 0 && v.RetryAfter >= 0, "%+v", v)
		}
		again, err := s.Encode()
		assert.NilError(t, err)
		_, err = Decode(again)
		assert.NilError(t, err)
	})
}
