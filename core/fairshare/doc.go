// Package fairshare orders pending tasks of many teams by weighted fair share,
// limits each team by its quota, and passes over tasks that do not fit now
// without trying each of them.
//
// Pending tasks are grouped by team and shape. A shape that does not fit is
// parked for all teams until room that could hold it appears, so that one
// failed attempt stands for all tasks of the shape.
package fairshare
