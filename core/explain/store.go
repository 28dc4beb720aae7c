package explain

import (
	"container/list"
	"strings"
	"sync"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// MaxReasonBytes is the maximum length of one reason; a longer one is cut
	// off.
	MaxReasonBytes = 512
	// MaxEntriesPerRequest is the maximum number of entries of one request, so
	// that a task that is moved many times does not displace the entries of
	// others.
	MaxEntriesPerRequest = 64
	// entryOverheadBytes is the memory of an entry without its text: the entry,
	// its list element, the request id and its share of the index. The share is
	// largest with one entry per request, where an entry takes 326 bytes.
	entryOverheadBytes = 336
)

// Store keeps the most recent reasons for decisions about requests. The number of
// entries and their estimated memory are limited; the oldest entries are dropped
// first. It is safe for concurrent use.
type Store struct {
	mu         sync.Mutex
	maxEntries int
	maxBytes   int64
	bytes      int64
	// order has all entries, oldest first.
	order *list.List
	// byID has the list elements of each request, oldest first.
	byID map[domain.RequestID][]*list.Element
}

type storedEntry struct {
	id    domain.RequestID
	entry Entry
}

// NewStore returns an empty Store of at most maxEntries entries and maxBytes
// bytes. Nothing is kept if one of them is zero or less.
func NewStore(maxEntries int, maxBytes int64) *Store {
	return &Store{
		maxEntries: maxEntries,
		maxBytes:   maxBytes,
		order:      list.New(),
		byID:       make(map[domain.RequestID][]*list.Element),
	}
}

// Add adds the reason for a decision about the request.
func (s *Store) Add(id domain.RequestID, e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Reason = truncateReason(e.Reason)
	if entries := s.byID[id]; len(entries) >= MaxEntriesPerRequest {
		s.remove(entries[0])
	}
	s.byID[id] = append(s.byID[id], s.order.PushBack(storedEntry{id, e}))
	s.bytes += entryBytes(e)
	for s.order.Len() > max(s.maxEntries, 0) || s.bytes > max(s.maxBytes, 0) {
		s.remove(s.order.Front())
	}
}

// remove removes an entry. It must be the oldest one of its request.
func (s *Store) remove(e *list.Element) {
	r := s.order.Remove(e).(storedEntry)
	s.bytes -= entryBytes(r.entry)
	rest := s.byID[r.id][1:]
	if len(rest) == 0 {
		delete(s.byID, r.id)
		return
	}
	s.byID[r.id] = rest
}

// Get returns the entries of a request, oldest first; none if all have been
// dropped.
func (s *Store) Get(id domain.RequestID) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []Entry
	for _, e := range s.byID[id] {
		entries = append(entries, e.Value.(storedEntry).entry)
	}
	return entries
}

// Len returns the number of entries.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order.Len()
}

// Bytes returns the estimated memory of the entries in bytes.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

func entryBytes(e Entry) int64 {
	return entryOverheadBytes + int64(len(e.Node)+len(e.Reason))
}

// truncateReason cuts off a long reason at a rune boundary. It returns a copy, so
// that the whole text does not stay in memory.
func truncateReason(reason string) string {
	if len(reason) <= MaxReasonBytes {
		return reason
	}
	return strings.ToValidUTF8(strings.Clone(reason[:MaxReasonBytes]), "")
}
