// Package admission decides whether an urgent request is worth starting: its
// expected wait and service time must fit the time left, and second tries must
// stay within the retry budget.
package admission
