package explain

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
)

func id(n int) domain.RequestID {
	return domain.RequestID{Shard: domain.ShardID{Domain: "volos"}, Epoch: 1, Seq: uint64(n)}
}

func reasons(entries []Entry) string {
	var texts []string
	for _, e := range entries {
		texts = append(texts, e.Reason)
	}
	return strings.Join(texts, " ")
}

// Guards against a store that grows without bound or drops newer entries first.
func TestDropsOldestEntriesAtBounds(t *testing.T) {
	s := NewStore(4, 1<<20)
	for i := range 6 {
		s.Add(id(i%2), Entry{Reason: fmt.Sprint(i)})
	}
	assert.Equal(t, s.Len(), 4)
	assert.Equal(t, reasons(s.Get(id(0))), "2 4")
	assert.Equal(t, reasons(s.Get(id(1))), "3 5")

	s = NewStore(1000, 3*entryOverheadBytes+10)
	for i := range 4 {
		s.Add(id(i), Entry{Reason: "abc"})
	}
	assert.Equal(t, s.Len(), 3)
	assert.Equal(t, len(s.Get(id(0))), 0)
	assert.Equal(t, s.Bytes(), int64(3*(entryOverheadBytes+3)))
	s.Add(id(5), Entry{Reason: strings.Repeat("é", MaxReasonBytes)})
	assert.Equal(t, len(s.Get(id(5))[0].Reason), MaxReasonBytes)
	assert.Assert(t, s.Bytes() <= 3*entryOverheadBytes+10)

	none := NewStore(0, 0)
	none.Add(id(1), Entry{Reason: "a"})
	assert.Equal(t, none.Len(), 0)
	assert.Equal(t, none.Bytes(), int64(0))
}

// Guards against one request that displaces the entries of others.
func TestBusyRequestKeepsOthersEntries(t *testing.T) {
	s := NewStore(1000, 1<<30)
	s.Add(id(1), Entry{Reason: "kept"})
	for i := range 5000 {
		s.Add(id(2), Entry{Reason: fmt.Sprint(i)})
	}
	assert.Equal(t, reasons(s.Get(id(1))), "kept")
	assert.Equal(t, len(s.Get(id(2))), MaxEntriesPerRequest)
	assert.Equal(t, s.Get(id(2))[MaxEntriesPerRequest-1].Reason, "4999")
}

// Guards against heap use that exceeds the counted bytes by 25% or more.
func TestCountedBytesCoverHeap(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := NewStore(1<<20, 8<<20)
	for i := range 60_000 {
		s.Add(id(i), Entry{Node: "n1", Reason: fmt.Sprintf("%040d", i)})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	assert.Assert(t, used < s.Bytes()*5/4, "used %d, counted %d", used, s.Bytes())
	t.Logf("used %d bytes, counted %d for %d entries", used, s.Bytes(), s.Len())
	runtime.KeepAlive(s)
}
