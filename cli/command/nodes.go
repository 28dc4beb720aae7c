package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
)

func (e *Env) nodes() *cli.Command {
	return &cli.Command{
		Name:   "nodes",
		Usage:  "list the entry nodes",
		Action: clientAction(0, e.runNodes),
	}
}

func (e *Env) runNodes(ctx context.Context, c *cli.Command, cl *client.Client) error {
	nodes, err := cl.EntryNodes(ctx)
	if err != nil {
		return err
	}
	return e.show(c, httpapi.NodesResponse{Nodes: nodes}, func(w io.Writer) error {
		table := output.Table{Header: []string{"NODE", "DOMAIN", "ADDRESS", "LIVE", "VERSION", "SHARDS", "ISOLATED", "LOG UP"}}
		for _, n := range nodes {
			table.Add(string(n.ID), string(n.Domain), n.Address, yesNo(n.Live), formatVersion(n.ConfigVersion),
				formatShards(n.Shards), yesNo(n.Isolated), yesNo(n.LogUp))
		}
		return table.Write(w)
	})
}

func formatShards(ids []domain.ShardID) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = id.String()
	}
	return output.JoinNames(texts)
}
