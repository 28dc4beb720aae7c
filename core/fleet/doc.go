// Package fleet is the owner's book of workers: what each holds, until when
// its lease can last, and which runs may be executing on it. It is pure; times
// are Instants that the caller passes in.
package fleet
