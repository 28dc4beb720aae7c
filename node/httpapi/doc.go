// Package httpapi is the HTTP API of a node for clients and operators. Bodies are
// JSON; section 8 of docs/design.md lists the paths. The package translates
// between HTTP and package service and rejects malformed and oversized input. It
// makes no decisions about requests.
//
// Responses are never streamed: each has a Content-Length and the xxhash64 of its
// body in the header ChecksumHeader. Errors are sent as domain.Error in JSON.
package httpapi
