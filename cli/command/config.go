package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
	"github.com/basilferry/basilferry/node/settings"
	"github.com/basilferry/basilferry/platform"
)

// defaultHistoryLimit is the default number of decisions that config history
// shows.
const defaultHistoryLimit = 50

func (e *Env) config() *cli.Command {
	limit := &cli.IntFlag{Name: "limit", Usage: "maximum number of decisions, newest first", Value: defaultHistoryLimit}
	return &cli.Command{
		Name:  "config",
		Usage: "check a settings file or an operator configuration, show the configuration in force and its history",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "list all problems of a settings file, or of an operator configuration of the platform", ArgsUsage: "FILE",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "against", Usage: "operator configuration in force, in a `FILE`; also list the differences from it"}},
				Action: action(1, e.runConfigCheck),
			},
			{Name: "show", Usage: "show the configuration in force", Action: clientAction(0, e.runConfigShow)},
			{Name: "history", Usage: "list the decisions on the latest changes", Flags: []cli.Flag{limit}, Action: clientAction(0, e.runConfigHistory)},
		},
	}
}

// checkReport is the result of the config check command.
type checkReport struct {
	File     string             `json:"file"`
	Valid    bool               `json:"valid"`
	Problems []settings.Problem `json:"problems"`
}

func (e *Env) runConfigCheck(_ context.Context, c *cli.Command) error {
	file := c.Args().First()
	data, err := e.readFile(file)
	if err != nil {
		return usageError("the settings file cannot be read: "+err.Error(), "give a readable file, or - for standard input")
	}
	if c.IsSet("against") || platform.IsOperatorConfig(data) {
		return e.checkOperatorConfig(c, data)
	}
	problems := append([]settings.Problem{}, settings.Check(data)...)
	report := checkReport{File: file, Valid: len(problems) == 0, Problems: problems}
	if err := e.show(c, report, report.write); err != nil || report.Valid {
		return err
	}
	return usageError(fmt.Sprintf("settings file %s has %d problem(s)", file, len(problems)), "correct the file; docs/settings.md lists all fields")
}

func (r checkReport) write(w io.Writer) error {
	if r.Valid {
		_, err := fmt.Fprintf(w, "%s: no problems\n", r.File)
		return err
	}
	table := output.Table{Header: []string{"PLACE", "FIELD", "PROBLEM", "REMEDY"}}
	for _, p := range r.Problems {
		table.Add(fmt.Sprintf("%d:%d", p.Line, p.Column), p.Field, p.Message, p.Remedy)
	}
	return table.Write(w)
}

func (e *Env) runConfigShow(ctx context.Context, c *cli.Command, cl *client.Client) error {
	current, err := cl.Configuration(ctx)
	if err != nil {
		return err
	}
	return e.show(c, current, func(w io.Writer) error { return writeConfiguration(w, current) })
}

func writeConfiguration(w io.Writer, current domain.Configuration) error {
	head := output.Table{}
	head.Add("version", formatVersion(current.Version))
	head.Add("appended at", formatTime(current.AppendedAt))
	addPresetRows(&head, current.Preset)
	if err := head.Write(w); err != nil {
		return err
	}
	if len(current.TakeOuts) > 0 {
		takeOuts := output.Table{Header: []string{"TAKEN OUT", "SINCE", "BY", "REASON"}}
		for _, t := range current.TakeOuts {
			takeOuts.Add(string(t.Domain), formatVersion(t.Since), t.Operator, t.Reason)
		}
		fmt.Fprintln(w)
		if err := takeOuts.Write(w); err != nil {
			return err
		}
	}
	if len(current.Quotas) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	return quotaTable(current.Quotas).Write(w)
}

func (e *Env) runConfigHistory(ctx context.Context, c *cli.Command, cl *client.Client) error {
	decisions, err := cl.History(ctx, c.Int("limit"))
	if err != nil {
		return err
	}
	return e.show(c, httpapi.HistoryResponse{Decisions: decisions}, func(w io.Writer) error {
		table := output.Table{Header: []string{"VERSION", "BASE", "DECISION", "BY", "CHANGE", "REASON", "IN FORCE"}}
		for _, d := range decisions {
			table.Add(formatVersion(d.Version), formatVersion(d.Change.Base), describeDecision(d), d.Change.Operator,
				describeChange(d.Change), d.Change.Reason, formatVersion(d.InForce))
		}
		return table.Write(w)
	})
}

func describeDecision(d configlog.Decision) string {
	if d.Accepted {
		return "accepted"
	}
	if d.Err != nil {
		return "rejected: " + string(d.Err.Kind)
	}
	return "rejected"
}
