// Package burnreport writes burn-rate reports as a text table, as JSON and as a
// self-contained HTML page. A burn rate is the rate at which the error budget of a
// service-level objective is spent; a rate of 1 spends exactly the budget.
package burnreport
