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
	Missing []domain.NodeID `json:"missing"`
	// Winner is the change in force if another operator won.
	Winner *configlog.Decision `json:"winner,omitempty"`
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
	body, err := cl.Change(ctx, change, min(nodeWait, max(c.Duration("wait"), 0)))
	if err != nil {
		return err
	}
	if body.Decision.Err != nil {
		return e.rejected(ctx, c, cl, change, body)
	}
	report := changeReport{Base: change.Base, Version: body.Decision.InForce, State: stateProvisional, InForce: body.InForce, Missing: body.Missing}
	if !body.Provisional {
		report.Version = body.Decision.Version
		e.awaitInForce(ctx, cl, &report, progress, end)
	}
	return e.showChange(c, report)
}

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
// or the time is over.
func (e *Env) awaitInForce(ctx context.Context, cl *client.Client, r *changeReport, p *output.Progress, end time.Time) {
	r.State = stateInForce
	for first := true; first || len(r.Missing) > 0; first = false {
		if nodes, err := cl.EntryNodes(ctx); err == nil {
			r.note(nodes)
		}
		p.Set(fmt.Sprintf("waiting until version %d is in force: %d of %d nodes, missing %s",
			r.Version, len(r.InForce), len(r.InForce)+len(r.Missing), output.List(r.Missing)))
		if len(r.Missing) == 0 || time.Now().After(end) || !client.Pause(ctx, e.Poll) {
			break
		}
	}
	if len(r.Missing) > 0 || len(r.InForce) == 0 {
		r.State = statePartial
	}
}

// note updates the lists of nodes. A node that had the version keeps it.
func (r *changeReport) note(nodes []service.NodeStatus) {
	had := r.InForce
	r.InForce, r.Missing = nil, nil
	for _, n := range nodes {
		if (n.Live && n.ConfigVersion >= r.Version) || slices.Contains(had, n.ID) {
			r.InForce = append(r.InForce, n.ID)
		} else {
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
		return partial("the change is accepted but has not been seen in force on: "+output.List(r.Missing),
			"see basilferry nodes; a node that returns takes the change by itself")
	case stateProvisional:
		message := "the log service does not answer; starts are stopped provisionally on: " + output.List(r.InForce)
		if len(r.Missing) > 0 {
			message += "; without an answer: " + output.List(r.Missing)
		}
		return partial(message, "the take-out becomes part of the configuration once the log service answers; see basilferry domain status")
	}
	return nil
}

func partial(message, remedy string) error {
	return &codedError{code: ExitPartial, err: &domain.Error{Kind: domain.KindUnavailable, Message: message, Remedy: remedy}}
}

// rejected reports a change that lost, with what is in force in its place.
func (e *Env) rejected(ctx context.Context, c *cli.Command, cl *client.Client, change configlog.Change, body httpapi.ChangeBody) error {
	r := changeReport{Base: change.Base, Version: body.Decision.InForce, State: stateRejected, Configuration: body.Configuration}
	if body.Configuration != nil {
		r.Version = body.Configuration.Version
	}
	r.Winner = winner(ctx, cl, r.Version)
	err := e.show(c, r, func(w io.Writer) error {
		table := output.Table{}
		table.Add("based on version", version(r.Base))
		table.Add("state", r.State)
		table.Add("version in force", version(r.Version))
		if r.Winner != nil {
			table.Add("changed by", r.Winner.Change.Operator)
			table.Add("change", changeText(r.Winner.Change))
			table.Add("reason", r.Winner.Change.Reason)
		}
		return table.Write(w)
	})
	if err != nil {
		return err
	}
	return body.Decision.Err
}

// winner returns the decision that put the version in force, if a node still
// knows it.
func winner(ctx context.Context, cl *client.Client, v domain.Version) *configlog.Decision {
	history, err := cl.History(ctx, client.MaxHistory)
	if err != nil {
		return nil
	}
	for _, d := range history {
		if d.Accepted && d.Version == v {
			return &d
		}
	}
	return nil
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
