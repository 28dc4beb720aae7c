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

// workerRig holds simulated workers, each on its own HTTP/2 connection.
type workerRig struct {
	counter  counter
	cancel   context.CancelFunc
	ctx      context.Context
	running  sync.WaitGroup
	sessions []*session
	seq      atomic.Uint64
}

// session is the owner's end of the connection to one worker.
type session struct {
	client *workerclient.Client
	id     platform.SessionID
	echo   platform.WorkerTime
	events uint64
}

func newWorkerRig(workers int) (*workerRig, error) {
	g := &workerRig{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	for i := range workers {
		if err := g.add(i); err != nil {
			g.close()
			return nil, err
		}
	}
	return g, nil
}

func (g *workerRig) add(i int) error {
	l, err := g.counter.listen()
	if err != nil {
		return err
	}
	w := worker.New(worker.Config{
		ID: domain.WorkerID(fmt.Sprintf("d01-w%05d", i)), Domain: "d01", Rack: "d01-r001", Capacity: roomy, UsageLag: usageLag,
	})
	g.running.Go(func() {
		defer w.Close()
		_ = worker.Serve(g.ctx, l, w)
	})
	s := &session{client: workerclient.New(l.Addr().String())}
	reply, err := s.client.Attach(g.ctx, platform.AttachRequest{Epoch: 1, Owner: "d01-n1"})
	s.id, s.echo = reply.Session, reply.Now
	g.sessions = append(g.sessions, s)
	return err
}

func (g *workerRig) close() {
	// The servers wait for connections that are still open.
	for _, s := range g.sessions {
		s.client.Close()
	}
	g.cancel()
	g.running.Wait()
}

// renewAll renews each session every shard.RenewInterval.
func (g *workerRig) renewAll() {
	for i, s := range g.sessions {
		first := shard.RenewInterval * time.Duration(i) / time.Duration(len(g.sessions))
		g.running.Go(func() {
			for ok := pause(g.ctx, first); ok; ok = pause(g.ctx, shard.RenewInterval) {
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

func (g *workerRig) request(kind domain.Kind, s *session) platform.StartRequest {
	task := rigTask(domain.RequestID{Shard: domain.ShardID{Domain: "d01"}, Epoch: 1, Seq: g.seq.Add(1)}, kind)
	return platform.StartRequest{Epoch: 1, Session: s.id, Task: task, Attempt: 1, Reserved: task.Resources}
}

// startWatches starts tasks that go on, spread over the workers.
func (g *workerRig) startWatches(n int) error {
	for i := range n {
		s := g.sessions[i%len(g.sessions)]
		if _, err := s.client.Start(g.ctx, g.request(domain.KindWatch, s)); err != nil {
			return err
		}
	}
	return nil
}

// measureRenewals renews idle workers.
func measureRenewals(size float64, o Options) (spent, error) {
	g, err := newWorkerRig(int(size))
	if err != nil {
		return spent{}, err
	}
	defer g.close()
	g.renewAll()
	return g.counter.over(o), nil
}

// usageWorkers is the number of workers over which running tasks are spread.
const usageWorkers = 10

// measureUsage renews workers that report the usage of running tasks.
func measureUsage(size float64, o Options) (spent, error) {
	g, err := newWorkerRig(usageWorkers)
	if err != nil {
		return spent{}, err
	}
	defer g.close()
	if err := g.startWatches(int(size)); err != nil {
		return spent{}, err
	}
	g.renewAll()
	if !o.Quick {
		time.Sleep(worker.DefaultUsageInterval)
	}
	return g.counter.over(o), nil
}

// measureRuns runs urgent requests on workers that are not renewed.
func measureRuns(size float64, o Options) (spent, error) {
	g, err := newWorkerRig(usageWorkers)
	if err != nil {
		return spent{}, err
	}
	defer g.close()
	g.renewAll()
	var turn atomic.Uint64
	g.running.Go(func() {
		arrivals(g.ctx, size, func() {
			s := g.sessions[turn.Add(1)%usageWorkers]
			_, _ = s.client.Run(g.ctx, g.request(domain.KindUrgent, s))
		})
	})
	return g.counter.over(o), nil
}

// measureConnections measures heap and stacks of both ends of the connections.
func measureConnections(size float64, _ Options) (float64, error) {
	stacks := func() float64 {
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return float64(s.StackInuse)
	}
	before := liveHeap() + stacks()
	g, err := newWorkerRig(int(size))
	if err != nil {
		return 0, err
	}
	defer g.close()
	return liveHeap() + stacks() - before, nil
}

var connectionSizes = []float64{10, 50, 200}

// renewalLines are the costs of the connections from the owner to its workers.
func renewalLines() []Line {
	workers := func(t Topology) float64 { return t.owned(TwoYears.Workers) }
	running := func(t Topology) float64 { return t.owned(TwoYears.RunningUrgent + TwoYears.RunningBatch) }
	starts := func(t Topology) float64 { return t.owned(TwoYears.StartsPerSecond) }
	renewals, usage, runs := newMemo(measureRenewals), newMemo(measureUsage), newMemo(measureRuns)
	line := func(name, mechanism, size string, r Resource, sizes []float64, at func(Topology) float64, perVM float64, m func(float64, Options) (float64, error)) Line {
		unit := "us/s"
		switch r {
		case Network:
			unit = "B/s"
		case Memory:
			unit = "B"
		}
		return Line{
			Name: "renewal/" + name, Role: "shard owner to workers", Mechanism: mechanism, Size: size, Unit: unit, Resource: r,
			Sizes: sizes, QuickSizes: []float64{2, 4, 8}, Measure: m, At: at, PerVM: perVM, SlopeOnly: true,
		}
	}
	const renew, runCall = "node/workerclient Renew every second", "node/workerclient Run"
	tasksPerVM := (TwoYears.RunningUrgent + TwoYears.RunningBatch) / TwoYears.Workers
	startsPerVM := TwoYears.StartsPerSecond / TwoYears.Workers
	tasks, rates := []float64{50, 200, 800}, []float64{20, 80, 320}
	return []Line{
		line("bytes", renew, "workers", Network, connectionSizes, workers, 1, renewals.line(bytesOf)),
		line("cpu", renew+", both ends", "workers", CPU, connectionSizes, workers, 1, renewals.line(cpuOf)),
		line("memory", "HTTP/2 connection, heap and stacks of both ends", "workers", Memory, connectionSizes, workers, 1, measureConnections),
		line("usage-bytes", "usage reports in renewals", "running tasks", Network, tasks, running, tasksPerVM, usage.line(bytesOf)),
		line("usage-cpu", "usage reports in renewals, both ends", "running tasks", CPU, tasks, running, tasksPerVM, usage.line(cpuOf)),
		line("start-bytes", runCall+", payload of 1 KiB", "starts/s", Network, rates, starts, startsPerVM, runs.line(bytesOf)),
		line("start-cpu", runCall+", both ends", "starts/s", CPU, rates, starts, startsPerVM, runs.line(cpuOf)),
	}
}
