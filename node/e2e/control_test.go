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

// controlClient makes operator and control calls. It keeps no connections, so
// that a restarted process is dialled anew.
var controlClient = &http.Client{
	Timeout:   20 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// get returns the JSON answer of a GET.
func get[T any](url string) (T, error) {
	var out T
	resp, err := controlClient.Get(url)
	if err != nil {
		return out, err
	}
	return out, decode(resp, &out)
}

// post sends a JSON body and reads the JSON answer, if out is not nil.
func post(url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	resp, err := controlClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return decode(resp, out)
}

func decode(resp *http.Response, out any) error {
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
	assert.NilError(c.t, post("http://"+c.log.addr+"/control", body, nil))
}

func (c *cluster) controlVMs(body vmlist.Control) {
	c.t.Helper()
	assert.NilError(c.t, post("http://"+c.vms.addr+"/control", body, nil))
}

func (w *workerVM) set(t *testing.T, body worker.Control) {
	t.Helper()
	assert.NilError(t, post(w.control+"/control", body, nil), string(w.id))
}

// history returns what the worker recorded.
func (w *workerVM) history(t *testing.T) []worker.AttemptInterval {
	t.Helper()
	if w.dead {
		return w.last
	}
	runs, err := get[[]worker.AttemptInterval](w.control + worker.PathHistory)
	assert.NilError(t, err, string(w.id))
	return runs
}

// crash kills the worker. It is paused first, so that its records are read
// after the last call that took effect; what ran then ends with the process.
func (w *workerVM) crash(t *testing.T) {
	t.Helper()
	paused := true
	w.set(t, worker.Control{Paused: &paused})
	w.last = w.history(t)
	w.kill()
	w.dead = true
	end := time.Now()
	for i := range w.last {
		if w.last[i].Stop == nil {
			w.last[i].Stop = &end
			w.last[i].Completion = worker.CompletionWorkerRestarted
		}
	}
}

// history returns the records of all workers.
func (c *cluster) history() []worker.AttemptInterval {
	c.t.Helper()
	var all []worker.AttemptInterval
	for _, w := range c.workers {
		all = append(all, w.history(c.t)...)
	}
	return all
}

func ptr[T any](v T) *T { return &v }
