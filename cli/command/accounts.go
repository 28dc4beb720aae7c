package command

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/domain"
)

const (
	// accountUseMessage is the message of the log lines in which the owner states the use of
	// one account.
	accountUseMessage = "account use"
	// accountWaitMessage is that of the decision that a job waits for the limit of its account.
	accountWaitMessage = "wait for account"
)

func (e *Env) accounts() *cli.Command {
	return &cli.Command{
		Name:      "accounts",
		Usage:     "show the latest use, limit and share of each account from the owner's log, and why a job waits",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "job", Usage: "`ID` of a job; also show its decisions, which say why it waits"}},
		Action:    action(1, e.runAccounts),
	}
}

// accountUse is the content of one log line about an account. Its resources are in
// thousandths of a core, MiB and accelerators; a limit of 0 means no limit. Share is the
// largest share that the account uses of a resource of all workers, FairShare what its weight
// entitles it to, and JobsWaiting the number of jobs that wait for the limit.
type accountUse struct {
	At                time.Time `json:"time"`
	Account           string    `json:"account"`
	CPUMilli          int64     `json:"cpu_milli"`
	MemoryMiB         int64     `json:"memory_mib"`
	Accelerators      int64     `json:"accelerators"`
	CPUMilliLimit     int64     `json:"cpu_milli_limit"`
	MemoryMiBLimit    int64     `json:"memory_mib_limit"`
	AcceleratorsLimit int64     `json:"accelerators_limit"`
	Share             float64   `json:"share"`
	FairShare         float64   `json:"fair_share"`
	JobsWaiting       int64     `json:"jobs_waiting"`
}

// accountsReport is the result of the accounts command. Job and Decisions are empty without a
// job.
type accountsReport struct {
	Accounts  []accountUse `json:"accounts"`
	Job       string       `json:"job,omitempty"`
	Decisions []string     `json:"decisions,omitempty"`
}

func (e *Env) runAccounts(_ context.Context, c *cli.Command) error {
	data, err := e.readFile(c.Args().First())
	if err != nil {
		return usageError("the log cannot be read: "+err.Error(), "give a readable file, or - for standard input")
	}
	report := accountsReport{Accounts: latestAccountUse(data)}
	if len(report.Accounts) == 0 {
		return &domain.Error{
			Kind: domain.KindNotFound, Message: "no log line states the use of an account",
			Remedy: "give the log of the node that is the owner, with a configuration that has accounts",
		}
	}
	if report.Job = c.String("job"); report.Job != "" {
		if err := report.selectJob(data); err != nil {
			return err
		}
	}
	return e.show(c, report, report.write)
}

// latestAccountUse returns the latest line of each account, sorted by name.
func latestAccountUse(log []byte) []accountUse {
	latest := map[string]accountUse{}
	for line := range bytes.Lines(log) {
		start := bytes.IndexByte(line, '{')
		if start < 0 || !bytes.Contains(line, []byte(accountUseMessage)) {
			continue
		}
		var use struct {
			accountUse
			Message string `json:"msg"`
		}
		if json.Unmarshal(line[start:], &use) != nil || use.Message != accountUseMessage {
			continue
		}
		if !use.At.Before(latest[use.Account].At) {
			latest[use.Account] = use.accountUse
		}
	}
	return slices.SortedFunc(maps.Values(latest), func(a, b accountUse) int { return cmp.Compare(a.Account, b.Account) })
}

// selectJob adds the job's decisions, and reduces the report to the account whose limit the job
// has waited for, if there is one.
func (r *accountsReport) selectJob(log []byte) error {
	lines, err := readTraceLines(bytes.NewReader(log), r.Job)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &domain.Error{
			Kind: domain.KindNotFound, Message: "no log line contains job " + r.Job,
			Remedy: "check the id, and give the owner's log for the time of the job",
		}
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		r.Decisions = append(r.Decisions, l.text)
	}
	waitedFor := func(use accountUse) bool {
		return slices.ContainsFunc(lines, func(l traceLine) bool {
			return l.message == accountWaitMessage && strings.HasPrefix(l.reason, "account "+use.Account+" is at its limit")
		})
	}
	if i := slices.IndexFunc(r.Accounts, waitedFor); i >= 0 {
		r.Accounts = r.Accounts[i : i+1]
	}
	return nil
}

func (r accountsReport) write(w io.Writer) error {
	table := output.Table{Header: []string{"ACCOUNT", "CPU MILLI", "MEMORY MIB", "ACCELERATORS", "SHARE", "FAIR SHARE", "JOBS WAITING", "TIME"}}
	for _, use := range r.Accounts {
		table.Add(use.Account, formatLimited(use.CPUMilli, use.CPUMilliLimit), formatLimited(use.MemoryMiB, use.MemoryMiBLimit),
			formatLimited(use.Accelerators, use.AcceleratorsLimit), fmt.Sprintf("%.3f", use.Share), fmt.Sprintf("%.3f", use.FairShare),
			formatNumber(use.JobsWaiting), formatTime(use.At))
	}
	if err := table.Write(w); err != nil || r.Job == "" {
		return err
	}
	for _, text := range r.Decisions {
		if _, err := fmt.Fprintln(w, output.ReplaceControlCharacters(text)); err != nil {
			return err
		}
	}
	return nil
}

// formatLimited formats a use and its limit.
func formatLimited(use, limit int64) string {
	if limit <= 0 {
		return fmt.Sprintf("%d/-", use)
	}
	return fmt.Sprintf("%d/%d", use, limit)
}
