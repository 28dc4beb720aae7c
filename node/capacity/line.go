package capacity

import "fmt"

// Resource is what a line spends.
type Resource string

// Resources of a line. The values of the lines are in the units given.
const (
	CPU     Resource = "cpu"     // microseconds of processor time a second
	Memory  Resource = "memory"  // bytes
	Network Resource = "network" // bytes a second, both directions
	Other   Resource = "other"   // in the line's own unit, not added up
)

// Options of a run.
type Options struct {
	// Quick measures small sizes once, to check that the tool works.
	Quick bool
	// Runs is the number of runs of which a point is the median.
	Runs int
}

// Line is one cost and how it is measured.
type Line struct {
	Name, Role string
	Mechanism  string
	// Size and Unit name the quantities of Point.Size and Point.Value.
	Size, Unit string
	Resource   Resource
	// Sizes and QuickSizes are measured; Measure returns the value at one.
	Sizes, QuickSizes []float64
	Measure           func(size float64, o Options) (float64, error)
	// At is the size on the busiest entry node at the two-year size.
	At func(t Topology) float64
	// PerVM is the size on one worker VM, zero if it has no part in the line.
	PerVM float64
	// Times is the factor from the fitted value to a second's or a node's
	// spending; nil is 1.
	Times func(t Topology) float64
	// SlopeOnly leaves the intercept out, because it is the cost of the rig.
	SlopeOnly bool
	// Interpolate projects between the neighbouring points, for a cost that is
	// no straight line; the size must then be within the sizes.
	Interpolate bool
	// Outage tells that the line holds during a log outage, and is not added up.
	Outage bool
}

// Result is a measured line.
type Result struct {
	Line   Line
	Points []Point
	Fit    Fit
}

// Project returns the value at the two-year size.
func (r Result) Project(t Topology) float64 {
	size := r.Line.At(t)
	value := r.Fit.At(size)
	switch {
	case r.Line.Interpolate:
		value = interpolate(r.Points, size)
	case r.Line.SlopeOnly:
		value = r.Fit.Slope * size
	}
	if r.Line.Times != nil {
		value *= r.Line.Times(t)
	}
	return value
}

// Run measures a line.
func (l Line) Run(o Options) (Result, error) {
	sizes := l.Sizes
	if o.Quick {
		sizes = l.QuickSizes
	}
	r := Result{Line: l}
	for _, size := range sizes {
		value, err := l.point(size, o)
		if err != nil {
			return r, fmt.Errorf("%s at %g: %w", l.Name, size, err)
		}
		r.Points = append(r.Points, Point{Size: size, Value: value})
	}
	r.Fit = LeastSquares(r.Points)
	return r, nil
}

func (l Line) point(size float64, o Options) (float64, error) {
	var values []float64
	for range max(1, o.Runs) {
		value, err := l.Measure(size, o)
		if err != nil {
			return 0, err
		}
		values = append(values, value)
	}
	return median(values), nil
}
