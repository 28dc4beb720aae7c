package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	initialLeaves = 64
	// seedStream keeps the random sequence independent of other generators
	// that use the same seed.
	seedStream = 0x706c6163
)

// Index is the set of workers with the reservations on them. It is not safe
// for concurrent use.
type Index struct {
	limits             Limits
	workers            []*worker // by leaf; nil where a worker was removed
	leafOf             map[domain.WorkerID]int
	vacant             []int // leaves without a worker
	racks              map[string]*rack
	workersPerCapacity map[domain.Resources]int // only workers whose capacity is known
	capacities         []domain.Resources       // keys of workersPerCapacity, largest first
	total              domain.Resources         // capacity of the workers that are up
	available          int64                    // workers that are up and not blocked
	availableNoisy     int64                    // available workers that are noisy
	quietSlots         int64                    // free slots of available workers that are not noisy
	tree               *tree
	random             *rand.Rand
	matches            candidates // reused between calls
}

// New returns an empty index. The seed determines all its random choices.
func New(seed uint64) *Index {
	return &Index{
		limits:             Limits{BatchShare: 1},
		leafOf:             map[domain.WorkerID]int{},
		racks:              map[string]*rack{},
		workersPerCapacity: map[domain.Resources]int{},
		tree:               newTree(initialLeaves),
		random:             rand.New(rand.NewPCG(seed, seedStream)),
	}
}

// SetLimits applies the limits of a preset. Existing reservations stay.
func (x *Index) SetLimits(l Limits) {
	x.limits = l
	for leaf := range x.workers {
		x.refresh(leaf)
	}
}

// Limits returns the current limits.
func (x *Index) Limits() Limits { return x.limits }

// MarkUp adds a worker, or makes a known one available again, with the given
// capacity.
func (x *Index) MarkUp(v Worker) {
	leaf := x.leaf(v.ID)
	w := x.workers[leaf]
	x.setUp(w, false)
	x.uncountCapacity(w)
	x.moveRack(w, v.Rack)
	w.Worker = v
	w.known = true
	x.setUp(w, true)
	w.removed = false
	x.countCapacity(v.Capacity, 1)
	x.refresh(leaf)
}

// MarkDown makes a worker unavailable. The reservations on it stay.
func (x *Index) MarkDown(id domain.WorkerID) {
	if leaf, ok := x.leafOf[id]; ok {
		x.setUp(x.workers[leaf], false)
		x.refresh(leaf)
	}
}

// SetBlocked excludes a worker from Find or, with false, includes it again. It
// applies whether or not the worker is up.
func (x *Index) SetBlocked(id domain.WorkerID, blocked bool) {
	if leaf, ok := x.leafOf[id]; ok {
		x.workers[leaf].blocked = blocked
		x.refresh(leaf)
	}
}

// SetNoisy marks whether noisy tasks run on a worker; see NoiseFilter.
func (x *Index) SetNoisy(id domain.WorkerID, noisy bool) {
	leaf, ok := x.leafOf[id]
	if !ok || x.workers[leaf].noisy == noisy {
		return
	}
	x.workers[leaf].noisy = noisy
	x.refresh(leaf)
}

// NoisyShare returns the share of noisy workers among those that are up and
// not blocked.
func (x *Index) NoisyShare() float64 {
	return ratio(x.availableNoisy, x.available)
}

// QuietSlots returns the number of free slots on workers that are up, not
// blocked and not noisy.
func (x *Index) QuietSlots() int64 { return x.quietSlots }

// Total returns the capacity of the workers that are up.
func (x *Index) Total() domain.Resources { return x.total }

// RemoveWorker removes a worker. If tasks still have reservations on it, it
// becomes unavailable and is removed with the last Release.
func (x *Index) RemoveWorker(id domain.WorkerID) {
	leaf, ok := x.leafOf[id]
	if !ok {
		return
	}
	w := x.workers[leaf]
	w.removed = true
	x.setUp(w, false)
	x.refresh(leaf)
	x.removeIfEmpty(leaf)
}

// Reserve adds the reservation of a task on a worker. An unknown worker is added
// and stays unavailable until MarkUp. A second Reserve with the same worker and
// task id replaces the first.
func (x *Index) Reserve(id domain.WorkerID, t Task) {
	leaf := x.leaf(id)
	w := x.workers[leaf]
	if old, ok := w.tasks[t.ID]; ok {
		w.remove(old)
	}
	t.Reserved = t.Reserved.AtLeastZero()
	w.add(t)
	x.refresh(leaf)
}

// Release removes the reservation of a task and returns the task. It returns
// false for an unknown worker or task.
func (x *Index) Release(id domain.WorkerID, task domain.RequestID) (Task, bool) {
	leaf, ok := x.leafOf[id]
	if !ok {
		return Task{}, false
	}
	w := x.workers[leaf]
	t, ok := w.tasks[task]
	if !ok {
		return Task{}, false
	}
	w.remove(t)
	x.refresh(leaf)
	x.removeIfEmpty(leaf)
	return t, true
}

// Task returns a task that has a reservation on a worker.
func (x *Index) Task(id domain.WorkerID, task domain.RequestID) (Task, bool) {
	leaf, ok := x.leafOf[id]
	if !ok {
		return Task{}, false
	}
	t, ok := x.workers[leaf].tasks[task]
	return t, ok
}

// ReservedOn returns the sum of the reservations on a worker, at most its
// capacity in every dimension. A worker with reservations beyond its capacity
// stays full until enough of them are released.
func (x *Index) ReservedOn(id domain.WorkerID) domain.Resources {
	leaf, ok := x.leafOf[id]
	if !ok {
		return domain.Resources{}
	}
	w := x.workers[leaf]
	return w.Capacity.Sub(w.free())
}

// Occupants returns the number of tasks on a worker per class and kind. The
// slice is valid until the next change of the index.
func (x *Index) Occupants(id domain.WorkerID) []Occupant {
	leaf, ok := x.leafOf[id]
	if !ok {
		return nil
	}
	return x.workers[leaf].occupants
}

// Fits reports whether the worker is up and has enough free capacity for the
// demand now. It ignores whether the worker is blocked.
func (x *Index) Fits(id domain.WorkerID, kind domain.Kind, demand domain.Resources) bool {
	leaf, ok := x.leafOf[id]
	if !ok || !x.workers[leaf].up {
		return false
	}
	r := x.workers[leaf].freeIfAvailable(x.limits)
	return demand.Fits(r[freeIndex(kind, Anywhere)])
}

// Room returns the free capacity of a worker for tasks of a kind. Every
// dimension is negative if the worker accepts none.
func (x *Index) Room(id domain.WorkerID, kind domain.Kind) domain.Resources {
	leaf, ok := x.leafOf[id]
	if !ok {
		return noCapacity
	}
	return x.workers[leaf].freeByKind(x.limits)[freeIndex(kind, Anywhere)]
}

// Capacities returns the distinct capacities of the workers, largest first. It
// leaves out workers that were added by Reserve only.
func (x *Index) Capacities() []domain.Resources { return x.capacities }

// Len returns the number of workers, including those that were added by Reserve
// only and those that are removed with their last Release.
func (x *Index) Len() int { return len(x.leafOf) }

// leaf returns the leaf of a worker. It adds an unknown worker, as not up.
func (x *Index) leaf(id domain.WorkerID) int {
	if leaf, ok := x.leafOf[id]; ok {
		return leaf
	}
	leaf := x.vacantLeaf()
	x.leafOf[id] = leaf
	x.workers[leaf] = &worker{Worker: Worker{ID: id}, tasks: map[domain.RequestID]Task{}}
	x.moveRack(x.workers[leaf], "")
	return leaf
}

func (x *Index) setUp(w *worker, up bool) {
	if w.up == up {
		return
	}
	w.up = up
	if up {
		x.total = x.total.Add(w.Capacity)
	} else {
		x.total = x.total.Sub(w.Capacity)
	}
}

func (x *Index) vacantLeaf() int {
	if n := len(x.vacant); n > 0 {
		leaf := x.vacant[n-1]
		x.vacant = x.vacant[:n-1]
		return leaf
	}
	x.workers = append(x.workers, nil)
	if len(x.workers) > x.tree.leaves {
		x.tree = x.tree.grow()
	}
	return len(x.workers) - 1
}

// refresh updates the counts and the tree after a change of a worker.
func (x *Index) refresh(leaf int) {
	if w := x.workers[leaf]; w != nil {
		x.tally(w)
		x.tree.set(leaf, w.freeByKind(x.limits))
	}
}

func (x *Index) tally(w *worker) {
	x.available -= w.tallied.available
	x.availableNoisy -= w.tallied.availableNoisy
	x.quietSlots -= w.tallied.quietSlots
	w.tallied = w.tally()
	x.available += w.tallied.available
	x.availableNoisy += w.tallied.availableNoisy
	x.quietSlots += w.tallied.quietSlots
}

func (x *Index) removeIfEmpty(leaf int) {
	w := x.workers[leaf]
	if !w.removed || len(w.tasks) > 0 {
		return
	}
	x.uncountCapacity(w)
	x.leaveRack(w)
	delete(x.leafOf, w.ID)
	x.workers[leaf] = nil
	x.vacant = append(x.vacant, leaf)
	x.tree.set(leaf, noneFree)
}

func (x *Index) moveRack(w *worker, name string) {
	if w.rack != nil && w.rack.name == name {
		return
	}
	x.leaveRack(w)
	r, ok := x.racks[name]
	if !ok {
		r = &rack{name: name, classes: map[domain.Class]int64{}}
		x.racks[name] = r
	}
	r.workers++
	w.rack = r
	for _, o := range w.occupants {
		r.count(o.Class, int64(o.Count))
	}
}

func (x *Index) leaveRack(w *worker) {
	if w.rack == nil {
		return
	}
	for _, o := range w.occupants {
		w.rack.count(o.Class, -int64(o.Count))
	}
	w.rack.workers--
	if w.rack.workers == 0 {
		delete(x.racks, w.rack.name)
	}
	w.rack = nil
}

func (x *Index) uncountCapacity(w *worker) {
	if w.known {
		x.countCapacity(w.Capacity, -1)
	}
}

func (x *Index) countCapacity(c domain.Resources, by int) {
	x.workersPerCapacity[c] += by
	i, found := slices.BinarySearchFunc(x.capacities, c, largestFirst)
	switch {
	case x.workersPerCapacity[c] == 0:
		delete(x.workersPerCapacity, c)
		x.capacities = slices.Delete(x.capacities, i, i+1)
	case !found:
		x.capacities = slices.Insert(x.capacities, i, c)
	}
}

func largestFirst(a, b domain.Resources) int {
	return cmp.Or(
		cmp.Compare(b.CPUMilli, a.CPUMilli),
		cmp.Compare(b.MemoryMiB, a.MemoryMiB),
		cmp.Compare(b.Accelerators, a.Accelerators),
		cmp.Compare(b.Slots, a.Slots),
		cmp.Compare(b.Connections, a.Connections),
	)
}
