package standin

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/standin/logservice"
	"github.com/basilferry/basilferry/standin/vmlist"
	"github.com/basilferry/basilferry/standin/worker"
)

// LogOptions configure a log service process.
type LogOptions struct {
	// Address is "ip:port".
	Address string
	// Retention is how long records are kept; zero means
	// logservice.DefaultRetention.
	Retention time.Duration
	// AppendsPerSecond limits the append rate; zero means no limit.
	AppendsPerSecond float64
	// Seed seeds the random choice of the answers that are lost.
	Seed uint64
	// Ready is called with the listen address before calls are served; may be
	// nil.
	Ready func(address string)
}

// RunLog runs a log service until ctx is done. It returns an error of kind
// KindUnavailable if it cannot listen on the address.
func RunLog(ctx context.Context, o LogOptions) error {
	ln, err := listen(o.Address)
	if err != nil {
		return err
	}
	log := logservice.New(logservice.Options{
		Retention:        o.Retention,
		AppendsPerSecond: o.AppendsPerSecond,
		Seed:             o.Seed,
	})
	reportReady(o.Ready, ln)
	return logservice.Serve(ctx, ln, log)
}

// VMListOptions configure a VM list process.
type VMListOptions struct {
	// Address is "ip:port".
	Address string
	// Lag is the delay until a change becomes visible.
	Lag time.Duration
	// VMs are listed from the start.
	VMs []platform.VM
	// Ready is called with the listen address before calls are served; may be
	// nil.
	Ready func(address string)
}

// RunVMList runs a VM list until ctx is done. It returns an error of kind
// KindUnavailable if it cannot listen on the address.
func RunVMList(ctx context.Context, o VMListOptions) error {
	ln, err := listen(o.Address)
	if err != nil {
		return err
	}
	reportReady(o.Ready, ln)
	return vmlist.Serve(ctx, ln, vmlist.New(vmlist.Options{Lag: o.Lag}, o.VMs...))
}

// WorkerOptions configure a worker process.
type WorkerOptions struct {
	// Address is "ip:port".
	Address string
	// ControlAddress is "ip:port" of a second listener for the fault controls
	// and the history of attempts. It stays reachable while connections to
	// Address are refused or get no answer. If it is empty, there is no second
	// listener.
	ControlAddress string
	Worker         worker.Config
	// Ready is called with the listen address before calls are served; may be
	// nil.
	Ready func(address string)
}

// RunWorker runs a worker until ctx is done. It returns an error of kind
// KindUnavailable if it cannot listen on an address. Set Worker.RecordsLost if the
// process replaces an earlier one on the same VM.
func RunWorker(ctx context.Context, o WorkerOptions) error {
	ln, err := listen(o.Address)
	if err != nil {
		return err
	}
	w := worker.New(o.Worker)
	defer w.Close()
	server := worker.NewServer(w, ln)
	if o.ControlAddress == "" {
		reportReady(o.Ready, ln)
		return server.Serve(ctx)
	}
	control, err := listen(o.ControlAddress)
	if err != nil {
		ln.Close()
		return err
	}
	reportReady(o.Ready, ln)
	return serveWithControl(ctx, server, control)
}

// serveWithControl serves a worker and its fault controls. If one of the two servers
// fails, it stops the other.
func serveWithControl(ctx context.Context, server *worker.Server, control net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	controlDone := make(chan error, 1)
	go func() {
		defer cancel()
		controlDone <- server.ServeControl(ctx, control)
	}()
	err := server.Serve(ctx)
	cancel()
	if controlErr := <-controlDone; err == nil {
		err = controlErr
	}
	return err
}

func listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &domain.Error{
			Kind:    domain.KindUnavailable,
			Message: fmt.Sprintf("cannot listen on %q: %v", address, err),
			Remedy:  "choose a free address of this host in the form ip:port",
		}
	}
	return ln, nil
}

func reportReady(ready func(string), ln net.Listener) {
	if ready != nil {
		ready(ln.Addr().String())
	}
}
