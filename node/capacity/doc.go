// Package capacity measures how the costs of each role grow and projects them
// to the two-year size of docs/design.md section 1.4. Each line is measured at
// three or more sizes; a straight line by least squares gives the slope.
//
// Processor time is that of the whole process, with garbage collection, so a
// line that needs two ends of a connection includes both. Memory is the live
// heap after a collection. Each point is the median of several runs.
package capacity
