package shard

import (
	"cmp"
	"container/heap"

	"github.com/basilferry/basilferry/core/domain"
)

// deadline is when the clients of a request stop waiting.
type deadline struct {
	at Instant
	id domain.RequestID
}

// deadlines is a heap ordered by time, so that a tick only visits the waits that
// have expired. A due entry is skipped if its request has ended or has another
// deadline by then.
type deadlines []deadline

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface. Equal times are ordered by id, so that the
// same inputs always give the same effects.
func (d deadlines) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), compareIDs(d[i].id, d[j].id)) < 0
}

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// waitUntil sets when the request's clients stop waiting.
func (m *StateMachine) waitUntil(r *request, at Instant) {
	r.expiresAt = at
	heap.Push(&m.waitDeadlines, deadline{at: at, id: r.task.ID})
}

// expireWaits answers clients whose wait has expired.
func (m *StateMachine) expireWaits() {
	for len(m.waitDeadlines) > 0 && m.waitDeadlines[0].at <= m.now {
		due := heap.Pop(&m.waitDeadlines).(deadline)
		r, known := m.requests[due.id]
		if known && r.state != stateEnded && r.expiresAt == due.at {
			m.expireWait(r)
		}
	}
}
