package storelog

import (
	"context"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/platform"
)

const (
	// endReadInterval is the minimum time between the starts of two reads of a
	// partition's end.
	endReadInterval = 100 * time.Millisecond
	// endReadTimeout bounds such a read. A slow store responds within 400 ms.
	endReadTimeout = 600 * time.Millisecond
)

// endReader reads the end of a partition. Calls that arrive before a read starts share
// it; calls that arrive later share the next one.
type endReader struct {
	mu sync.Mutex
	// next is the read that has not started yet; nil if none is requested.
	next *endRead
	// running is true while a goroutine performs the reads.
	running bool
}

type endRead struct {
	// done is closed once end and err are set.
	done chan struct{}
	end  int64
	err  error
}

// request returns a read that has not started yet.
func (r *endReader) request(read func() (int64, error)) *endRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &endRead{done: make(chan struct{})}
	}
	if !r.running {
		r.running = true
		go r.run(read)
	}
	return r.next
}

// run performs the requested reads one after the other, until there are none.
func (r *endReader) run(read func() (int64, error)) {
	for current := r.take(); current != nil; current = r.take() {
		interval := time.After(endReadInterval)
		current.end, current.err = read()
		close(current.done)
		<-interval
	}
}

// take returns the requested read, which the caller then starts; nil if there is none.
func (r *endReader) take() *endRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.next
	r.next, r.running = nil, current != nil
	return current
}

// CatchUp waits until all records that were appended before the call have been applied.
// It returns an error if ctx ends first; the store may then have records that have not
// been applied.
//
// LastRead cannot show this: a read that waits at the store may complete without a record
// whose append is confirmed before the response arrives.
func (f *Follower) CatchUp(ctx context.Context) error {
	for {
		err := f.awaitStore(ctx)
		if err == nil {
			err = f.catchUpOnce(ctx)
		}
		if err == nil {
			return nil
		}
		select {
		case <-time.After(readRetryDelay):
		case <-ctx.Done():
			return err
		}
	}
}

// awaitStore waits until the follower has read the partition once and its last read has
// not failed, so that no further reads are sent to a store that does not respond.
func (f *Follower) awaitStore(ctx context.Context) error {
	for {
		readDone := f.nextRead()
		if f.end.Load() >= 0 && f.failedReads.Load() == 0 {
			return nil
		}
		select {
		case <-readDone:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *Follower) catchUpOnce(ctx context.Context) error {
	read := f.ends.request(f.readEnd)
	select {
	case <-read.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if read.err != nil {
		return read.err
	}
	return f.awaitEnd(ctx, read.end)
}

// readEnd returns the end of the partition as of a time during the call.
func (f *Follower) readEnd() (end int64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), endReadTimeout)
	defer cancel()
	unexpected := f.cfg.Guard.Do("read end", func() {
		var result platform.ReadResult
		result, err = f.cfg.Store.Read(ctx, f.cfg.Partition, f.end.Load(), 0)
		end = result.End
	})
	if unexpected != nil {
		return 0, unexpected
	}
	return end, err
}

// awaitEnd waits until the records before an offset have been applied.
func (f *Follower) awaitEnd(ctx context.Context, end int64) error {
	for {
		readDone := f.nextRead()
		if f.end.Load() >= end {
			return nil
		}
		f.ReadNow()
		select {
		case <-readDone:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextRead returns a channel that is closed when the partition has next been read to its
// end.
func (f *Follower) nextRead() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readDone
}
