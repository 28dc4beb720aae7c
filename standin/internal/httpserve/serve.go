// Package httpserve runs the HTTP servers of the stand-ins. They serve JSON calls over
// HTTP/1.1 and cleartext HTTP/2; the answers carry the integrity headers of package
// wire.
package httpserve

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform/wire"
)

// shutdownTimeout limits the wait for calls in progress when a server stops.
const shutdownTimeout = 2 * time.Second

// maxStreamsPerConn is the number of concurrent calls that one HTTP/2 connection can
// carry.
const maxStreamsPerConn = 4096

// Serve serves handler on ln until ctx is done, then waits up to shutdownTimeout for
// calls in progress, and closes ln.
func Serve(ctx context.Context, ln net.Listener, handler http.Handler) error {
	srv := newServer(handler)
	// Calls that wait, such as long-poll reads, return when ctx is done.
	srv.BaseContext = func(net.Listener) context.Context { return ctx }
	serveDone := make(chan error, 1)
	go func() { serveDone <- srv.Serve(ln) }()
	select {
	case err := <-serveDone:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if srv.Shutdown(stopCtx) != nil {
		srv.Close()
	}
	if err := <-serveDone; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:   handler,
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConn},
	}
}

// JSONHandler returns a handler that decodes the JSON body, calls f and encodes its
// answer. requestID returns the request id for the headers of the answer; if it is
// nil, the id in the headers of the call is returned.
func JSONHandler[In, Out any](f func(context.Context, In) (Out, error), requestID func(Out) string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := wire.IdentityFromHeaders(r.Header)
		var in In
		if err := decodeBody(rw, r, id, &in); err != nil {
			WriteReply(rw, id, nil, err)
			return
		}
		out, err := f(r.Context(), in)
		if err == nil && requestID != nil {
			id.Request = requestID(out)
		}
		WriteReply(rw, id, out, err)
	})
}

// decodeBody reads and decodes a body. If the call has a checksum header, the body is
// verified first.
func decodeBody(rw http.ResponseWriter, r *http.Request, id wire.Identity, in any) error {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, wire.MaxRequestBytes))
	if err != nil {
		return bodyReadError(err)
	}
	if r.Header.Get(wire.HeaderChecksum) != "" {
		if err := wire.Verify(r.Header, id, body); err != nil {
			return badBodyError(err)
		}
	}
	if err := json.Unmarshal(body, in); err != nil {
		return badBodyError(err)
	}
	return nil
}

func bodyReadError(err error) error {
	var tooLarge *http.MaxBytesError
	if !errors.As(err, &tooLarge) {
		return badBodyError(err)
	}
	return &domain.Error{
		Kind:    domain.KindTooLarge,
		Message: err.Error(),
		Remedy:  "send a reference to the data in place of the data",
	}
}

func badBodyError(err error) error {
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: "the body cannot be read: " + err.Error(),
		Remedy:  "send the JSON object that the API defines",
	}
}

// WriteReply writes the answer, or, if err is not nil, the error as a *domain.Error
// with its HTTP status.
func WriteReply(rw http.ResponseWriter, id wire.Identity, out any, err error) {
	status := http.StatusOK
	if err != nil {
		domainErr := domain.AsError(err)
		status = domainErr.HTTPStatus()
		out = domainErr
	}
	body, err := json.Marshal(out)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	wire.SetIntegrityHeaders(rw.Header(), id, body)
	rw.WriteHeader(status)
	// If the write fails, the client has disconnected and cannot receive an error.
	_, _ = rw.Write(body)
}
