package httpapi

import (
	"encoding/base64"
	"net/http"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/service"
)

// Headers that identify a request.
const (
	KeyHeader = "Idempotency-Key"
	IDHeader  = "Request-Id"
)

// maxKeyBytes bounds the length of an Idempotency-Key.
const maxKeyBytes = 255

// SubmitBody is the body of POST /v1/requests.
type SubmitBody struct {
	Kind  domain.Kind  `json:"kind"`
	Class domain.Class `json:"class"`
	Team  domain.Team  `json:"team"`
	// DeadlineMS is the deadline of an urgent request, in milliseconds after its
	// arrival.
	DeadlineMS int64            `json:"deadline_ms,omitempty"`
	Resources  domain.Resources `json:"resources"`
	Idempotent bool             `json:"idempotent,omitempty"`
	// Payload is text that is passed to the task as UTF-8. At most one of Payload
	// and PayloadBase64 is set.
	Payload       *string `json:"payload,omitempty"`
	PayloadBase64 *string `json:"payload_base64,omitempty"`
}

// requestName is how the client identifies its request: by key, by id, or not at
// all.
type requestName struct {
	key string
	id  domain.RequestID
}

// parseRequestName reads the headers KeyHeader and IDHeader.
func parseRequestName(header http.Header) (requestName, *domain.Error) {
	keys, ids := header.Values(KeyHeader), header.Values(IDHeader)
	if len(keys)+len(ids) > 1 {
		return requestName{}, badRequestError("the request is identified more than once", "send one of the headers "+KeyHeader+" and "+IDHeader+", once")
	}
	if len(keys) == 1 {
		return requestName{key: keys[0]}, checkKey(keys[0])
	}
	if len(ids) == 0 {
		return requestName{}, nil
	}
	id, err := parseID(ids[0])
	return requestName{id: id}, err
}

func checkKey(key string) *domain.Error {
	if key == "" || len(key) > maxKeyBytes {
		return badRequestError(KeyHeader+" is empty or longer than 255 bytes", "use a short unique key, for example a UUID")
	}
	for _, c := range []byte(key) {
		if c < ' ' || c > '~' {
			return badRequestError(KeyHeader+" has a character that is not printable ASCII", "use a short unique key, for example a UUID")
		}
	}
	return nil
}

func parseID(text string) (domain.RequestID, *domain.Error) {
	id, err := domain.ParseRequestID(text)
	if err != nil {
		return id, domain.AsError(err)
	}
	return id, nil
}

// submitRequest validates the body and converts it to a service request.
func (b SubmitBody) submitRequest(name requestName, maxDeadline time.Duration) (service.SubmitRequest, *domain.Error) {
	req := service.SubmitRequest{Key: name.key}
	payload, err := b.payload()
	if err != nil {
		return req, err
	}
	if err := b.checkDeadline(maxDeadline); err != nil {
		return req, err
	}
	req.Task = domain.Task{
		ID:         name.id,
		Kind:       b.Kind,
		Class:      b.Class,
		Team:       b.Team,
		Resources:  b.Resources,
		Idempotent: b.Idempotent,
		Deadline:   time.Duration(b.DeadlineMS) * time.Millisecond,
		Payload:    payload,
	}
	if err := req.Task.Validate(); err != nil {
		return req, domain.AsError(err)
	}
	return req, nil
}

// checkDeadline checks the deadline's range. It compares in milliseconds, because
// a large number would overflow as a time.Duration. Task.Validate checks that
// urgent requests have a deadline.
func (b SubmitBody) checkDeadline(limit time.Duration) *domain.Error {
	if b.DeadlineMS < 0 {
		return badRequestError("deadline_ms is negative", "set deadline_ms to a positive number")
	}
	if b.DeadlineMS > limit.Milliseconds() {
		return deadlineTooLongError(limit)
	}
	if b.DeadlineMS != 0 && (b.Kind == domain.KindBatch || b.Kind == domain.KindWatch) {
		return badRequestError("a "+string(b.Kind)+" task has a deadline", "leave deadline_ms out; only urgent requests have one")
	}
	return nil
}

func (b SubmitBody) payload() ([]byte, *domain.Error) {
	switch {
	case b.Payload != nil && b.PayloadBase64 != nil:
		return nil, badRequestError("payload and payload_base64 are both set", "set one of them")
	case b.Payload != nil:
		return []byte(*b.Payload), nil
	case b.PayloadBase64 == nil:
		return nil, nil
	}
	data, err := base64.StdEncoding.Strict().DecodeString(*b.PayloadBase64)
	if err != nil {
		return nil, badRequestError("payload_base64 is malformed: "+err.Error(), "use standard base64 with padding")
	}
	return data, nil
}
