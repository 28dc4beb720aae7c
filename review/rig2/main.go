// The program rig2 plays the scripted cases of review/REPORT-2.md: it starts the project's
// own program as separate processes, with stand-ins of the platform, the workers and the
// clients in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// caseLimit is the time after which a case is given up.
const caseLimit = 116 * time.Second

type scenario struct {
	nodes, workers, perRack int
	// play returns whether the rule was broken. trouble is false if the disruption is left
	// out.
	play func(c *cluster, trouble bool) (bool, error)
}

// The numbers of nodes and workers are those of a small deployment or less; agrodaneio-ops
// has 7 nodes and 48 workers, 8 a rack.
var scenarios = map[string]scenario{
	"cancel":  {nodes: 4, workers: 12, perRack: 4, play: playCancel},
	"late":    {nodes: 7, workers: 12, perRack: 4, play: playLate},
	"gang":    {nodes: 4, workers: 48, perRack: 8, play: playGang},
	"size":    {nodes: 4, workers: 48, perRack: 8, play: playSize},
	"waiting": {nodes: 4, workers: 48, perRack: 8, play: playWaiting},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(failed)
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(failed)
	}
	os.Exit(playScenario(s, filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0"))
}

func playScenario(s scenario, path string, trouble bool) int {
	r, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	c, err := newCluster(r, s.nodes, s.workers, s.perRack)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		r.add("script", "not run", "", 0, "%v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		b, err := s.play(c, trouble)
		done <- result{b, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case res := <-done:
		switch {
		case res.err != nil:
			r.add("script", "not run", "", 0, "%v", res.err)
			fmt.Println("the case could not run:", res.err)
			return failed
		case res.broken:
			r.add("script", "verdict", "", 0, "the rule is broken")
			fmt.Println("the rule is broken; see record.txt")
			return broken
		}
		r.add("script", "verdict", "", 0, "the rule held")
		fmt.Println("the rule held")
		return held
	case <-time.After(caseLimit):
		r.add("script", "not run", "", 0, "it took too long")
		return failed
	case <-stop:
		return failed
	}
}
