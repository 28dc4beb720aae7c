package capacity

import (
	"math"
	"slices"
)

// Point is one measured value at one size.
type Point struct {
	Size, Value float64
}

// Fit is a straight line through measured points.
type Fit struct {
	Intercept, Slope float64
	// Residual is the root mean square deviation divided by the mean value. A
	// large residual means that the cost is not linear.
	Residual float64
}

// LeastSquares fits a line through points of at least two different sizes.
func LeastSquares(points []Point) Fit {
	n := float64(len(points))
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.Size
		sumY += p.Value
	}
	meanX, meanY := sumX/n, sumY/n
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.Size - meanX) * (p.Size - meanX)
		sxy += (p.Size - meanX) * (p.Value - meanY)
	}
	f := Fit{Slope: sxy / sxx}
	f.Intercept = meanY - f.Slope*meanX
	var squares float64
	for _, p := range points {
		d := p.Value - f.At(p.Size)
		squares += d * d
	}
	if meanY != 0 {
		f.Residual = math.Sqrt(squares/n) / math.Abs(meanY)
	}
	return f
}

// At returns the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// median returns the middle value, or the upper one of the two middle values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// interpolate returns the value at a size by linear interpolation between the
// neighbouring points. The points are sorted by size. Outside their range it
// returns the value of the nearest point.
func interpolate(points []Point, size float64) float64 {
	last := points[0]
	for _, p := range points {
		if size <= p.Size {
			if p.Size == last.Size {
				return p.Value
			}
			return last.Value + (p.Value-last.Value)*(size-last.Size)/(p.Size-last.Size)
		}
		last = p
	}
	return last.Value
}
