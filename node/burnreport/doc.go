// Package burnreport writes burn-rate reports as a text table, as JSON and as
// one HTML page that needs no other file.
package burnreport
