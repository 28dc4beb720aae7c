// Command rig runs the scripted cases of the review: it starts the project's program
// as several processes, with stand-ins of the platform's store, workers and clients,
// and checks one rule of RULES.md.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

type scenario func(c *cluster, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"reborn": reborn,
	"cancel": cancelAtOnce,
	"starve": starve,
	"moved":  moved,
	"queue":  queueCount,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		workerMain(os.Args[2:])
		return
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// maxTime is how long a case may run.
const maxTime = 110 * time.Second

func runCase(name, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	c, err := newCluster(root)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer c.close()
	type result struct {
		broken []string
		err    error
	}
	finished := make(chan result, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	go func() {
		broken, err := scenarios[name](c, trouble)
		finished <- result{broken, err}
	}()
	var r result
	select {
	case r = <-finished:
	case <-time.After(maxTime):
		r.err = fmt.Errorf("the case takes too long")
	}
	verdict := []string{fmt.Sprintf("case %s, trouble %v", name, trouble)}
	code := 0
	switch {
	case r.err != nil:
		verdict, code = append(verdict, "could not run: "+r.err.Error()), 2
	case len(r.broken) > 0:
		verdict, code = append(verdict, "rule broken:"), 1
	default:
		verdict = append(verdict, "rule held")
	}
	for i, b := range r.broken {
		if i == 20 {
			verdict = append(verdict, fmt.Sprintf("  and %d more", len(r.broken)-i))
			break
		}
		verdict = append(verdict, "  "+b)
	}
	for _, v := range verdict {
		fmt.Println(v)
	}
	if err := c.rec.write(filepath.Join(folder, "record.txt"), verdict); err != nil {
		fmt.Println(err)
		return 2
	}
	return code
}
