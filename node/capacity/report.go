package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Budget is what the control plane may use on a node or worker VM
// (docs/design.md section 1.4).
var Budget = map[Resource]float64{
	CPU:     15_000,    // 1.5% of a core in us/s
	Memory:  256 << 20, // 256 MiB
	Network: 5_000,     // 5 KB/s
}

// heapFactor is the ratio of the memory of a process to its live heap: the
// garbage collector lets the heap double before it runs (GOGC=100).
const heapFactor = 2

// Quantities returns all quantities in the order of the report.
func Quantities() []Quantity {
	return slices.Concat(shardQuantities(), renewalQuantities(), peerQuantities(), logQuantities(), configQuantities(), placementQuantities(), boundedMemoryQuantities())
}

// Run measures the quantities whose name contains the filter, prints the result
// of each, and then prints the totals.
func Run(w io.Writer, filter string, o Options) ([]Result, error) {
	var results []Result
	for _, q := range Quantities() {
		if !strings.Contains(q.Name, filter) {
			continue
		}
		r, err := q.Run(o)
		if err != nil {
			return results, err
		}
		r.print(w)
		results = append(results, r)
	}
	printTotals(w, results)
	return results, nil
}

func (r Result) print(w io.Writer) {
	q := r.Quantity
	fmt.Fprintf(w, "%s (%s; %s)\n", q.Name, q.Role, q.Mechanism)
	for _, p := range r.Points {
		fmt.Fprintf(w, "  %10g %s: %s %s\n", p.Size, q.Size, formatNumber(p.Value), q.Unit)
	}
	fmt.Fprintf(w, "  slope %s, intercept %s %s, residual %.1f%%\n", formatNumber(r.Fit.Slope), formatNumber(r.Fit.Intercept), q.Unit, 100*r.Fit.Residual)
	for _, t := range Topologies {
		fmt.Fprintf(w, "  %2g nodes and %2g shards a domain: at %s: %s %s\n", t.NodesPerDomain, t.ShardsPerDomain, formatNumber(q.At(t)), formatNumber(r.Project(t)), r.projectedUnit())
	}
}

func (r Result) projectedUnit() string {
	switch r.Quantity.Resource {
	case CPU:
		return "us/s"
	case Network:
		return "B/s"
	case Memory:
		return "B"
	}
	return r.Quantity.Unit
}

// Total adds up how much of a resource the busiest entry node uses at the load
// expected in two years. A projection below zero comes from noise around a cost
// of zero and does not lower the sum. Memory is that of the process, including
// garbage.
func Total(results []Result, res Resource, t Topology) float64 {
	sum := 0.0
	for _, r := range results {
		if r.Quantity.Resource == res && !r.Quantity.OutageOnly {
			sum += max(0, r.Project(t))
		}
	}
	if res == Memory {
		return heapFactor * sum
	}
	return sum
}

// TotalPerVM adds up how much of a resource the connection to one worker VM
// uses.
func TotalPerVM(results []Result, res Resource) float64 {
	sum := 0.0
	for _, r := range results {
		if r.Quantity.Resource == res {
			sum += r.Fit.Slope * r.Quantity.SizePerVM
		}
	}
	return sum
}

func printTotals(w io.Writer, results []Result) {
	fmt.Fprintln(w, "busiest entry node at the load expected in two years, sum of the quantities above")
	for _, t := range Topologies {
		fmt.Fprintf(w, "  %2g nodes and %2g shards a domain (%g nodes):", t.NodesPerDomain, t.ShardsPerDomain, t.Nodes())
		for _, res := range []Resource{CPU, Memory, Network} {
			total := Total(results, res, t)
			fmt.Fprintf(w, "  %s %s (%.1f x budget)", res, formatNumber(total), total/Budget[res])
		}
		fmt.Fprintln(w)
	}
	fmt.Fprint(w, "one worker VM, both ends of its connection:")
	for _, res := range []Resource{CPU, Memory, Network} {
		total := TotalPerVM(results, res)
		fmt.Fprintf(w, "  %s %s (%.2f x budget)", res, formatNumber(total), total/Budget[res])
	}
	fmt.Fprintln(w)
}

// formatNumber rounds a number of 1000 or more to a whole number, and a smaller one
// to three or four significant digits.
func formatNumber(v float64) string {
	switch {
	case v >= 1000 || v <= -1000:
		return fmt.Sprintf("%.0f", v)
	case v >= 10 || v <= -10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
