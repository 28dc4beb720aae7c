// Package ledger is the owner's job table: which tasks are done, placed or
// waiting, and how often each has failed. The package does no I/O, reads no
// clock and is independent of the worker table. It encodes the state of a job
// as a state record, which the owner must store before it acts on that state.
package ledger
