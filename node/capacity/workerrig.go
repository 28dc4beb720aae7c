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

// usageLag is shorter than that of a real worker, so that reports come before
// the measurement begins. Their size and number do not depend on it.
const usageLag = 100 * time.Millisecond

// workerHarness holds simulated workers, each on its own HTTP/2 connection.
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
	g := &workerHarness{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	for i := range workers {
		if err := g.addWorker(i); err != nil {
			g.close()
			return nil, err
		}
	}
	return g, nil
}

func (g *workerHarness) addWorker(i int) error {
	l, err := g.byteCounter.listen()
	if err != nil {
		return err
	}
	w := worker.New(worker.Config{
		ID: domain.WorkerID(fmt.Sprintf("d01-w%05d", i)), Domain: "d01", Rack: "d01-r001", Capacity: unlimitedCapacity, UsageLag: usageLag,
	})
	g.goroutines.Go(func() {
		defer w.Close()
		_ = worker.Serve(g.ctx, l, w)
	})
	s := &session{client: workerclient.New(l.Addr().String())}
	reply, err := s.client.Attach(g.ctx, platform.AttachRequest{Epoch: 1, Owner: "d01-n1"})
	s.id, s.echo = reply.Session, reply.Now
	g.sessions = append(g.sessions, s)
	return err
}

func (g *workerHarness) close() {
	// The servers wait for connections that are still open.
	for _, s := range g.sessions {
		s.client.Close()
	}
	g.cancel()
	g.goroutines.Wait()
}

// startRenewals renews each session every shard.RenewInterval.
func (g *workerHarness) startRenewals() {
	for i, s := range g.sessions {
		first := shard.RenewInterval * time.Duration(i) / time.Duration(len(g.sessions))
		g.goroutines.Go(func() {
			for ok := sleepContext(g.ctx, first); ok; ok = sleepContext(g.ctx, shard.RenewInterval) {
				s.renew(g.ctx)
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

func (g *workerHarness) newStartRequest(kind domain.Kind, s *session) platform.StartRequest {
	task := sampleTask(domain.RequestID{Shard: domain.ShardID{Domain: "d01"}, Epoch: 1, Seq: g.seq.Add(1)}, kind)
	return platform.StartRequest{Epoch: 1, Session: s.id, Task: task, Attempt: 1, Reserved: task.Resources}
}

// startWatches starts tasks that go on, spread over the workers.
func (g *workerHarness) startWatches(n int) error {
	for i := range n {
		s := g.sessions[i%len(g.sessions)]
		if _, err := s.client.Start(g.ctx, g.newStartRequest(domain.KindWatch, s)); err != nil {
			return err
		}
	}
	return nil
}

// measureRenewals renews idle workers.
func measureRenewals(size float64, o Options) (resourceUse, error) {
	g, err := newWorkerHarness(int(size))
	if err != nil {
		return resourceUse{}, err
	}
	defer g.close()
	g.startRenewals()
	return g.byteCounter.measureUse(o), nil
}

// usageWorkers is the number of workers over which running tasks are spread.
const usageWorkers = 10

// measureUsage renews workers that report the usage of running tasks.
func measureUsage(size float64, o Options) (resourceUse, error) {
	g, err := newWorkerHarness(usageWorkers)
	if err != nil {
		return resourceUse{}, err
	}
	defer g.close()
	if err := g.startWatches(int(size)); err != nil {
		return resourceUse{}, err
	}
	g.startRenewals()
	if !o.Quick {
		time.Sleep(worker.DefaultUsageInterval)
	}
	return g.byteCounter.measureUse(o), nil
}

// measureRuns runs urgent requests on workers that are not renewed.
func measureRuns(size float64, o Options) (resourceUse, error) {
	g, err := newWorkerHarness(usageWorkers)
	if err != nil {
		return resourceUse{}, err
	}
	defer g.close()
	g.startRenewals()
	var turn atomic.Uint64
	g.goroutines.Go(func() {
		runPoissonArrivals(g.ctx, size, func() {
			s := g.sessions[turn.Add(1)%usageWorkers]
			_, _ = s.client.Run(g.ctx, g.newStartRequest(domain.KindUrgent, s))
		})
	})
	return g.byteCounter.measureUse(o), nil
}

// measureConnections measures heap and stacks of both ends of the connections.
func measureConnections(size float64, _ Options) (float64, error) {
	stacks := func() float64 {
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return float64(s.StackInuse)
	}
	before := liveHeapBytes() + stacks()
	g, err := newWorkerHarness(int(size))
	if err != nil {
		return 0, err
	}
	defer g.close()
	return liveHeapBytes() + stacks() - before, nil
}

var connectionSizes = []float64{10, 50, 200}

// renewalQuantities are the costs of the connections from the owner to its workers.
func renewalQuantities() []Quantity {
	workers := func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.Workers) }
	running := func(t Topology) float64 {
		return t.busiestNodeShare(TwoYearTarget.RunningUrgent + TwoYearTarget.RunningBatch)
	}
	starts := func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.StartsPerSecond) }
	renewals, usage, runs := newSharedRuns(measureRenewals), newSharedRuns(measureUsage), newSharedRuns(measureRuns)
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
		quantity("start-bytes", runCall+", payload of 1 KiB", "starts/s", Network, rates, starts, startsPerVM, runs.quantity(bytesOf)),
		quantity("start-cpu", runCall+", both ends", "starts/s", CPU, rates, starts, startsPerVM, runs.quantity(cpuOf)),
	}
}
