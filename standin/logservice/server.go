package logservice

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/platform/wire"
	"github.com/basilferry/basilferry/standin/internal/httpserve"
	"github.com/gorilla/mux"
)

// Serve serves l on ln until ctx is done, and closes ln. The fault controls are at
// POST /control and work also during an outage.
func Serve(ctx context.Context, ln net.Listener, l *Log) error {
	return httpserve.Serve(ctx, ln, Handler(l))
}

// Handler returns the HTTP handler of l.
func Handler(l *Log) http.Handler {
	r := mux.NewRouter()
	r.Handle(wire.PathAppend, httpserve.JSONHandler(l.serveAppend, nil)).Methods(http.MethodPost)
	r.Handle(wire.PathRead, httpserve.JSONHandler(l.serveRead, nil)).Methods(http.MethodPost)
	r.Handle(wire.PathControl, httpserve.JSONHandler(l.serveControl, nil)).Methods(http.MethodPost)
	return r
}

func (l *Log) serveAppend(ctx context.Context, req wire.AppendRequest) (wire.AppendReply, error) {
	offset, err := l.Append(ctx, req.Stream, req.Record)
	return wire.AppendReply{Offset: offset}, err
}

func (l *Log) serveRead(ctx context.Context, req wire.ReadRequest) (platform.ReadReply, error) {
	return l.Read(ctx, req.Stream, req.From, req.Limit, time.Duration(req.WaitNanos))
}

func (l *Log) serveControl(_ context.Context, c Control) (wire.Empty, error) {
	return wire.Empty{}, l.Apply(c)
}
