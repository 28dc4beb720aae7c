// Package httpapi serves callers and operators over HTTP with JSON bodies, as
// section 8 of docs/design.md lists. It translates between HTTP and package
// service, guards the node against malformed and oversized input, and decides
// nothing about requests.
//
// Every answer goes out whole: it has a Content-Length and the xxhash64 of its
// body in the header ChecksumHeader. Errors are domain.Error in JSON.
package httpapi
