package command

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/domain"
)

func (e *Env) explain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the reasons for the decisions on a request",
		ArgsUsage: "ID",
		Action:    clientAction(1, e.runExplain),
	}
}

func (e *Env) runExplain(ctx context.Context, c *cli.Command, cl *client.Client) error {
	id, err := domain.ParseRequestID(c.Args().First())
	if err != nil {
		return err
	}
	got, err := cl.Explain(ctx, id)
	if err != nil {
		return err
	}
	return e.show(c, got, func(w io.Writer) error {
		table := output.Table{Header: []string{"TIME", "NODE", "REASON"}}
		for _, entry := range got.Entries {
			table.Add(formatTime(entry.At), entry.Node, entry.Reason)
		}
		return table.Write(w)
	})
}

// formatTime formats a time in UTC with milliseconds. The zero time is an empty
// text.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}
