package app

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/burn"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/burnreport"
	"github.com/basilferry/basilferry/node/service"
	"github.com/basilferry/basilferry/node/settings"
)

// burnRecorder counts good and bad events for the burn rates: the outcomes of urgent
// requests that this node returned to its clients, and the starts and failures of
// batch tasks and watches of its shards.
type burnRecorder struct {
	mu       sync.Mutex
	recorder *burn.Recorder
}

func newBurnRecorder(s settings.Settings) *burnRecorder {
	return &burnRecorder{recorder: burn.NewRecorder(burnreport.Objectives(s.SLOs))}
}

func (b *burnRecorder) observe(kind domain.Kind, state domain.OutcomeState, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recorder.Observe(time.Now(), kind, state, took)
}

func (b *burnRecorder) report() burn.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return burn.Evaluate(b.recorder.Snapshot(time.Now()))
}

func (b *burnRecorder) handler() http.Handler { return burnreport.Handler(b.report) }

// measuredRequests is a service.Requests that also records the outcome and latency
// of urgent requests for the burn rates.
type measuredRequests struct {
	service.Requests
	burn *burnRecorder
}

// Submit implements service.Requests.
func (m measuredRequests) Submit(ctx context.Context, req service.SubmitRequest) (domain.Outcome, error) {
	start := time.Now()
	out, err := m.Requests.Submit(ctx, req)
	if out.State != "" && req.Task.Kind == domain.KindUrgent {
		m.burn.observe(req.Task.Kind, out.State, time.Since(start))
	}
	return out, err
}
