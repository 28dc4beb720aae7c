package engine

import "github.com/basilferry/basilferry/core/platform"

// recent remembers the record ids of the last offsets of a stream. Whether an
// id counts as repeated depends on offsets only, so all readers agree.
type recent struct {
	span   platform.Offset
	byID   map[string]platform.Offset
	order  []seenID
	oldest int
}

type seenID struct {
	id     string
	offset platform.Offset
}

func newRecent(span platform.Offset) *recent {
	return &recent{span: span, byID: make(map[string]platform.Offset)}
}

// add reports whether the id is new within the span, and remembers it.
func (r *recent) add(id string, offset platform.Offset) bool {
	r.forget(offset)
	if _, known := r.byID[id]; known {
		return false
	}
	r.byID[id] = offset
	r.order = append(r.order, seenID{id: id, offset: offset})
	return true
}

func (r *recent) forget(offset platform.Offset) {
	for r.oldest < len(r.order) && r.order[r.oldest].offset+r.span <= offset {
		delete(r.byID, r.order[r.oldest].id)
		r.oldest++
	}
	// Copying when half is unused keeps the cost per record constant.
	if r.oldest > len(r.order)/2 {
		r.order = append([]seenID(nil), r.order[r.oldest:]...)
		r.oldest = 0
	}
}
