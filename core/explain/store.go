package explain

import (
	"container/list"
	"strings"
	"sync"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// MaxReasonBytes bounds one reason; a longer one is cut off.
	MaxReasonBytes = 512
	// MaxEntriesPerRequest bounds the entries of one request, so that a task that is
	// moved again and again does not push the others out.
	MaxEntriesPerRequest = 64
	// entryOverheadBytes is the memory of an entry beside its text, in bytes: the
	// entry, its list element, the request id and its share of the index. The
	// heap held 326 bytes for each entry with one entry a request.
	entryOverheadBytes = 336
)

// Store keeps the newest reasons of decisions about requests. It is bounded in
// entries and bytes; the oldest entries are dropped first. It is safe for
// concurrent use.
type Store struct {
	mu         sync.Mutex
	maxEntries int
	maxBytes   int64
	bytes      int64
	// order has all records, oldest first.
	order *list.List
	// byID has the elements of order of each request, oldest first.
	byID map[domain.RequestID][]*list.Element
}

type record struct {
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

// Add keeps a reason for a decision about the request.
func (s *Store) Add(id domain.RequestID, e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Reason = truncateReason(e.Reason)
	if own := s.byID[id]; len(own) >= MaxEntriesPerRequest {
		s.remove(own[0])
	}
	s.byID[id] = append(s.byID[id], s.order.PushBack(record{id, e}))
	s.bytes += entryBytes(e)
	for s.order.Len() > max(s.maxEntries, 0) || s.bytes > max(s.maxBytes, 0) {
		s.remove(s.order.Front())
	}
}

// remove drops an entry, which is the oldest one of its request.
func (s *Store) remove(e *list.Element) {
	r := s.order.Remove(e).(record)
	s.bytes -= entryBytes(r.entry)
	rest := s.byID[r.id][1:]
	if len(rest) == 0 {
		delete(s.byID, r.id)
		return
	}
	s.byID[r.id] = rest
}

// Get returns the reasons for a request, oldest first; none if all have been
// dropped.
func (s *Store) Get(id domain.RequestID) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []Entry
	for _, e := range s.byID[id] {
		entries = append(entries, e.Value.(record).entry)
	}
	return entries
}

// Len returns the number of entries.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order.Len()
}

// Bytes returns the memory of the entries in bytes, as far as it is counted.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

func entryBytes(e Entry) int64 {
	return entryOverheadBytes + int64(len(e.Node)+len(e.Reason))
}

// truncateReason cuts a long reason at a rune. The copy does not hold the original
// text in memory.
func truncateReason(reason string) string {
	if len(reason) <= MaxReasonBytes {
		return reason
	}
	return strings.ToValidUTF8(strings.Clone(reason[:MaxReasonBytes]), "")
}
