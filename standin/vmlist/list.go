package vmlist

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/standin/internal/fault"
	"github.com/jonboulle/clockwork"
)

// Options configure a List. The zero value is usable.
type Options struct {
	// Clock is the clock of the list; nil means the real clock.
	Clock clockwork.Clock
	// Lag is the delay until a change becomes visible.
	Lag time.Duration
}

// List implements platform.VMList in memory. Create it with New.
type List struct {
	clock clockwork.Clock
	gate  *fault.Gate

	mu      sync.Mutex
	lag     time.Duration
	visible map[domain.WorkerID]platform.VM
	// pending holds the changes that are not visible yet. They become visible in the
	// order in which they were made.
	pending []change
}

// change is a change of the list that becomes visible at a given time.
type change struct {
	at   time.Time
	kind changeKind
	id   domain.WorkerID
	// updated is the new VM of a changePut.
	updated platform.VM
}

type changeKind int

const (
	changePut changeKind = iota
	changeRemove
	changeLeaving
)

var _ platform.VMList = (*List)(nil)

// New returns a list in which vms are visible immediately.
func New(o Options, vms ...platform.VM) *List {
	clock := fault.ClockOrReal(o.Clock)
	l := &List{
		clock:   clock,
		gate:    fault.NewGate(clock),
		lag:     o.Lag,
		visible: map[domain.WorkerID]platform.VM{},
	}
	for _, vm := range vms {
		l.apply(change{kind: changePut, id: vm.ID, updated: vm})
	}
	return l
}

// List implements platform.VMList.
func (l *List) List(ctx context.Context, d domain.FailureDomain) ([]platform.VM, error) {
	if err := l.gate.Enter(ctx); err != nil {
		return nil, err
	}
	if err := l.gate.WaitDelay(ctx); err != nil {
		return nil, err
	}
	return l.visibleVMs(d), nil
}

func (l *List) visibleVMs(d domain.FailureDomain) []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDueChanges()
	vms := []platform.VM{}
	for _, vm := range l.visible {
		if vm.Domain == d {
			vms = append(vms, vm)
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}

// Put adds a VM or replaces the VM with the same id. An empty state means live.
func (l *List) Put(vm platform.VM) {
	l.enqueueChange(change{kind: changePut, id: vm.ID, updated: vm})
}

// Remove removes a VM.
func (l *List) Remove(id domain.WorkerID) { l.enqueueChange(change{kind: changeRemove, id: id}) }

// MarkLeaving sets the state of a VM to leaving.
func (l *List) MarkLeaving(id domain.WorkerID) { l.enqueueChange(change{kind: changeLeaving, id: id}) }

// SetLag sets the delay of later changes. A change never becomes visible before an
// earlier one.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

func (l *List) enqueueChange(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDueChanges()
	c.at = l.clock.Now().Add(l.lag)
	if n := len(l.pending); n > 0 && c.at.Before(l.pending[n-1].at) {
		c.at = l.pending[n-1].at
	}
	l.pending = append(l.pending, c)
}

func (l *List) applyDueChanges() {
	now := l.clock.Now()
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
}

func (l *List) apply(c change) {
	switch c.kind {
	case changePut:
		if c.updated.State == "" {
			c.updated.State = platform.VMLive
		}
		l.visible[c.id] = c.updated
	case changeRemove:
		delete(l.visible, c.id)
	case changeLeaving:
		if vm, ok := l.visible[c.id]; ok {
			vm.State = platform.VMLeaving
			l.visible[c.id] = vm
		}
	}
}
