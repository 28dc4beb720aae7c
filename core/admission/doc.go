// Package admission decides whether to start an urgent request. The expected
// wait and service time must fit the time until its deadline, and retries must
// stay within the retry budget.
package admission
