package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The search is no case: it plays a random mix of jobs and disruptions, to find cases.
func init() {
	setups["search"] = setup{
		nodes: []string{"larisa", "volos", "lamia", "larisa"}, workers: []string{"larisa", "volos", "lamia", "larisa", "volos", "lamia", "larisa", "volos"},
		cpu: 16000, memMB: 64000, holdMax: 6 * time.Second, link: 1000,
	}
	cases["search"] = search
	far := setups["search"]
	far.holdMax, far.link = 10*time.Second, 10
	setups["search-small"] = far
	cases["search-small"] = search
}

func envNumber(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func randomJob(rng *rand.Rand) *Job {
	j := &Job{ID: fmt.Sprintf("%016x", rng.Uint64()), Spec: fmt.Sprintf("spec %d <&> \u2028 ü", rng.IntN(1000))}
	add := func(s StepSpec, ms int) {
		s.EstimateMS = ms
		if rng.IntN(10) == 0 {
			s.EstimateMS = 0
		}
		s.CPU, s.MemMB = max(s.CPU, 300+rng.IntN(1500)), max(s.MemMB, 100)
		j.Steps = append(j.Steps, s)
		j.Takes = append(j.Takes, time.Duration(ms)*time.Millisecond)
	}
	some := func(low, high int) int { return low + rng.IntN(high-low+1) }
	switch kind := rng.IntN(10); kind {
	case 0, 1: // a chain
		for i := range some(1, 4) {
			s := StepSpec{Count: some(1, 6), SavesProgress: rng.IntN(2) == 0}
			if i > 0 {
				s.DependsOn = []int{i - 1}
			}
			add(s, some(200, 1500))
		}
	case 2, 3: // gangs
		add(StepSpec{Count: some(2, 6), Gang: true, SavesProgress: rng.IntN(2) == 0, SameRack: rng.IntN(3) == 0}, some(400, 2500))
		add(StepSpec{Count: some(2, 4), Gang: true, DependsOn: []int{0}}, some(400, 1500))
	case 4: // occurrences
		j.RepeatCount, j.IntervalMS, j.FirstRunMS = some(2, 5), int64(some(500, 2500)), time.Now().UnixMilli()+int64(some(500, 3000))
		add(StepSpec{Count: some(1, 3)}, some(200, 2000))
		add(StepSpec{Count: some(1, 3), DependsOn: []int{0}, Gang: rng.IntN(2) == 0}, some(200, 1000))
	case 5: // lasting
		add(StepSpec{Count: some(2, 4), LongRunning: true, Image: "img" + strconv.Itoa(some(1, 3)), TargetMS: 50, MayMiss: 1, MaxPerServer: rng.IntN(3)}, 400)
	case 6: // hopeless
		add(StepSpec{Count: some(1, 4), Gang: rng.IntN(3) == 0}, some(200, 900))
		j.Fails = func(int) bool { return true }
	case 7: // apart
		add(StepSpec{Count: some(2, 8), MaxPerServer: some(1, 2)}, some(300, 1500))
	case 8: // wide
		add(StepSpec{Count: some(100, 700), CPU: 20, MemMB: 10}, some(300, 1500))
		j.Steps[0].CPU = 20
		add(StepSpec{Count: 2, DependsOn: []int{0}}, 300)
	case 9: // fills
		add(StepSpec{Count: some(1, 6), Fills: true, Image: "fill" + strconv.Itoa(some(1, 3)), SavesProgress: true}, some(500, 2500))
	}
	return j
}

func search(c *Cluster, trouble bool) error {
	rng := rand.New(rand.NewPCG(uint64(envNumber("SEED", 1)), 7))
	length := time.Duration(envNumber("LENGTH", 60)) * time.Second
	stop := time.Now().Add(length)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var jobs []*Job
	for range 2 {
		seed := rng.Uint64()
		wait.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			for time.Now().Before(stop) {
				j := randomJob(rng)
				wait.Go(func() {
					if !c.submit(j) {
						return
					}
					mu.Lock()
					jobs = append(jobs, j)
					mu.Unlock()
					if rng.IntN(5) == 0 {
						time.Sleep(rand.N(3 * time.Second))
						c.cancel(j)
					} else if rng.IntN(5) == 0 {
						time.Sleep(rand.N(3 * time.Second))
						c.submit(j)
					}
				})
				time.Sleep(time.Duration(rng.ExpFloat64() * float64(600*time.Millisecond)))
			}
		})
	}
	for i := range envNumber("FAULTS", 2) {
		rng := rand.New(rand.NewPCG(rng.Uint64(), uint64(i)))
		wait.Go(func() {
			for trouble {
				time.Sleep(time.Duration(rng.ExpFloat64() * float64(2*time.Second)))
				if time.Now().After(stop) {
					return
				}
				c.disturb(rng)
			}
		})
	}
	wait.Wait()
	c.world.mu.Lock()
	c.world.log("traffic and disruptions are over")
	c.world.mu.Unlock()
	time.Sleep(20 * time.Second)
	return c.checkAll(jobs)
}

// disturb carries out one random disruption and returns once it is over.
func (c *Cluster) disturb(rng *rand.Rand) {
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	node := c.nodes[rng.IntN(len(c.nodes))]
	if rng.IntN(2) == 0 && c.currentOwner() != nil {
		node = c.currentOwner()
	}
	worker := c.world.workers[rng.IntN(len(c.world.workers))]
	note := func(format string, args ...any) {
		c.world.mu.Lock()
		c.world.log("TROUBLE "+format, args...)
		c.world.mu.Unlock()
	}
	onNode := func(f func()) {
		if node.busy.TryLock() {
			defer node.busy.Unlock()
			f()
		}
	}
	onWorker := func(f func()) {
		if worker.busy.TryLock() {
			defer worker.busy.Unlock()
			f()
		}
	}
	set := func(field *bool, v bool) {
		c.world.mu.Lock()
		*field = v
		c.world.mu.Unlock()
	}
	switch rng.IntN(8) {
	case 0:
		onNode(func() {
			s := syscall.SIGKILL
			if rng.IntN(2) == 0 {
				s = syscall.SIGTERM
			}
			note("node %s: %v", node.Name, s)
			node.signal(s)
			<-node.done
			time.Sleep(between(100*time.Millisecond, 3*time.Second))
			_ = node.start()
		})
	case 1:
		onNode(func() {
			d := between(300*time.Millisecond, 8*time.Second)
			note("node %s: paused for %v", node.Name, d)
			node.signal(syscall.SIGSTOP)
			time.Sleep(d)
			node.signal(syscall.SIGCONT)
		})
	case 2:
		onNode(func() {
			modes := []DoorMode{{Refuse: true}, {Silent: true}, {Delay: 200 * time.Millisecond}, {Lost: 0.3}, {Late: 0.3}}
			m := modes[rng.IntN(len(modes))]
			d := between(500*time.Millisecond, 6*time.Second)
			note("store for %s: %+v for %v", node.Name, m, d)
			node.door.set(m)
			time.Sleep(d)
			node.door.set(DoorMode{})
		})
	case 3, 4:
		onWorker(func() {
			away := between(0, 6*time.Second)
			if rng.IntN(2) == 0 {
				away = between(0, 300*time.Millisecond)
			}
			note("worker %s: crash for %v", worker.ID, away)
			worker.crash()
			time.Sleep(away)
			_ = worker.restart()
		})
	case 5:
		onWorker(func() {
			d := between(500*time.Millisecond, 12*time.Second)
			note("worker %s: cut for %v", worker.ID, d)
			set(&worker.cut, true)
			time.Sleep(d)
			set(&worker.cut, false)
		})
	case 6:
		onWorker(func() {
			d := between(200*time.Millisecond, 5*time.Second)
			note("worker %s: mute for %v", worker.ID, d)
			set(&worker.mute, true)
			time.Sleep(d)
			set(&worker.mute, false)
		})
	case 7:
		onWorker(func() {
			d := between(500*time.Millisecond, 5*time.Second)
			note("worker %s: late for %v", worker.ID, d)
			set(&worker.late, true)
			time.Sleep(d)
			set(&worker.late, false)
		})
	}
}

func (c *Cluster) checkAll(jobs []*Job) error {
	for _, j := range jobs {
		state := c.state(j)
		c.world.mu.Lock()
		want := []string{"completed"}
		lasting := j.Steps[0].LongRunning
		if j.Fails != nil {
			want = []string{"failed"}
		}
		if lasting {
			want = []string{"active"}
		}
		if !j.CancelAck.IsZero() {
			want = []string{"cancelled", "completed", "failed"}
		}
		ok := false
		for _, s := range want {
			ok = ok || s == state
		}
		if !ok {
			c.world.breaks("LOST", "job %s is shown as %q, not %v: %s", j.ID, state, want, c.world.stateCounts(j))
		}
		if state == "completed" && !c.world.isJobDone(j) {
			c.world.breaks("MIXED", "job %s is shown as completed: %s", j.ID, c.world.stateCounts(j))
		}
		for task, h := range c.world.history {
			name, _ := parseTask(task)
			if name.job != j.ID {
				continue
			}
			if len(h.running) > 0 && (!lasting || !j.CancelAck.IsZero()) {
				c.world.breaks("UNASKED", "%s still runs on %v, job %s", task, h.running, state)
			}
			if lasting && j.CancelAck.IsZero() && len(h.running) == 0 {
				c.world.breaks("LOST", "lasting task %s does not run", task)
			}
		}
		c.world.mu.Unlock()
	}
	return nil
}
