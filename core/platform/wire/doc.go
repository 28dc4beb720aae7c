// Package wire holds the HTTP form of the platform contracts that clients and
// servers share: paths, headers, bodies, size limits and the check of an
// answer against its headers.
package wire
