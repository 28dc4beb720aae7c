package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/basilferry/basilferry/cli/output"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
)

// Exit codes. Scripts rely on them; docs/cli.md describes them.
const (
	ExitDone        = 0
	ExitUsage       = 1 // invalid command line or request, unknown id, wrong token
	ExitNotRun      = 2 // the task did not run and will not run
	ExitUnknown     = 3 // the outcome is unknown, or the node has a defect
	ExitConflict    = 4 // another configuration change was accepted instead
	ExitUnavailable = 5 // no node can serve the call; nothing was started or changed
	ExitTaskFailed  = 6 // the task failed or was cancelled
	ExitPartial     = 7 // a change is not in force on every node
)

var exitCodeByKind = map[domain.ErrorKind]int{
	domain.KindBadRequest:      ExitUsage,
	domain.KindTooLarge:        ExitUsage,
	domain.KindNotFound:        ExitUsage,
	domain.KindKeyConflict:     ExitUsage,
	domain.KindNeverFits:       ExitUsage,
	domain.KindUnauthorized:    ExitUsage,
	domain.KindNotRun:          ExitNotRun,
	domain.KindOutcomeUnknown:  ExitUnknown,
	domain.KindInternal:        ExitUnknown,
	domain.KindVersionConflict: ExitConflict,
	domain.KindUnavailable:     ExitUnavailable,
	domain.KindNoCapacity:      ExitUnavailable,
	domain.KindStaleEpoch:      ExitUnavailable,
	domain.KindTaskFailed:      ExitTaskFailed,
}

// exitCodeError is an error whose exit code does not follow from its kind.
type exitCodeError struct {
	code int
	err  *domain.Error
}

// Error implements error.
func (e *exitCodeError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *exitCodeError) Unwrap() error { return e.err }

// exitCode returns the exit code of a command that returned err. An error that is
// not a *domain.Error comes from parsing the command line, or from reading or
// writing a file.
func exitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	var coded *exitCodeError
	if errors.As(err, &coded) {
		return coded.code
	}
	var typed *domain.Error
	if !errors.As(err, &typed) {
		return ExitUsage
	}
	if code, ok := exitCodeByKind[typed.Kind]; ok {
		return code
	}
	return ExitUnknown
}

// printError writes the message, remedy and request id of an error.
func printError(w io.Writer, err error) {
	var typed *domain.Error
	if !errors.As(err, &typed) {
		typed = usageError(err.Error(), "see basilferry --help")
	}
	fmt.Fprintf(w, "error: %s\n", output.ReplaceControlCharacters(typed.Message))
	if typed.Remedy != "" {
		fmt.Fprintf(w, "remedy: %s\n", output.ReplaceControlCharacters(typed.Remedy))
	}
	if typed.RequestID != "" {
		fmt.Fprintf(w, "request: %s\n", output.ReplaceControlCharacters(typed.RequestID))
	}
}

func usageError(message, remedy string) *domain.Error {
	return &domain.Error{Kind: domain.KindBadRequest, Message: message, Remedy: remedy}
}

// outcomeError returns the error of an outcome whose state is failed, cancelled,
// not run or unknown, and nil for any other state. The exit code follows from the
// state, unless the request itself is invalid.
func outcomeError(o httpapi.OutcomeResponse) error {
	code, ok := exitCodeForState(o.State)
	if !ok {
		return nil
	}
	err := &domain.Error{Kind: o.Kind, Message: o.Message, Remedy: o.Remedy, RequestID: o.RequestID}
	if o.State == domain.OutcomeCancelled {
		err.Kind = domain.KindTaskFailed
		err.Message = "the task was cancelled before it finished"
		err.Remedy = "submit the work again with a new key or id"
	}
	if exitCodeByKind[err.Kind] == ExitUsage {
		code = ExitUsage
	}
	return &exitCodeError{code: code, err: err}
}

func exitCodeForState(state domain.OutcomeState) (int, bool) {
	switch state {
	case domain.OutcomeSucceeded, domain.OutcomeAccepted, domain.OutcomeRunning:
		return ExitDone, false
	case domain.OutcomeFailed, domain.OutcomeCancelled:
		return ExitTaskFailed, true
	case domain.OutcomeNotRun:
		return ExitNotRun, true
	}
	return ExitUnknown, true
}
