package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// reborn: workers crash one after the other and start again at once under the id that
// they had. TWICE must hold.
func reborn(c *cluster, trouble bool) ([]string, error) {
	if err := c.start(3, 12); err != nil {
		return nil, err
	}
	// Each worker has had some ends that were taken note of.
	if err := c.warmUp(); err != nil {
		return nil, err
	}
	for round := range 9 {
		w := c.workers[round]
		if trouble {
			c.kill(w.process)
			time.Sleep(150 * time.Millisecond)
			if err := c.startWorker(w); err != nil {
				return nil, err
			}
		}
		time.Sleep(50 * time.Millisecond)
		ms := 2500
		if round%2 == 1 {
			ms = 300
		}
		// The job takes 40 of the 48 places.
		j := jobSpec{Spec: fmt.Sprintf("ms=%d cpu=8000", ms), Steps: []step{{Count: 40, CPU: 8000, MemMB: 100, EstimateMS: ms}}}
		if !c.submit(newID(), round, j) {
			return nil, fmt.Errorf("a job was not accepted")
		}
		time.Sleep(7500*time.Millisecond + time.Duration(round*130)*time.Millisecond)
	}
	return c.twice(), nil
}

// warmUp runs short tasks on all workers.
func (c *cluster) warmUp() error {
	for i := range 4 {
		if !c.submit(newID(), i, jobSpec{Spec: "ms=300 cpu=8000", Steps: []step{{Count: 4 * len(c.workers), CPU: 8000, MemMB: 100, EstimateMS: 300}}}) {
			return fmt.Errorf("a job was not accepted")
		}
		time.Sleep(800 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return nil
}

// cancelAtOnce: clients cancel their jobs right after these were accepted. UNASKED must
// hold.
func cancelAtOnce(c *cluster, trouble bool) ([]string, error) {
	if err := c.start(3, 12); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(75 * time.Millisecond):
				c.submit(newID(), i, jobSpec{Spec: "ms=300 cpu=1000", Steps: []step{{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 300}}})
			}
		}
	})
	var mu sync.Mutex
	cancelled := map[string]int64{}
	j := jobSpec{Spec: "ms=2000,2000,2000 cpu=1000", Steps: []step{
		{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 2000},
		{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 2000, DependsOn: []int{0}},
		{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 2000, DependsOn: []int{1}},
	}}
	var clients sync.WaitGroup
	for at := range 3 {
		clients.Go(func() {
			for i := range 20 {
				time.Sleep(400*time.Millisecond + rand.N(300*time.Millisecond))
				id := newID()
				if status, _ := c.call("POST", id, c.nodes[at], j); status != 200 {
					continue
				}
				if !trouble {
					time.Sleep(600 * time.Millisecond)
				}
				status, _ := c.call("DELETE", id, c.nodes[(at+1+i%2)%3], nil)
				if status/100 == 2 || status == 410 {
					mu.Lock()
					cancelled[id] = time.Now().UnixNano()
					mu.Unlock()
				}
			}
		})
	}
	clients.Wait()
	time.Sleep(10 * time.Second)
	close(stop)
	background.Wait()
	var broken []string
	for _, l := range c.lives() {
		id := l.task[:16]
		at, ok := cancelled[id]
		if ok && l.from > at+cancelMS*1e6 {
			broken = append(broken, fmt.Sprintf("job %s: its cancelling was acknowledged at %.3f, and task %s started at %.3f on %s",
				id, c.seconds(at), l.task, c.seconds(l.from), l.worker))
		}
	}
	return broken, nil
}

// starve: a burst fills the service with short work. Each watch fails once, seconds
// after the burst, and has to run again. LOST must hold for it.
func starve(c *cluster, trouble bool) ([]string, error) {
	if err := c.start(3, 12); err != nil {
		return nil, err
	}
	watch := newID()
	if !c.submit(watch, 0, jobSpec{Spec: "lasts=1 cpu=10000", Steps: []step{{Count: 6, CPU: 10000, MemMB: 1000, EstimateMS: 400, LongRunning: true}}}) {
		return nil, fmt.Errorf("the watch was not accepted")
	}
	time.Sleep(2 * time.Second)
	// 12 workers of 32 cores; the watch takes 60. A job takes 12 x 1.6 x 2.7 = 52
	// core-seconds; 5.3 a second are 85% of the rest.
	const usual, burst, burstFor = 5.3, 2.6, 4 * time.Second
	began := time.Now()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		next := time.Now()
		for i := 0; ; i++ {
			rate := usual
			if since := time.Since(began); trouble && since > 8*time.Second && since < 8*time.Second+burstFor {
				rate *= burst
			}
			next = next.Add(time.Duration(float64(time.Second) / rate))
			select {
			case <-stop:
				return
			case <-time.After(time.Until(next)):
			}
			clients.Go(func() {
				c.submit(newID(), i, jobSpec{Spec: "ms=2700 cpu=1600 spread=1", Steps: []step{{Count: 12, CPU: 1600, MemMB: 100, EstimateMS: 2700}}})
			})
		}
	})
	// The burst is over at 12 s. The watch fails at 14 s; all is calm from then on.
	time.Sleep(time.Until(began.Add(14 * time.Second)))
	for _, w := range c.workers {
		c.rec.note(w.id, "fail", "", "the tasks that last fail once")
		_, _, _ = post(w.address, "/stand-in/fail", "application/json", nil, nil, time.Second)
	}
	time.Sleep(time.Until(began.Add(45 * time.Second)))
	close(stop)
	clients.Wait()
	ended := time.Now().UnixNano()
	return c.lapses(watch, ended), nil
}

// lapses returns the times in which a task that lasts has not run from 6 s after its last
// run for 3 s.
func (c *cluster) lapses(id string, until int64) []string {
	last := map[string]*life{}
	var tasks, out []string
	check := func(l *life, next int64) {
		if l.to != 0 && next-l.to > 9e9 {
			out = append(out, fmt.Sprintf("task %s: its run %d ended (%s) at %.3f, and none began until %.3f",
				l.task, l.run, l.how, c.seconds(l.to), c.seconds(next)))
		}
	}
	for _, l := range c.lives() {
		if l.task[:16] != id {
			continue
		}
		if before := last[l.task]; before != nil {
			check(before, l.from)
		} else {
			tasks = append(tasks, l.task)
		}
		last[l.task] = l
	}
	for _, task := range tasks {
		check(last[task], until)
	}
	return out
}

// moved: two workers crash and start again under their ids, each at the address that the
// other had. TWICE must hold.
func moved(c *cluster, trouble bool) ([]string, error) {
	if err := c.start(3, 15); err != nil {
		return nil, err
	}
	if err := c.warmUp(); err != nil {
		return nil, err
	}
	for round := range 5 {
		a, b := c.workers[2*round], c.workers[2*round+1]
		if trouble {
			c.kill(a.process)
			c.kill(b.process)
			// An address may be used again 2 s later (addr_reuse_s).
			time.Sleep(2300 * time.Millisecond)
			a.address, b.address = b.address, a.address
			for _, w := range []*workerProcess{a, b} {
				if err := c.startWorker(w); err != nil {
					return nil, err
				}
			}
		}
		time.Sleep(3 * time.Second)
		for i := range 4 {
			if !c.submit(newID(), i, jobSpec{Spec: "ms=300 cpu=8000", Steps: []step{{Count: 56, CPU: 8000, MemMB: 100, EstimateMS: 300}}}) {
				return nil, fmt.Errorf("a job was not accepted")
			}
			time.Sleep(1200 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return c.twice(), nil
}

// queueCount: the only worker that may run a job refuses all starts for some seconds.
// MIXED must hold for the count of waiting jobs.
func queueCount(c *cluster, trouble bool) ([]string, error) {
	c.configure(4)
	for range 11 {
		if _, err := c.addWorker(); err != nil {
			return nil, err
		}
	}
	special, err := c.addWorker("--label", "b")
	if err != nil {
		return nil, err
	}
	if err := c.start(3, 0); err != nil {
		return nil, err
	}
	set := func(on string) {
		c.rec.note(special.id, "unhealthy", "", on)
		_, _, _ = post(special.address, "/stand-in/unhealthy?on="+on, "application/json", nil, nil, time.Second)
	}
	if trouble {
		set("1")
	}
	var ids []string
	accepted := map[string]time.Time{}
	for i := range 10 {
		id := newID()
		if !c.submit(id, i, jobSpec{Spec: "ms=500 cpu=4000", Steps: []step{{Count: 1, CPU: 4000, MemMB: 100, EstimateMS: 500, Label: "b"}}}) {
			return nil, fmt.Errorf("a job was not accepted")
		}
		accepted[id] = time.Now()
		ids = append(ids, id)
		time.Sleep(20 * time.Millisecond)
	}
	var broken []string
	for range 6 {
		time.Sleep(time.Second)
		for _, n := range c.nodes {
			asked := time.Now()
			status, text := c.call("GET", "", n, nil)
			begun := map[string]bool{}
			for _, l := range c.lives() {
				begun[l.task[:16]] = true
			}
			owed := 0
			for _, id := range ids {
				if asked.Sub(accepted[id]) > (visibleMS+2000)*time.Millisecond && !begun[id] {
					owed++
				}
			}
			var body struct{ Waiting int }
			if status == 200 && json.Unmarshal([]byte(text), &body) == nil && 2*body.Waiting < owed {
				broken = append(broken, fmt.Sprintf("%s gives %d as waiting at %.3f; %d jobs accepted over 5 s before have not begun",
					n.name, body.Waiting, c.seconds(asked.UnixNano()), owed))
			}
		}
	}
	if trouble {
		set("0")
	}
	time.Sleep(3 * time.Second)
	return broken, nil
}
