package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// withTracking counts active requests. During a graceful shutdown it closes
// each connection after its response.
func (s *Server) withTracking(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Health checks continue during a graceful shutdown and do not delay it.
		if r.URL.Path != healthPath {
			s.requestStarted()
			defer s.requestFinished()
		}
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// withRecovery recovers from a panic and responds with an error of kind
// KindInternal.
func (s *Server) withRecovery(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == http.ErrAbortHandler {
				panic(value)
			}
			if value != nil {
				s.cfg.Faults.Warn("panic", "Handler panicked", "path", r.URL.Path, "panic", value, "stack", string(debug.Stack()))
				s.writeError(w, internalError("internal error"))
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// withOperatorToken rejects requests without the operator token. It compares
// digests, so that its timing reveals neither the content nor the length of the
// token.
func (s *Server) withOperatorToken(next http.Handler) http.Handler {
	if s.cfg.OperatorToken == "" {
		return next
	}
	want := sha256.Sum256([]byte(s.cfg.OperatorToken))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 || !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.writeError(w, unauthorizedError())
			return
		}
		next.ServeHTTP(w, r)
	})
}

// withInFlightLimit rejects requests above the in-flight limit before their body
// is read.
func (s *Server) withInFlightLimit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.inFlightSlots <- struct{}{}:
		default:
			s.metrics.refused.Inc(1)
			w.Header().Set("Retry-After", "1")
			s.writeError(w, overloadedError(cap(s.inFlightSlots)))
			return
		}
		defer func() { <-s.inFlightSlots }()
		next.ServeHTTP(w, r)
	})
}

func (s *Server) withMetrics(route string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		start := time.Now()
		defer func() { s.metrics.record(route, r.Method, recorder.status, time.Since(start)) }()
		next.ServeHTTP(recorder, r)
	})
}

// statusRecorder records the status code of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// readBody reads the whole body within the size and time limits.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *domain.Error) {
	limit := s.cfg.Limits.MaxBodyBytes
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, bodyTooLargeError(limit)
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var maxBytesErr *http.MaxBytesError
	switch {
	case err == nil:
		return data, nil
	case errors.As(err, &maxBytesErr):
		return nil, bodyTooLargeError(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, bodyTimeoutError()
	}
	return nil, bodyUnreadableError(err)
}
