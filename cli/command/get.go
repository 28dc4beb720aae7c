package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/core/domain"
)

func (e *Env) get() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show the known outcome of a request",
		ArgsUsage: "ID",
		Action:    clientAction(1, e.runGet),
	}
}

func (e *Env) runGet(ctx context.Context, c *cli.Command, cl *client.Client) error {
	id, err := domain.ParseRequestID(c.Args().First())
	if err != nil {
		return err
	}
	o, err := cl.Lookup(ctx, id)
	if err != nil {
		return err
	}
	if err := e.showOutcome(c, o); err != nil {
		return err
	}
	return outcomeError(o)
}
