package shard

import (
	"cmp"
	"container/heap"

	"github.com/basilferry/basilferry/core/domain"
)

// deadline is the end of a caller's wait.
type deadline struct {
	at Instant
	id domain.RequestID
}

// deadlines is a heap ordered by time, so that a tick costs the waits that end
// and not all that are open. An entry whose request has ended or waits until
// another time is passed over when it is due.
type deadlines []deadline

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface. Equal times are ordered by id, so that equal
// inputs give equal effects.
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

// waitUntil ends the wait of the request's callers at the time given.
func (m *StateMachine) waitUntil(r *request, at Instant) {
	r.expiresAt = at
	heap.Push(&m.waitDeadlines, deadline{at: at, id: r.task.ID})
}

// expireWaits answers callers whose time is over.
func (m *StateMachine) expireWaits() {
	for len(m.waitDeadlines) > 0 && m.waitDeadlines[0].at <= m.now {
		due := heap.Pop(&m.waitDeadlines).(deadline)
		r, known := m.requests[due.id]
		if known && r.state != stateEnded && r.expiresAt == due.at {
			m.expireWait(r)
		}
	}
}
