// Package capacity measures how the resource use of each role grows with load
// and projects it to the expected load in two years (docs/design.md section
// 1.4). Each quantity is measured at three or more sizes. A straight line
// fitted by least squares gives its slope. A cost that is not linear is
// projected by interpolation instead.
//
// Processor time is that of the whole process, including garbage collection. A
// quantity that needs both ends of a connection therefore includes both. Memory
// is the live heap after a garbage collection. Each point is the median of
// several runs.
package capacity
