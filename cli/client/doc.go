// Package client calls the HTTP API of entry nodes. It tries the nodes in
// order, checks every answer against its length, checksum and request id, and
// sends a call again only where a repeat cannot start or change anything twice.
//
// Bodies are those of package httpapi. All errors are *domain.Error.
package client
