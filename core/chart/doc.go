// Package chart loads state charts from embedded JSON files, validates them and
// executes them with looplab/fsm. A chart file lists the states and transitions
// of a state machine. The models in folder spec use the same names for the
// states of a task.
package chart
