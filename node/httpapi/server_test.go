package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/node/service"
	"github.com/basilferry/basilferry/node/settings"
	"github.com/basilferry/basilferry/node/telemetry"
)

var testID = domain.RequestID{Shard: domain.ShardID{Domain: "volos", Index: 1}, Epoch: 3, Seq: 9}

// fakeService returns the results in its fields and counts starts and changes.
type fakeService struct {
	starts      int
	changes     int
	lastRequest service.SubmitRequest
	outcome     domain.Outcome
	err         error
	result      service.ChangeResult
	// If started and release are set, Submit sends on started and blocks until
	// release is closed.
	started, release chan struct{}
}

func (f *fakeService) ReserveIDs(_ context.Context, n int) ([]domain.RequestID, error) {
	return make([]domain.RequestID, n), f.err
}

func (f *fakeService) Submit(_ context.Context, req service.SubmitRequest) (domain.Outcome, error) {
	if f.release != nil {
		f.started <- struct{}{}
		<-f.release
		return f.outcome, f.err
	}
	f.starts++
	f.lastRequest = req
	return f.outcome, f.err
}

func (f *fakeService) Lookup(context.Context, domain.RequestID) (domain.Outcome, error) {
	return f.outcome, f.err
}

func (f *fakeService) Cancel(context.Context, domain.RequestID) (domain.Outcome, error) {
	return f.outcome, f.err
}

func (f *fakeService) RequestIDForKey(string) domain.RequestID {
	return domain.RequestID{Shard: domain.ShardID{Domain: "volos"}, Seq: 7}
}

func (f *fakeService) Explain(context.Context, domain.RequestID) ([]explain.Entry, error) {
	return nil, f.err
}

func (f *fakeService) Configuration() domain.Configuration                 { return configlog.Initial() }
func (f *fakeService) History(limit int) []configlog.Decision              { return nil }
func (f *fakeService) Nodes(context.Context) ([]service.NodeStatus, error) { return nil, f.err }

func (f *fakeService) Workers(context.Context) ([]service.WorkerStatus, []domain.FailureDomain, error) {
	return nil, nil, f.err
}

func (f *fakeService) Change(_ context.Context, change configlog.Change, _ time.Duration) (service.ChangeResult, error) {
	f.changes++
	return f.result, f.err
}

func newTestServer(f *fakeService, configure func(*Config)) *Server {
	cfg := Config{
		Requests:    f,
		Operations:  f,
		Limits:      settings.Limits{MaxBodyBytes: 2048, MaxDeadline: settings.Duration(time.Minute), MaxInFlight: 1},
		QuietPeriod: time.Millisecond,
	}
	if configure != nil {
		configure(&cfg)
	}
	return New(cfg)
}

func sendRequest(s *Server, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

const urgentBody = `{"kind":"urgent","class":"credit-check","team":"t","deadline_ms":900,"resources":{"cpu_milli":100,"memory_mib":10},"payload":"é"}`

func replaceInBody(old, new string) string { return strings.Replace(urgentBody, old, new, 1) }

// Guards against malformed input that starts work, and against error responses
// that lack a kind, a remedy, a valid checksum or the known request id.
func TestBadInputIsRejectedWithCompleteError(t *testing.T) {
	neverFits := &domain.Error{Kind: domain.KindNeverFits, Message: "too large", Remedy: "ask for less"}
	conflict := &domain.Error{Kind: domain.KindKeyConflict, Message: "key reused with another body", Remedy: "use a new key"}
	change := `{"base":0,"operator":"o","take_out":"volos"}`
	tests := []struct {
		name, method, path, body string
		header                   []string
		err                      error
		status                   int
		text                     string
	}{
		{name: "empty body", status: 400, text: "empty or cut off"},
		{name: "truncated body", body: urgentBody[:50], status: 400, text: "cut off"},
		{name: "array", body: `[1]`, status: 400, text: "not a JSON object"},
		{name: "text", body: `"a"`, status: 400, text: "not a JSON object"},
		{name: "two values", body: urgentBody + "{}", status: 400, text: "more than one JSON value"},
		{name: "unknown field", body: replaceInBody(`"deadline_ms"`, `"deadline"`), status: 400, text: `\"deadline_ms\"`},
		{name: "unknown nested field", body: replaceInBody(`"cpu_milli"`, `"cpu"`), status: 400, text: `\"cpu_milli\"`},
		{name: "field name in other case", body: replaceInBody(`"kind"`, `"Kind"`), status: 400, text: `\"kind\"`},
		{name: "duplicate field", body: replaceInBody(`{"kind":"urgent"`, `{"kind":"batch","kind":"urgent"`), status: 400, text: "twice"},
		{name: "wrong type", body: replaceInBody(`900`, `"900"`), status: 400, text: "deadline_ms cannot hold"},
		{name: "unknown kind", body: replaceInBody(`"urgent"`, `"urgnt"`), status: 400, text: "use urgent, batch or watch"},
		{name: "no deadline", body: replaceInBody(`"deadline_ms":900,`, ``), status: 400, text: "no deadline"},
		{name: "negative deadline", body: replaceInBody(`900`, `-1`), status: 400, text: "negative"},
		{name: "deadline that overflows", body: replaceInBody(`900`, `9223372036854775807`), status: 400, text: "at most 60000"},
		{name: "batch with deadline", body: replaceInBody(`"urgent"`, `"batch"`), status: 400, text: "has a deadline"},
		{name: "no class", body: replaceInBody(`"credit-check"`, `""`), status: 400, text: "class is empty"},
		{name: "negative size", body: replaceInBody(`100`, `-100`), status: 400, text: "negative"},
		{name: "zero size", body: replaceInBody(`100`, `0`), status: 400, text: "cpu_milli"},
		{name: "size that overflows", body: replaceInBody(`100`, `1e30`), status: 400, text: "cpu_milli"},
		{name: "impossible size", body: urgentBody, err: neverFits, status: 422, text: "never_fits"},
		{name: "both payloads", body: replaceInBody(`"payload"`, `"payload_base64":"","payload"`), status: 400, text: "both set"},
		{name: "bad base64", body: replaceInBody(`"payload":"é"`, `"payload_base64":"!"`), status: 400, text: "malformed"},
		{name: "unpaired surrogate", body: replaceInBody(`é`, `\ud83d`), status: 400, text: "UTF-8"},
		{name: "invalid UTF-8", body: replaceInBody(`é`, "\xff"), status: 400, text: "UTF-8"},
		{name: "oversized", body: replaceInBody(`é`, strings.Repeat("x", 2048)), status: 413, text: "too_large"},
		{name: "key and id", body: urgentBody, header: []string{KeyHeader, "k", IDHeader, testID.String()}, status: 400, text: "more than once"},
		{name: "two keys", body: urgentBody, header: []string{KeyHeader, "k", KeyHeader, "l"}, status: 400, text: "more than once"},
		{name: "empty key", body: urgentBody, header: []string{KeyHeader, ""}, status: 400, text: "empty"},
		{name: "long key", body: urgentBody, header: []string{KeyHeader, strings.Repeat("k", 256)}, status: 400, text: "longer"},
		{name: "bad id header", body: urgentBody, header: []string{IDHeader, "x"}, status: 400, text: "malformed"},
		{name: "key with another body", body: urgentBody, header: []string{KeyHeader, "k"}, err: conflict, status: 422, text: `"request_id":"volos-0-0-7"`},
		{name: "bad body with id", body: `{`, header: []string{IDHeader, testID.String()}, status: 400, text: testID.String()},
		{name: "too many ids", path: "/v1/ids", body: `{"count":1001}`, status: 400, text: "1 to 1000"},
		{name: "bad id", method: "GET", path: "/v1/requests/x", status: 400, text: "malformed"},
		{name: "bad explained id", method: "GET", path: "/v1/explain/x", status: 400, text: "malformed"},
		{name: "unknown preset", path: "/v1/config", body: `{"base":0,"operator":"o","preset":{"name":"night"}}`, status: 400, text: "use ordinary, peak, maintenance"},
		{name: "no base", path: "/v1/config", body: strings.Replace(change, `"base":0,`, "", 1), status: 400, text: "set base"},
		{name: "two changes", path: "/v1/config", body: strings.Replace(change, `"take_out"`, `"bring_back":"volos","take_out"`, 1), status: 400, text: "exactly one"},
		{name: "unknown change", path: "/v1/config", body: strings.Replace(change, `"take_out"`, `"takeout"`, 1), status: 400, text: `\"take_out\"`},
		{name: "bad wait", path: "/v1/config?wait=1h", body: change, status: 400, text: "wait"},
		{name: "bad limit", method: "GET", path: "/v1/config/history?limit=0", status: 400, text: "limit"},
		{name: "unknown path", method: "GET", path: "/v1/nothing", status: 404, text: "does not exist"},
		{name: "path with double slash", path: "//v1/requests", status: 404, text: "does not exist"},
		{name: "wrong method", method: "PUT", path: "/v1/config", status: 405, text: "use GET or POST"},
		{name: "no handler", method: "GET", path: "/metrics", status: 404, text: "does not exist"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeService{err: test.err}
			if test.method == "" {
				test.method = "POST"
			}
			if test.path == "" {
				test.path = "/v1/requests"
			}
			w := sendRequest(newTestServer(f, nil), test.method, test.path, test.body, test.header...)
			var got domain.Error
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
			assert.Equal(t, w.Code, test.status, got.Error())
			assert.Assert(t, cmp.Contains(w.Body.String(), test.text))
			assert.Assert(t, got.Kind != "" && got.Message != "" && got.Remedy != "")
			assert.NilError(t, Verify(w.Header(), w.Body.Bytes()))
			if test.err == nil {
				assert.Equal(t, f.starts+f.changes, 0)
			}
		})
	}
}

// Guards against an HTTP status that contradicts the body, and against a response
// that cannot be decoded as both an outcome and an error.
func TestOutcomeStatusMatchesBody(t *testing.T) {
	for state, want := range map[domain.OutcomeState]int{
		domain.OutcomeSucceeded: 200,
		domain.OutcomeAccepted:  202,
		domain.OutcomeRunning:   202,
		domain.OutcomeFailed:    502,
		domain.OutcomeNotRun:    503,
		domain.OutcomeUnknown:   504,
		domain.OutcomeCancelled: 409,
		"":                      504,
	} {
		f := &fakeService{outcome: domain.Outcome{ID: testID, State: state, Answer: []byte("a")}}
		w := sendRequest(newTestServer(f, nil), "POST", "/v1/requests", urgentBody, IDHeader, testID.String())
		assert.Equal(t, w.Code, want, state)
		var o domain.Outcome
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &o))
		assert.Equal(t, o.ID, testID)
		assert.Equal(t, string(o.Answer), "a")
		var apiErr domain.Error
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &apiErr))
		assert.Equal(t, apiErr.RequestID, testID.String())
		assert.Equal(t, apiErr.HTTPStatus() == want, want > 409, state)
		assert.Equal(t, w.Header().Get(IDHeader), testID.String())
	}
	f := &fakeService{outcome: domain.Outcome{ID: testID, State: domain.OutcomeSucceeded}}
	s := newTestServer(f, nil)
	sendRequest(s, "POST", "/v1/requests", replaceInBody(`é`, `\ud83d\ude00\\ud83d`), KeyHeader, "k")
	assert.Equal(t, string(f.lastRequest.Task.Payload), `😀\ud83d`)
	assert.Equal(t, f.lastRequest.Key, "k")
	assert.Equal(t, f.lastRequest.Task.Deadline, 900*time.Millisecond)
	assert.Equal(t, sendRequest(s, "POST", "/v1/ids", "").Code, 200)
	f.outcome.State = domain.OutcomeCancelled
	assert.Equal(t, sendRequest(s, "DELETE", "/v1/requests/"+testID.String(), "").Code, 200)
	assert.Equal(t, sendRequest(s, "PATCH", "/v1/requests/"+testID.String(), "").Header().Get("Allow"), "GET, DELETE")
}

// Guards against a change that is reported as in force too early, and against a
// rejection that does not include the configuration in force.
func TestChangeStatusShowsWhetherInForce(t *testing.T) {
	change := `{"base":0,"operator":"o","take_out":"volos"}`
	rejected := configlog.Decision{Err: &domain.Error{Kind: domain.KindVersionConflict, Message: "m", Remedy: "r"}}
	for _, test := range []struct {
		result service.ChangeResult
		status int
	}{
		{service.ChangeResult{}, 200},
		{service.ChangeResult{Missing: []domain.NodeID{"n2"}}, 202},
		{service.ChangeResult{Provisional: true}, 202},
		{service.ChangeResult{Decision: rejected}, 409},
	} {
		w := sendRequest(newTestServer(&fakeService{result: test.result}, nil), "POST", "/v1/config", change)
		assert.Equal(t, w.Code, test.status)
		assert.Equal(t, strings.Contains(w.Body.String(), `"name":"ordinary"`), test.status == 409)
	}
}

// Guards against operator requests that succeed without the token, and against
// client requests that need one.
func TestOnlyOperatorCallsNeedToken(t *testing.T) {
	s := newTestServer(&fakeService{outcome: domain.Outcome{ID: testID, State: domain.OutcomeSucceeded}}, func(c *Config) { c.OperatorToken = "secret" })
	for _, path := range []string{"/v1/config", "/v1/config/history", "/v1/nodes", "/v1/workers"} {
		assert.Equal(t, sendRequest(s, "GET", path, "").Code, 401)
		assert.Equal(t, sendRequest(s, "GET", path, "", "Authorization", "secret").Code, 401)
		assert.Equal(t, sendRequest(s, "GET", path, "", "Authorization", "Bearer secre").Code, 401)
		assert.Equal(t, sendRequest(s, "GET", path, "", "Authorization", "Bearer secret").Code, 200)
	}
	assert.Equal(t, sendRequest(s, "POST", "/v1/requests", urgentBody).Code, 200)
}

// Guards against metrics that docs/metrics.md does not list, and against an
// incomplete /metrics page.
func TestMetricsAreDocumented(t *testing.T) {
	reporter := telemetry.NewReporter()
	scope, closer := telemetry.NewScope(reporter)
	s := newTestServer(&fakeService{}, func(c *Config) {
		c.Scope = scope
		c.Metrics = reporter
	})
	sendRequest(s, "GET", "/v1/nodes", "")
	sendRequest(s, "BREW", "/x", "")
	assert.NilError(t, closer.Close())
	w := sendRequest(s, "GET", "/metrics", "")
	assert.NilError(t, Verify(w.Header(), w.Body.Bytes()))
	assert.Assert(t, cmp.Contains(w.Body.String(), `basilferry_http_requests_total{method="GET",route="/v1/nodes",status="200"} 1`))
	assert.Assert(t, cmp.Contains(w.Body.String(), `basilferry_http_requests_total{method="other",route="none",status="404"} 1`))
	page, err := os.ReadFile("../../docs/metrics.md")
	assert.NilError(t, err)
	for _, m := range regexp.MustCompile(`# TYPE (\w+)`).FindAllStringSubmatch(w.Body.String(), -1) {
		assert.Assert(t, cmp.Contains(string(page), "`"+m[1]+"`"))
	}
}

// Guards against a panic that ends the process or is not counted in the metrics.
func TestPanicIsAnsweredAndCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	s := newTestServer(&fakeService{}, func(c *Config) {
		c.Scope = scope
		c.Metrics = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("fault") })
	})
	w := sendRequest(s, "GET", "/metrics", "")
	assert.Equal(t, w.Code, 500)
	assert.Assert(t, cmp.Contains(w.Body.String(), "internal"))
	assert.Assert(t, cmp.Contains(fmt.Sprint(scope.Snapshot().Counters()), "status=500"))
}

type response struct {
	status int
	err    error
}

func fetch(client *http.Client, method, url, body string) response {
	req, err := http.NewRequest(method, url, bytes.NewBufferString(body))
	if err != nil {
		return response{err: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil {
		err = Verify(resp.Header, data)
	}
	return response{resp.StatusCode, err}
}

// Guards against a graceful shutdown that interrupts a request or rejects one
// while another is active, and against an in-flight limit that is not enforced.
func TestShutdownCompletesActiveRequests(t *testing.T) {
	f := &fakeService{
		outcome: domain.Outcome{ID: testID, State: domain.OutcomeSucceeded},
		started: make(chan struct{}),
		release: make(chan struct{}),
	}
	s := newTestServer(f, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	url := "http://" + l.Addr().String()
	client := &http.Client{Transport: &http.Transport{}}

	assert.DeepEqual(t, fetch(client, "GET", url+"/healthz", "").status, 200)
	inFlight := make(chan response, 1)
	go func() { inFlight <- fetch(client, "POST", url+"/v1/requests", urgentBody) }()
	<-f.started
	assert.Equal(t, fetch(client, "POST", url+"/v1/requests", urgentBody).status, 503)

	s.Drain()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	for range 3 {
		got := fetch(client, "GET", url+"/healthz", "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 503)
		assert.Equal(t, fetch(client, "GET", url+"/v1/nodes", "").status, 200)
	}
	close(f.release)
	got := <-inFlight
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.NilError(t, <-stopped)
	assert.NilError(t, <-served)
	assert.Assert(t, fetch(client, "GET", url+"/healthz", "").err != nil)
}

// Guards against a shutdown that never returns because of a stuck request.
func TestShutdownTimesOutOnStuckRequest(t *testing.T) {
	f := &fakeService{started: make(chan struct{}), release: make(chan struct{})}
	defer close(f.release)
	s := newTestServer(f, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(l) }()
	go fetch(&http.Client{Transport: &http.Transport{}}, "POST", "http://"+l.Addr().String()+"/v1/requests", urgentBody)
	<-f.started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, domain.KindOf(s.Shutdown(ctx)), domain.KindUnavailable)
}
