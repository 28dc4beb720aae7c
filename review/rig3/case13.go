package main

import (
	"fmt"
	"time"
)

// A client hands in a job of one task without an estimate of its duration. The task needs a
// kind of worker of which there is one. It works for 4 s.
func init() {
	setups["13"] = setup{
		nodes: []string{"larisa", "volos", "lamia"}, workers: []string{"larisa", "volos", "lamia"}, kinds: []string{"a", "b", "a"},
		cpu: 32000, memMB: 128000, holdMax: 6 * time.Second, link: 1000,
	}
	cases["13"] = case13
}

func case13(c *Cluster, trouble bool) error {
	const takes = 4 * time.Second
	j := &Job{
		ID: newID(), Spec: "one task of a kind", Takes: []time.Duration{takes},
		Steps: []StepSpec{{Count: 1, CPU: 2000, MemMB: 4000, RequiredLabel: "b", EstimateMS: int(takes.Milliseconds())}},
	}
	if trouble {
		j.Steps[0].EstimateMS = 0 // left out
	}
	c.world.mu.Lock()
	for _, k := range c.world.workers {
		k.StopTakes = 50 * time.Millisecond
	}
	c.world.mu.Unlock()
	if !c.submit(j) {
		return fmt.Errorf("the job was not accepted")
	}
	time.Sleep(finishS)
	c.watchIdle(j, 40*time.Second)
	return nil
}
