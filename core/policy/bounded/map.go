package bounded

import "container/list"

// Map is a map with a maximum number of entries. It is not safe for concurrent
// use.
type Map[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	recent  *list.List // of entry[K, V], most recently used first
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

// New returns an empty map for at most limit entries. limit must be at least 1.
func New[K comparable, V any](limit int) *Map[K, V] {
	return &Map[K, V]{limit: limit, entries: map[K]*list.Element{}, recent: list.New()}
}

// Get returns the value of a key and marks it as used.
func (m *Map[K, V]) Get(key K) (V, bool) {
	e, ok := m.entries[key]
	if !ok {
		var zero V
		return zero, false
	}
	m.recent.MoveToFront(e)
	return e.Value.(*entry[K, V]).value, true
}

// Put sets the value of a key and marks it as used. It drops the least recently
// used entry if the map then exceeds its limit.
func (m *Map[K, V]) Put(key K, value V) {
	if e, ok := m.entries[key]; ok {
		e.Value.(*entry[K, V]).value = value
		m.recent.MoveToFront(e)
		return
	}
	m.entries[key] = m.recent.PushFront(&entry[K, V]{key: key, value: value})
	if len(m.entries) > m.limit {
		m.Delete(m.recent.Back().Value.(*entry[K, V]).key)
	}
}

// Delete removes a key. Unknown keys are ignored.
func (m *Map[K, V]) Delete(key K) {
	if e, ok := m.entries[key]; ok {
		m.recent.Remove(e)
		delete(m.entries, key)
	}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int { return len(m.entries) }

// Each calls f for every entry, most recently used first. It does not mark them
// as used. f may delete the entry that it is called with.
func (m *Map[K, V]) Each(f func(key K, value V)) {
	for e := m.recent.Front(); e != nil; {
		next := e.Next()
		item := e.Value.(*entry[K, V])
		f(item.key, item.value)
		e = next
	}
}
