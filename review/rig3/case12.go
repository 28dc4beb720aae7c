package main

import (
	"fmt"
	"syscall"
	"time"
)

// The 900 small tasks of a job's first step run on the workers and end about the same time.
// The owner's process is killed shortly before, and starts again. A worker then has
// over 500 ends to list, 500 at a time. The task of the second step has its turn once they
// are taken note of.
func init() {
	setups["12"] = setup{
		nodes: []string{"larisa", "volos", "lamia"}, workers: []string{"larisa", "volos", "lamia"},
		cpu: 32000, memMB: 128000, holdMax: 6 * time.Second, link: 1000,
	}
	cases["12"] = case12
}

const (
	tasks12 = 900
	// finishS is how long after the end of the traffic jobs may take before they are judged.
	finishS = 14 * time.Second
	// idleLimit is how long a job may then have nothing running.
	idleLimit = 3 * time.Second
)

func case12(c *Cluster, trouble bool) error {
	j := &Job{
		ID: newID(), Spec: "many small tasks, and one that sums up",
		Steps: []StepSpec{
			{Count: tasks12, CPU: 30, MemMB: 100, EstimateMS: 7000},
			{Count: 1, CPU: 500, MemMB: 256, EstimateMS: 500, DependsOn: []int{0}},
		},
		Takes: []time.Duration{7 * time.Second, 500 * time.Millisecond},
	}
	if !c.submit(j) {
		return fmt.Errorf("the job was not accepted")
	}
	time.Sleep(time.Until(j.Accepted.Add(5500 * time.Millisecond)))
	c.world.mu.Lock()
	started := c.world.starts
	c.world.log("%d tasks have been started", started)
	c.world.mu.Unlock()
	if started < tasks12 {
		return fmt.Errorf("only %d of %d tasks were started in time", started, tasks12)
	}
	if trouble {
		owner := c.currentOwner()
		owner.signal(syscall.SIGKILL)
		<-owner.done
		time.Sleep(3 * time.Second)
		if err := owner.start(); err != nil {
			return err
		}
	} else {
		time.Sleep(3 * time.Second)
	}
	time.Sleep(finishS)
	c.watchIdle(j, 20*time.Second)
	return nil
}

// watchIdle breaks the rule if for idleLimit a job has nothing running although a task's
// turn has come. Nothing else uses the workers.
func (c *Cluster) watchIdle(j *Job, watch time.Duration) {
	idleSince := time.Time{}
	longest := time.Duration(0)
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c.world.mu.Lock()
		switch {
		case c.world.isJobDone(j) || !c.world.hasIdleTurn(j):
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		default:
			longest = max(longest, time.Since(idleSince))
		}
		c.world.mu.Unlock()
	}
	state := c.state(j)
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	c.world.log("job %s is shown as %q: %s", j.ID, state, c.world.stateCounts(j))
	for _, k := range c.world.workers {
		c.world.log("worker %s runs %d and has %d ends that are not taken note of", k.ID, len(k.runs), len(k.ends))
	}
	if longest > idleLimit {
		c.world.breaks("LOST", "for %.1f s, from %.0f s after its acceptance, job %s has nothing running while a task's turn has come; it is shown as %q; %s",
			longest.Seconds(), time.Since(j.Accepted).Seconds()-watch.Seconds(), j.ID, state, c.world.stateCounts(j))
	}
}

// hasIdleTurn reports whether nothing of a job without times runs although a task could.
func (w *World) hasIdleTurn(j *Job) bool {
	turn := false
	for s, step := range j.Steps {
		ready := true
		for _, d := range step.DependsOn {
			ready = ready && w.isStepDone(j, 0, d)
		}
		for i := range step.Count {
			h := w.history[fmt.Sprintf("%s.0.%d.%d", j.ID, s, i)]
			if h != nil && len(h.running) > 0 {
				return false
			}
			turn = turn || ready && (h == nil || !h.doneSeen)
		}
	}
	return turn
}
