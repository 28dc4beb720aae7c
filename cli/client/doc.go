// Package client calls the HTTP API of entry nodes. It tries the nodes in
// order and checks the length, checksum and request id of every response. It
// resends a call only if the call cannot take effect twice.
//
// Request and response bodies are those of package httpapi. All errors are
// *domain.Error.
package client
