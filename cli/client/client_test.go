package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
)

var testID = domain.RequestID{Shard: domain.ShardID{Domain: "volos"}, Epoch: 3, Seq: 9}

// fakeNodes replaces the network. Each node is a function that returns a
// response, or nil if the call times out.
type fakeNodes map[string]func(*http.Request) *http.Response

// RoundTrip implements http.RoundTripper.
func (n fakeNodes) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	if resp := n[r.URL.Host](r); resp != nil {
		return resp, nil
	}
	return nil, context.DeadlineExceeded
}

func hang(*http.Request) *http.Response { return nil }

// respondWith returns a node that responds with the given status, request id and
// body.
func respondWith(status int, id string, value any) func(*http.Request) *http.Response {
	return func(*http.Request) *http.Response {
		body, _ := json.Marshal(value)
		header := http.Header{}
		header.Set("Content-Length", strconv.Itoa(len(body)))
		header.Set(httpapi.ChecksumHeader, httpapi.Checksum(body))
		header.Set(httpapi.IDHeader, id)
		return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(string(body)))}
	}
}

func newTestClient(t *testing.T, n fakeNodes) *Client {
	c, err := New(Options{Nodes: []string{"a:1", "b:1"}, Timeout: time.Minute})
	assert.NilError(t, err)
	c.http.Transport = n
	return c
}

func succeededOutcome(id domain.RequestID) httpapi.OutcomeResponse {
	return httpapi.OutcomeResponse{Outcome: domain.Outcome{ID: id, State: domain.OutcomeSucceeded}, RequestID: id.String()}
}

// Guards against two faults. A call that can be resent fails because the first
// node hangs, although the next node would respond. The client accepts a response
// that refers to another request.
func TestLookupTriesNextNode(t *testing.T) {
	other := testID
	other.Seq++
	good := respondWith(http.StatusOK, testID.String(), succeededOutcome(testID))
	for name, first := range map[string]func(*http.Request) *http.Response{
		"hangs":         hang,
		"other request": respondWith(http.StatusOK, other.String(), succeededOutcome(other)),
	} {
		o, err := newTestClient(t, fakeNodes{"a:1": first, "b:1": good}).Lookup(t.Context(), testID)
		assert.NilError(t, err, name)
		assert.Equal(t, o.ID, testID)
	}
	bare := respondWith(http.StatusOK, "", succeededOutcome(other))
	_, err := newTestClient(t, fakeNodes{"a:1": bare, "b:1": bare}).Lookup(t.Context(), testID)
	assert.Equal(t, domain.KindOf(err), domain.KindInternal)
	_, err = newTestClient(t, fakeNodes{"a:1": hang, "b:1": hang}).Lookup(t.Context(), testID)
	assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
}

// Guards against three faults. An urgent request is resent after its deadline. A
// request is sent twice because the client follows a redirect. A request whose
// response was lost is reported as not started because a second node refused it.
func TestSubmitIsResentOnlyWhenSafe(t *testing.T) {
	urgent := httpapi.SubmitBody{Kind: domain.KindUrgent, DeadlineMS: 1}
	late := func(r *http.Request) *http.Response {
		for start := time.Now(); time.Since(start) <= time.Millisecond; {
		}
		return nil
	}
	never := func(*http.Request) *http.Response { t.Error("the request was resent"); return nil }
	_, err := newTestClient(t, fakeNodes{"a:1": late, "b:1": never}).Submit(t.Context(), RequestName{Key: "k"}, urgent)
	assert.Equal(t, domain.KindOf(err), domain.KindOutcomeUnknown)

	redirects := func(r *http.Request) *http.Response {
		resp := respondWith(http.StatusTemporaryRedirect, "", "")(r)
		resp.Header.Set("Location", "http://b:1/v1/requests")
		return resp
	}
	_, err = newTestClient(t, fakeNodes{"a:1": redirects, "b:1": never}).Submit(t.Context(), RequestName{}, httpapi.SubmitBody{Kind: domain.KindBatch})
	assert.Equal(t, domain.KindOf(err), domain.KindInternal)

	refuses := respondWith(http.StatusServiceUnavailable, "", domain.Error{Kind: domain.KindUnavailable})
	_, err = newTestClient(t, fakeNodes{"a:1": hang, "b:1": refuses}).Submit(t.Context(), RequestName{Key: "k"}, httpapi.SubmitBody{Kind: domain.KindBatch})
	assert.Equal(t, domain.KindOf(err), domain.KindOutcomeUnknown)
}

// Guards against reporting a change whose response was lost as accepted, as
// rejected or as not made although the history does not prove it.
func TestLostChangeIsResolvedFromHistory(t *testing.T) {
	d := domain.FailureDomain("volos")
	change := configlog.Change{Base: 4, Operator: "anna", TakeOut: &d}
	other := configlog.Change{Base: 4, Operator: "petros", BringBack: &d}
	tests := []struct {
		name     string
		history  []configlog.Decision
		want     domain.ErrorKind
		resolved bool
	}{
		{"own", []configlog.Decision{{Version: 5, Accepted: true, Change: change}}, "", true},
		{"other", []configlog.Decision{{Version: 6, Change: change}, {Version: 5, Accepted: true, Change: other}}, domain.KindVersionConflict, true},
		{"history starts later", []configlog.Decision{{Version: 7, Accepted: true, Change: configlog.Change{Base: 6, Operator: "petros", BringBack: &d}}}, domain.KindOutcomeUnknown, false},
		{"no change", nil, domain.KindOutcomeUnknown, false},
	}
	for _, test := range tests {
		ctx, cancel := context.WithCancel(t.Context())
		historyReads := 0
		node := func(r *http.Request) *http.Response {
			switch {
			case r.Method == http.MethodPost:
				return nil
			case strings.HasPrefix(r.URL.Path, "/v1/config/history"):
				if historyReads++; historyReads > 1 {
					cancel()
				}
				return respondWith(http.StatusOK, "", httpapi.HistoryResponse{Decisions: test.history})(r)
			}
			return respondWith(http.StatusOK, "", domain.Configuration{Version: 5})(r)
		}
		body, err := newTestClient(t, fakeNodes{"a:1": node, "b:1": node}).Change(ctx, change, 0)
		cancel()
		if !test.resolved {
			assert.Equal(t, domain.KindOf(err), test.want, test.name)
			continue
		}
		assert.NilError(t, err, test.name)
		assert.Equal(t, body.Decision.Accepted, test.want == "", test.name)
		assert.Equal(t, body.Configuration != nil, test.want != "", test.name)
	}
}

// Guards against accepting a node URL that has no address, a scheme other than HTTP
// and HTTPS, or a path, and against rejecting an address without a scheme.
func TestNodeURLsAreValidated(t *testing.T) {
	for text, want := range map[string]string{
		"10.0.0.1:80":        "http://10.0.0.1:80",
		"http://[::1]:80/":   "http://[::1]:80",
		"https://10.0.0.1":   "https://10.0.0.1",
		"ftp://10.0.0.1":     "",
		"http://10.0.0.1/v1": "",
		"http://":            "",
	} {
		c, err := New(Options{Nodes: []string{text}})
		if want == "" {
			assert.Equal(t, domain.KindOf(err), domain.KindBadRequest, text)
			continue
		}
		assert.NilError(t, err, text)
		assert.DeepEqual(t, c.Nodes(), []string{want})
	}
}
