// Package domain holds the types that all other packages share: identifiers,
// task kinds, resource vectors, task descriptions, outcomes and errors. It
// validates values and makes no scheduling decisions.
package domain
