// Command capacity measures how resource use grows with load. It prints the slopes
// that docs/CAPACITY.md lists, and their projection to the load that is expected
// in two years.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/basilferry/basilferry/node/capacity"
)

// defaultRuns is the number of measurements per point, unless --quick is set. The
// value of a point is their median.
const defaultRuns = 3

func main() {
	quick := flag.Bool("quick", false, "measure small sizes once, to check that the tool works")
	only := flag.String("only", "", "measure only the slopes whose name contains this text")
	flag.Parse()
	o := capacity.Options{Quick: *quick, RunsPerPoint: defaultRuns}
	if *quick {
		o.RunsPerPoint = 1
	}
	if _, err := capacity.Run(os.Stdout, *only, o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
