// Package chart loads state charts from embedded JSON files, checks them, and
// interprets them with looplab/fsm. A chart file lists the states and the
// transitions; the specification in spec uses the same state names.
package chart
