package fleet

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// Fleet is the book of all workers.
type Fleet struct {
	workers map[domain.WorkerID]*Worker
	// order lists the workers in the order in which they were first seen, so
	// that decisions do not depend on the order of a map.
	order []*Worker
}

// New returns an empty fleet.
func New() *Fleet { return &Fleet{workers: map[domain.WorkerID]*Worker{}} }

// Worker returns a worker, or nil.
func (f *Fleet) Worker(id domain.WorkerID) *Worker { return f.workers[id] }

// All returns all workers in a fixed order. The slice must not be changed.
func (f *Fleet) All() []*Worker { return f.order }

// Ensure returns the worker with the id and makes it if needed, for runs of a
// worker that the registry does not list.
func (f *Fleet) Ensure(id domain.WorkerID) *Worker {
	if w, ok := f.workers[id]; ok {
		return w
	}
	w := newWorker(platform.RegistryEntry{ID: id})
	f.workers[id] = w
	f.order = append(f.order, w)
	return w
}

// List takes over a registry entry. It returns the worker.
func (f *Fleet) List(entry platform.RegistryEntry) *Worker {
	w := f.Ensure(entry.ID)
	w.RegistryEntry = entry
	w.Listed = true
	return w
}

// Unlist takes note that the registry no longer has the worker.
func (f *Fleet) Unlist(id domain.WorkerID) *Worker {
	w := f.workers[id]
	if w != nil {
		w.Listed = false
	}
	return w
}

// Forget removes a worker that is not listed and holds nothing.
func (f *Fleet) Forget(w *Worker) {
	if w.Listed || len(w.Attempts) > 0 {
		return
	}
	delete(f.workers, w.ID)
	for i, other := range f.order {
		if other == w {
			f.order = append(f.order[:i], f.order[i+1:]...)
			return
		}
	}
}
