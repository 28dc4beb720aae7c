package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the users' pages (SYSTEM.md, Agrodaneio).
const (
	contact   = 3 * time.Second
	cancelMax = 3 * time.Second
	stopGrace = 900 * time.Millisecond
	visible   = 3 * time.Second
)

// playCancel: a job is accepted and cancelled while the store's readers hear nothing, and
// then the store forgets its history.
func playCancel(c *cluster, trouble bool) (bool, error) {
	time.Sleep(2 * time.Second)
	owner := c.currentOwner()
	at := 0
	for i, n := range c.nodes {
		if n != owner {
			at = i
		}
	}
	lasting := newJob([]taskSpec{{cpu: 1000, mem: 100}}, []int{4})
	chain := newJob([]taskSpec{{takes: 4 * time.Second, cpu: 1000, mem: 100}, {takes: 4 * time.Second, cpu: 1000, mem: 100}}, []int{2, 2})
	// Six jobs that nobody cancels: 2 of 8 are cancelled, 0.25 (`give_up`, 0.35 at most).
	for range 6 {
		if _, ok := c.submit(at, newID(), lasting); !ok {
			return false, errors.New("a job was not accepted")
		}
	}
	time.Sleep(time.Second)
	began := time.Now()
	if trouble {
		c.record.add("store", "silence", "", 0, "readers of the system's topic hear nothing from now on")
		c.store.beginSilence()
	}
	type cancelled struct {
		id  string
		ack time.Time
	}
	var jobs []cancelled
	for _, j := range []jobBody{lasting, chain} {
		id := newID()
		if _, ok := c.submit(at, id, j); !ok {
			return false, errors.New("a job was not accepted")
		}
		time.Sleep(150 * time.Millisecond)
		status, _ := c.call(c.nodes[at], http.MethodDelete, id, nil)
		ack := c.record.add("client", "DELETE", id, 0, "at %s: %d", c.nodes[at].name, status)
		if status != http.StatusOK {
			return false, fmt.Errorf("a cancel was answered %d", status)
		}
		jobs = append(jobs, cancelled{id, ack})
	}
	time.Sleep(time.Until(began.Add(time.Second)))
	if trouble {
		c.store.endSilence()
		c.record.add("store", "forgets", "", 0, "the history is dropped and the readers are cut; the newest record of each key is kept")
	}
	calm := time.Now().Add(contact)
	time.Sleep(16 * time.Second)
	now := time.Now()
	bad := false
	all := spans(c.record.list())
	for _, j := range jobs {
		runs := ofJob(all, j.id)
		limit := j.ack.Add(cancelMax)
		for _, s := range runs {
			if s.began.After(limit) && s.began.After(calm) {
				bad = true
				c.record.add("judge", "UNASKED", s.task, s.run, "started on %s %.1f s after the cancel was acknowledged, %.1f s after the store was calm", s.worker,
					s.began.Sub(j.ack).Seconds(), s.began.Sub(calm.Add(-contact)).Seconds())
			}
		}
		if n := running(runs, now); n > 0 {
			bad = true
			c.record.add("judge", "UNASKED", j.id, 0, "%d tasks run %.1f s after the cancel was acknowledged", n, now.Sub(j.ack).Seconds())
		}
		c.state(at, j.id)
	}
	return bad, nil
}

// playGang: a gang that prefers one rack is handed in after some workers were lost for good.
func playGang(c *cluster, trouble bool) (bool, error) {
	time.Sleep(2 * time.Second)
	const perRack = 8
	if trouble {
		// 6 of 48 are 0.125 of the service's workers: one of each rack.
		for i := 0; i < len(c.fleet.workers); i += perRack {
			c.fleet.workers[i].crash(false)
		}
	}
	time.Sleep(12 * time.Second) // Leases have lapsed and the entries are gone.
	members := taskSpec{takes: 3 * time.Second, cpu: 7000, mem: 6400, gang: 32}
	j := newJob([]taskSpec{members}, []int{32})
	j.Steps[0].SameRack = true
	id := newID()
	ack, ok := c.submit(0, id, j)
	if !ok {
		return false, errors.New("the job was not accepted")
	}
	small := newID()
	if _, ok := c.submit(1, small, newJob([]taskSpec{{takes: time.Second, cpu: 1000, mem: 100}}, []int{4})); !ok {
		return false, errors.New("the small job was not accepted")
	}
	const watch = 30 * time.Second
	for time.Since(ack) < watch {
		time.Sleep(3 * time.Second)
		if c.state(1, id) == "completed" {
			break
		}
	}
	all := spans(c.record.list())
	c.record.add("judge", "small", small, 0, "%d tasks of the small job started", len(ofJob(all, small)))
	if n := len(ofJob(all, id)); n > 0 {
		c.record.add("judge", "gang", id, 0, "%d of its tasks started", n)
		return false, nil
	}
	up := 0
	for _, w := range c.fleet.workers {
		if !w.gone {
			up++
		}
	}
	c.record.add("judge", "LOST", id, 0, "nothing of it ran in %.0f s, with %d idle workers that have capacity for %d of its 32 tasks", time.Since(ack).Seconds(), up, up*(workerCPU/7000))
	return true, nil
}

// playSize: a large job runs, and small jobs are handed in.
func playSize(c *cluster, trouble bool) (bool, error) {
	time.Sleep(2 * time.Second)
	c.fleet.mu.Lock()
	c.fleet.quiet = true
	c.fleet.mu.Unlock()
	count := 600
	if trouble {
		count = largeTasks
	}
	large := newJob([]taskSpec{{takes: 25 * time.Second, cpu: 10, mem: 8, saves: true}}, []int{count})
	id := newID()
	if _, ok := c.submit(0, id, large); !ok {
		return false, errors.New("the large job was not accepted")
	}
	for i := range 16 {
		time.Sleep(time.Second)
		c.fleet.mu.Lock()
		n, with := 0, 0
		for _, w := range c.fleet.workers {
			for _, r := range w.runs {
				n++
				if r.checkpoint != "" {
					with++
				}
			}
		}
		c.fleet.mu.Unlock()
		c.record.add("workers", "run", id, 0, "%d s: %d tasks, %d of them with a checkpoint", i+1, n, with)
	}
	c.fleet.mu.Lock()
	c.fleet.quietJob = id
	c.fleet.quiet = false
	c.fleet.mu.Unlock()
	small := []string{}
	var last time.Time
	for i := range 5 {
		s := newID()
		ack, ok := c.submit(i, s, newJob([]taskSpec{{takes: time.Second, cpu: 1000, mem: 100}}, []int{4}))
		if !ok {
			c.record.add("judge", "refused", s, 0, "a small job was not accepted")
			continue
		}
		last = ack
		small = append(small, s)
	}
	if len(small) == 0 {
		return false, errors.New("no small job was accepted")
	}
	time.Sleep(30 * time.Second)
	all := spans(c.record.list())
	bad := 0
	for i, s := range small {
		state := c.state(i, s)
		if len(ofJob(all, s)) == 0 {
			bad++
			c.record.add("judge", "LOST", s, 0, "nothing of it ran in %.0f s; its state is %s", time.Since(last).Seconds(), state)
		}
	}
	c.state(0, id)
	return bad > 0, nil
}

// largeTasks is the number of tasks of the large job.
const largeTasks = 12000

// playWaiting: a worker falls silent, and jobs are handed in before that is noticed.
func playWaiting(c *cluster, trouble bool) (bool, error) {
	time.Sleep(2 * time.Second)
	base := newID()
	if _, ok := c.submit(0, base, newJob([]taskSpec{{takes: 90 * time.Second, cpu: 1000, mem: 100}}, []int{2})); !ok {
		return false, errors.New("a job was not accepted")
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		// 6 of 48 workers are 0.125 of the service's: the one that has work, and others. It
		// happens right after that one has answered a hold, so that the jobs are handed in
		// before the silence can be noticed.
		var dark []*worker
		for len(dark) == 0 {
			time.Sleep(5 * time.Millisecond)
			c.fleet.mu.Lock()
			for i, w := range c.fleet.workers {
				if len(w.runs) > 0 && time.Since(w.held) < 20*time.Millisecond {
					dark = append(dark, w)
					for k := range 5 {
						dark = append(dark, c.fleet.workers[(i+8*(k+1))%len(c.fleet.workers)])
					}
					break
				}
			}
			c.fleet.mu.Unlock()
		}
		for _, w := range dark {
			w.crash(true)
		}
	}
	var mu sync.Mutex
	type accepted struct {
		id string
		at time.Time
	}
	var jobs []accepted
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Go(func() {
			id := newID()
			if at, ok := c.submit(i, id, newJob([]taskSpec{{takes: time.Second, cpu: 1000, mem: 100}}, []int{2})); ok {
				mu.Lock()
				jobs = append(jobs, accepted{id, at})
				mu.Unlock()
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	bad := 0
	for began := time.Now(); time.Since(began) < 14*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, n := range c.nodes {
			asked := time.Now()
			status, answer := c.call(n, http.MethodGet, "", nil)
			if status != http.StatusOK {
				continue
			}
			waiting, _ := answer["waiting"].(float64)
			all := spans(c.record.list())
			due := 0
			for _, j := range jobs {
				if asked.Sub(j.at) > visible+2*time.Second && len(ofJob(all, j.id)) == 0 {
					due++
				}
			}
			if waiting < float64(due)/2 {
				bad++
				c.record.add("judge", "MIXED", "", 0, "%s says waiting %d; %d jobs were accepted over 5 s before and haven't begun", n.name, int(waiting), due)
			}
		}
	}
	return bad > 0, nil
}

// playLate: answers of the store are lost, and some appends are carried out late. A client
// that gets no acceptance cancels its job.
func playLate(c *cluster, trouble bool) (bool, error) {
	c.store.onLate = func(node, seq string, status int) {
		c.record.add("store", "late", "", 0, "carries out a lost append of %s (seq_no %s): %d", node, seq, status)
	}
	time.Sleep(2 * time.Second)
	type cancelled struct {
		id     string
		status int
		ack    time.Time
	}
	const (
		lostFor = 4500 * time.Millisecond
		rounds  = 6
		// perRound is the number of jobs that a client hands in at most.
		perRound = 8
	)
	var mu sync.Mutex
	var jobs []cancelled
	accepted := 0
	var calm time.Time
	// cancel cancels a job as a client does that has changed its mind.
	cancel := func(n *node, id string) {
		for range 5 {
			status, _ := c.call(n, http.MethodDelete, id, nil)
			ack := c.record.add("client", "DELETE", id, 0, "at %s: %d", n.name, status)
			if status == http.StatusOK || status == http.StatusGone {
				mu.Lock()
				jobs = append(jobs, cancelled{id, status, ack})
				mu.Unlock()
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	for round := range rounds {
		began := time.Now()
		if trouble {
			c.record.add("store", "loses", "", 0, "0.35 of the writes are carried out 1 to 6 s later and not answered from now on, for %v", lostFor)
		}
		var wait sync.WaitGroup
		for _, n := range c.nodes {
			if trouble {
				n.door.loseAppends(0.35)
			}
			wait.Go(func() {
				// One job after the other, until one isn't accepted, which is cancelled. Of the
				// accepted ones every fifth is cancelled too, and the others stay.
				for i := 0; i < perRound && time.Since(began) < lostFor; i++ {
					id := newID()
					body := mustJSON(newJob([]taskSpec{{cpu: 200, mem: 100}}, []int{2}))
					status, _ := c.call(n, http.MethodPost, id, body)
					c.record.add("client", "POST", id, 0, "at %s: %d", n.name, status)
					if status == http.StatusOK {
						mu.Lock()
						accepted++
						cancels := accepted%5 == 0
						mu.Unlock()
						time.Sleep(100 * time.Millisecond)
						if cancels {
							cancel(n, id)
						}
						continue
					}
					cancel(n, id)
					return
				}
			})
		}
		time.Sleep(time.Until(began.Add(lostFor)))
		for _, n := range c.nodes {
			n.door.loseAppends(0)
		}
		calm = time.Now()
		c.record.add("store", "answers", "", 0, "again, round %d", round)
		wait.Wait()
		time.Sleep(8 * time.Second)
	}
	time.Sleep(time.Until(calm.Add(16 * time.Second)))
	now, bad := time.Now(), false
	all := spans(c.record.list())
	c.record.add("judge", "cancels", "", 0, "%d jobs cancelled, %d accepted", len(jobs), accepted)
	for _, j := range jobs {
		runs := ofJob(all, j.id)
		n := running(runs, now)
		if n == 0 {
			continue
		}
		bad = true
		c.record.add("judge", "UNASKED", j.id, 0, "%d of its tasks run %.1f s after its DELETE was answered %d; the first began %.1f s after that", n, now.Sub(j.ack).Seconds(),
			j.status, runs[0].began.Sub(j.ack).Seconds())
	}
	return bad, nil
}
