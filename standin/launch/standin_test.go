package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform/wire"
	"github.com/basilferry/basilferry/standin/worker"
	"gotest.tools/v3/assert"
)

// startStandIn runs a stand-in until the test finishes and returns its address.
func startStandIn(t *testing.T, run func(ctx context.Context, ready func(string)) error) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	address := make(chan string, 1)
	done := make(chan error, 1)
	go func() { done <- run(ctx, func(a string) { address <- a }) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return <-address
}

func postJSON(t *testing.T, url string, body any) (int, []byte) {
	t.Helper()
	text, err := json.Marshal(body)
	assert.NilError(t, err)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Post(url, "application/json", bytes.NewReader(text))
	assert.NilError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, answer
}

// Guards against stand-ins that do not serve HTTP/1.1 or keep running when their
// context is done.
func TestStandInsServeUntilContextEnds(t *testing.T) {
	cases := map[string]struct {
		run  func(ctx context.Context, ready func(string)) error
		path string
		body any
		want string
	}{
		"log": {
			run: func(ctx context.Context, ready func(string)) error {
				return RunLog(ctx, LogOptions{Address: "127.0.0.1:0", Ready: ready})
			},
			path: wire.PathAppend,
			body: json.RawMessage(`{"stream":"s","record":{"id":"a"}}`),
			want: `{"offset":1}`,
		},
		"vmlist": {
			run: func(ctx context.Context, ready func(string)) error {
				return RunVMList(ctx, VMListOptions{Address: "127.0.0.1:0", Ready: ready})
			},
			path: wire.PathListVMs,
			body: wire.ListRequest{Domain: "larissa"},
			want: `{"vms":[]}`,
		},
		"worker": {
			run: func(ctx context.Context, ready func(string)) error {
				return RunWorker(ctx, WorkerOptions{Address: "127.0.0.1:0", Ready: ready})
			},
			path: wire.PathControl,
			body: worker.Control{Restart: true},
			want: `{}`,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := startStandIn(t, c.run)
			status, answer := postJSON(t, "http://"+address+c.path, c.body)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, string(answer), c.want)
			status, _ = postJSON(t, "http://"+address+c.path, "no object")
			assert.Equal(t, status, http.StatusBadRequest)
		})
	}
}

// Guards against fault controls that are unreachable during an outage or accept
// unknown values.
func TestControlWorksDuringOutage(t *testing.T) {
	cases := map[string]struct {
		run  func(ctx context.Context, ready func(string)) error
		path string
	}{
		"log": {
			run: func(ctx context.Context, ready func(string)) error {
				return RunLog(ctx, LogOptions{Address: "127.0.0.1:0", Ready: ready})
			},
			path: wire.PathRead,
		},
		"vmlist": {
			run: func(ctx context.Context, ready func(string)) error {
				return RunVMList(ctx, VMListOptions{Address: "127.0.0.1:0", Ready: ready})
			},
			path: wire.PathListVMs,
		},
	}
	steps := []struct {
		control               string
		wantControl, wantCall int
	}{
		{`{"outage":"refuse"}`, http.StatusOK, http.StatusServiceUnavailable},
		{`{"outage":"unknown"}`, http.StatusBadRequest, http.StatusServiceUnavailable},
		{`{"outage":"pass"}`, http.StatusOK, http.StatusOK},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			url := "http://" + startStandIn(t, c.run)
			for _, step := range steps {
				status, _ := postJSON(t, url+wire.PathControl, json.RawMessage(step.control))
				assert.Equal(t, status, step.wantControl)
				status, _ = postJSON(t, url+c.path, json.RawMessage(`{}`))
				assert.Equal(t, status, step.wantCall)
			}
		})
	}
}

// Guards against a worker whose fault controls and history become unreachable while
// it refuses connections.
func TestControlListenerStaysReachable(t *testing.T) {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	control := reserved.Addr().String()
	reserved.Close()
	address := startStandIn(t, func(ctx context.Context, ready func(string)) error {
		return RunWorker(ctx, WorkerOptions{Address: "127.0.0.1:0", ControlAddress: control, Ready: ready})
	})
	refuse, pass := worker.ModeRefuse, worker.ModePass
	postJSON(t, "http://"+control+wire.PathControl, worker.Control{Connections: &refuse})
	_, err = http.Post("http://"+address+wire.PathLookup, "application/json", bytes.NewReader([]byte("{}")))
	assert.Assert(t, err != nil)
	history, err := http.Get("http://" + control + worker.PathHistory)
	assert.NilError(t, err)
	defer history.Body.Close()
	assert.Equal(t, history.StatusCode, http.StatusOK)
	postJSON(t, "http://"+control+wire.PathControl, worker.Control{Connections: &pass})
	status, _ := postJSON(t, "http://"+address+wire.PathLookup, wire.LookupRequest{ID: domain.RequestID{Shard: domain.ShardID{Domain: "a"}}})
	assert.Equal(t, status, http.StatusNotFound)
}

// Guards against an address in use that is not reported as KindUnavailable.
func TestAddressInUseIsUnavailable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	err = RunLog(context.Background(), LogOptions{Address: ln.Addr().String()})
	assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
}
