package engine

import "github.com/basilferry/basilferry/core/platform"

// dedupWindow holds the record ids of the latest offsets of a stream. Whether an id
// counts as repeated depends only on offsets, so all readers drop the same records.
type dedupWindow struct {
	span   platform.Offset
	byID   map[string]platform.Offset
	order  []seenRecord
	oldest int
}

type seenRecord struct {
	id     string
	offset platform.Offset
}

func newDedupWindow(span platform.Offset) *dedupWindow {
	return &dedupWindow{span: span, byID: make(map[string]platform.Offset)}
}

// addIfNew reports whether the id is new within the span, and adds it if so.
func (r *dedupWindow) addIfNew(id string, offset platform.Offset) bool {
	r.dropExpired(offset)
	if _, known := r.byID[id]; known {
		return false
	}
	r.byID[id] = offset
	r.order = append(r.order, seenRecord{id: id, offset: offset})
	return true
}

func (r *dedupWindow) dropExpired(offset platform.Offset) {
	for r.oldest < len(r.order) && r.order[r.oldest].offset+r.span <= offset {
		delete(r.byID, r.order[r.oldest].id)
		r.oldest++
	}
	// Copying only when half of the slice is unused keeps the amortized cost per
	// record constant.
	if r.oldest > len(r.order)/2 {
		r.order = append([]seenRecord(nil), r.order[r.oldest:]...)
		r.oldest = 0
	}
}
