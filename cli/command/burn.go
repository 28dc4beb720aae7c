package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/burn"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/burnreport"
	"github.com/basilferry/basilferry/node/service"
)

// htmlFileMode is the permission mode of the HTML file.
const htmlFileMode = 0o644

func (e *Env) burn() *cli.Command {
	return &cli.Command{
		Name:        "burn",
		Usage:       "show the burn rates summed over the nodes that respond",
		Description: "Each node counts only the requests that it received. Give every node with --node; nodes that are left out are listed as missing.",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "html", Usage: "write an HTML page with plots to `FILE`"}},
		Action:      clientAction(0, e.runBurn),
	}
}

// burnReport is the result of the burn command.
type burnReport struct {
	burn.Report
	// Nodes lists the nodes whose counts are included, and Missing lists the
	// others. A node that cannot be identified by its address is listed by URL.
	Nodes   []string `json:"nodes"`
	Missing []string `json:"missing"`
}

func (e *Env) runBurn(ctx context.Context, c *cli.Command, cl *client.Client) error {
	report, err := collectBurnReports(ctx, cl)
	if err != nil {
		return err
	}
	if len(report.Missing) > 0 {
		fmt.Fprintf(e.Err, "note: counts are missing of %s\n", output.JoinNames(report.Missing))
	}
	if path := c.String("html"); path != "" {
		if err := writeHTML(path, report.Report); err != nil {
			return err
		}
	}
	return e.show(c, report, func(w io.Writer) error {
		if err := burnreport.WriteTable(w, report.Report); err != nil {
			return err
		}
		_, err := fmt.Fprintf(w, "nodes: %s\n", output.JoinNames(report.Nodes))
		return err
	})
}

// joinErrors returns one error with the messages of all nodes. Its kind and
// remedy are those of the first error.
func joinErrors(failures []*domain.Error) *domain.Error {
	joined := *failures[0]
	for _, f := range failures[1:] {
		joined.Message += "; " + f.Message
	}
	return &joined
}

func writeHTML(path string, r burn.Report) error {
	var page strings.Builder
	if err := burnreport.WriteHTML(&page, r); err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(page.String()), htmlFileMode); err != nil {
		return usageError("the HTML page cannot be written: "+err.Error(), "give a writable file with --html")
	}
	return nil
}

// collectBurnReports reads and merges the reports of all given nodes, each node
// once. It fails only if no node responds.
func collectBurnReports(ctx context.Context, cl *client.Client) (burnReport, error) {
	report := burnReport{Nodes: []string{}, Missing: []string{}}
	var knownNodes []service.NodeStatus
	var reports []burn.Report
	var failures []*domain.Error
	for _, url := range cl.Nodes() {
		single := cl.ForNode(url)
		got, err := single.Burn(ctx)
		if err != nil {
			failures = append(failures, domain.AsError(err))
			report.Missing = append(report.Missing, url)
			continue
		}
		nodes, err := single.EntryNodes(ctx)
		if err == nil {
			knownNodes = nodes
		}
		name := nodeName(url, nodes)
		if slices.Contains(report.Nodes, name) {
			continue
		}
		report.Nodes = append(report.Nodes, name)
		reports = append(reports, got)
	}
	if len(reports) == 0 {
		return report, joinErrors(failures)
	}
	report.Report = mergeBurnReports(reports)
	report.Missing = missingNodes(report, knownNodes)
	return report, nil
}

// nodeName returns the id of the node at a URL. It returns the URL if no node has
// that address, for example because it is the address of a load balancer.
func nodeName(url string, nodes []service.NodeStatus) string {
	if id, ok := findNodeByURL(url, nodes); ok {
		return string(id)
	}
	return url
}

func findNodeByURL(url string, nodes []service.NodeStatus) (domain.NodeID, bool) {
	_, address, _ := strings.Cut(url, "://")
	for _, n := range nodes {
		if n.Address == address {
			return n.ID, true
		}
	}
	return "", false
}

// missingNodes returns the known nodes that are not included, and the URLs that
// did not respond and belong to no known node.
func missingNodes(r burnReport, knownNodes []service.NodeStatus) []string {
	missing := []string{}
	for _, n := range knownNodes {
		if !slices.Contains(r.Nodes, string(n.ID)) {
			missing = append(missing, string(n.ID))
		}
	}
	for _, url := range r.Missing {
		if _, ok := findNodeByURL(url, knownNodes); !ok {
			missing = append(missing, url)
		}
	}
	return missing
}
