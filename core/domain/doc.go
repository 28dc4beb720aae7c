// Package domain holds the types that every other package speaks: identifiers,
// task kinds, resource vectors, task descriptions, outcomes and errors. It
// validates values and decides nothing.
package domain
