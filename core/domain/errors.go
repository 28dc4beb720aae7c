package domain

import (
	"errors"
	"net/http"
	"time"
)

// ErrorKind classifies an Error. Its text is part of the API.
type ErrorKind string

// Kinds of error. Each maps to one HTTP status, see HTTPStatus.
const (
	// KindBadRequest: the request is malformed; sending it again fails again.
	KindBadRequest ErrorKind = "bad_request"
	// KindTooLarge: a body exceeds the size limit.
	KindTooLarge ErrorKind = "too_large"
	// KindNotFound: the named object does not exist.
	KindNotFound ErrorKind = "not_found"
	// KindKeyConflict: an idempotency key was reused with another body.
	KindKeyConflict ErrorKind = "key_conflict"
	// KindNeverFits: the task exceeds the capacity of every worker.
	KindNeverFits ErrorKind = "never_fits"
	// KindNotRun: the work did not run and will not run under this id.
	KindNotRun ErrorKind = "not_run"
	// KindOutcomeUnknown: it is unknown whether the work ran.
	KindOutcomeUnknown ErrorKind = "outcome_unknown"
	// KindTaskFailed: the work ran and failed.
	KindTaskFailed ErrorKind = "task_failed"
	// KindVersionConflict: a configuration record was based on an old version.
	KindVersionConflict ErrorKind = "version_conflict"
	// KindStaleEpoch: a command carries an epoch or session that has been replaced.
	KindStaleEpoch ErrorKind = "stale_epoch"
	// KindNoCapacity: a worker lacks the free capacity for a task.
	KindNoCapacity ErrorKind = "no_capacity"
	// KindUnavailable: a component that the call needs does not respond. In an
	// answer to a client it means that nothing was changed. As the error of a call
	// to a platform service it leaves open whether the call took effect.
	KindUnavailable ErrorKind = "unavailable"
	// KindUnauthorized: the call lacks a valid operator token.
	KindUnauthorized ErrorKind = "unauthorized"
	// KindInternal: a defect in basilferry.
	KindInternal ErrorKind = "internal"
)

var httpStatus = map[ErrorKind]int{
	KindBadRequest:      http.StatusBadRequest,
	KindTooLarge:        http.StatusRequestEntityTooLarge,
	KindNotFound:        http.StatusNotFound,
	KindKeyConflict:     http.StatusUnprocessableEntity,
	KindNeverFits:       http.StatusUnprocessableEntity,
	KindNotRun:          http.StatusServiceUnavailable,
	KindOutcomeUnknown:  http.StatusGatewayTimeout,
	KindTaskFailed:      http.StatusBadGateway,
	KindVersionConflict: http.StatusConflict,
	KindStaleEpoch:      http.StatusPreconditionFailed,
	KindNoCapacity:      http.StatusInsufficientStorage,
	KindUnavailable:     http.StatusServiceUnavailable,
	KindUnauthorized:    http.StatusUnauthorized,
	KindInternal:        http.StatusInternalServerError,
}

// Error is the error of every basilferry call. It crosses process boundaries
// as JSON or gob.
type Error struct {
	Kind ErrorKind `json:"kind"`
	// Message says what is wrong, as a short sentence without a full stop.
	Message string `json:"message"`
	// Remedy says what the reader can do about it.
	Remedy string `json:"remedy"`
	// RequestID is the request that the error is about, in text form; empty if
	// none.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfter is how long the client should wait before it retries; 0 if it
	// should not retry or may retry at any time.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Error implements error: "kind: message; remedy".
func (e *Error) Error() string {
	text := string(e.Kind) + ": " + e.Message
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	return text
}

// HTTPStatus returns the HTTP status of the error's kind, and 500 for an
// unknown kind.
func (e *Error) HTTPStatus() int {
	if status, ok := httpStatus[e.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// AsError returns the *Error in err's chain. Any other error becomes one of
// KindInternal. It returns nil for nil.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Kind: KindInternal, Message: err.Error(), Remedy: "report this as a defect"}
}

// KindOf returns the kind of err, and the empty kind for nil.
func KindOf(err error) ErrorKind {
	if err == nil {
		return ""
	}
	return AsError(err).Kind
}
