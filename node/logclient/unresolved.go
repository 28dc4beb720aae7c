package logclient

import (
	"sync"

	"github.com/basilferry/basilferry/core/platform"
)

// maxUnresolved bounds the unresolved appends that a client tracks. Above it the
// oldest is dropped, and a later repeat of that append is made without a search;
// readers recognize and ignore such duplicates by the record id.
const maxUnresolved = 4096

// appendKey identifies a record that is to be appended to a stream.
type appendKey struct {
	stream platform.Stream
	id     string
}

// unresolvedAppends tracks appends that may have taken effect, with the lowest
// offset that their record can have. The zero value is ready to use.
type unresolvedAppends struct {
	mu         sync.Mutex
	minOffsets map[appendKey]platform.Offset
	// order holds the keys of minOffsets, oldest first.
	order []appendKey
}

// add tracks an append. It keeps the offset of an append that is already tracked.
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

// minOffset returns the offset from which to search for the record, and false if
// its append is not tracked.
func (u *unresolvedAppends) minOffset(key appendKey) (platform.Offset, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	minOffset, ok := u.minOffsets[key]
	return minOffset, ok
}

// remove stops tracking an append that is now resolved.
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
