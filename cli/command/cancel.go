package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/core/domain"
)

func (e *Env) cancel() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "stop a request",
		ArgsUsage: "ID",
		Action:    clientAction(1, e.runCancel),
	}
}

func (e *Env) runCancel(ctx context.Context, c *cli.Command, cl *client.Client) error {
	id, err := domain.ParseRequestID(c.Args().First())
	if err != nil {
		return err
	}
	o, err := cl.Cancel(ctx, id)
	if err != nil {
		return err
	}
	if err := e.showOutcome(c, o); err != nil {
		return err
	}
	switch o.State {
	case domain.OutcomeCancelled:
		return nil
	case domain.OutcomeSucceeded:
		fmt.Fprintln(e.Err, "note: the task had already finished; nothing was cancelled")
	}
	return outcomeError(o)
}
