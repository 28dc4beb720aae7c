package command

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
	"github.com/basilferry/basilferry/node/service"
)

const (
	// defaultInForceWait is the default time to wait until a change is in force
	// everywhere. It is longer than the 11 s within which a change is in force on
	// all reachable nodes of a cluster of the target size (docs/design.md).
	defaultInForceWait = 15 * time.Second
	// maxNodeWait is the maximum time that the node that handles a change waits
	// for other nodes before it responds. After that, the command polls the status
	// of the nodes.
	maxNodeWait = time.Second
	// maxTakeOutNodeWait replaces maxNodeWait for a take-out. It is longer,
	// because only the node that handles the change knows which nodes have
	// applied a provisional take-out. A take-out is in force within 3 s.
	maxTakeOutNodeWait = 3 * time.Second
)

// The states of a changeReport.
const (
	stateInForce     = "in force"
	statePartial     = "in force in part"
	stateProvisional = "provisional"
	stateRejected    = "rejected"
)

// changeReport is the result of a command that changes the configuration.
type changeReport struct {
	// Base is the configuration version on which the change is based. Version is
	// the version that contains the change, or the version in force if the change
	// is rejected or provisional.
	Base    domain.Version  `json:"base"`
	Version domain.Version  `json:"version"`
	State   string          `json:"state"`
	InForce []domain.NodeID `json:"in_force"`
	// Behind lists the nodes that respond but do not have the version in force
	// yet. Missing lists the nodes that do not respond.
	Behind  []domain.NodeID `json:"behind"`
	Missing []domain.NodeID `json:"missing"`
	// AcceptedAfter lists the changes that were accepted after Base, oldest first,
	// if the change was rejected because of them.
	AcceptedAfter []configlog.Decision `json:"won,omitempty"`
	// Configuration is the configuration in force if the change was rejected.
	Configuration *domain.Configuration `json:"configuration,omitempty"`
}

// changeFlags returns the flags of every command that changes the configuration.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "operator", Usage: "`NAME` of the operator for the history", Sources: cli.EnvVars("BASILFERRY_OPERATOR", "USER")},
		&cli.StringFlag{Name: "reason", Usage: "`TEXT` for the history"},
		&cli.Uint64Flag{Name: "base", Usage: "`VERSION` on which the change is based; the default is the version in force"},
		&cli.DurationFlag{Name: "wait", Usage: "how long to wait until the change is in force everywhere", Value: defaultInForceWait},
	}
}

// change completes a change with the values of the flags, sends it and shows the
// result.
func (e *Env) change(ctx context.Context, c *cli.Command, cl *client.Client, change configlog.Change) error {
	if err := completeChange(ctx, c, cl, &change); err != nil {
		return err
	}
	progress := output.StartProgress(e.Err, e.ProgressInterval, fmt.Sprintf("waiting for the decision on the change to version %d", change.Base))
	defer progress.Stop()
	deadline := time.Now().Add(c.Duration("wait"))
	body, err := cl.Change(ctx, change, nodeWaitFor(change, c.Duration("wait")))
	if err != nil {
		return err
	}
	if body.Decision.Err != nil {
		return e.showRejected(ctx, c, cl, change, body)
	}
	report := changeReport{Base: change.Base, Version: body.Decision.InForce, State: stateProvisional, InForce: nonNilList(body.InForce), Behind: nonNilList(nil), Missing: nonNilList(body.Missing)}
	if !body.Provisional {
		report.Version = body.Decision.Version
		e.waitUntilInForce(ctx, cl, &report, progress, deadline)
	}
	return e.showChange(c, report)
}

// nodeWaitFor returns how long the node that handles the change waits for other
// nodes, at most total.
func nodeWaitFor(change configlog.Change, total time.Duration) time.Duration {
	wait := maxNodeWait
	if change.TakeOut != nil {
		wait = maxTakeOutNodeWait
	}
	return max(min(wait, total), 0)
}

// nonNilList returns a copy of a list that is not nil, so that JSON has [] for an
// empty list.
func nonNilList(ids []domain.NodeID) []domain.NodeID { return append([]domain.NodeID{}, ids...) }

func completeChange(ctx context.Context, c *cli.Command, cl *client.Client, change *configlog.Change) error {
	change.Operator = c.String("operator")
	change.Reason = c.String("reason")
	change.Base = domain.Version(c.Uint64("base"))
	if change.Operator == "" {
		return usageError("no operator is given", "set --operator or BASILFERRY_OPERATOR to your name")
	}
	if c.IsSet("base") {
		return nil
	}
	inForce, err := cl.Configuration(ctx)
	change.Base = inForce.Version
	return err
}

// waitUntilInForce polls the status of the nodes until every node that responds
// has the version in force, or until the deadline has passed. It does not wait for
// nodes that do not respond.
func (e *Env) waitUntilInForce(ctx context.Context, cl *client.Client, r *changeReport, p *output.Progress, deadline time.Time) {
	for {
		nodes, err := cl.EntryNodes(ctx)
		if err == nil {
			r.updateNodes(nodes)
		}
		p.SetText(r.progressText())
		if err == nil && len(r.Behind) == 0 {
			break
		}
		if time.Now().After(deadline) || !client.Sleep(ctx, e.PollInterval) {
			break
		}
	}
	r.State = stateInForce
	if len(r.Missing)+len(r.Behind) > 0 || len(r.InForce) == 0 {
		r.State = statePartial
	}
}

func (r *changeReport) progressText() string {
	text := fmt.Sprintf("waiting until version %d is in force: %d of %d nodes have it", r.Version, len(r.InForce), len(r.InForce)+len(r.Behind)+len(r.Missing))
	if len(r.Behind) > 0 {
		text += ", behind: " + output.JoinNames(r.Behind)
	}
	if len(r.Missing) > 0 {
		text += ", no response: " + output.JoinNames(r.Missing)
	}
	return text
}

// updateNodes updates the lists of nodes. A node that already had the version in
// force stays in that list.
func (r *changeReport) updateNodes(nodes []service.NodeStatus) {
	inForceBefore := r.InForce
	r.InForce, r.Behind, r.Missing = nonNilList(nil), nonNilList(nil), nonNilList(nil)
	for _, n := range nodes {
		switch {
		case slices.Contains(inForceBefore, n.ID), n.Live && n.ConfigVersion >= r.Version:
			r.InForce = append(r.InForce, n.ID)
		case n.Live:
			r.Behind = append(r.Behind, n.ID)
		default:
			r.Missing = append(r.Missing, n.ID)
		}
	}
}

func (e *Env) showChange(c *cli.Command, r changeReport) error {
	err := e.show(c, r, func(w io.Writer) error {
		table := output.Table{}
		table.Add("based on version", formatVersion(r.Base))
		table.Add("version", formatVersion(r.Version))
		table.Add("state", r.State)
		table.Add("in force on", output.JoinNames(r.InForce))
		table.Add("behind", output.JoinNames(r.Behind))
		table.Add("missing", output.JoinNames(r.Missing))
		return table.Write(w)
	})
	if err != nil {
		return err
	}
	return r.incompleteError()
}

// incompleteError returns the error for a change that is not in force everywhere,
// and nil for any other change.
func (r changeReport) incompleteError() error {
	switch r.State {
	case statePartial:
		return partialError("the change is accepted but not known to be in force on: "+output.JoinNames(append(nonNilList(r.Behind), r.Missing...)),
			"see basilferry nodes; a node that returns takes the change by itself")
	case stateProvisional:
		message := "the log service does not answer; starts are stopped provisionally on: " + output.JoinNames(r.InForce)
		if len(r.Missing) > 0 {
			message += "; without an answer: " + output.JoinNames(r.Missing)
		}
		return partialError(message, "the take-out becomes part of the configuration once the log service answers; basilferry config history shows it then")
	}
	return nil
}

func partialError(message, remedy string) error {
	return &exitCodeError{code: ExitPartial, err: &domain.Error{Kind: domain.KindUnavailable, Message: message, Remedy: remedy}}
}

// showRejected shows a rejected change and returns the reason as an error. If the
// change conflicts with others, it also shows the changes that were accepted
// instead.
func (e *Env) showRejected(ctx context.Context, c *cli.Command, cl *client.Client, change configlog.Change, body httpapi.ChangeResponse) error {
	r := changeReport{
		Base:          change.Base,
		Version:       body.Decision.InForce,
		State:         stateRejected,
		InForce:       nonNilList(nil),
		Behind:        nonNilList(nil),
		Missing:       nonNilList(nil),
		Configuration: body.Configuration,
	}
	if body.Decision.Err.Kind == domain.KindVersionConflict {
		r.AcceptedAfter = acceptedAfter(ctx, cl, change.Base)
	}
	if err := e.show(c, r, r.writeRejected); err != nil {
		return err
	}
	return body.Decision.Err
}

func (r changeReport) writeRejected(w io.Writer) error {
	table := output.Table{}
	table.Add("based on version", formatVersion(r.Base))
	table.Add("state", r.State)
	table.Add("version in force", formatVersion(r.Version))
	if r.Configuration != nil {
		table.Add("preset in force", r.Configuration.Preset.Name)
		table.Add("taken out", takenOutDomains(*r.Configuration))
	}
	for _, d := range r.AcceptedAfter {
		table.Add("won, version "+formatVersion(d.Version), describeChange(d.Change)+" by "+d.Change.Operator+reasonSuffix(d.Change))
	}
	return table.Write(w)
}

func takenOutDomains(c domain.Configuration) string {
	names := make([]domain.FailureDomain, len(c.TakeOuts))
	for i, t := range c.TakeOuts {
		names[i] = t.Domain
	}
	return output.JoinNames(names)
}

func reasonSuffix(c configlog.Change) string {
	if c.Reason == "" {
		return ""
	}
	return ": " + c.Reason
}

// acceptedAfter returns the changes that were accepted after a version, oldest
// first. It is limited to the history of the node that responds.
func acceptedAfter(ctx context.Context, cl *client.Client, v domain.Version) []configlog.Decision {
	history, err := cl.History(ctx, client.MaxHistory)
	if err != nil {
		return nil
	}
	var accepted []configlog.Decision
	for _, d := range slices.Backward(history) {
		if d.Accepted && d.Version > v {
			accepted = append(accepted, d)
		}
	}
	return accepted
}

func formatVersion(v domain.Version) string { return formatNumber(int64(v)) }

// describeChange describes a change by the command that makes it and the new
// values.
func describeChange(c configlog.Change) string {
	switch {
	case c.Preset != nil:
		return "preset use " + c.Preset.Name
	case c.TakeOut != nil:
		return "domain take-out " + string(*c.TakeOut)
	case c.BringBack != nil:
		return "domain bring-back " + string(*c.BringBack)
	case c.Quota != nil:
		return "quota set " + string(c.Quota.Team) + " " + describeQuota(*c.Quota)
	}
	return "none"
}

func describeQuota(q domain.Quota) string {
	parts := []string{fmt.Sprintf("weight %g", q.Weight)}
	for _, d := range dimensions {
		if n := d.value(q.Limit); n != 0 {
			parts = append(parts, fmt.Sprintf("%s %d", d.name, n))
		}
	}
	return strings.Join(parts, ", ")
}
