package capacity

import "fmt"

// Resource is the kind of resource that a quantity measures.
type Resource string

// Resources. The comments give the unit of the projected values.
const (
	CPU     Resource = "cpu"     // microseconds of processor time per second
	Memory  Resource = "memory"  // bytes
	Network Resource = "network" // bytes per second, both directions
	Other   Resource = "other"   // in the quantity's own unit, not added up
)

// Options configure a measurement run.
type Options struct {
	// Quick measures small sizes over short times, to check that the tool works.
	Quick bool
	// RunsPerPoint is the number of runs per point, and at least 1. The value of
	// a point is their median.
	RunsPerPoint int
}

// Quantity is one measured cost as a function of a size, such as the number of
// workers.
type Quantity struct {
	Name, Role string
	Mechanism  string
	// Size says what Point.Size counts. Unit is the unit of Point.Value.
	Size, Unit string
	Resource   Resource
	// Sizes are the measured sizes, and QuickSizes those with Options.Quick.
	// Measure returns the value at one size.
	Sizes, QuickSizes []float64
	Measure           func(size float64, o Options) (float64, error)
	// At returns the size on the busiest entry node at the expected load in two
	// years.
	At func(t Topology) float64
	// SizePerVM is the size on one worker VM. It is zero if the quantity does
	// not apply to worker VMs.
	SizePerVM float64
	// Multiplier returns the factor that converts the fitted value to the use
	// of one node, per second where the resource is a rate. Nil means 1.
	Multiplier func(t Topology) float64
	// SlopeOnly leaves out the intercept, because it is the cost of the
	// harness.
	SlopeOnly bool
	// Interpolate projects by interpolation between the neighbouring points,
	// for a cost that is not linear. The projected size must then lie within
	// Sizes.
	Interpolate bool
	// OutageOnly is set if the quantity applies only during a log outage. It is
	// then left out of the totals.
	OutageOnly bool
}

// Result is a measured quantity.
type Result struct {
	Quantity Quantity
	Points   []Point
	Fit      Fit
}

// Project returns the value at the expected load in two years.
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

// Run measures the quantity at all sizes, or at the quick sizes with
// Options.Quick.
func (q Quantity) Run(o Options) (Result, error) {
	sizes := q.Sizes
	if o.Quick {
		sizes = q.QuickSizes
	}
	r := Result{Quantity: q}
	for _, size := range sizes {
		value, err := q.measurePoint(size, o)
		if err != nil {
			return r, fmt.Errorf("%s at %g: %w", q.Name, size, err)
		}
		r.Points = append(r.Points, Point{Size: size, Value: value})
	}
	r.Fit = LeastSquares(r.Points)
	return r, nil
}

func (q Quantity) measurePoint(size float64, o Options) (float64, error) {
	var values []float64
	for range max(1, o.RunsPerPoint) {
		value, err := q.Measure(size, o)
		if err != nil {
			return 0, err
		}
		values = append(values, value)
	}
	return median(values), nil
}
