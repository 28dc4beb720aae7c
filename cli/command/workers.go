package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/domain"
)

func (e *Env) workers() *cli.Command {
	return &cli.Command{
		Name:   "workers",
		Usage:  "list the workers with their reserved and total capacity",
		Action: clientAction(0, e.runWorkers),
	}
}

func (e *Env) runWorkers(ctx context.Context, c *cli.Command, cl *client.Client) error {
	got, err := cl.Workers(ctx)
	if err != nil {
		return err
	}
	e.printMissingDomains(got.Missing)
	return e.show(c, got, func(w io.Writer) error {
		table := output.Table{Header: []string{"WORKER", "DOMAIN", "RACK", "SHARD", "STATE", "TASKS", "CPU MILLI", "MEMORY MIB", "ACCELERATORS", "SLOTS", "CONNECTIONS"}}
		for _, s := range got.Workers {
			cells := []string{string(s.ID), string(s.Domain), s.Rack, s.Shard.String(), s.State, formatNumber(int64(s.Tasks))}
			for _, d := range dimensions {
				cells = append(cells, formatFraction(d.value(s.Reserved), d.value(s.Capacity)))
			}
			table.Add(cells...)
		}
		return table.Write(w)
	})
}

// printMissingDomains prints a note about the failure domains that are missing
// from a response.
func (e *Env) printMissingDomains(missing []domain.FailureDomain) {
	if len(missing) > 0 {
		fmt.Fprintf(e.Err, "note: no answer from failure domain %s; its workers are missing\n", output.JoinNames(missing))
	}
}
