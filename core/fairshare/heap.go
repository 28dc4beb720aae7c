package fairshare

import "container/heap"

// heapElement is an element of an indexedHeap. It stores its own index.
type heapElement interface {
	before(other heapElement) bool
	heapIndex() *int
}

// indexedHeap is a heap whose elements can be moved and removed.
type indexedHeap []heapElement

// notInHeap is the index of an element that is in no heap.
const notInHeap = -1

func (r indexedHeap) Len() int           { return len(r) }
func (r indexedHeap) Less(i, j int) bool { return r[i].before(r[j]) }

func (r indexedHeap) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	*r[i].heapIndex() = i
	*r[j].heapIndex() = j
}

// Push implements heap.Interface.
func (r *indexedHeap) Push(x any) {
	e := x.(heapElement)
	*e.heapIndex() = len(*r)
	*r = append(*r, e)
}

// Pop implements heap.Interface.
func (r *indexedHeap) Pop() any {
	last := len(*r) - 1
	e := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	*e.heapIndex() = notInHeap
	return e
}

// update adds the element, or restores the heap order after it has changed.
func (r *indexedHeap) update(e heapElement) {
	if *e.heapIndex() == notInHeap {
		heap.Push(r, e)
		return
	}
	heap.Fix(r, *e.heapIndex())
}

// remove removes the element if it is present.
func (r *indexedHeap) remove(e heapElement) {
	if *e.heapIndex() != notInHeap {
		heap.Remove(r, *e.heapIndex())
	}
}
