package dispatch

// rated is the rating of a candidate for a task of one demand.
type rated struct {
	// candidate is an index into Planner.candidates.
	candidate int
	rating    float64
}

// before reports whether r is to be chosen before other: it has the higher rating
// or, with the same rating, the lower index.
func (r rated) before(other rated) bool {
	if r.rating != other.rating {
		return r.rating > other.rating
	}
	return r.candidate < other.candidate
}

// ranking is a binary heap of rated candidates. The first one is to be chosen next.
// It is not a heap.Interface, because the calls through that interface would take
// most of a planning round.
type ranking []rated

// order establishes the heap order.
func (r ranking) order() {
	for i := len(r)/2 - 1; i >= 0; i-- {
		r.siftDown(i)
	}
}

// replaceFirst gives the first candidate a new rating.
func (r ranking) replaceFirst(rating float64) {
	r[0].rating = rating
	r.siftDown(0)
}

// removeFirst removes the first candidate.
func (r *ranking) removeFirst() {
	last := len(*r) - 1
	(*r)[0] = (*r)[last]
	*r = (*r)[:last]
	r.siftDown(0)
}

// add adds a candidate.
func (r *ranking) add(c rated) {
	*r = append(*r, c)
	for i := len(*r) - 1; i > 0; {
		parent := (i - 1) / 2
		if !(*r)[i].before((*r)[parent]) {
			return
		}
		(*r)[i], (*r)[parent] = (*r)[parent], (*r)[i]
		i = parent
	}
}

func (r ranking) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(r) {
			return
		}
		if child+1 < len(r) && r[child+1].before(r[child]) {
			child++
		}
		if !r[child].before(r[i]) {
			return
		}
		r[i], r[child] = r[child], r[i]
		i = child
	}
}
