package httpapi

import (
	"fmt"
	"strings"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

func badRequestError(message, remedy string) *domain.Error {
	return &domain.Error{Kind: domain.KindBadRequest, Message: message, Remedy: remedy}
}

func bodyTooLargeError(limit int64) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindTooLarge,
		Message: fmt.Sprintf("the body is longer than %d bytes", limit),
		Remedy:  "send a reference to the data in place of the data",
	}
}

func bodyTimeoutError() *domain.Error {
	return badRequestError("the body did not arrive within "+readTimeout.String(), "send the request again over a faster connection")
}

func bodyUnreadableError(err error) *domain.Error {
	return badRequestError("the body cannot be read: "+err.Error(), "send the request again")
}

func unknownPathError(path string) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindNotFound,
		Message: fmt.Sprintf("path %q does not exist", path),
		Remedy:  "see section 8 of docs/design.md for the paths",
	}
}

func wrongMethodError(method string, allowed []string) *domain.Error {
	return badRequestError("method "+method+" is not allowed here", "use "+strings.Join(allowed, " or "))
}

func unauthorizedError() *domain.Error {
	return &domain.Error{
		Kind:    domain.KindUnauthorized,
		Message: "the call needs the operator token",
		Remedy:  `send the header "Authorization: Bearer <token>" with the token from the settings`,
	}
}

func overloadedError(limit int) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: fmt.Sprintf("the node is already serving its limit of %d requests; nothing was started", limit),
		Remedy:  "send the request again in a second or through another node",
	}
}

func nodeStoppingError() *domain.Error {
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: "the node is shutting down",
		Remedy:  "use another node",
	}
}

func shutdownTimeoutError(activeRequests int64) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: fmt.Sprintf("the shutdown timed out with %d active requests", activeRequests),
		Remedy:  "raise limits.stop_timeout; clients can look up their requests by id",
	}
}

func internalError(value any) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindInternal,
		Message: fmt.Sprintf("the call failed: %v", value),
		Remedy:  "look the request up with GET /v1/requests/{id} and report this as a defect",
	}
}

func deadlineTooLongError(limit time.Duration) *domain.Error {
	return badRequestError("deadline_ms is above the limit", fmt.Sprintf("set deadline_ms to at most %d", limit.Milliseconds()))
}

// withID returns a copy of err with the given request id. It returns err itself if
// that already has a request id or if id is zero. It does not modify err, which
// may be shared.
func withID(err *domain.Error, id domain.RequestID) *domain.Error {
	if err == nil || err.RequestID != "" || id.IsZero() {
		return err
	}
	annotated := *err
	annotated.RequestID = id.String()
	return &annotated
}
