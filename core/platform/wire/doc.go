// Package wire defines the HTTP form of the platform contracts that clients and
// servers share: paths, headers, bodies, size limits, and the integrity check
// of a message against its headers.
package wire
