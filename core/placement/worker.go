package placement

import (
	"github.com/basilferry/basilferry/core/domain"
)

// Worker describes a worker VM.
type Worker struct {
	ID       domain.WorkerID
	Rack     string
	Capacity domain.Resources
}

// Task is a task with its reservation on a worker.
type Task struct {
	ID       domain.RequestID
	Kind     domain.Kind
	Class    domain.Class
	Team     domain.Team
	Reserved domain.Resources
}

// Occupant counts the tasks of one class and kind on a worker.
type Occupant struct {
	Class domain.Class
	Kind  domain.Kind
	Count int
}

// Limits are the bounds that a preset, a named set of scheduling parameters,
// sets for every worker.
type Limits struct {
	// BatchShare is the share of each worker's capacity that batch tasks may
	// reserve together, in [0, 1].
	BatchShare float64
	// UrgentSlots is the number of slots on each worker that batch tasks leave
	// free for urgent requests.
	UrgentSlots int64
	// UrgentPerWorker is the maximum number of urgent requests that run
	// concurrently on a worker; zero means the number of its slots.
	UrgentPerWorker int64
}

// BatchLimit returns what batch tasks may reserve together on a worker of the
// given capacity. The batch share does not apply to accelerators: they are whole
// units, and a share of one accelerator would be rounded down to none.
func (l Limits) BatchLimit(capacity domain.Resources) domain.Resources {
	limit := domain.Resources{
		CPUMilli:     share(capacity.CPUMilli, l.BatchShare),
		MemoryMiB:    share(capacity.MemoryMiB, l.BatchShare),
		Accelerators: capacity.Accelerators,
		Slots:        capacity.Slots - l.UrgentSlots,
		Connections:  share(capacity.Connections, l.BatchShare),
	}
	if l.BatchShare <= 0 {
		limit.Accelerators = 0
		limit.Slots = 0
	}
	return limit.AtLeastZero()
}

func (l Limits) maxUrgent(capacity domain.Resources) int64 {
	if l.UrgentPerWorker == 0 {
		return capacity.Slots
	}
	return l.UrgentPerWorker
}

// NoiseFilter restricts a query to workers with or without noisy tasks, which are
// tasks that slow down urgent requests on the same worker.
type NoiseFilter int

// Noise filters of a query.
const (
	// Anywhere does not restrict the query.
	Anywhere NoiseFilter = iota
	// Quiet restricts an urgent request to workers without noisy tasks. It has
	// no effect on other kinds.
	Quiet
	// Noisy restricts an urgent request or a batch task to workers with noisy
	// tasks. It has no effect on watches.
	Noisy
)

// Indexes of freeByKind.
const (
	urgentFree = iota
	watchFree
	batchFree
	quietUrgentFree
	noisyUrgentFree
	noisyBatchFree
	freeKindCount
)

func freeIndex(k domain.Kind, f NoiseFilter) int {
	switch {
	case k == domain.KindUrgent && f == Quiet:
		return quietUrgentFree
	case k == domain.KindUrgent && f == Noisy:
		return noisyUrgentFree
	case k == domain.KindUrgent:
		return urgentFree
	case k == domain.KindWatch:
		return watchFree
	case f == Noisy:
		return noisyBatchFree
	default:
		return batchFree
	}
}

// freeByKind is the free capacity of a worker per kind of task and noise filter.
type freeByKind [freeKindCount]domain.Resources

// noCapacity is a free capacity on which no demand fits, because demands are
// never negative.
var noCapacity = domain.Resources{CPUMilli: -1, MemoryMiB: -1, Accelerators: -1, Slots: -1, Connections: -1}

var noneFree = freeByKind{noCapacity, noCapacity, noCapacity, noCapacity, noCapacity, noCapacity}

// worker is a worker with the reservations on it.
type worker struct {
	Worker
	known   bool // MarkUp was called since the entry was created
	up      bool
	blocked bool
	noisy   bool
	tallied tally // as included in the counts of the index
	removed bool  // RemoveWorker was called; the last Release deletes the entry
	rack    *rack
	// reserved is the sum of all reservations. It exceeds the capacity if the
	// capacity of the worker shrinks, or if the caller reserves more than is
	// free.
	reserved      domain.Resources
	batchReserved domain.Resources
	watchReserved domain.Resources
	urgent        int64 // number of urgent requests
	tasks         map[domain.RequestID]Task
	occupants     []Occupant
}

// tally is what a worker adds to the counts of the index; see the fields of Index.
type tally struct{ available, availableNoisy, quietSlots int64 }

func (w *worker) tally() tally {
	switch {
	case !w.up || w.blocked:
		return tally{}
	case w.noisy:
		return tally{available: 1, availableNoisy: 1}
	default:
		return tally{available: 1, quietSlots: w.free().Slots}
	}
}

func (w *worker) free() domain.Resources {
	return w.Capacity.Sub(w.reserved).AtLeastZero()
}

func (w *worker) freeByKind(l Limits) freeByKind {
	if !w.up || w.blocked {
		return noneFree
	}
	return w.freeIfAvailable(l)
}

// freeIfAvailable returns the free capacity as if the worker were up and not
// blocked.
func (w *worker) freeIfAvailable(l Limits) freeByKind {
	free := w.Capacity.Sub(w.reserved)
	result := noneFree
	result[watchFree] = free
	result[batchFree] = w.batchFree(free, l)
	if w.urgent < l.maxUrgent(w.Capacity) {
		result[urgentFree] = free
	}
	if w.noisy {
		result[noisyBatchFree] = result[batchFree]
		result[noisyUrgentFree] = result[urgentFree]
	} else {
		result[quietUrgentFree] = result[urgentFree]
	}
	return result
}

// batchFree returns the free capacity for batch tasks. It counts the slots of
// watches against the batch limit. Otherwise batch tasks on a worker with watches
// could start in the slots that are kept free for urgent requests.
func (w *worker) batchFree(free domain.Resources, l Limits) domain.Resources {
	if l.BatchShare <= 0 {
		return noCapacity
	}
	left := l.BatchLimit(w.Capacity).Sub(w.batchReserved)
	left.Slots -= w.watchReserved.Slots
	return componentwiseMin(left, free)
}

func (w *worker) add(t Task) {
	w.tasks[t.ID] = t
	w.reserved = w.reserved.Add(t.Reserved)
	w.count(t, 1)
}

func (w *worker) remove(t Task) {
	delete(w.tasks, t.ID)
	w.reserved = w.reserved.Sub(t.Reserved)
	w.count(t, -1)
}

// count adds a task to the sums of the worker and its rack; by is 1, or -1 to
// subtract it.
func (w *worker) count(t Task, by int64) {
	amount := t.Reserved
	if by < 0 {
		amount = domain.Resources{}.Sub(t.Reserved)
	}
	switch t.Kind {
	case domain.KindUrgent:
		w.urgent += by
	case domain.KindWatch:
		w.watchReserved = w.watchReserved.Add(amount)
	default:
		w.batchReserved = w.batchReserved.Add(amount)
	}
	w.countOccupant(t, int(by))
	w.rack.count(t.Class, by)
}

func (w *worker) countOccupant(t Task, by int) {
	for i := range w.occupants {
		o := &w.occupants[i]
		if o.Class != t.Class || o.Kind != t.Kind {
			continue
		}
		o.Count += by
		if o.Count == 0 {
			last := len(w.occupants) - 1
			w.occupants[i] = w.occupants[last]
			w.occupants = w.occupants[:last]
		}
		return
	}
	w.occupants = append(w.occupants, Occupant{Class: t.Class, Kind: t.Kind, Count: by})
}

// load returns the largest share of a dimension that is reserved, with extra
// included.
func (w *worker) load(extra domain.Resources) float64 {
	used := w.reserved.Add(extra)
	load := ratio(used.CPUMilli, w.Capacity.CPUMilli)
	load = max(load, ratio(used.MemoryMiB, w.Capacity.MemoryMiB))
	load = max(load, ratio(used.Accelerators, w.Capacity.Accelerators))
	load = max(load, ratio(used.Slots, w.Capacity.Slots))
	return max(load, ratio(used.Connections, w.Capacity.Connections))
}

// rack has the number of tasks per class on its workers, to spread a class over
// racks.
type rack struct {
	name    string
	workers int
	classes map[domain.Class]int64
}

func (r *rack) count(c domain.Class, by int64) {
	r.classes[c] += by
	if r.classes[c] == 0 {
		delete(r.classes, c)
	}
}

// density is the number of tasks of the class per worker of the rack.
func (r *rack) density(c domain.Class) float64 {
	if r.workers == 0 {
		return 0
	}
	return float64(r.classes[c]) / float64(r.workers)
}
