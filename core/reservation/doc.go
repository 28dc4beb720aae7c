// Package reservation learns from usage reports how much CPU and memory the tasks
// of a class use, and derives what to reserve for the next task of the class.
// The reports lag behind the actual use.
package reservation
