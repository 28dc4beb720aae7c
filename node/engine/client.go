package engine

import (
	"context"
	"errors"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// workerClient is the connection to one worker.
type workerClient struct {
	address string
	worker  platform.Worker
}

// workerClients holds one client per worker of a shard. It is used from the
// goroutine of the shard's runner.
type workerClients struct {
	dial func(address string) platform.Worker
	byID map[domain.WorkerID]workerClient
	// listedAddresses are the addresses in the VM list.
	listedAddresses map[domain.WorkerID]string
}

func newWorkerClients(dial func(string) platform.Worker) *workerClients {
	return &workerClients{dial: dial, byID: make(map[domain.WorkerID]workerClient)}
}

// setListed takes the addresses of the VM list.
func (c *workerClients) setListed(vms []platform.VM) {
	c.listedAddresses = make(map[domain.WorkerID]string, len(vms))
	for _, vm := range vms {
		c.listedAddresses[vm.ID] = vm.Address
	}
}

// clientAt returns the client of a worker, and dials again if the address changed.
func (c *workerClients) clientAt(id domain.WorkerID, address string) platform.Worker {
	if known, ok := c.byID[id]; ok && known.address == address {
		return known.worker
	}
	w := c.dial(address)
	c.byID[id] = workerClient{address: address, worker: w}
	return w
}

// clientOf returns the client of a worker that was attached before or is in the VM
// list.
func (c *workerClients) clientOf(id domain.WorkerID) (platform.Worker, bool) {
	if known, ok := c.byID[id]; ok {
		return known.worker, true
	}
	address, ok := c.listedAddresses[id]
	if !ok {
		return nil, false
	}
	return c.clientAt(id, address), true
}

// unknownWorkerError answers a command to a worker without an address. It must not look
// like the worker's own answer, which is evidence of what ran there.
func unknownWorkerError(id domain.WorkerID) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindOutcomeUnknown,
		Message: "worker " + string(id) + " was never attached and is not in the VM list",
		Remedy:  "wait until the VM list has the worker",
	}
}

// toCallError maps the error of a worker call. A call without an answer may have
// taken effect, whatever error its transport gives.
func toCallError(err error) *domain.Error {
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
	return reply, toCallError(err)
}
