// Package sharing decides how filling tasks share a worker with serving tasks.
//
// The tail latency of a serving task grows with the pressure on it. A tail of t
// on a worker and one of t0 without any load give the pressure 1 - t0/t, as in
// a queue. The pressure is the sum of two parts:
//
//   - the load of the users whom the task serves. All tasks of one step share
//     it, wherever they run, and it swings with a period that all steps share.
//   - what each filling task beside it adds: a constant for each pair of images
//     times the cores that the filling task uses.
//
// The package learns the load of each step from its least disturbed tasks and
// forecasts it, and learns by regression what each filling image adds to what
// the forecast explains. From both it says where a filling task fits and how
// fast it may run until the next look. The package is pure.
package sharing
