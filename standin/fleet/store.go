package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/platform"
)

// Store implements platform.Store in memory. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	logs      map[platform.Partition][]platform.KeyedRecord
	producers map[string]*producer
	changed   chan struct{}
	// first is the lowest retained offset of each partition.
	first map[platform.Partition]int64
	// unavailable makes all calls fail with ErrRefused.
	unavailable bool
	// dropResponses is the number of successful appends whose responses will be
	// lost.
	dropResponses int
	// recordBytes and callBytes are the largest sizes of a record and of the records of
	// an append; 0 for no limit.
	recordBytes, callBytes int
}

type producer struct {
	epoch, seq int64
	results    map[int64]platform.AppendResult
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		logs: map[platform.Partition][]platform.KeyedRecord{}, producers: map[string]*producer{}, changed: make(chan struct{}),
		first: map[platform.Partition]int64{},
	}
}

// SetUnavailable starts or ends an outage, in which all calls fail with
// ErrRefused.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// AppendAndDropHistory appends a record and drops the partition's history at once,
// the new record included, so that no reader sees it. The newest record of each key
// is retained.
func (s *Store) AppendAndDropHistory(p platform.Partition, r platform.KeyedRecord) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	result, err := s.append(platform.Append{Partition: p, Records: []platform.KeyedRecord{r}})
	if err != nil {
		return err
	}
	s.first[p] = result.End
	return nil
}

// SetLimits sets the largest sizes, in bytes, of a record and of all records of an
// append. Larger ones fail with ErrInvalid.
func (s *Store) SetLimits(recordBytes, callBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordBytes, s.callBytes = recordBytes, callBytes
}

// checkSize returns ErrInvalid if an append exceeds a limit.
func (s *Store) checkSize(records []platform.KeyedRecord) error {
	total := 0
	for _, r := range records {
		size := 1 + len(r.Key) + len(r.Value)
		if s.recordBytes > 0 && size > s.recordBytes {
			return fmt.Errorf("%w (record of %d bytes)", platform.ErrInvalid, size)
		}
		total += size
	}
	if s.callBytes > 0 && total > s.callBytes {
		return fmt.Errorf("%w (%d bytes in one call)", platform.ErrInvalid, total)
	}
	return nil
}

// DropResponses makes the next count appends return an error although their
// records are stored.
func (s *Store) DropResponses(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = count
}

// Append implements platform.Store.
func (s *Store) Append(_ context.Context, a platform.Append) (platform.AppendResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return platform.AppendResult{}, platform.ErrRefused
	}
	if err := s.checkSize(a.Records); err != nil {
		return platform.AppendResult{}, err
	}
	result, err := s.append(a)
	if err == nil && s.dropResponses > 0 {
		s.dropResponses--
		return platform.AppendResult{}, fmt.Errorf("the response is lost")
	}
	return result, err
}

func (s *Store) append(a platform.Append) (platform.AppendResult, error) {
	p, err := s.checkProducer(a)
	if err != nil {
		return platform.AppendResult{}, err
	}
	if p != nil {
		if earlier, ok := p.results[a.Producer.Seq]; ok {
			return earlier, nil
		}
		if a.Producer.Seq != p.seq+1 {
			return platform.AppendResult{}, platform.ErrSequence
		}
	}
	log := s.logs[a.Partition]
	end := int64(len(log))
	if a.ExpectedEnd != nil && *a.ExpectedEnd != end {
		return platform.AppendResult{End: end}, platform.ErrConflict
	}
	for i, r := range a.Records {
		r.Offset = end + int64(i)
		log = append(log, r)
	}
	s.logs[a.Partition] = log
	result := platform.AppendResult{Offset: end, End: int64(len(log))}
	if p != nil {
		p.seq = a.Producer.Seq
		p.results[p.seq] = result
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return result, nil
}

// checkProducer returns the state of the append's producer, nil if it has none,
// or ErrFenced if the producer's epoch has been replaced.
func (s *Store) checkProducer(a platform.Append) (*producer, error) {
	if a.Producer == nil {
		return nil, nil
	}
	key := fmt.Sprint(a.Partition, a.Producer.Name)
	p := s.producers[key]
	if p == nil || a.Producer.Epoch > p.epoch {
		p = &producer{epoch: a.Producer.Epoch, seq: a.Producer.Seq - 1, results: map[int64]platform.AppendResult{}}
		s.producers[key] = p
	}
	if a.Producer.Epoch < p.epoch {
		return nil, platform.ErrFenced
	}
	return p, nil
}

// Read implements platform.Store.
func (s *Store) Read(ctx context.Context, p platform.Partition, from int64, wait time.Duration) (platform.ReadResult, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		log, changed, unavailable, first := s.logs[p], s.changed, s.unavailable, s.first[p]
		s.mu.Unlock()
		if unavailable {
			return platform.ReadResult{}, platform.ErrRefused
		}
		if from < first {
			return platform.ReadResult{}, platform.ErrTrimmed
		}
		batch := platform.ReadResult{End: int64(len(log)), First: first}
		if from < batch.End {
			batch.Records = append(batch.Records, log[from:]...)
			return batch, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return batch, nil
		case <-ctx.Done():
			return platform.ReadResult{}, ctx.Err()
		}
	}
}

// ReadNewest implements platform.Store, with all keys in one page, in their order.
func (s *Store) ReadNewest(_ context.Context, p platform.Partition, _ string) (platform.NewestPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return platform.NewestPage{}, platform.ErrRefused
	}
	log := s.logs[p]
	newest := map[string]int64{}
	for _, r := range log {
		newest[r.Key] = r.Offset
	}
	page := platform.NewestPage{End: int64(len(log))}
	for _, r := range log {
		if newest[r.Key] == r.Offset && len(r.Value) > 0 {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b platform.KeyedRecord) int { return strings.Compare(a.Key, b.Key) })
	return page, nil
}
