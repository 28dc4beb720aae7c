package capacity

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/workerclient"
	"github.com/basilferry/basilferry/standin/worker"
)

// usageLag is shorter than the lag of a real worker, so that usage reports
// arrive before the measurement begins. The size and number of the reports do
// not depend on the lag.
const usageLag = 100 * time.Millisecond

// workerHarness is a set of simulated workers, each with its own HTTP/2
// connection.
type workerHarness struct {
	byteCounter byteCounter
	cancel      context.CancelFunc
	ctx         context.Context
	goroutines  sync.WaitGroup
	sessions    []*session
	seq         atomic.Uint64
}

// session is the owner's end of the connection to one worker.
type session struct {
	client *workerclient.Client
	id     platform.SessionID
	echo   platform.WorkerTime
	events uint64
}

func newWorkerHarness(workers int) (*workerHarness, error) {
	h := &workerHarness{}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	for i := range workers {
		if err := h.addWorker(i); err != nil {
			h.close()
			return nil, err
		}
	}
	return h, nil
}

func (h *workerHarness) addWorker(i int) error {
	l, err := h.byteCounter.listen()
	if err != nil {
		return err
	}
	w := worker.New(worker.Config{
		ID: domain.WorkerID(fmt.Sprintf("d01-w%05d", i)), Domain: "d01", Rack: "d01-r001", Capacity: unlimitedCapacity, UsageLag: usageLag,
	})
	h.goroutines.Go(func() {
		defer w.Close()
		_ = worker.Serve(h.ctx, l, w)
	})
	s := &session{client: workerclient.New(l.Addr().String())}
	reply, err := s.client.Attach(h.ctx, platform.AttachRequest{Epoch: 1, Owner: "d01-n1"})
	s.id, s.echo = reply.Session, reply.Now
	h.sessions = append(h.sessions, s)
	return err
}

func (h *workerHarness) close() {
	// The servers wait until all connections are closed.
	for _, s := range h.sessions {
		s.client.Close()
	}
	h.cancel()
	h.goroutines.Wait()
}

// startRenewals starts to renew each session every shard.RenewInterval.
func (h *workerHarness) startRenewals() {
	for i, s := range h.sessions {
		first := shard.RenewInterval * time.Duration(i) / time.Duration(len(h.sessions))
		h.goroutines.Go(func() {
			for ok := sleepContext(h.ctx, first); ok; ok = sleepContext(h.ctx, shard.RenewInterval) {
				s.renew(h.ctx)
			}
		})
	}
}

func (s *session) renew(ctx context.Context) {
	reply, err := s.client.Renew(ctx, platform.RenewRequest{Epoch: 1, Session: s.id, Echo: s.echo, EventsAfter: s.events})
	if err != nil {
		return
	}
	s.echo = reply.Now
	for _, e := range reply.Events {
		s.events = max(s.events, e.Number)
	}
}

func (h *workerHarness) newStartRequest(kind domain.Kind, s *session) platform.StartRequest {
	task := sampleTask(domain.RequestID{Shard: domain.ShardID{Domain: "d01"}, Epoch: 1, Seq: h.seq.Add(1)}, kind)
	return platform.StartRequest{Epoch: 1, Session: s.id, Task: task, Attempt: 1, Reserved: task.Resources}
}

// startWatches starts tasks that run until they are stopped, spread over the
// workers.
func (h *workerHarness) startWatches(n int) error {
	for i := range n {
		s := h.sessions[i%len(h.sessions)]
		if _, err := s.client.Start(h.ctx, h.newStartRequest(domain.KindWatch, s)); err != nil {
			return err
		}
	}
	return nil
}

// measureRenewals measures the renewals of size idle workers.
func measureRenewals(size float64, o Options) (resourceUse, error) {
	h, err := newWorkerHarness(int(size))
	if err != nil {
		return resourceUse{}, err
	}
	defer h.close()
	h.startRenewals()
	return h.byteCounter.measureUse(o), nil
}

// usageWorkers is the number of workers over which measureUsage and
// measureUrgentRequests spread the tasks.
const usageWorkers = 10

// measureUsage measures renewals of workers that report the usage of size running
// tasks.
func measureUsage(size float64, o Options) (resourceUse, error) {
	h, err := newWorkerHarness(usageWorkers)
	if err != nil {
		return resourceUse{}, err
	}
	defer h.close()
	if err := h.startWatches(int(size)); err != nil {
		return resourceUse{}, err
	}
	h.startRenewals()
	if !o.Quick {
		time.Sleep(worker.DefaultUsageInterval)
	}
	return h.byteCounter.measureUse(o), nil
}

// measureUrgentRequests measures urgent requests that run at a rate of size per
// second, together with the renewals of the workers.
func measureUrgentRequests(size float64, o Options) (resourceUse, error) {
	h, err := newWorkerHarness(usageWorkers)
	if err != nil {
		return resourceUse{}, err
	}
	defer h.close()
	h.startRenewals()
	var turn atomic.Uint64
	h.goroutines.Go(func() {
		runPoissonArrivals(h.ctx, size, func() {
			s := h.sessions[turn.Add(1)%usageWorkers]
			_, _ = s.client.Run(h.ctx, h.newStartRequest(domain.KindUrgent, s))
		})
	})
	return h.byteCounter.measureUse(o), nil
}

// measureConnections returns the memory of the heap and the stacks that the
// connections to size workers take, at both ends.
func measureConnections(size float64, _ Options) (float64, error) {
	stacks := func() float64 {
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return float64(s.StackInuse)
	}
	before := liveHeapBytes() + stacks()
	h, err := newWorkerHarness(int(size))
	if err != nil {
		return 0, err
	}
	defer h.close()
	return liveHeapBytes() + stacks() - before, nil
}

var connectionSizes = []float64{10, 50, 200}

// renewalQuantities returns the costs of the connections from the owner to its
// workers.
func renewalQuantities() []Quantity {
	workers := func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.Workers) }
	running := func(t Topology) float64 {
		return t.busiestNodeShare(TwoYearTarget.RunningUrgent + TwoYearTarget.RunningBatch)
	}
	starts := func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.StartsPerSecond) }
	renewals, usage, urgentRequests := newSharedRuns(measureRenewals), newSharedRuns(measureUsage), newSharedRuns(measureUrgentRequests)
	quantity := func(name, mechanism, size string, r Resource, sizes []float64, at func(Topology) float64, perVM float64, m func(float64, Options) (float64, error)) Quantity {
		unit := "us/s"
		switch r {
		case Network:
			unit = "B/s"
		case Memory:
			unit = "B"
		}
		return Quantity{
			Name: "renewal/" + name, Role: "shard owner to workers", Mechanism: mechanism, Size: size, Unit: unit, Resource: r,
			Sizes: sizes, QuickSizes: []float64{2, 4, 8}, Measure: m, At: at, SizePerVM: perVM, SlopeOnly: true,
		}
	}
	const renew, runCall = "node/workerclient Renew every second", "node/workerclient Run"
	tasksPerVM := (TwoYearTarget.RunningUrgent + TwoYearTarget.RunningBatch) / TwoYearTarget.Workers
	startsPerVM := TwoYearTarget.StartsPerSecond / TwoYearTarget.Workers
	tasks, rates := []float64{50, 200, 800}, []float64{20, 80, 320}
	return []Quantity{
		quantity("bytes", renew, "workers", Network, connectionSizes, workers, 1, renewals.quantity(bytesOf)),
		quantity("cpu", renew+", both ends", "workers", CPU, connectionSizes, workers, 1, renewals.quantity(cpuOf)),
		quantity("memory", "HTTP/2 connection, heap and stacks of both ends", "workers", Memory, connectionSizes, workers, 1, measureConnections),
		quantity("usage-bytes", "usage reports in renewals", "running tasks", Network, tasks, running, tasksPerVM, usage.quantity(bytesOf)),
		quantity("usage-cpu", "usage reports in renewals, both ends", "running tasks", CPU, tasks, running, tasksPerVM, usage.quantity(cpuOf)),
		quantity("start-bytes", runCall+", payload of 1 KiB", "starts/s", Network, rates, starts, startsPerVM, urgentRequests.quantity(bytesOf)),
		quantity("start-cpu", runCall+", both ends", "starts/s", CPU, rates, starts, startsPerVM, urgentRequests.quantity(cpuOf)),
	}
}
