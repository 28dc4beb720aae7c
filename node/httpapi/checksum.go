package httpapi

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/basilferry/basilferry/core/domain"
)

// ChecksumHeader is the header with the xxhash64 of the body as 16 hexadecimal
// digits.
const ChecksumHeader = "Content-Xxhash64"

// Checksum returns the value of ChecksumHeader for a body.
func Checksum(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// Verify checks a body against the length and checksum in the response header.
// It returns a *domain.Error of kind KindOutcomeUnknown if they differ or are
// missing, because the response may then be truncated or belong to another
// request.
func Verify(header http.Header, body []byte) error {
	length, err := strconv.Atoi(header.Get("Content-Length"))
	if err == nil && length == len(body) && header.Get(ChecksumHeader) == Checksum(body) {
		return nil
	}
	return &domain.Error{
		Kind:    domain.KindOutcomeUnknown,
		Message: "the response body does not match its length or checksum",
		Remedy:  "look the request up with GET /v1/requests/{id}",
	}
}
