// Package sharing decides how filling tasks share a worker with serving tasks.
// It learns by regression how much the tail latency of each serving image
// rises with the processor time that each filling image uses beside it, and
// says where a filling task fits, and when it must slow down or leave. Few
// pairs of images disturb each other, and those by a large factor; all other
// pairs can share a worker at full speed. The package is pure.
package sharing
