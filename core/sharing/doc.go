// Package sharing decides how filling tasks share a worker with serving tasks.
// It learns from tail latencies which filling images disturb which serving
// images, and says when a filling task must slow down or leave. Few pairs of
// images disturb each other, and those by a large factor; all other pairs can
// share a worker at full speed. The package is pure.
package sharing
