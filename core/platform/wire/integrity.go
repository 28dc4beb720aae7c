package wire

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/cespare/xxhash/v2"
)

// Headers of requests and replies.
const (
	// HeaderCallID is an id that the client chooses for each call; the reply
	// repeats it.
	HeaderCallID = "Basilferry-Call-Id"
	// HeaderRequestID is the text form of the id of the request that the message
	// is about; absent for calls about a whole worker or stream.
	HeaderRequestID = "Basilferry-Request-Id"
	// HeaderLength is the length of the body in bytes, in decimal.
	HeaderLength = "Basilferry-Body-Length"
	// HeaderChecksum is the xxhash64 of the body in 16 hexadecimal digits.
	HeaderChecksum = "Basilferry-Body-Xxhash64"
)

// Identity identifies the call that a message belongs to.
type Identity struct {
	Call    string
	Request string
}

// IdentityFromHeaders reads the identity of a message from its headers.
func IdentityFromHeaders(h http.Header) Identity {
	return Identity{Call: h.Get(HeaderCallID), Request: h.Get(HeaderRequestID)}
}

// Checksum returns the xxhash64 of body in the form of HeaderChecksum.
func Checksum(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// SetIntegrityHeaders sets the headers that let the receiver verify a message.
func SetIntegrityHeaders(h http.Header, id Identity, body []byte) {
	h.Set(HeaderCallID, id.Call)
	if id.Request != "" {
		h.Set(HeaderRequestID, id.Request)
	}
	h.Set(HeaderLength, strconv.Itoa(len(body)))
	h.Set(HeaderChecksum, Checksum(body))
}

// Part is a part of a message that Verify checks.
type Part string

// Parts of a message.
const (
	PartCallID    Part = "call id"
	PartRequestID Part = "request id"
	PartLength    Part = "length"
	PartChecksum  Part = "checksum"
	PartBody      Part = "body"
)

// MismatchError reports that a message is damaged or belongs to another call.
// It unwraps to a *domain.Error of kind KindUnavailable, because it is unknown
// whether the call took effect.
type MismatchError struct {
	Part Part
	Want string
	Got  string
	// RequestID is the id of the request that the call was about; empty if none.
	RequestID string
}

// Error implements error.
func (e *MismatchError) Error() string { return e.domainError().Error() }

// Unwrap returns the *domain.Error.
func (e *MismatchError) Unwrap() error { return e.domainError() }

func (e *MismatchError) domainError() *domain.Error {
	return &domain.Error{
		Kind:      domain.KindUnavailable,
		Message:   fmt.Sprintf("message has %s %q, want %q", e.Part, e.Got, e.Want),
		Remedy:    "look the request up by its id; the call may have taken effect",
		RequestID: e.RequestID,
	}
}

// Verify checks a message against its headers and the identity of the call. It
// returns a *MismatchError for the first part that differs, or nil.
func Verify(h http.Header, want Identity, body []byte) error {
	got := IdentityFromHeaders(h)
	checks := []MismatchError{
		{Part: PartCallID, Want: want.Call, Got: got.Call},
		{Part: PartRequestID, Want: want.Request, Got: got.Request},
		{Part: PartLength, Want: h.Get(HeaderLength), Got: strconv.Itoa(len(body))},
		{Part: PartChecksum, Want: h.Get(HeaderChecksum), Got: Checksum(body)},
	}
	for _, c := range checks {
		if c.Want != c.Got {
			c.RequestID = want.Request
			return &c
		}
	}
	return nil
}
