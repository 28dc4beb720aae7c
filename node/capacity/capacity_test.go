package capacity

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-9*max(1, math.Abs(b)) }

// Guards against a slope, an intercept or a residual that does not match the
// points.
func TestLeastSquaresFitsLine(t *testing.T) {
	cases := []struct {
		name   string
		points []Point
		want   Fit
	}{
		{"exact", []Point{{1, 5}, {2, 7}, {4, 11}}, Fit{Intercept: 3, Slope: 2}},
		{"constant", []Point{{1, 4}, {10, 4}, {100, 4}}, Fit{Intercept: 4}},
		{"nonlinear", []Point{{0, 0}, {1, 3}, {2, 0}}, Fit{Intercept: 1, Residual: math.Sqrt2}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := LeastSquares(tc.points)
			assert.Assert(t, almostEqual(got.Intercept, tc.want.Intercept), "intercept %g", got.Intercept)
			assert.Assert(t, almostEqual(got.Slope, tc.want.Slope), "slope %g", got.Slope)
			assert.Assert(t, almostEqual(got.Residual, tc.want.Residual), "residual %g", got.Residual)
		})
	}
}

// Guards against projecting a nonlinear cost with a straight line, and against
// extrapolating beyond the measured sizes.
func TestInterpolateStaysWithinPoints(t *testing.T) {
	points := []Point{{10, 1}, {20, 3}, {40, 4}}
	for size, want := range map[float64]float64{5: 1, 10: 1, 15: 2, 30: 3.5, 40: 4, 90: 4} {
		assert.Equal(t, interpolate(points, size), want, "at %g", size)
	}
	r := Result{Quantity: Quantity{Interpolate: true, At: func(Topology) float64 { return 30 }}, Points: points, Fit: Fit{Slope: 9}}
	assert.Equal(t, r.Project(Topologies[0]), 3.5)
}

// Guards against totals that leave out a quantity, that count a quantity of log
// outages, or that are lowered by a negative slope, which noise can cause.
func TestTotalsAddUpProjections(t *testing.T) {
	three := Topology{NodesPerDomain: 3, ShardsPerDomain: 2}
	size := func(Topology) float64 { return 100 }
	plain := Result{Quantity: Quantity{Resource: CPU, At: size}, Fit: Fit{Intercept: 10, Slope: 2}}
	slope := Result{Quantity: Quantity{Resource: CPU, At: size, SlopeOnly: true}, Fit: Fit{Intercept: 10, Slope: 2}}
	times := Result{Quantity: Quantity{Resource: CPU, At: size, Multiplier: func(Topology) float64 { return 3 }}, Fit: Fit{Slope: 1}}
	noise := Result{Quantity: Quantity{Resource: CPU, At: size}, Fit: Fit{Slope: -1}}
	memory := Result{Quantity: Quantity{Resource: Memory, At: size}, Fit: Fit{Slope: 7}}
	outage := Result{Quantity: Quantity{Resource: CPU, At: size, OutageOnly: true}, Fit: Fit{Slope: 50}}
	assert.Equal(t, plain.Project(three), 210.0)
	assert.Equal(t, slope.Project(three), 200.0)
	assert.Equal(t, times.Project(three), 300.0)
	assert.Equal(t, noise.Project(three), -100.0)
	all := []Result{plain, slope, times, noise, memory, outage}
	assert.Equal(t, Total(all, CPU, three), 710.0)
	assert.Equal(t, Total(all, Memory, three), 1400.0)
	perVM := Result{Quantity: Quantity{Resource: CPU, At: size, SizePerVM: 12}, Fit: Fit{Intercept: 9, Slope: 2}}
	assert.Equal(t, TotalPerVM(append(all, perVM), CPU), 24.0)
}

// Guards against a busiest node that is assigned a wrong share of the load when
// the shards do not divide evenly among the nodes.
func TestBusiestNodeShareFollowsShards(t *testing.T) {
	assert.Equal(t, Topology{3, 2}.busiestNodeShare(TwoYearTarget.Workers), 375.0)
	assert.Equal(t, Topology{3, 4}.busiestNodeShare(TwoYearTarget.Workers), 375.0)
	assert.Equal(t, Topology{3, 4}.MaxOwnedShards(), 2.0)
	assert.Equal(t, Topology{6, 6}.busiestNodeShare(TwoYearTarget.Workers), 125.0)
	assert.Equal(t, Topology{3, 2}.Nodes(), 60.0)
}

// Guards against quantities that cannot be measured, that have fewer than three
// sizes, or that the report leaves out.
func TestQuickRunMeasuresAllQuantities(t *testing.T) {
	var out bytes.Buffer
	results, err := Run(&out, "", Options{Quick: true, RunsPerPoint: 1})
	assert.NilError(t, err)
	assert.Equal(t, len(results), len(Quantities()))
	for _, r := range results {
		assert.Assert(t, len(r.Points) >= 3 && len(r.Quantity.Sizes) >= 3, r.Quantity.Name)
		assert.Assert(t, strings.Contains(out.String(), r.Quantity.Name))
		assert.Assert(t, !math.IsNaN(r.Project(Topologies[0])), r.Quantity.Name)
	}
}
