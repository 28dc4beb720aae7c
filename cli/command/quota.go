package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
)

func (e *Env) quota() *cli.Command {
	set := append([]cli.Flag{
		&cli.Float64Flag{Name: "weight", Usage: "share of batch capacity relative to other teams", Value: 1},
	}, resourceFlags(0)...)
	return &cli.Command{
		Name:  "quota",
		Usage: "set and list the quotas of teams",
		Commands: []*cli.Command{
			{
				Name:        "set",
				Usage:       "set the quota of a team in each failure domain",
				Description: "The quota replaces the previous quota of the team. A resource that is omitted or 0 is not limited.",
				ArgsUsage:   "TEAM",
				Flags:       append(set, changeFlags()...),
				Action:      clientAction(1, e.runQuotaSet),
			},
			{Name: "list", Usage: "list the quotas", Action: clientAction(0, e.runQuotaList)},
		},
	}
}

func (e *Env) runQuotaSet(ctx context.Context, c *cli.Command, cl *client.Client) error {
	q := domain.Quota{
		Team:   domain.Team(c.Args().First()),
		Weight: c.Float64("weight"),
		Limit:  resourcesFromFlags(c),
	}
	return e.change(ctx, c, cl, configlog.Change{Quota: &q})
}

// quotaReport is the result of the quota list command.
type quotaReport struct {
	Version domain.Version `json:"version"`
	Quotas  []domain.Quota `json:"quotas"`
}

func (e *Env) runQuotaList(ctx context.Context, c *cli.Command, cl *client.Client) error {
	current, err := cl.Configuration(ctx)
	if err != nil {
		return err
	}
	report := quotaReport{Version: current.Version, Quotas: append([]domain.Quota{}, current.Quotas...)}
	return e.show(c, report, func(w io.Writer) error { return quotaTable(report.Quotas).Write(w) })
}

func quotaTable(quotas []domain.Quota) *output.Table {
	table := &output.Table{Header: []string{"TEAM", "WEIGHT", "CPU MILLI", "MEMORY MIB", "ACCELERATORS", "SLOTS", "CONNECTIONS"}}
	for _, q := range quotas {
		cells := []string{string(q.Team), formatDecimal(q.Weight)}
		for _, d := range dimensions {
			cells = append(cells, formatLimit(d.value(q.Limit)))
		}
		table.Add(cells...)
	}
	return table
}

// formatLimit formats a limit. Zero means no limit and gives an empty text.
func formatLimit(n int64) string {
	if n == 0 {
		return ""
	}
	return formatNumber(n)
}
