package fleet

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// Fleet is the table of all workers.
type Fleet struct {
	workers map[domain.WorkerID]*Worker
	// order lists the workers in the order in which they were added, so that
	// decisions do not depend on map iteration order.
	order []*Worker
	// tokenRaises counts the raises of all workers. A worker that is added starts with
	// it, because an earlier record of the same worker may have had as many.
	tokenRaises int64
	// accounts is kept by the workers as attempts are added and removed.
	accounts accountUse
}

// New returns an empty worker table.
func New() *Fleet {
	return &Fleet{workers: map[domain.WorkerID]*Worker{}, accounts: accountUse{}}
}

// Worker returns the worker with the id, or nil if it is unknown.
func (f *Fleet) Worker(id domain.WorkerID) *Worker { return f.workers[id] }

// All returns all workers in a fixed order. Callers must not modify the slice.
func (f *Fleet) All() []*Worker { return f.order }

// Ensure returns the worker with the id. It adds the worker if it is unknown,
// so that attempts on unregistered workers can be recorded.
func (f *Fleet) Ensure(id domain.WorkerID) *Worker {
	if w, ok := f.workers[id]; ok {
		return w
	}
	w := newWorker(platform.RegistryEntry{ID: id})
	w.TokenRaises, w.accounts = f.tokenRaises, f.accounts
	f.workers[id] = w
	f.order = append(f.order, w)
	return w
}

// RegisterWorker records the registry entry of a worker and returns the worker.
func (f *Fleet) RegisterWorker(entry platform.RegistryEntry) *Worker {
	w := f.Ensure(entry.ID)
	w.RegistryEntry = entry
	w.Registered = true
	return w
}

// UnregisterWorker records that the worker is no longer registered. It returns the
// worker, or nil if it is unknown.
func (f *Fleet) UnregisterWorker(id domain.WorkerID) *Worker {
	w := f.workers[id]
	if w != nil {
		w.Registered = false
	}
	return w
}

// RaiseToken raises the fencing token of commands to the worker. Nothing that it does
// not list in its next report can be running there or start later.
func (f *Fleet) RaiseToken(w *Worker) {
	f.tokenRaises++
	w.TokenRaises = f.tokenRaises
	w.HeartbeatAnswered = false
}

// Forget removes a worker that is unregistered and has no attempts.
func (f *Fleet) Forget(w *Worker) {
	if w.Registered || len(w.Attempts) > 0 {
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
