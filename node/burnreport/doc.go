// Package burnreport writes burn-rate reports as a text table, as WriteJSON and as
// one WriteHTML page that needs no other file.
package burnreport
