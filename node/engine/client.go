package engine

import (
	"context"
	"errors"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// client is the connection to one worker.
type client struct {
	address string
	worker  platform.Worker
}

// clients holds one client per worker of a shard. It is used from the
// goroutine of the shard's runner.
type clients struct {
	dial func(address string) platform.Worker
	byID map[domain.WorkerID]client
	// listed are the addresses in the VM list.
	listed map[domain.WorkerID]string
}

func newClients(dial func(string) platform.Worker) *clients {
	return &clients{dial: dial, byID: make(map[domain.WorkerID]client)}
}

// list takes the addresses of the VM list.
func (c *clients) list(vms []platform.VM) {
	c.listed = make(map[domain.WorkerID]string, len(vms))
	for _, vm := range vms {
		c.listed[vm.ID] = vm.Address
	}
}

// at returns the client of a worker, and dials again if the address changed.
func (c *clients) at(id domain.WorkerID, address string) platform.Worker {
	if known, ok := c.byID[id]; ok && known.address == address {
		return known.worker
	}
	w := c.dial(address)
	c.byID[id] = client{address: address, worker: w}
	return w
}

// of returns the client of a worker that was attached before or is in the VM
// list.
func (c *clients) of(id domain.WorkerID) (platform.Worker, bool) {
	if known, ok := c.byID[id]; ok {
		return known.worker, true
	}
	address, ok := c.listed[id]
	if !ok {
		return nil, false
	}
	return c.at(id, address), true
}

// noClient answers a command to a worker without an address. It must not look
// like the worker's own answer, which is evidence of what ran there.
func noClient(id domain.WorkerID) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindOutcomeUnknown,
		Message: "worker " + string(id) + " was never attached and is not in the VM list",
		Remedy:  "wait until the VM list has the worker",
	}
}

// callError maps the error of a worker call. A call without an answer may have
// taken effect, whatever error its transport gives.
func callError(err error) *domain.Error {
	if err == nil {
		return nil
	}
	var typed *domain.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &domain.Error{
		Kind:    domain.KindOutcomeUnknown,
		Message: "the call was not answered: " + err.Error(),
		Remedy:  "look the request up by its id",
	}
}

// runTimeout returns the time limit of Worker.Run.
func runTimeout(t domain.Task) time.Duration { return t.Deadline + runMargin }

// withTimeout calls f under a time limit and maps its error.
func withTimeout[T any](ctx context.Context, limit time.Duration, f func(context.Context) (T, error)) (T, *domain.Error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := f(ctx)
	return reply, callError(err)
}
