// Command capacity measures the slopes of docs/CAPACITY.md and prints them with
// their projection to the two-year size.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/basilferry/basilferry/node/capacity"
)

// defaultRuns is the number of runs of which each point is the median.
const defaultRuns = 3

func main() {
	quick := flag.Bool("quick", false, "measure small sizes once, to check that the tool works")
	only := flag.String("only", "", "measure only the lines whose name contains this text")
	flag.Parse()
	o := capacity.Options{Quick: *quick, Runs: defaultRuns}
	if *quick {
		o.Runs = 1
	}
	if _, err := capacity.Run(os.Stdout, *only, o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
