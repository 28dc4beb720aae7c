// Package jobview is each node's read model of the jobs, built from the records
// in the store. Every node uses it to answer clients, and a new owner restores
// the job table from it.
package jobview
