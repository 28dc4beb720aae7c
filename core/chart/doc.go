// Package chart loads state charts from embedded JSON files, validates them and
// executes them with looplab/fsm. A chart file lists the states and transitions
// of a state machine. The specification in folder spec uses the same state
// names.
package chart
