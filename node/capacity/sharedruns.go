package capacity

// sharedRuns lets several quantities share the runs of one harness. For each
// size, the n-th call for every quantity gets the result of the n-th run.
type sharedRuns[T any] struct {
	measure func(size float64, o Options) (T, error)
	runs    map[float64][]T
}

func newSharedRuns[T any](measure func(float64, Options) (T, error)) *sharedRuns[T] {
	return &sharedRuns[T]{measure: measure, runs: map[float64][]T{}}
}

// quantity returns a Measure function that reports one value of each run.
func (m *sharedRuns[T]) quantity(pick func(T) float64) func(float64, Options) (float64, error) {
	calls := map[float64]int{}
	return func(size float64, o Options) (float64, error) {
		n := calls[size]
		calls[size]++
		if n == len(m.runs[size]) {
			run, err := m.measure(size, o)
			if err != nil {
				return 0, err
			}
			m.runs[size] = append(m.runs[size], run)
		}
		return pick(m.runs[size][n]), nil
	}
}
