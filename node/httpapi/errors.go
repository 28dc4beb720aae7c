package httpapi

import (
	"fmt"
	"strings"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

func badRequest(message, remedy string) *domain.Error {
	return &domain.Error{Kind: domain.KindBadRequest, Message: message, Remedy: remedy}
}

func bodyTooLarge(limit int64) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindTooLarge,
		Message: fmt.Sprintf("the body is longer than %d bytes", limit),
		Remedy:  "send a reference to the data in place of the data",
	}
}

func bodyTimeout() *domain.Error {
	return badRequest("the body did not arrive within "+readTimeout.String(), "send the request again over a faster connection")
}

func bodyUnreadable(err error) *domain.Error {
	return badRequest("the body cannot be read: "+err.Error(), "send the request again")
}

func unknownPath(path string) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindNotFound,
		Message: fmt.Sprintf("path %q does not exist", path),
		Remedy:  "see section 8 of docs/design.md for the paths",
	}
}

func wrongMethod(method string, allowed []string) *domain.Error {
	return badRequest("method "+method+" is not allowed here", "use "+strings.Join(allowed, " or "))
}

func unauthorized() *domain.Error {
	return &domain.Error{
		Kind:    domain.KindUnauthorized,
		Message: "the call needs the operator token",
		Remedy:  `send the header "Authorization: Bearer <token>" with the token from the settings`,
	}
}

func overloaded(limit int) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: fmt.Sprintf("the node holds %d requests already; nothing was started", limit),
		Remedy:  "send the request again in a second or through another node",
	}
}

func nodeStopping() *domain.Error {
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: "the node is on a planned stop",
		Remedy:  "use another node",
	}
}

func shutdownTimeout(left int64) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: fmt.Sprintf("the stop timed out with %d active requests", left),
		Remedy:  "raise limits.stop_timeout; callers look their requests up by id",
	}
}

func internalError(value any) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindInternal,
		Message: fmt.Sprintf("the call failed: %v", value),
		Remedy:  "look the request up with GET /v1/requests/{id} and report this as a defect",
	}
}

func deadlineTooLong(limit time.Duration) *domain.Error {
	return badRequest("deadline_ms is above the limit", fmt.Sprintf("set deadline_ms to at most %d", limit.Milliseconds()))
}

// withID returns the error with the request id filled in if it has none. It
// leaves the original as it is, because errors can be shared.
func withID(err *domain.Error, id domain.RequestID) *domain.Error {
	if err == nil || err.RequestID != "" || id.IsZero() {
		return err
	}
	named := *err
	named.RequestID = id.String()
	return &named
}
