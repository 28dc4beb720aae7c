package command

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/golden"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/policy"
)

const submitUrgent = "submit --kind urgent --class credit-check --team lending --deadline 5s --cpu-milli 100 --memory-mib 64 --payload 4711"

// goldenCase is a command line whose output is compared with golden files. If adapt
// is set, it changes the cluster before the command runs.
type goldenCase struct {
	name  string
	line  string
	adapt func(*fakeCluster)
}

var goldenCases = []goldenCase{
	{name: "submit", line: submitUrgent},
	{name: "submit-batch", line: "submit --kind batch --class settlement --team lending --cpu-milli 2000 --memory-mib 512 --key settle-2026-03", adapt: setVolatileOutcome},
	{name: "submit-not-run", line: submitUrgent, adapt: setNotRunOutcome},
	{name: "get", line: "get volos-1-3-9"},
	{name: "get-failed", line: "get volos-1-3-9", adapt: setFailedOutcome},
	{name: "cancel", line: "cancel volos-1-3-9", adapt: setCancelledOutcome},
	{name: "ids", line: "ids 3"},
	{name: "explain", line: "explain volos-1-3-9"},
	{name: "preset-list", line: "preset list"},
	{name: "preset-show", line: "preset show maintenance"},
	{name: "preset-use", line: "preset use peak --reason month-end"},
	{name: "preset-use-partial", line: "preset use peak", adapt: takeOneNodeDown},
	{name: "preset-use-conflict", line: "preset use peak --base 7"},
	{name: "domain-take-out", line: "domain take-out volos --reason power"},
	{name: "domain-take-out-provisional", line: "domain take-out volos", adapt: func(f *fakeCluster) { f.provisional = true }},
	{name: "domain-bring-back", line: "domain bring-back larissa"},
	{name: "domain-status", line: "domain status", adapt: takeOneNodeDown},
	{name: "quota-set", line: "quota set lending --weight 3 --cpu-milli 96000"},
	{name: "quota-list", line: "quota list"},
	{name: "workers", line: "workers", adapt: omitOneDomain},
	{name: "nodes", line: "nodes"},
	{name: "config-check", line: "config check testdata/good.json"},
	{name: "config-check-problems", line: "config check testdata/bad.json"},
	{name: "config-check-operator", line: "config check testdata/operator.json"},
	{name: "config-check-operator-problems", line: "config check --against testdata/operator.json testdata/operator-problems.json"},
	{name: "config-show", line: "config show"},
	{name: "config-history", line: "config history"},
	{name: "burn", line: "burn"},
	{name: "accounts", line: "accounts testdata/owner.log"},
	{name: "accounts-job", line: "accounts --job 41d5497142bc9833 testdata/owner.log"},
	{name: "accounts-none", line: "accounts testdata/good.json"},
	{name: "accounts-unknown-job", line: "accounts --job ffffffffffffffff testdata/owner.log"},
	{name: "capacity", line: "capacity", adapt: omitOneDomain},
}

func setVolatileOutcome(f *fakeCluster) {
	f.outcome = domain.Outcome{ID: testID, State: domain.OutcomeAccepted, Volatile: true}
}

func setNotRunOutcome(f *fakeCluster) {
	f.outcome = domain.Outcome{ID: testID, State: domain.OutcomeNotRun, Err: &domain.Error{
		Kind: domain.KindNotRun, Message: "the expected wait of 1.2s is above the deadline", Remedy: "send the request again under a new key or id",
	}}
}

func setFailedOutcome(f *fakeCluster) {
	f.outcome = domain.Outcome{ID: testID, State: domain.OutcomeFailed, Worker: "w3", Attempt: 2}
}

func setCancelledOutcome(f *fakeCluster) {
	f.outcome = domain.Outcome{ID: testID, State: domain.OutcomeCancelled}
}

func takeOneNodeDown(f *fakeCluster) { f.nodes[0].Live = false }

func omitOneDomain(f *fakeCluster) { f.missing = []domain.FailureDomain{"pella"} }

// transcript returns what a user sees: the command line, standard output, standard
// error and an exit code other than 0.
func (g goldenCase) transcript(t *testing.T, flags string) string {
	f := newFakeCluster()
	if g.adapt != nil {
		g.adapt(f)
	}
	url := f.serve(t, nil)
	if g.name == "burn" {
		f.nodes[1].Address = strings.TrimPrefix(url, "http://")
	}
	var r invocation
	line := g.line + flags
	code := r.run(t, []string{url}, line)
	text := "$ basilferry " + line + "\n" + r.out.String() + r.err.String()
	if code != 0 {
		text += fmt.Sprintf("(exit code %d)\n", code)
	}
	assert.Assert(t, !strings.Contains(text, "\x1b"), "the output has colour codes")
	return text
}

// Guards against changes to the output and exit codes, on which scripts rely, and
// against examples in the manual that differ from the output.
func TestGoldenOutputIsUnchanged(t *testing.T) {
	manual, err := os.ReadFile("../../docs/cli.md")
	assert.NilError(t, err)
	for _, g := range goldenCases {
		t.Run(g.name, func(t *testing.T) {
			table := g.transcript(t, "")
			golden.Assert(t, table, g.name+".table.golden")
			inJSON := g.transcript(t, " -o json")
			golden.Assert(t, inJSON, g.name+".json.golden")
			assert.Assert(t, cmp.Contains(string(manual), table))
			if g.name == "get" {
				assert.Assert(t, cmp.Contains(string(manual), inJSON))
			}
		})
	}
}

// Guards against commands and flags that are missing from the manual.
func TestManualDescribesEveryCommandAndFlag(t *testing.T) {
	data, err := os.ReadFile("../../docs/cli.md")
	assert.NilError(t, err)
	manual := string(data)
	var walk func(path string, c *cli.Command)
	walk = func(path string, c *cli.Command) {
		for _, flag := range c.Flags {
			assert.Assert(t, cmp.Contains(manual, "`--"+flag.Names()[0]), path)
		}
		for _, sub := range c.Commands {
			if len(sub.Commands) == 0 {
				assert.Assert(t, cmp.Contains(manual, "basilferry"+path+" "+sub.Name))
			}
			walk(path+" "+sub.Name, sub)
		}
	}
	walk("", newRootCommand(&Env{}))
}

// Guards against sending a change that does not contain the complete preset.
func TestPresetUseSendsCompletePreset(t *testing.T) {
	f := newFakeCluster()
	var r invocation
	assert.Equal(t, r.run(t, []string{f.serve(t, nil)}, "preset use maintenance --reason power"), ExitDone)
	want := policy.DefaultPresets()[2]
	assert.DeepEqual(t, *f.requestedChanges()[0].Preset, want)
	assert.Equal(t, f.requestedChanges()[0].Operator+f.requestedChanges()[0].Reason, "annapower")
	assert.Equal(t, f.requestedChanges()[0].Base, domain.Version(11))
}
