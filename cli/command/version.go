package command

import (
	"context"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/output"
)

func (e *Env) version() *cli.Command {
	return &cli.Command{
		Name:   "version",
		Usage:  "print the version of this program",
		Action: action(0, e.runVersion),
	}
}

// versionReport is the result of the version command.
type versionReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

func (e *Env) runVersion(_ context.Context, c *cli.Command) error {
	r := buildVersion()
	return e.show(c, r, func(w io.Writer) error {
		table := output.Table{}
		table.Add("version", r.Version)
		table.Add("revision", r.Revision)
		table.Add("modified", yesNo(r.Modified))
		table.Add("go", r.Go)
		return table.Write(w)
	})
}

// buildVersion returns the version information that the Go tool embedded in the
// binary.
func buildVersion() versionReport {
	r := versionReport{Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return r
	}
	r.Version = info.Main.Version
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			r.Revision = s.Value
		case "vcs.modified":
			r.Modified = s.Value == "true"
		}
	}
	return r
}
