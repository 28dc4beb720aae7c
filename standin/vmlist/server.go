package vmlist

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/platform/wire"
	"github.com/basilferry/basilferry/standin/internal/fault"
	"github.com/basilferry/basilferry/standin/internal/httpserve"
	"github.com/gorilla/mux"
)

// Mode is how calls are handled: "pass", "refuse" or "hang".
type Mode = fault.Mode

// Modes of the VM list. ModeRefuse and ModeHang simulate an outage; ModePass ends it.
const (
	ModePass   = fault.Pass
	ModeRefuse = fault.Refuse
	ModeHang   = fault.Hang
)

// Control is the body of POST /control. Settings whose fields are absent do not
// change. Changes of VMs become visible after the lag.
type Control struct {
	LagMillis *int64 `json:"lag_ms,omitempty"`
	// Outage is "pass", "refuse" or "hang".
	Outage *Mode `json:"outage,omitempty"`
	// DelayMillis delays each answer.
	DelayMillis *int64            `json:"delay_ms,omitempty"`
	Put         []platform.VM     `json:"put,omitempty"`
	Remove      []domain.WorkerID `json:"remove,omitempty"`
	Leaving     []domain.WorkerID `json:"leaving,omitempty"`
}

// SetOutage starts an outage; ModePass ends it.
func (l *List) SetOutage(m Mode) { l.gate.SetMode(m) }

// SetDelay delays each answer.
func (l *List) SetDelay(d time.Duration) { l.gate.SetDelay(d) }

// Apply applies c. If the outage mode is invalid, it returns an error and changes
// nothing.
func (l *List) Apply(c Control) error {
	if c.Outage != nil && !c.Outage.Valid() {
		return &domain.Error{
			Kind:    domain.KindBadRequest,
			Message: "outage is not pass, refuse or hang",
			Remedy:  "correct the field and send the control again",
		}
	}
	if c.LagMillis != nil {
		l.SetLag(time.Duration(*c.LagMillis) * time.Millisecond)
	}
	if c.Outage != nil {
		l.SetOutage(*c.Outage)
	}
	if c.DelayMillis != nil {
		l.SetDelay(time.Duration(*c.DelayMillis) * time.Millisecond)
	}
	for _, vm := range c.Put {
		l.Put(vm)
	}
	for _, id := range c.Remove {
		l.Remove(id)
	}
	for _, id := range c.Leaving {
		l.MarkLeaving(id)
	}
	return nil
}

// Serve serves l on ln until ctx is done, and closes ln. The fault controls are at
// POST /control and work also during an outage.
func Serve(ctx context.Context, ln net.Listener, l *List) error {
	return httpserve.Serve(ctx, ln, Handler(l))
}

// Handler returns the HTTP handler of l.
func Handler(l *List) http.Handler {
	r := mux.NewRouter()
	r.Handle(wire.PathListVMs, httpserve.JSONHandler(l.serveList, nil)).Methods(http.MethodPost)
	r.Handle(wire.PathControl, httpserve.JSONHandler(l.serveControl, nil)).Methods(http.MethodPost)
	return r
}

func (l *List) serveList(ctx context.Context, req wire.ListRequest) (wire.ListReply, error) {
	vms, err := l.List(ctx, req.Domain)
	return wire.ListReply{VMs: vms}, err
}

func (l *List) serveControl(_ context.Context, c Control) (wire.Empty, error) {
	return wire.Empty{}, l.Apply(c)
}
