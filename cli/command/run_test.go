package command

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/basilferry/basilferry/core/burn"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/service"
)

// Guards against exit codes that differ from docs/cli.md, and against errors
// without message and remedy.
func TestExitCodesMatchManual(t *testing.T) {
	outcome := func(state domain.OutcomeState, kind domain.ErrorKind) func(*fakeCluster) {
		return func(f *fakeCluster) {
			f.outcome = domain.Outcome{ID: testID, State: state}
			if kind != "" {
				f.outcome.Err = &domain.Error{Kind: kind, Message: "m", Remedy: "r"}
			}
		}
	}
	fails := func(kind domain.ErrorKind) func(*fakeCluster) {
		return func(f *fakeCluster) { f.err = &domain.Error{Kind: kind, Message: "m", Remedy: "r"} }
	}
	tests := []struct {
		line  string
		adapt func(*fakeCluster)
		want  int
	}{
		{submitUrgent, outcome(domain.OutcomeSucceeded, ""), 0},
		{submitUrgent, outcome(domain.OutcomeAccepted, ""), 0},
		{submitUrgent, outcome(domain.OutcomeNotRun, domain.KindUnavailable), 2},
		{submitUrgent, outcome(domain.OutcomeNotRun, domain.KindNeverFits), 1},
		{submitUrgent, outcome(domain.OutcomeUnknown, ""), 3},
		{submitUrgent, outcome(domain.OutcomeFailed, ""), 6},
		{submitUrgent, outcome(domain.OutcomeCancelled, ""), 6},
		{submitUrgent, fails(domain.KindKeyConflict), 1},
		{submitUrgent, fails(domain.KindUnavailable), 5},
		{submitUrgent, fails(domain.KindInternal), 3},
		{"cancel volos-1-3-9", outcome(domain.OutcomeCancelled, ""), 0},
		{"get volos-1-3-9", fails(domain.KindNotFound), 1},
		{"get volos", nil, 1},
		{"get", nil, 1},
		{"nodes --token wrong", nil, 1},
		{"nodes -o yaml", nil, 1},
		{"burn --token wrong", nil, 1},
		{"burn --node 127.0.0.1:1", nil, 5},
		{"preset use bogus", nil, 1},
		{"preset use peak --base 3", nil, 4},
		{"domain take-out a-b", nil, 1},
		{"submit --kind urgent", nil, 1},
		{"submit --wait --wait-timeout 1ms --kind batch --class c --team t --cpu-milli 1 --memory-mib 1", outcome(domain.OutcomeRunning, ""), 3},
		{"bogus", nil, 1},
		{"domain bogus", nil, 1},
		{"--bogus", nil, 1},
	}
	for _, test := range tests {
		f := newFakeCluster()
		if test.adapt != nil {
			test.adapt(f)
		}
		var r invocation
		got := r.run(t, []string{f.serve(t, nil)}, test.line)
		assert.Equal(t, got, test.want, "%s: %s", test.line, r.err.String())
		if got != 0 {
			assert.Assert(t, cmp.Regexp(`error: .+\nremedy: .+\n`, r.err.String()), test.line)
		}
	}
}

// Guards against a request that runs twice, and against a node that does not
// answer and stops commands that another node could serve.
func TestFailoverResendsOnlyWhenSafe(t *testing.T) {
	// A long deadline, because a request is not sent again after it.
	unnamed := strings.Replace(submitUrgent, "5s", "50s", 1)
	named := unnamed + " --key k1"
	byID := unnamed + " --id volos-1-3-9"
	tests := []struct {
		name    string
		line    string
		first   func(*testing.T, *fakeCluster) string
		submits int
		want    int
	}{
		{"unnamed, not connected", unnamed, func(*testing.T, *fakeCluster) string { return unreachableNodeURL() }, 1, 0},
		{"unnamed, answer lost", unnamed, serveDroppingResponses, 1, 3},
		{"unnamed, answer damaged", unnamed, serveCorruptResponses, 1, 3},
		{"key, answer lost", named, serveDroppingResponses, 2, 0},
		{"id, answer lost", byID, serveDroppingResponses, 2, 0},
		{"id, answer damaged", byID, serveCorruptResponses, 2, 0},
		{"unnamed, refused", unnamed, serveUnavailable, 1, 5},
		{"key, refused", named, serveUnavailable, 2, 0},
		{"get, answer damaged", "get volos-1-3-9", serveCorruptResponses, 0, 0},
		{"cancel, not connected", "cancel volos-1-3-9", func(*testing.T, *fakeCluster) string { return unreachableNodeURL() }, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFakeCluster()
			counted := newFakeCluster()
			first, second := test.first(t, counted), f.serve(t, nil)
			var r invocation
			assert.Equal(t, r.run(t, []string{first, second}, test.line), test.want, r.err.String())
			assert.Equal(t, len(f.submitted())+len(counted.submitted()), test.submits)
		})
	}
}

func serveDroppingResponses(t *testing.T, f *fakeCluster) string {
	return f.serve(t, dropPOSTResponses)
}
func serveCorruptResponses(t *testing.T, f *fakeCluster) string { return f.serve(t, corruptResponses) }

func serveUnavailable(t *testing.T, f *fakeCluster) string {
	f.err = &domain.Error{Kind: domain.KindUnavailable, Message: "m", Remedy: "r"}
	return f.serve(t, nil)
}

// Guards against a change that is made twice or reported as lost to another
// operator when only its answer was lost.
func TestChangeWithLostAnswerIsMadeOnce(t *testing.T) {
	f := newFakeCluster()
	var r invocation
	code := r.run(t, []string{f.serve(t, dropPOSTResponses), f.serve(t, nil)}, "domain take-out volos")
	assert.Equal(t, code, ExitDone, r.err.String())
	assert.Equal(t, len(f.requestedChanges()), 1)
	assert.Assert(t, cmp.Contains(r.out.String(), "12"))
}

// Guards against a wait for a change that ends before every reachable node has
// it, and against a long wait without a sign of life.
func TestChangeWaitsForEveryReachableNode(t *testing.T) {
	f := newFakeCluster()
	r := invocation{progressInterval: time.Millisecond}
	f.listNodes = func() []service.NodeStatus {
		nodes := f.nodesAt(f.Configuration().Version)
		if !strings.Contains(r.err.String(), "1 of 2 nodes have it, behind: larissa1") {
			nodes[0].ConfigVersion = 11
		}
		return nodes
	}
	assert.Equal(t, r.run(t, []string{f.serve(t, nil)}, "preset use peak --wait 1m"), ExitDone, r.err.String())
	assert.Assert(t, cmp.Contains(r.out.String(), "larissa1, volos1"))
}

// Guards against a change that counts as in force although a node that answers
// does not have it.
func TestChangeBehindOnANodeIsPartial(t *testing.T) {
	f := newFakeCluster()
	f.listNodes = func() []service.NodeStatus { return f.nodesAt(11) }
	f.nodes[0].Live = false
	var r invocation
	assert.Equal(t, r.run(t, []string{f.serve(t, nil)}, "preset use peak --wait 0s"), ExitPartial)
	assert.Assert(t, cmp.Contains(r.err.String(), "larissa1"))
	// The node that made the change has told that volos1 has it.
	assert.Assert(t, cmp.Regexp(`in force on +volos1\n`, r.out.String()))
}

// Guards against an argument that is taken for the help command, so that the
// change is not made although the exit code is 0.
func TestArgumentHelpIsNotACommand(t *testing.T) {
	f := newFakeCluster()
	var r invocation
	assert.Equal(t, r.run(t, []string{f.serve(t, nil)}, "domain take-out help"), ExitDone, r.err.String())
	assert.Equal(t, len(f.requestedChanges()), 1)
}

// Guards against --wait that returns before the end of a task or gives up when
// the outcome is unknown for a moment.
func TestSubmitWaitReturnsFinalOutcome(t *testing.T) {
	f := newFakeCluster()
	f.outcome = domain.Outcome{ID: testID, State: domain.OutcomeAccepted}
	r := invocation{progressInterval: time.Millisecond}
	states := []domain.OutcomeState{domain.OutcomeUnknown, domain.OutcomeRunning}
	f.lookup = func() domain.Outcome {
		o := domain.Outcome{ID: testID, State: domain.OutcomeSucceeded, Answer: []byte{0xff}}
		if len(states) > 0 {
			o.State, o.Answer = states[0], nil
			states = states[1:]
		} else if !strings.Contains(r.err.String(), "waiting for volos-1-3-9: running") {
			o.State, o.Answer = domain.OutcomeRunning, nil
		}
		return o
	}
	r.in = "\xfe payload"
	line := "submit --wait --kind batch --class c --team t --cpu-milli 1 --memory-mib 1 --payload-file -"
	assert.Equal(t, r.run(t, []string{f.serve(t, nil)}, line), ExitDone, r.err.String())
	assert.Assert(t, cmp.Contains(r.out.String(), "/w=="))
	assert.Equal(t, string(f.submitted()[0].Task.Payload), "\xfe payload")
}

// Guards against counts that are lost or doubled when the reports of several
// nodes are added up, and against nodes that are left out silently.
func TestBurnAddsUpNodeReports(t *testing.T) {
	f := newFakeCluster()
	first, second := f.serve(t, nil), f.serve(t, nil)
	f.nodes[0].Address, f.nodes[1].Address = strings.TrimPrefix(first, "http://"), strings.TrimPrefix(second, "http://")
	f.nodes = append(f.nodes, service.NodeStatus{ID: "pella1", Domain: "pella", Address: "10.0.3.1:8080"})
	page := filepath.Join(t.TempDir(), "burn.html")
	var r invocation
	gone := unreachableNodeURL()
	assert.Equal(t, r.run(t, []string{first, gone, second, first}, "burn --html "+page), ExitDone, r.err.String())
	assert.Assert(t, cmp.Contains(r.out.String(), "2/8"))
	assert.Assert(t, cmp.Contains(r.out.String(), "2.50"))
	assert.Assert(t, cmp.Contains(r.err.String(), "missing of pella1, "+gone))
	data, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(string(data), "<svg"))
}

// Guards against rates that differ from those of one recorder with all events.
func TestMergedBurnReportMatchesSingleRecorder(t *testing.T) {
	objectives := []burn.Objective{{Kind: domain.KindUrgent, Target: 0.99}}
	// The objectives of two nodes differ while settings are rolled out.
	other := []burn.Objective{{Kind: domain.KindUrgent, Target: 0.9}}
	all, a, b := burn.NewRecorder(objectives), burn.NewRecorder(objectives), burn.NewRecorder(other)
	for i := range 200 {
		at := testTime.Add(-time.Duration(i) * time.Minute)
		verdict := []burn.Verdict{burn.Good, burn.Bad, burn.Good}[i%3]
		all.Record(at, domain.KindUrgent, verdict)
		[]*burn.Recorder{a, b}[i%2].Record(at, domain.KindUrgent, verdict)
	}
	report := func(r *burn.Recorder) burn.Report { return burn.Evaluate(r.Snapshot(testTime)) }
	got, want := mergeBurnReports([]burn.Report{report(a), report(b)}), report(all)
	assert.DeepEqual(t, got.Objectives[0].Windows, want.Objectives[0].Windows)
	assert.DeepEqual(t, got.Objectives[0].Alerts, want.Objectives[0].Alerts)
	for i, p := range want.Objectives[0].Points {
		merged := got.Objectives[0].Points[i]
		assert.Equal(t, merged.Events, p.Events)
		assert.Assert(t, max(merged.Rate-p.Rate, p.Rate-merged.Rate) < 1e-9)
	}
}

// Guards against a stand-in that prints its address before it listens, or that
// does not end with its context.
func TestStandinServesUntilCancelled(t *testing.T) {
	lines := []string{
		"standin log --retention 1h --appends-per-second 300 --seed 7",
		"standin vmlist --lag 1s --vm id=w1,domain=volos,rack=r1,address=127.0.0.1:9 --vm id=w2,domain=volos,address=127.0.0.1:8,state=leaving",
		"standin worker --id w1 --domain volos --rack r1 --cpu-milli 1000 --memory-mib 64 --slots 8 --connections 64 --interference 0 --control-listen 127.0.0.1:0",
	}
	for _, line := range lines {
		ctx, cancel := context.WithCancel(t.Context())
		reader, writer := io.Pipe()
		code := make(chan int, 1)
		var errs syncBuffer
		go func() {
			code <- Run(ctx, append([]string{"basilferry"}, strings.Fields(line)...), Env{Out: writer, Err: &errs})
			writer.Close()
		}()
		address, err := bufio.NewReader(reader).ReadString('\n')
		assert.NilError(t, err, errs.String())
		conn, err := net.Dial("tcp", strings.TrimSpace(address))
		assert.NilError(t, err)
		conn.Close()
		cancel()
		assert.Equal(t, <-code, ExitDone, errs.String())
	}
}

// Guards against stand-ins that start with a description that is not complete.
func TestStandinRefusesIncompleteDescriptions(t *testing.T) {
	for _, line := range []string{
		"standin worker --id w1 --domain volos",
		"standin worker --cpu-milli 1 --memory-mib 1",
		"standin vmlist --vm id=w1,domian=volos",
		"standin vmlist --vm id=w1,domain=volos,address=a:1,state=gone",
		"standin vmlist --vm-file testdata/none.json",
		"standin log extra",
	} {
		var r invocation
		assert.Equal(t, r.run(t, nil, line), ExitUsage, line)
	}
}

// Guards against shell completion that lacks commands or preset names.
func TestCompletionOffersCommandsAndPresets(t *testing.T) {
	tests := []struct{ line, want string }{
		{"domain --generate-shell-completion", "take-out:"},
		{"preset use --generate-shell-completion", "maintenance"},
		{"completion bash", "--generate-shell-completion"},
	}
	for _, test := range tests {
		var r invocation
		assert.Equal(t, r.run(t, nil, test.line), ExitDone)
		assert.Assert(t, cmp.Contains(r.out.String(), test.want), test.line)
	}
}
