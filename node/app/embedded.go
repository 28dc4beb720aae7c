package app

import (
	"context"
	"fmt"
	"io"
	"time"

	"go.uber.org/fx"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/load"
	"github.com/basilferry/basilferry/node/settings"
	"github.com/basilferry/basilferry/standin/logservice"
	"github.com/basilferry/basilferry/standin/vmlist"
	"github.com/basilferry/basilferry/standin/worker"
)

const (
	// urgentDeadline is the deadline of the urgent requests that RunLoad sends.
	urgentDeadline = 2 * time.Second
	// readyTimeout limits the time from the start of the nodes until all of them
	// can reserve request ids.
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// batchWaitTimeout limits the wait for unfinished batch tasks after the last
	// request.
	batchWaitTimeout = time.Minute
	// vmListLag is the delay until a change becomes visible in the simulated VM
	// list.
	vmListLag = 2 * time.Second
)

// Embedded runs stand-ins for the platform services and all entry nodes of the
// settings in one process.
type Embedded struct {
	settings settings.Settings
	log      *logservice.Log
	vms      *vmlist.List
	workers  map[string]*worker.Worker
	nodes    []*fx.App
}

// NewEmbedded creates the stand-ins and nodes but does not start them. The nodes
// write their log lines to logs.
func NewEmbedded(s settings.Settings, logs io.Writer) *Embedded {
	e := &Embedded{
		settings: s,
		log:      logservice.New(logservice.Options{Seed: s.Embedded.Seed}),
		workers:  map[string]*worker.Worker{},
	}
	e.vms = vmlist.New(vmlist.Options{Lag: vmListLag}, e.createWorkers()...)
	for _, n := range s.Cluster.Nodes {
		nodeSettings := s
		nodeSettings.Node = settings.Node{ID: n.ID, Domain: n.Domain, HTTPAddress: n.HTTPAddress, PeerAddress: n.PeerAddress}
		e.nodes = append(e.nodes, New(nodeSettings, e.platform(), logs))
	}
	return e
}

// createWorkers creates the workers of all failure domains and returns their VMs.
func (e *Embedded) createWorkers() []platform.VM {
	var vms []platform.VM
	for _, d := range e.settings.Cluster.Domains {
		for i := range e.settings.Embedded.WorkersPerDomain {
			vm := platform.VM{
				ID:     domain.WorkerID(fmt.Sprintf("%s-w%02d", d, i+1)),
				Domain: d,
				Rack:   fmt.Sprintf("%s-r%d", d, i/e.settings.Embedded.WorkersPerRack+1),
				State:  platform.VMLive,
			}
			vm.Address = string(vm.ID)
			e.workers[vm.Address] = worker.New(worker.Config{
				ID:       vm.ID,
				Domain:   d,
				Rack:     vm.Rack,
				Capacity: e.settings.Embedded.Worker,
			})
			vms = append(vms, vm)
		}
	}
	return vms
}

func (e *Embedded) platform() Platform {
	return Platform{
		Log:       e.log,
		VMs:       e.vms,
		Dial:      func(address string) platform.Worker { return e.workers[address] },
		IsNotSent: func(error) bool { return false },
	}
}

// Start starts the nodes and waits until every node can reserve request ids.
func (e *Embedded) Start(ctx context.Context) error {
	for _, n := range e.nodes {
		if err := n.Start(ctx); err != nil {
			return err
		}
	}
	return e.awaitReady(ctx)
}

// awaitReady polls each node until it can reserve request ids.
func (e *Embedded) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := load.NewAPIClient(1)
	defer client.Close()
	for _, n := range e.settings.Cluster.Nodes {
		for client.CheckReady(ctx, "http://"+n.HTTPAddress) != nil {
			if ctx.Err() != nil {
				return &domain.Error{
					Kind:    domain.KindUnavailable,
					Message: fmt.Sprintf("node %s does not accept requests after %s", n.ID, readyTimeout),
					Remedy:  "check the log of the node",
				}
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// RunLoad sends the load that the settings describe and returns the results as
// the clients saw them.
func (e *Embedded) RunLoad(ctx context.Context) load.Report {
	embedded := e.settings.Embedded
	var nodes []string
	for _, n := range e.settings.Cluster.Nodes {
		nodes = append(nodes, "http://"+n.HTTPAddress)
	}
	return load.Run(ctx, load.Config{
		Nodes: nodes,
		Mix: load.Mix{
			UrgentPerSecond: embedded.UrgentPerSecond,
			Deadline:        urgentDeadline,
			BatchTasks:      embedded.BatchTasks,
			Watches:         embedded.Watches,
			Duration:        time.Duration(embedded.Duration),
			Seed:            embedded.Seed,
		},
		Expected:  worker.ExpectedAnswer,
		BatchWait: batchWaitTimeout,
	})
}

// Stop shuts the nodes down gracefully, one after another, and then closes the
// workers. It returns the first error.
func (e *Embedded) Stop(ctx context.Context) error {
	var firstErr error
	for _, n := range e.nodes {
		if err := n.Stop(ctx); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	for _, w := range e.workers {
		w.Close()
	}
	return firstErr
}

// History returns the attempts that the workers recorded.
func (e *Embedded) History() []worker.AttemptInterval {
	var all []worker.AttemptInterval
	for _, w := range e.workers {
		all = append(all, w.History()...)
	}
	return all
}
