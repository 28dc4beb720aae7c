package backlog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/duration"
)

// Guards against a decoded summary that leads to other decisions than the encoded one.
func TestRecordRoundTrip(t *testing.T) {
	s := desk(Cell{Priority: 2, Class: 3, Work: 12.5, OnTime: 4.5}, onTime(0, 1, 400))
	s.Accounts = []Account{{Name: "laboratory", Rate: 2.25, Work: Histogram{onTime(0, 1, 20)}}}
	s.Queues[1].Correction = duration.Correction{Intercept: -0.47, Slope: 0.23}
	record, err := s.Encode()
	assert.NilError(t, err)
	got, err := Decode(record)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, s)
	assert.Assert(t, !got.DiffersNoticeably(s))
}

// Guards against a record that grows with the configuration or with the work: all nodes read
// it. What is omitted must be what does not lead to more refusals.
func TestRecordSizeIsBounded(t *testing.T) {
	s := &Summary{}
	for i := range 40 {
		p := Pool{ID: dispatch.Pool{Service: fmt.Sprint("service-", i)}, Rate: 1234.5, Slowdown: 1.5}
		for class := range Classes {
			p.Work.Add(onTime(i%3, class, float64(1000*(i+1))))
		}
		s.Pools = append(s.Pools, p)
		s.Accounts = append(s.Accounts, Account{Name: fmt.Sprint("account-", i), Rate: 8, Work: p.Work})
		s.Queues = append(s.Queues, Queue{Route: fmt.Sprint("route-", i), MeanWork: 17})
	}
	record, err := s.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(record) <= MaxBytes)
	got, err := Decode(record)
	assert.NilError(t, err)
	assert.Equal(t, got.Pools[0].ID.Service, "service-39")
	assert.Assert(t, len(got.Pools) >= 1 && len(got.Queues) >= 1)
	usual := desk()
	for i := range usual.Pools {
		for class := range Classes {
			usual.Pools[i].Work.Add(onTime(2*i, class, 900))
		}
	}
	record, err = usual.Encode()
	assert.NilError(t, err)
	t.Logf("two queues and two pools with all classes: %d bytes", len(record))
	got, err = Decode(record)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, usual)
}

// Guards against a record at each renewal while nothing changes, and against a change of a
// decision that the nodes do not learn.
func TestNoticeableDifferences(t *testing.T) {
	base, more, slower := desk(onTime(0, 3, 60)), desk(onTime(0, 3, 64)), desk(onTime(0, 3, 60))
	slower.Pools[0].Rate = 8
	assert.Assert(t, !base.DiffersNoticeably(more))
	assert.Assert(t, base.DiffersNoticeably(desk(onTime(0, 3, 70))))
	assert.Assert(t, base.DiffersNoticeably(desk(onTime(0, 3, 60), onTime(1, 3, 60))))
	assert.Assert(t, base.DiffersNoticeably(slower))
	assert.Assert(t, base.DiffersNoticeably(&Summary{}))
	assert.Assert(t, !desk(onTime(0, 3, 0.2)).DiffersNoticeably(desk(onTime(0, 3, 0.9))))
}
