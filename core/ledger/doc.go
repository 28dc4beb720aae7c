// Package ledger is the owner's job table: which tasks are done, placed or
// waiting, and how often each has failed. The package does no I/O, reads no
// clock and knows no workers; only its caller changes the table. Each job has a
// state record that must be stored before the owner acts on it.
package ledger
