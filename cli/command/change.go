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
	// defaultInForceWait covers the 11 s within which a change is in force
	// everywhere reachable at the largest size.
	defaultInForceWait = 15 * time.Second
	// nodeWait is how long the node itself waits before the command asks for
	// progress.
	nodeWait = time.Second
	// takeOutNodeWait is longer, because only the node can tell which nodes
	// have a provisional take-out; 3 s is the bound on a take-out.
	takeOutNodeWait = 3 * time.Second
)

// States of a changeReport.
const (
	stateInForce     = "in force"
	statePartial     = "in force in part"
	stateProvisional = "provisional"
	stateRejected    = "rejected"
)

// changeReport is the result of a command that changes the configuration.
type changeReport struct {
	// Base is the version that the change was based on.
	Base    domain.Version  `json:"base"`
	Version domain.Version  `json:"version"`
	State   string          `json:"state"`
	InForce []domain.NodeID `json:"in_force"`
	// Behind lists nodes that answer without having the version in force,
	// Missing those that do not answer.
	Behind  []domain.NodeID `json:"behind"`
	Missing []domain.NodeID `json:"missing"`
	// Won lists the changes that were accepted after Base, oldest first, if
	// another operator won.
	Won []configlog.Decision `json:"won,omitempty"`
	// Configuration is in force if the change was rejected.
	Configuration *domain.Configuration `json:"configuration,omitempty"`
}

// changeFlags are the flags of every command that changes the configuration.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "operator", Usage: "`NAME` of the operator for the history", Sources: cli.EnvVars("BASILFERRY_OPERATOR", "USER")},
		&cli.StringFlag{Name: "reason", Usage: "`TEXT` for the history"},
		&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the change is based on; without it the one in force"},
		&cli.DurationFlag{Name: "wait", Usage: "how long to wait until the change is in force everywhere", Value: defaultInForceWait},
	}
}

// change completes a change with the flags, makes it and reports on it.
func (e *Env) change(ctx context.Context, c *cli.Command, cl *client.Client, change configlog.Change) error {
	if err := completeChange(ctx, c, cl, &change); err != nil {
		return err
	}
	progress := output.StartProgress(e.Err, e.Progress, fmt.Sprintf("waiting for the decision on the change of version %d", change.Base))
	defer progress.Stop()
	end := time.Now().Add(c.Duration("wait"))
	body, err := cl.Change(ctx, change, nodeWaitOf(change, c.Duration("wait")))
	if err != nil {
		return err
	}
	if body.Decision.Err != nil {
		return e.rejected(ctx, c, cl, change, body)
	}
	report := changeReport{Base: change.Base, Version: body.Decision.InForce, State: stateProvisional, InForce: listed(body.InForce), Behind: listed(nil), Missing: listed(body.Missing)}
	if !body.Provisional {
		report.Version = body.Decision.Version
		e.awaitInForce(ctx, cl, &report, progress, end)
	}
	return e.showChange(c, report)
}

// nodeWaitOf returns how long the node waits, at most the whole wait.
func nodeWaitOf(change configlog.Change, whole time.Duration) time.Duration {
	wait := nodeWait
	if change.TakeOut != nil {
		wait = takeOutNodeWait
	}
	return max(min(wait, whole), 0)
}

// listed returns a list that is written as [] if it is empty.
func listed(ids []domain.NodeID) []domain.NodeID { return append([]domain.NodeID{}, ids...) }

func completeChange(ctx context.Context, c *cli.Command, cl *client.Client, change *configlog.Change) error {
	change.Operator = c.String("operator")
	change.Reason = c.String("reason")
	change.Base = domain.Version(c.Uint64("base"))
	if change.Operator == "" {
		return usage("no operator is named", "set --operator or BASILFERRY_OPERATOR to your name")
	}
	if c.IsSet("base") {
		return nil
	}
	inForce, err := cl.Configuration(ctx)
	change.Base = inForce.Version
	return err
}

// awaitInForce asks for the nodes until every one that answers has the version,
// or the time is over. Nodes that do not answer are not waited for.
func (e *Env) awaitInForce(ctx context.Context, cl *client.Client, r *changeReport, p *output.Progress, end time.Time) {
	for {
		nodes, err := cl.EntryNodes(ctx)
		if err == nil {
			r.note(nodes)
		}
		p.Set(r.progress())
		if err == nil && len(r.Behind) == 0 {
			break
		}
		if time.Now().After(end) || !client.Pause(ctx, e.Poll) {
			break
		}
	}
	r.State = stateInForce
	if len(r.Missing)+len(r.Behind) > 0 || len(r.InForce) == 0 {
		r.State = statePartial
	}
}

func (r *changeReport) progress() string {
	text := fmt.Sprintf("waiting until version %d is in force: %d of %d nodes have it", r.Version, len(r.InForce), len(r.InForce)+len(r.Behind)+len(r.Missing))
	if len(r.Behind) > 0 {
		text += ", behind: " + output.List(r.Behind)
	}
	if len(r.Missing) > 0 {
		text += ", no answer: " + output.List(r.Missing)
	}
	return text
}

// note updates the lists of nodes. A node that had the version keeps it.
func (r *changeReport) note(nodes []service.NodeStatus) {
	had := r.InForce
	r.InForce, r.Behind, r.Missing = listed(nil), listed(nil), listed(nil)
	for _, n := range nodes {
		switch {
		case slices.Contains(had, n.ID), n.Live && n.ConfigVersion >= r.Version:
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
		table.Add("based on version", version(r.Base))
		table.Add("version", version(r.Version))
		table.Add("state", r.State)
		table.Add("in force on", output.List(r.InForce))
		table.Add("behind", output.List(r.Behind))
		table.Add("missing", output.List(r.Missing))
		return table.Write(w)
	})
	if err != nil {
		return err
	}
	return r.problem()
}

// problem returns the error of a change that is not in force everywhere.
func (r changeReport) problem() error {
	switch r.State {
	case statePartial:
		return partial("the change is accepted but not known to be in force on: "+output.List(append(listed(r.Behind), r.Missing...)),
			"see basilferry nodes; a node that returns takes the change by itself")
	case stateProvisional:
		message := "the log service does not answer; starts are stopped provisionally on: " + output.List(r.InForce)
		if len(r.Missing) > 0 {
			message += "; without an answer: " + output.List(r.Missing)
		}
		return partial(message, "the take-out becomes part of the configuration once the log service answers; basilferry config history shows it then")
	}
	return nil
}

func partial(message, remedy string) error {
	return &codedError{code: ExitPartial, err: &domain.Error{Kind: domain.KindUnavailable, Message: message, Remedy: remedy}}
}

// rejected reports a change that was not accepted, and what won if another one
// was.
func (e *Env) rejected(ctx context.Context, c *cli.Command, cl *client.Client, change configlog.Change, body httpapi.ChangeBody) error {
	r := changeReport{
		Base:          change.Base,
		Version:       body.Decision.InForce,
		State:         stateRejected,
		InForce:       listed(nil),
		Behind:        listed(nil),
		Missing:       listed(nil),
		Configuration: body.Configuration,
	}
	if body.Decision.Err.Kind == domain.KindVersionConflict {
		r.Won = acceptedAfter(ctx, cl, change.Base)
	}
	if err := e.show(c, r, r.writeRejected); err != nil {
		return err
	}
	return body.Decision.Err
}

func (r changeReport) writeRejected(w io.Writer) error {
	table := output.Table{}
	table.Add("based on version", version(r.Base))
	table.Add("state", r.State)
	table.Add("version in force", version(r.Version))
	if r.Configuration != nil {
		table.Add("preset in force", r.Configuration.Preset.Name)
		table.Add("taken out", takenOut(*r.Configuration))
	}
	for _, d := range r.Won {
		table.Add("won, version "+version(d.Version), changeText(d.Change)+" by "+d.Change.Operator+reasonText(d.Change))
	}
	return table.Write(w)
}

func takenOut(c domain.Configuration) string {
	names := make([]domain.FailureDomain, len(c.TakeOuts))
	for i, t := range c.TakeOuts {
		names[i] = t.Domain
	}
	return output.List(names)
}

func reasonText(c configlog.Change) string {
	if c.Reason == "" {
		return ""
	}
	return ": " + c.Reason
}

// acceptedAfter returns the changes that were accepted after a version, oldest
// first, as far as the node that answers knows them.
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

func version(v domain.Version) string { return number(int64(v)) }

// changeText describes a change in a few words.
func changeText(c configlog.Change) string {
	switch {
	case c.Preset != nil:
		return "preset use " + c.Preset.Name
	case c.TakeOut != nil:
		return "domain take-out " + string(*c.TakeOut)
	case c.BringBack != nil:
		return "domain bring-back " + string(*c.BringBack)
	case c.Quota != nil:
		return "quota set " + string(c.Quota.Team) + " " + quotaText(*c.Quota)
	}
	return "none"
}

func quotaText(q domain.Quota) string {
	parts := []string{fmt.Sprintf("weight %g", q.Weight)}
	for _, d := range dimensions {
		if n := d.of(q.Limit); n != 0 {
			parts = append(parts, fmt.Sprintf("%s %d", d.name, n))
		}
	}
	return strings.Join(parts, ", ")
}
