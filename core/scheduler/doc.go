// Package scheduler is the owner's decision core. It joins the ledger of jobs,
// the book of workers and the planner into one machine that is fed with events
// (jobs, reports of workers, answers to orders, stored records) and gives
// orders and records to store. It is pure: times are passed in, and the driver
// carries the orders out.
//
// The order "store, then act" runs through it. A placement is stored before
// its start is sent; an end is stored before the worker may forget it and
// before anything that depends on it starts.
package scheduler
