package storelog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/platform"
)

// fakeStore follows the contract of the store: conditional appends, producers
// with epochs and sequence numbers, and repeats that get their first answer.
type fakeStore struct {
	mu        sync.Mutex
	records   map[platform.Partition][]platform.KeyedRecord
	producers map[string]*producerState
	// loseAnswers carries the next appends out and loses their answers; refuse
	// carries none out.
	loseAnswers, refuse int
	appends             int
}

type producerState struct {
	epoch, seq int64
	answers    map[int64]platform.AppendResult
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
	done, err := s.append(a)
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return platform.AppendResult{}, fmt.Errorf("no answer")
	}
	return done, err
}

func (s *fakeStore) append(a platform.Append) (platform.AppendResult, error) {
	var state *producerState
	if a.Producer != nil {
		key := fmt.Sprint(a.Partition, a.Producer.Name)
		if s.producers[key] == nil {
			s.producers[key] = &producerState{answers: map[int64]platform.AppendResult{}}
		}
		state = s.producers[key]
		switch {
		case a.Producer.Epoch < state.epoch:
			return platform.AppendResult{}, platform.ErrFenced
		case a.Producer.Epoch > state.epoch:
			*state = producerState{epoch: a.Producer.Epoch, seq: a.Producer.Seq - 1, answers: map[int64]platform.AppendResult{}}
		}
		if before, ok := state.answers[a.Producer.Seq]; ok {
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
	done := platform.AppendResult{Offset: int64(len(log)), End: int64(len(log) + len(a.Records))}
	for i, r := range a.Records {
		r.Offset = done.Offset + int64(i)
		log = append(log, r)
	}
	s.records[a.Partition] = log
	if state != nil {
		state.seq = a.Producer.Seq
		state.answers[a.Producer.Seq] = done
	}
	return done, nil
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
