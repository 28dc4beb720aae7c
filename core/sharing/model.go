package sharing

// pair is a filling image beside a serving image.
type pair struct{ fill, serve string }

// evidence counts observations of a pair. Both counts decay, because the load
// of serving tasks moves within seconds.
type evidence struct{ over, under float64 }

const (
	// priorOver and priorUnder make an unknown pair an unlikely culprit.
	priorOver  = 0.1
	priorUnder = 1
	// harmfulOver is how much blame a pair needs, and harmfulShare which share
	// of its observations, to count as harmful. Harmful pairs are over their
	// target in a third of the observations or more, because it takes a load
	// peak as well; harmless pairs in less than one of fifty.
	harmfulOver  = 0.6
	harmfulShare = 0.12
	// maxWeight bounds the observations that count, so that a change of the
	// load shows after some seconds.
	maxWeight = 60
)

// Model is what was learned of the pairs.
type Model struct{ pairs map[pair]*evidence }

// NewModel returns a model that has seen nothing.
func NewModel() *Model { return &Model{pairs: map[pair]*evidence{}} }

func (m *Model) evidence(p pair) *evidence {
	e := m.pairs[p]
	if e == nil {
		e = &evidence{}
		m.pairs[p] = e
	}
	return e
}

// Observe takes note of one tail latency of a serving image beside the filling
// images that were at work. Over tells that the tail was over its target. If
// it was, the blame is shared by how likely each image is the cause.
func (m *Model) Observe(serve string, fills []string, over bool) {
	if !over {
		for _, f := range fills {
			m.evidence(pair{f, serve}).add(0, 1)
		}
		return
	}
	total := 0.0
	for _, f := range fills {
		total += m.suspicion(f, serve)
	}
	for _, f := range fills {
		m.evidence(pair{f, serve}).add(m.suspicion(f, serve)/total, 0)
	}
}

func (e *evidence) add(over, under float64) {
	e.over += over
	e.under += under
	if weight := e.over + e.under; weight > maxWeight {
		e.over *= maxWeight / weight
		e.under *= maxWeight / weight
	}
}

// suspicion is the estimated share of observations in which the pair is over
// the target; it is never zero.
func (m *Model) suspicion(fill, serve string) float64 {
	e := m.pairs[pair{fill, serve}]
	if e == nil {
		return priorOver / (priorOver + priorUnder)
	}
	return (e.over + priorOver) / (e.over + e.under + priorOver + priorUnder)
}

// Harmful reports whether the filling image is known to disturb the serving
// image.
func (m *Model) Harmful(fill, serve string) bool {
	e := m.pairs[pair{fill, serve}]
	return e != nil && e.over >= harmfulOver && e.over >= harmfulShare*(e.over+e.under)
}

// Suspects returns the indexes of the filling images that should make way for
// the serving image: the harmful ones, or, if none is known to be, those that
// are as likely the cause as the likeliest.
func (m *Model) Suspects(serve string, fills []string) []int {
	var out []int
	for i, f := range fills {
		if m.Harmful(f, serve) {
			out = append(out, i)
		}
	}
	if len(out) > 0 {
		return out
	}
	const near = 0.7
	highest := 0.0
	for _, f := range fills {
		highest = max(highest, m.suspicion(f, serve))
	}
	for i, f := range fills {
		if m.suspicion(f, serve) >= near*highest {
			out = append(out, i)
		}
	}
	return out
}
