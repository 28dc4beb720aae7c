package engine

import (
	"context"
	"errors"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// workerClient is the client of one worker.
type workerClient struct {
	address string
	worker  platform.Worker
}

// workerClients holds one client per worker of a shard. Only the goroutine of the
// shard's runner uses it.
type workerClients struct {
	dial func(address string) platform.Worker
	byID map[domain.WorkerID]workerClient
	// listedAddresses holds the addresses in the VM list.
	listedAddresses map[domain.WorkerID]string
}

func newWorkerClients(dial func(string) platform.Worker) *workerClients {
	return &workerClients{dial: dial, byID: make(map[domain.WorkerID]workerClient)}
}

// setListed replaces the listed addresses by those of the VM list.
func (c *workerClients) setListed(vms []platform.VM) {
	c.listedAddresses = make(map[domain.WorkerID]string, len(vms))
	for _, vm := range vms {
		c.listedAddresses[vm.ID] = vm.Address
	}
}

// clientAt returns the client of a worker. It dials if there is no client yet or
// the address has changed.
func (c *workerClients) clientAt(id domain.WorkerID, address string) platform.Worker {
	if known, ok := c.byID[id]; ok && known.address == address {
		return known.worker
	}
	w := c.dial(address)
	c.byID[id] = workerClient{address: address, worker: w}
	return w
}

// clientOf returns the client of a worker. It returns false if the worker was
// never attached and is not in the VM list.
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

// unknownWorkerError returns the error of a command to a worker whose address is
// not known. Its kind must differ from that of an error which the worker itself
// returns, because a worker's response is evidence of what ran there.
func unknownWorkerError(id domain.WorkerID) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindOutcomeUnknown,
		Message: "worker " + string(id) + " was never attached and is not in the VM list",
		Remedy:  "wait until the VM list contains the worker",
	}
}

// toCallError converts the error of a call. A call without a response may have
// taken effect, whatever error its transport returns.
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
		Message: "the call got no response: " + err.Error(),
		Remedy:  "look the request up by its id",
	}
}

// runTimeout returns the time limit of Worker.Run for a task.
func runTimeout(t domain.Task) time.Duration { return t.Deadline + runMargin }

// withTimeout calls f with a time limit and converts its error with toCallError.
func withTimeout[T any](ctx context.Context, limit time.Duration, f func(context.Context) (T, error)) (T, *domain.Error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := f(ctx)
	return reply, toCallError(err)
}
