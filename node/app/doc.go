// Package app assembles an entry node from its parts with uber/fx, and starts
// and stops them in order.
package app
