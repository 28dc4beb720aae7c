package peer

import (
	"encoding/json"
	"errors"
	"net/rpc"
	"strings"

	"github.com/basilferry/basilferry/core/domain"
)

// errorPrefix marks an error text that holds a domain.Error in JSON, because
// net/rpc carries errors as strings only.
const errorPrefix = "basilferry-error:"

// notSentError is the error of a call that was definitely never sent.
type notSentError struct{ cause *domain.Error }

func (e *notSentError) Error() string { return e.cause.Error() }
func (e *notSentError) Unwrap() error { return e.cause }

// noReplyError is the error of a call that may have been executed.
type noReplyError struct{ cause *domain.Error }

func (e *noReplyError) Error() string { return e.cause.Error() }
func (e *noReplyError) Unwrap() error { return e.cause }

// IsNotSent reports whether err means that the call was definitely never
// executed, because no complete message left this node. Only then may the same
// call be made to another node, or its request be reported as "not run".
func IsNotSent(err error) bool {
	var typed *notSentError
	return errors.As(err, &typed)
}

// IsNoReply reports whether err means that the call was sent, or may have been,
// and that no valid reply arrived. An error for which neither IsNotSent nor
// IsNoReply is true was returned by the peer, or means that the message cannot be
// encoded or is too large, and was not sent.
func IsNoReply(err error) bool {
	var typed *noReplyError
	return errors.As(err, &typed)
}

func newNotSentError(message string) error {
	return &notSentError{&domain.Error{
		Kind:    domain.KindUnavailable,
		Message: message,
		Remedy:  "send the call again, or to another node",
	}}
}

func newNoReplyError(message string) error {
	return &noReplyError{&domain.Error{
		Kind:    domain.KindOutcomeUnknown,
		Message: message,
		Remedy:  "look the request up by its id",
	}}
}

// encodeError converts err to an error that net/rpc can carry. It returns nil
// for nil.
func encodeError(err error) error {
	if err == nil {
		return nil
	}
	text, marshalErr := json.Marshal(domain.AsError(err))
	if marshalErr != nil {
		return err
	}
	return errors.New(errorPrefix + string(text))
}

// decodeError returns the *domain.Error that a peer encoded with encodeError. A
// text in another format becomes an error of KindInternal.
func decodeError(err rpc.ServerError) error {
	text, found := strings.CutPrefix(string(err), errorPrefix)
	if !found {
		return domain.AsError(err)
	}
	decoded := new(domain.Error)
	if json.Unmarshal([]byte(text), decoded) != nil {
		return domain.AsError(err)
	}
	return decoded
}
