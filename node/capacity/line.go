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
	// RunsPerPoint is the number of runs of which a point is the median.
	RunsPerPoint int
}

// Quantity is one cost and how it is measured.
type Quantity struct {
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
	// SizePerVM is the size on one worker VM, zero if it has no part in the line.
	SizePerVM float64
	// Multiplier is the factor from the fitted value to a second's or a node's
	// spending; nil is 1.
	Multiplier func(t Topology) float64
	// SlopeOnly leaves the intercept out, because it is the cost of the rig.
	SlopeOnly bool
	// Interpolate projects between the neighbouring points, for a cost that is
	// no straight line; the size must then be within the sizes.
	Interpolate bool
	// OutageOnly tells that the line holds during a log outage, and is not added up.
	OutageOnly bool
}

// Result is a measured line.
type Result struct {
	Quantity Quantity
	Points   []Point
	Fit      Fit
}

// Project returns the value at the two-year size.
func (r Result) Project(t Topology) float64 {
	size := r.Quantity.At(t)
	value := r.Fit.At(size)
	switch {
	case r.Quantity.Interpolate:
		value = interpolate(r.Points, size)
	case r.Quantity.SlopeOnly:
		value = r.Fit.Slope * size
	}
	if r.Quantity.Multiplier != nil {
		value *= r.Quantity.Multiplier(t)
	}
	return value
}

// Run measures a line.
func (l Quantity) Run(o Options) (Result, error) {
	sizes := l.Sizes
	if o.Quick {
		sizes = l.QuickSizes
	}
	r := Result{Quantity: l}
	for _, size := range sizes {
		value, err := l.measurePoint(size, o)
		if err != nil {
			return r, fmt.Errorf("%s at %g: %w", l.Name, size, err)
		}
		r.Points = append(r.Points, Point{Size: size, Value: value})
	}
	r.Fit = LeastSquares(r.Points)
	return r, nil
}

func (l Quantity) measurePoint(size float64, o Options) (float64, error) {
	var values []float64
	for range max(1, o.RunsPerPoint) {
		value, err := l.Measure(size, o)
		if err != nil {
			return 0, err
		}
		values = append(values, value)
	}
	return median(values), nil
}
