package command

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/node/httpapi"
)

func (e *Env) ids() *cli.Command {
	return &cli.Command{
		Name:      "ids",
		Usage:     "reserve request ids for submit --id",
		ArgsUsage: "N",
		Action:    clientAction(1, e.runIDs),
	}
}

func (e *Env) runIDs(ctx context.Context, c *cli.Command, cl *client.Client) error {
	n, err := strconv.Atoi(c.Args().First())
	if err != nil {
		return usageError(fmt.Sprintf("%q is not a number", c.Args().First()), "give the number of ids, for example basilferry ids 10")
	}
	ids, err := cl.ReserveIDs(ctx, n)
	if err != nil {
		return err
	}
	return e.show(c, httpapi.IDsResponse{IDs: ids}, func(w io.Writer) error {
		for _, id := range ids {
			fmt.Fprintln(w, id)
		}
		return nil
	})
}
