package quantile

import "math"

const (
	// bucketGrowth is the ratio of the upper bounds of adjacent buckets. It
	// determines the relative error.
	bucketGrowth = 1.05
	// bucketCount covers values up to 1.05^439, about 2e9. Larger values count as
	// this one.
	bucketCount = 440
	// halvingWeight is the total weight at which all weights are halved, so that
	// old samples lose their influence. The weight of a sample halves with every
	// 512 newer ones.
	halvingWeight = 1024
)

var logBucketGrowth = math.Log(bucketGrowth)

// Sketch is a histogram with logarithmic buckets and decaying weights. The
// zero value is empty.
type Sketch struct {
	weights [bucketCount]float32
	total   float64
	count   int
	// largest is the largest sample since the last halving, and the largest one
	// in the period before that halving.
	largest [2]int64
}

// Add adds a sample. Values below 1 count as 1.
func (s *Sketch) Add(value int64) {
	s.weights[bucketOf(value)]++
	s.total++
	s.count++
	s.largest[0] = max(s.largest[0], value)
	if s.total >= halvingWeight {
		s.halve()
	}
}

// Count returns the number of samples added so far.
func (s *Sketch) Count() int { return s.count }

// Quantile returns an upper bound of the q-quantile of values up to 2e9, or 0 for
// an empty sketch. It is at most 5% above the quantile and not above the largest
// recent sample.
func (s *Sketch) Quantile(q float64) int64 {
	if s.total == 0 {
		return 0
	}
	rank := q * s.total
	sum := 0.0
	last := 0
	for i, w := range s.weights {
		if w == 0 {
			continue
		}
		last = i
		sum += float64(w)
		if sum >= rank {
			break
		}
	}
	return min(upperBound(last), max(s.largest[0], s.largest[1], 1))
}

func (s *Sketch) halve() {
	s.total = 0
	s.largest = [2]int64{0, s.largest[0]}
	for i := range s.weights {
		s.weights[i] /= 2
		s.total += float64(s.weights[i])
	}
}

func bucketOf(value int64) int {
	if value <= 1 {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(value))/logBucketGrowth - 1e-9))
	return min(i, bucketCount-1)
}

func upperBound(bucket int) int64 {
	return int64(math.Floor(math.Pow(bucketGrowth, float64(bucket)) + 1e-6))
}
