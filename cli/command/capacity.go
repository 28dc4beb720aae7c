package command

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/service"
)

func (e *Env) capacity() *cli.Command {
	return &cli.Command{
		Name:   "capacity",
		Usage:  "show the reserved and free capacity of each failure domain",
		Action: clientAction(0, e.runCapacity),
	}
}

// stateAttached is the state of a worker that can accept tasks. The worker states
// are defined in the state chart of package shard.
const stateAttached = "attached"

// domainCapacity sums up the workers of a failure domain. Free includes only
// attached workers, because no other worker can accept a task.
type domainCapacity struct {
	Domain   domain.FailureDomain `json:"domain"`
	Workers  int                  `json:"workers"`
	Attached int                  `json:"attached"`
	Tasks    int                  `json:"tasks"`
	Capacity domain.Resources     `json:"capacity"`
	Reserved domain.Resources     `json:"reserved"`
	Free     domain.Resources     `json:"free"`
}

// capacityReport is the result of the capacity command.
type capacityReport struct {
	Domains []domainCapacity       `json:"domains"`
	Missing []domain.FailureDomain `json:"missing,omitempty"`
}

func (e *Env) runCapacity(ctx context.Context, c *cli.Command, cl *client.Client) error {
	got, err := cl.Workers(ctx)
	if err != nil {
		return err
	}
	e.printMissingDomains(got.Missing)
	report := capacityReport{Domains: sumByDomain(got.Workers), Missing: got.Missing}
	return e.show(c, report, report.write)
}

func sumByDomain(workers []service.WorkerStatus) []domainCapacity {
	sums := []domainCapacity{}
	for _, w := range workers {
		i := slices.IndexFunc(sums, func(s domainCapacity) bool { return s.Domain == w.Domain })
		if i < 0 {
			i = len(sums)
			sums = append(sums, domainCapacity{Domain: w.Domain})
		}
		sums[i].add(w)
	}
	slices.SortFunc(sums, func(a, b domainCapacity) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	return sums
}

func (s *domainCapacity) add(w service.WorkerStatus) {
	s.Workers++
	s.Tasks += w.Tasks
	s.Capacity = s.Capacity.Add(w.Capacity)
	s.Reserved = s.Reserved.Add(w.Reserved)
	if w.State == stateAttached {
		s.Attached++
		s.Free = s.Free.Add(w.Capacity.Sub(w.Reserved))
	}
}

func (r capacityReport) write(w io.Writer) error {
	table := output.Table{Header: []string{"DOMAIN", "ATTACHED", "TASKS", "RESOURCE", "CAPACITY", "RESERVED", "FREE", "RESERVED %"}}
	for _, s := range r.Domains {
		for _, d := range dimensions {
			total := d.value(s.Capacity)
			if total == 0 {
				continue
			}
			table.Add(string(s.Domain), formatFraction(int64(s.Attached), int64(s.Workers)), formatNumber(int64(s.Tasks)), d.name,
				formatNumber(total), formatNumber(d.value(s.Reserved)), formatNumber(d.value(s.Free)), formatPercent(d.value(s.Reserved), total))
		}
	}
	return table.Write(w)
}

func formatPercent(part, total int64) string {
	return fmt.Sprintf("%.1f", 100*float64(part)/float64(total))
}
