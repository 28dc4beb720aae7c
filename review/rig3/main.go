// Command rig3 runs one case of the third review: the project's program as processes,
// with stand-ins of the store, the workers and the clients in this process.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// setup describes the deployment of a case.
type setup struct {
	nodes   []string // their zones
	workers []string
	kinds   []string // of the workers; "a" for the others
	cpu     int
	memMB   int
	holdMax time.Duration
	link    float64
}

var zones = []string{"larisa", "volos", "lamia"}

// cases are the cases by name. A case returns an error if it could not run.
var cases = map[string]func(c *Cluster, trouble bool) error{}

var setups = map[string]setup{}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file to write the record to")
	keep := flag.String("logs", "", "folder to keep the logs of the programs in")
	flag.Parse()
	os.Exit(runCase(*name, *root, *record, *keep, os.Getenv("TROUBLE") != "0"))
}

func runCase(name, root, record, keep string, trouble bool) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	act, ok := cases[name]
	if !ok {
		return fail(fmt.Errorf("no case %q", name))
	}
	root, err := filepath.Abs(root)
	if err != nil {
		return fail(err)
	}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "rig3-"); err != nil {
			return fail(err)
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return fail(err)
	}
	world, err := newWorld(record)
	if err != nil {
		return fail(err)
	}
	defer world.record.Close()
	s := setups[name]
	c := &Cluster{root: root, dir: dir, world: world, store: newStore(), holdMax: s.holdMax, linkMbps: s.link}
	defer c.close()
	if err := c.build(s); err != nil {
		return fail(err)
	}
	world.mu.Lock()
	world.log("case %s, trouble %v", name, trouble)
	world.mu.Unlock()
	if err := act(c, trouble); err != nil {
		world.mu.Lock()
		world.log("the case could not run: %v", err)
		world.mu.Unlock()
		return fail(err)
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	world.log("%d starts, ends %v", world.starts, world.endings)
	if len(world.broken) > 0 {
		fmt.Printf("broken: %d times; first: %s\n", len(world.broken), world.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}

func (c *Cluster) build(s setup) error {
	go c.store.expire()
	go c.world.tick()
	c.store.configure(7)
	for i, zone := range s.workers {
		kind := "a"
		if i < len(s.kinds) {
			kind = s.kinds[i]
		}
		if _, err := c.world.addWorker(c.store, zone, kind, fmt.Sprintf("r%d-1", i%len(zones)), s.cpu, s.memMB, s.holdMax); err != nil {
			return err
		}
	}
	for _, zone := range s.nodes {
		if _, err := c.addNode(zone); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	if err := c.waitReady(15 * time.Second); err != nil {
		return err
	}
	deadline := time.Now().Add(10 * time.Second)
	for c.currentOwner() == nil {
		if time.Now().After(deadline) {
			return fmt.Errorf("no node became the owner")
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return nil
}
