// Package ledger is the owner's book of jobs: which tasks are done, placed or
// waiting, and how often each has failed. It is pure: it knows no clock, store
// or worker, and changes only by the calls of its owner. Each job has a state
// record that is stored before anything that the record allows is done.
package ledger
