// Package reservation learns how much processor time and memory the tasks of
// a class use, from lagging usage reports, and derives what to reserve for the
// next task of the class.
package reservation
