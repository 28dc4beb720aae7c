package configsync

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/platform"
)

// follow reads the config stream until ctx ends.
func (s *Sync) follow(ctx context.Context) {
	poll := time.Duration(0)
	for ctx.Err() == nil {
		switch s.readOnce(ctx, poll) {
		case readSucceeded:
			poll = longPollWait
		case readInterrupted:
			poll = 0
		case readFailed:
			poll = 0
			wait(ctx, retryDelay, nil)
		}
	}
}

// readResult is the result of a read.
type readResult int

const (
	readSucceeded readResult = iota
	readFailed
	// readInterrupted: catchUp requested a new read.
	readInterrupted
)

// readOnce sends one read request and applies its records.
func (s *Sync) readOnce(ctx context.Context, poll time.Duration) readResult {
	readCtx, cancel := context.WithTimeout(ctx, poll+readTimeout)
	defer cancel()
	from, number := s.beginRead()
	if poll > 0 {
		stop := make(chan struct{})
		defer close(stop)
		s.goroutines.Go(func() { s.interruptRead(stop, cancel) })
	}
	reply, err := s.config.Log.Read(readCtx, configlog.Stream, from, maxReadRecords, poll)
	if err != nil {
		if readCtx.Err() == context.Canceled {
			return readInterrupted
		}
		s.setLogUp(false)
		return readFailed
	}
	s.applyRead(reply, number)
	return readSucceeded
}

// interruptRead cancels a read that waits for records if catchUp requests a new
// one.
func (s *Sync) interruptRead(stop <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-s.wakeReader:
		cancel()
	case <-stop:
	}
}

func (s *Sync) beginRead() (from platform.Offset, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readCount++
	return s.next, s.readCount
}

func (s *Sync) setLogUp(up bool) {
	s.mu.Lock()
	s.logUp = up
	s.mu.Unlock()
	wake(s.wakeRelay)
	wake(s.wakeProvisional)
}

// applyRead applies the reply to the read with the given number.
func (s *Sync) applyRead(reply platform.ReadReply, number uint64) {
	s.mu.Lock()
	before, wasUp := s.state.Current().Version, s.logUp
	s.logUp = true
	s.retention = reply.Retention
	if reply.First > s.next {
		s.state.ReportGap()
		s.next = reply.First
	}
	for _, rec := range reply.Records {
		if rec.Offset >= s.next {
			s.applyRecord(rec)
		}
	}
	if s.next >= reply.Next {
		s.lastReadToEnd = number
	}
	dropped := s.dropSuperseded()
	changed := dropped || s.state.Current().Version != before
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if !wasUp {
		wake(s.wakeProvisional)
	}
	if changed {
		s.notifyChanged()
	}
}

// applyRecord applies the next record of the stream, from the log or from a peer.
// s.mu must be held.
func (s *Sync) applyRecord(rec platform.Record) {
	s.next = rec.Offset + 1
	d := s.state.Apply(rec)
	s.records = append(s.records, rec)
	if len(s.records) > 2*keptRecords {
		s.records = append([]platform.Record(nil), s.records[len(s.records)-keptRecords:]...)
	}
	if p := s.proposals[rec.ID]; p != nil && d.RecordID == rec.ID {
		delete(s.proposals, rec.ID)
		p.decision = d
		close(p.decided)
	}
	s.dropSuperseded()
}

// catchUp returns true when a read that was started after the call has reached
// the end of the stream, or false if ctx ends first.
func (s *Sync) catchUp(ctx context.Context) bool {
	s.mu.Lock()
	after := s.readCount
	s.mu.Unlock()
	wake(s.wakeReader)
	for {
		s.mu.Lock()
		reached, changed := s.lastReadToEnd > after, s.changed
		s.mu.Unlock()
		if reached {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
