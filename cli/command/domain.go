package command

import (
	"context"
	"io"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/service"
)

func (e *Env) domain() *cli.Command {
	return &cli.Command{
		Name:  "domain",
		Usage: "take failure domains out of service and bring them back",
		Commands: []*cli.Command{
			{Name: "take-out", Usage: "stop starting tasks in a failure domain", ArgsUsage: "DOMAIN", Flags: changeFlags(), Action: clientAction(1, e.runTakeOut)},
			{Name: "bring-back", Usage: "return a failure domain to service", ArgsUsage: "DOMAIN", Flags: changeFlags(), Action: clientAction(1, e.runBringBack)},
			{Name: "status", Usage: "show each failure domain and its nodes", Action: clientAction(0, e.runDomainStatus)},
		},
	}
}

func (e *Env) runTakeOut(ctx context.Context, c *cli.Command, cl *client.Client) error {
	d := domain.FailureDomain(c.Args().First())
	return e.change(ctx, c, cl, configlog.Change{TakeOut: &d})
}

func (e *Env) runBringBack(ctx context.Context, c *cli.Command, cl *client.Client) error {
	d := domain.FailureDomain(c.Args().First())
	return e.change(ctx, c, cl, configlog.Change{BringBack: &d})
}

// domainStatus is the status of one failure domain.
type domainStatus struct {
	Domain  domain.FailureDomain `json:"domain"`
	TakeOut *domain.TakeOut      `json:"take_out,omitempty"`
	Nodes   int                  `json:"nodes"`
	Live    []domain.NodeID      `json:"live"`
	// Behind lists the live nodes that do not have the version in force yet.
	Behind []domain.NodeID `json:"behind,omitempty"`
	// Missing lists the nodes that do not respond.
	Missing  []domain.NodeID `json:"missing,omitempty"`
	Isolated []domain.NodeID `json:"isolated,omitempty"`
}

// domainReport is the result of the domain status command.
type domainReport struct {
	Version domain.Version `json:"version"`
	Domains []domainStatus `json:"domains"`
}

func (e *Env) runDomainStatus(ctx context.Context, c *cli.Command, cl *client.Client) error {
	current, err := cl.Configuration(ctx)
	if err != nil {
		return err
	}
	nodes, err := cl.EntryNodes(ctx)
	if err != nil {
		return err
	}
	report := newDomainReport(current, nodes)
	return e.show(c, report, func(w io.Writer) error {
		table := output.Table{Header: []string{"DOMAIN", "STATE", "SINCE", "BY", "REASON", "LIVE NODES", "BEHIND", "MISSING", "ISOLATED"}}
		for _, d := range report.Domains {
			takeOut := takeOutCells(d.TakeOut)
			table.Add(append(append([]string{string(d.Domain)}, takeOut...), formatFraction(int64(len(d.Live)), int64(d.Nodes)),
				output.JoinNames(d.Behind), output.JoinNames(d.Missing), output.JoinNames(d.Isolated))...)
		}
		return table.Write(w)
	})
}

func takeOutCells(t *domain.TakeOut) []string {
	if t == nil {
		return []string{"in service", "", "", ""}
	}
	return []string{"taken out", formatVersion(t.Since), t.Operator, t.Reason}
}

// newDomainReport returns a report on the domains that have nodes or are taken
// out, sorted by name.
func newDomainReport(current domain.Configuration, nodes []service.NodeStatus) domainReport {
	r := domainReport{Version: current.Version, Domains: []domainStatus{}}
	for _, t := range current.TakeOuts {
		r.statusOf(t.Domain).TakeOut = &t
	}
	for _, n := range nodes {
		r.statusOf(n.Domain).add(n, current.Version)
	}
	slices.SortFunc(r.Domains, func(a, b domainStatus) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	return r
}

// statusOf returns the status of a domain in the report. It adds one if there is
// none.
func (r *domainReport) statusOf(d domain.FailureDomain) *domainStatus {
	i := slices.IndexFunc(r.Domains, func(s domainStatus) bool { return s.Domain == d })
	if i < 0 {
		i = len(r.Domains)
		r.Domains = append(r.Domains, domainStatus{Domain: d, Live: []domain.NodeID{}})
	}
	return &r.Domains[i]
}

func (s *domainStatus) add(n service.NodeStatus, inForce domain.Version) {
	s.Nodes++
	if !n.Live {
		s.Missing = append(s.Missing, n.ID)
		return
	}
	s.Live = append(s.Live, n.ID)
	if n.ConfigVersion < inForce {
		s.Behind = append(s.Behind, n.ID)
	}
	if n.Isolated {
		s.Isolated = append(s.Isolated, n.ID)
	}
}
