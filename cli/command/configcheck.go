package command

import (
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/configcheck"
	coreplatform "github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/platform"
)

// operatorConfigReport is the result of the config check command for an operator
// configuration. Against and Changes are empty without another configuration.
type operatorConfigReport struct {
	File     string                `json:"file"`
	Findings []configcheck.Finding `json:"findings"`
	Against  string                `json:"against,omitempty"`
	Changes  []configcheck.Change  `json:"changes,omitempty"`
}

// checkOperatorConfig checks an operator configuration and compares it with the one in the
// file of the flag, if it is set.
func (e *Env) checkOperatorConfig(c *cli.Command, data []byte) error {
	report := operatorConfigReport{File: c.Args().First(), Against: c.String("against"), Findings: []configcheck.Finding{}}
	against, err := e.readOperatorConfig(report.Against)
	if err != nil {
		return err
	}
	if config, err := platform.DecodeOperatorConfig(data); err != nil {
		report.Findings = append(report.Findings, configcheck.Finding{
			Severity: configcheck.SeverityError, Code: configcheck.CodeUnreadable, Entry: "file", Message: err.Error(),
			Remedy: "correct the value; nodes would keep the configuration in force",
		})
	} else {
		report.Findings = append(report.Findings, configcheck.Check(config, against)...)
		if against != nil {
			report.Changes = configcheck.Diff(against, config)
		}
	}
	if err := e.show(c, report, report.write); err != nil {
		return err
	}
	if n := report.errorCount(); n > 0 {
		return usageError(fmt.Sprintf("operator configuration %s has %d error(s)", report.File, n), "correct the file before it is sent")
	}
	return nil
}

// readOperatorConfig returns nil for an empty file name.
func (e *Env) readOperatorConfig(file string) (*coreplatform.OperatorConfig, error) {
	if file == "" {
		return nil, nil
	}
	data, err := e.readFile(file)
	if err != nil {
		return nil, usageError("the configuration in force cannot be read: "+err.Error(), "give a readable file")
	}
	config, err := platform.DecodeOperatorConfig(data)
	if err != nil {
		return nil, usageError("the configuration in force cannot be read: "+err.Error(), "give an operator configuration of the platform")
	}
	return config, nil
}

func (r operatorConfigReport) errorCount() int {
	return len(slices.DeleteFunc(slices.Clone(r.Findings), func(f configcheck.Finding) bool { return f.Severity != configcheck.SeverityError }))
}

func (r operatorConfigReport) write(w io.Writer) error {
	if err := r.writeFindings(w); err != nil || r.Against == "" {
		return err
	}
	if len(r.Changes) == 0 {
		_, err := fmt.Fprintf(w, "no differences from %s\n", r.Against)
		return err
	}
	table := output.Table{Header: []string{"CHANGE", "ENTRY", "DETAIL"}}
	for _, change := range r.Changes {
		table.Add(change.Action, change.Entry, change.Detail)
	}
	if _, err := fmt.Fprintf(w, "differences from %s:\n", r.Against); err != nil {
		return err
	}
	return table.Write(w)
}

func (r operatorConfigReport) writeFindings(w io.Writer) error {
	if len(r.Findings) == 0 {
		_, err := fmt.Fprintf(w, "%s: no findings\n", r.File)
		return err
	}
	table := output.Table{Header: []string{"SEVERITY", "CODE", "ENTRY", "PROBLEM", "REMEDY"}}
	for _, f := range r.Findings {
		table.Add(string(f.Severity), f.Code, f.Entry, f.Message, f.Remedy)
	}
	return table.Write(w)
}
