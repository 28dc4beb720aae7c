package storelog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/platform"
)

// fakeStore implements the contract of the store: conditional appends, producers
// with epochs and sequence numbers, and repeated appends that get the result of the
// first one.
type fakeStore struct {
	mu        sync.Mutex
	records   map[platform.Partition][]platform.KeyedRecord
	producers map[string]*producerState
	// The next refuse appends are refused and not performed. After them, the next
	// dropResponses appends are performed, but the caller gets an error, as if the
	// response had been lost.
	dropResponses, refuse int
	appends               int
	// Appends with a value of more than maxValueBytes are refused for good; 0 for no limit.
	maxValueBytes int
	// loseNext makes the next append fail without an answer and without effect.
	loseNext bool
	// largestAppend is the size of the largest append in bytes.
	largestAppend int
}

type producerState struct {
	epoch, seq int64
	results    map[int64]platform.AppendResult
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: map[platform.Partition][]platform.KeyedRecord{}, producers: map[string]*producerState{}}
}

func (s *fakeStore) Append(_ context.Context, a platform.Append) (platform.AppendResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	if s.refuse > 0 {
		s.refuse--
		return platform.AppendResult{}, platform.ErrRefused
	}
	if s.loseNext {
		s.loseNext = false
		return platform.AppendResult{}, fmt.Errorf("no response")
	}
	size := 0
	for _, r := range a.Records {
		size += platform.EncodedSize(r)
		s.largestAppend = max(s.largestAppend, size)
		if s.maxValueBytes > 0 && len(r.Value) > s.maxValueBytes {
			return platform.AppendResult{}, platform.ErrInvalid
		}
	}
	result, err := s.append(a)
	if s.dropResponses > 0 {
		s.dropResponses--
		return platform.AppendResult{}, fmt.Errorf("no response")
	}
	return result, err
}

func (s *fakeStore) append(a platform.Append) (platform.AppendResult, error) {
	var state *producerState
	if a.Producer != nil {
		key := fmt.Sprint(a.Partition, a.Producer.Name)
		if s.producers[key] == nil {
			s.producers[key] = &producerState{results: map[int64]platform.AppendResult{}}
		}
		state = s.producers[key]
		switch {
		case a.Producer.Epoch < state.epoch:
			return platform.AppendResult{}, platform.ErrFenced
		case a.Producer.Epoch > state.epoch:
			*state = producerState{epoch: a.Producer.Epoch, seq: a.Producer.Seq - 1, results: map[int64]platform.AppendResult{}}
		}
		if before, ok := state.results[a.Producer.Seq]; ok {
			return before, nil
		}
		if a.Producer.Seq != state.seq+1 {
			return platform.AppendResult{}, platform.ErrSequence
		}
	}
	log := s.records[a.Partition]
	if a.ExpectedEnd != nil && *a.ExpectedEnd != int64(len(log)) {
		return platform.AppendResult{End: int64(len(log))}, platform.ErrConflict
	}
	result := platform.AppendResult{Offset: int64(len(log)), End: int64(len(log) + len(a.Records))}
	for i, r := range a.Records {
		r.Offset = result.Offset + int64(i)
		log = append(log, r)
	}
	s.records[a.Partition] = log
	if state != nil {
		state.seq = a.Producer.Seq
		state.results[a.Producer.Seq] = result
	}
	return result, nil
}

func (s *fakeStore) Read(_ context.Context, p platform.Partition, from int64, _ time.Duration) (platform.ReadResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.records[p]
	return platform.ReadResult{Records: log[min(from, int64(len(log))):], End: int64(len(log))}, nil
}

func (s *fakeStore) ReadNewest(_ context.Context, p platform.Partition, _ string) (platform.NewestPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.NewestPage{End: int64(len(s.records[p]))}, nil
}
