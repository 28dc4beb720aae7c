package fairshare

import "container/heap"

// ranked is an element of a ranking. It knows its own place.
type ranked interface {
	before(other ranked) bool
	place() *int
}

// ranking is a heap whose elements can be moved and removed.
type ranking []ranked

// absent is the place of an element that is in no ranking.
const absent = -1

func (r ranking) Len() int           { return len(r) }
func (r ranking) Less(i, j int) bool { return r[i].before(r[j]) }

func (r ranking) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	*r[i].place() = i
	*r[j].place() = j
}

// Push implements heap.Interface.
func (r *ranking) Push(x any) {
	e := x.(ranked)
	*e.place() = len(*r)
	*r = append(*r, e)
}

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := len(*r) - 1
	e := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	*e.place() = absent
	return e
}

// put adds the element or moves it to its place.
func (r *ranking) put(e ranked) {
	if *e.place() == absent {
		heap.Push(r, e)
		return
	}
	heap.Fix(r, *e.place())
}

// take removes the element if it is present.
func (r *ranking) take(e ranked) {
	if *e.place() != absent {
		heap.Remove(r, *e.place())
	}
}
