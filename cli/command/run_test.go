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
// without a message or a remedy.
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

// Guards against a request that runs twice, and against a command that fails
// because one node does not respond although another node could serve it.
func TestFailoverResendsOnlyWhenSafe(t *testing.T) {
	// The deadline is long, because a request is not resent after its deadline.
	withoutKey := strings.Replace(submitUrgent, "5s", "50s", 1)
	withKey := withoutKey + " --key k1"
	withID := withoutKey + " --id volos-1-3-9"
	tests := []struct {
		name    string
		line    string
		first   func(*testing.T, *fakeCluster) string
		submits int
		want    int
	}{
		{"no key or id, not connected", withoutKey, func(*testing.T, *fakeCluster) string { return unreachableNodeURL() }, 1, 0},
		{"no key or id, response lost", withoutKey, serveDroppingResponses, 1, 3},
		{"no key or id, response corrupted", withoutKey, serveCorruptResponses, 1, 3},
		{"key, response lost", withKey, serveDroppingResponses, 2, 0},
		{"id, response lost", withID, serveDroppingResponses, 2, 0},
		{"id, response corrupted", withID, serveCorruptResponses, 2, 0},
		{"no key or id, refused", withoutKey, serveUnavailable, 1, 5},
		{"key, refused", withKey, serveUnavailable, 2, 0},
		{"get, response corrupted", "get volos-1-3-9", serveCorruptResponses, 0, 0},
		{"cancel, not connected", "cancel volos-1-3-9", func(*testing.T, *fakeCluster) string { return unreachableNodeURL() }, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			secondCluster := newFakeCluster()
			firstCluster := newFakeCluster()
			first, second := test.first(t, firstCluster), secondCluster.serve(t, nil)
			var r invocation
			assert.Equal(t, r.run(t, []string{first, second}, test.line), test.want, r.err.String())
			assert.Equal(t, len(secondCluster.submitted())+len(firstCluster.submitted()), test.submits)
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

// Guards against a change that is made twice, or reported as rejected in favour of
// another operator's change, when only its response was lost.
func TestChangeWithLostResponseIsMadeOnce(t *testing.T) {
	f := newFakeCluster()
	var r invocation
	code := r.run(t, []string{f.serve(t, dropPOSTResponses), f.serve(t, nil)}, "domain take-out volos")
	assert.Equal(t, code, ExitDone, r.err.String())
	assert.Equal(t, len(f.requestedChanges()), 1)
	assert.Assert(t, cmp.Contains(r.out.String(), "12"))
}

// Guards against a wait for a change that ends before every reachable node has it,
// and against a long wait without progress lines.
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

// Guards against reporting a change as in force everywhere although a node does not
// respond, and against reporting a node as behind although the response to the
// change lists it as having the change.
func TestChangeMissingOnANodeIsPartial(t *testing.T) {
	f := newFakeCluster()
	f.listNodes = func() []service.NodeStatus { return f.nodesAt(11) }
	f.nodes[0].Live = false
	var r invocation
	assert.Equal(t, r.run(t, []string{f.serve(t, nil)}, "preset use peak --wait 0s"), ExitPartial)
	assert.Assert(t, cmp.Contains(r.err.String(), "larissa1"))
	// The response to the change says that volos1 has it, although the status of
	// the nodes still shows the old version.
	assert.Assert(t, cmp.Regexp(`in force on +volos1\n`, r.out.String()))
}

// Guards against treating the argument "help" as the help command. Then the change
// is not made although the exit code is 0.
func TestArgumentHelpIsNotACommand(t *testing.T) {
	f := newFakeCluster()
	var r invocation
	assert.Equal(t, r.run(t, []string{f.serve(t, nil)}, "domain take-out help"), ExitDone, r.err.String())
	assert.Equal(t, len(f.requestedChanges()), 1)
}

// Guards against submit --wait returning before the task has finished, or giving
// up when the outcome is unknown for a short time.
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

// Guards against counts that are lost or doubled when the reports of several nodes
// are merged, and against nodes that are omitted without a note.
func TestBurnAddsUpNodeReports(t *testing.T) {
	f := newFakeCluster()
	first, second := f.serve(t, nil), f.serve(t, nil)
	f.nodes[0].Address, f.nodes[1].Address = strings.TrimPrefix(first, "http://"), strings.TrimPrefix(second, "http://")
	f.nodes = append(f.nodes, service.NodeStatus{ID: "pella1", Domain: "pella", Address: "10.0.3.1:8080"})
	page := filepath.Join(t.TempDir(), "burn.html")
	var r invocation
	unreachable := unreachableNodeURL()
	assert.Equal(t, r.run(t, []string{first, unreachable, second, first}, "burn --html "+page), ExitDone, r.err.String())
	assert.Assert(t, cmp.Contains(r.out.String(), "2/8"))
	assert.Assert(t, cmp.Contains(r.out.String(), "2.50"))
	assert.Assert(t, cmp.Contains(r.err.String(), "missing of pella1, "+unreachable))
	data, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(string(data), "<svg"))
}

// Guards against merged burn rates that differ from those of one recorder that
// records all events.
func TestMergedBurnReportMatchesSingleRecorder(t *testing.T) {
	objectives := []burn.Objective{{Kind: domain.KindUrgent, Target: 0.99}}
	// The objectives of two nodes can differ during a rollout of new settings.
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
// keeps running after its context is cancelled.
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

// Guards against stand-ins that start with an incomplete or invalid description.
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

// Guards against shell completion without commands or preset names.
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
