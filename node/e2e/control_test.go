package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/standin/logservice"
	"github.com/basilferry/basilferry/standin/vmlist"
	"github.com/basilferry/basilferry/standin/worker"
)

// controlClient sends operator requests to the nodes and control requests to the
// stand-ins. It keeps no connections open, so that it dials a restarted process
// again.
var controlClient = &http.Client{
	Timeout:   20 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// getJSON returns the decoded JSON response of a GET request.
func getJSON[T any](url string) (T, error) {
	var out T
	resp, err := controlClient.Get(url)
	if err != nil {
		return out, err
	}
	return out, decodeResponse(resp, &out)
}

// postJSON sends a JSON body, and decodes the JSON response unless out is nil.
func postJSON(url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	resp, err := controlClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return decodeResponse(resp, out)
}

func decodeResponse(resp *http.Response, out any) error {
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: %s", resp.Status, data)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

func (c *cluster) controlLog(body logservice.Control) {
	c.t.Helper()
	assert.NilError(c.t, postJSON("http://"+c.log.addr+"/control", body, nil))
}

func (c *cluster) controlVMList(body vmlist.Control) {
	c.t.Helper()
	assert.NilError(c.t, postJSON("http://"+c.vmList.addr+"/control", body, nil))
}

func (w *workerVM) setControl(t *testing.T, body worker.Control) {
	t.Helper()
	assert.NilError(t, postJSON(w.control+"/control", body, nil), string(w.id))
}

// history returns the attempts that the worker recorded.
func (w *workerVM) history(t *testing.T) []worker.AttemptInterval {
	t.Helper()
	if w.crashed {
		return w.finalHistory
	}
	attempts, err := getJSON[[]worker.AttemptInterval](w.control + worker.PathHistory)
	assert.NilError(t, err, string(w.id))
	return attempts
}

// crash kills the worker. It pauses the worker first, so that its records are
// read after the last call that took effect. Attempts that are still running
// count as ended when the process has exited.
func (w *workerVM) crash(t *testing.T) {
	t.Helper()
	paused := true
	w.setControl(t, worker.Control{Paused: &paused})
	w.finalHistory = w.history(t)
	w.kill()
	w.crashed = true
	end := time.Now()
	for i := range w.finalHistory {
		if w.finalHistory[i].Stop == nil {
			w.finalHistory[i].Stop = &end
			w.finalHistory[i].Completion = worker.CompletionWorkerRestarted
		}
	}
}

// history returns the attempts that all workers recorded.
func (c *cluster) history() []worker.AttemptInterval {
	c.t.Helper()
	var all []worker.AttemptInterval
	for _, w := range c.workers {
		all = append(all, w.history(c.t)...)
	}
	return all
}

func ptr[T any](v T) *T { return &v }
