package logclient

import (
	"sync"

	"github.com/basilferry/basilferry/core/platform"
)

// maxUnclear bounds the unclear appends that a client remembers. Above it the
// oldest is forgotten, and a later repeat of it is appended without a search;
// readers drop such repeats by the record id.
const maxUnclear = 4096

// appendKey names a record that is to be appended to a stream.
type appendKey struct {
	stream platform.Stream
	id     string
}

// unclearAppends remembers appends that may have taken effect, with the lowest
// offset that their record can have. The zero value is usable.
type unclearAppends struct {
	mu    sync.Mutex
	froms map[appendKey]platform.Offset
	// order holds the keys of froms, oldest first.
	order []appendKey
}

// add remembers an append; of a repeated one the first offset is kept.
func (u *unclearAppends) add(key appendKey, from platform.Offset) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.froms[key]; ok {
		return
	}
	if u.froms == nil {
		u.froms = map[appendKey]platform.Offset{}
	}
	if len(u.order) >= maxUnclear {
		delete(u.froms, u.order[0])
		u.order = u.order[1:]
	}
	u.froms[key] = from
	u.order = append(u.order, key)
}

// from returns the offset from which to search for the record.
func (u *unclearAppends) from(key appendKey) (platform.Offset, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	from, ok := u.froms[key]
	return from, ok
}

// remove forgets an append that is clear now.
func (u *unclearAppends) remove(key appendKey) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.froms[key]; !ok {
		return
	}
	delete(u.froms, key)
	for i, k := range u.order {
		if k == key {
			u.order = append(u.order[:i], u.order[i+1:]...)
			return
		}
	}
}
