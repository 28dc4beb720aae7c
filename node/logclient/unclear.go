package logclient

import (
	"sync"

	"github.com/basilferry/basilferry/core/platform"
)

// maxUnresolved bounds the unclear appends that a client remembers. Above it the
// oldest is forgotten, and a later repeat of it is appended without a search;
// readers drop such repeats by the record id.
const maxUnresolved = 4096

// appendKey names a record that is to be appended to a stream.
type appendKey struct {
	stream platform.Stream
	id     string
}

// unresolvedAppends remembers appends that may have taken effect, with the lowest
// offset that their record can have. The zero value is usable.
type unresolvedAppends struct {
	mu         sync.Mutex
	minOffsets map[appendKey]platform.Offset
	// order holds the keys of froms, oldest first.
	order []appendKey
}

// add remembers an append; of a repeated one the first offset is kept.
func (u *unresolvedAppends) add(key appendKey, minOffset platform.Offset) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.minOffsets[key]; ok {
		return
	}
	if u.minOffsets == nil {
		u.minOffsets = map[appendKey]platform.Offset{}
	}
	if len(u.order) >= maxUnresolved {
		delete(u.minOffsets, u.order[0])
		u.order = u.order[1:]
	}
	u.minOffsets[key] = minOffset
	u.order = append(u.order, key)
}

// minOffset returns the offset from which to search for the record.
func (u *unresolvedAppends) minOffset(key appendKey) (platform.Offset, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	minOffset, ok := u.minOffsets[key]
	return minOffset, ok
}

// remove forgets an append that is clear now.
func (u *unresolvedAppends) remove(key appendKey) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.minOffsets[key]; !ok {
		return
	}
	delete(u.minOffsets, key)
	for i, k := range u.order {
		if k == key {
			u.order = append(u.order[:i], u.order[i+1:]...)
			return
		}
	}
}
