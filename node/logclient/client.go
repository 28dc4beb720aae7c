// Package logclient is the HTTP client of the platform's log service.
package logclient

import (
	"context"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/platform/wire"
	"github.com/basilferry/basilferry/node/internal/platformhttp"
	"github.com/cenkalti/backoff/v5"
)

// Defaults of AppendOnce.
const (
	// DefaultAttemptTimeout bounds one append or read of AppendOnce.
	DefaultAttemptTimeout = time.Second
	// readLimit is the number of records that one read of a search asks for.
	readLimit = 500
	// maxPending bounds the unclear appends that a client remembers. Above
	// it the oldest is forgotten, and a later repeat of it is appended without
	// a search; readers drop such repeats by the record id.
	maxPending = 4096
	// Waits between the attempts of AppendOnce.
	firstRetryWait = 20 * time.Millisecond
	maxRetryWait   = 500 * time.Millisecond
)

// Client implements platform.Log. Use New.
type Client struct {
	calls   *platformhttp.Client
	timeout time.Duration

	mu sync.Mutex
	// next is the highest offset after the known end of each stream. A record
	// appended from now on gets this offset or a higher one.
	next    map[platform.Stream]platform.Offset
	pending map[pendingKey]platform.Offset
	order   []pendingKey
}

// pendingKey names an append whose effect is unclear.
type pendingKey struct {
	stream platform.Stream
	id     string
}

var _ platform.Log = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithAttemptTimeout bounds one append or read of AppendOnce.
func WithAttemptTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the log service at base, "http://ip:port".
func New(base string, options ...Option) *Client {
	c := &Client{
		calls:   platformhttp.New(base),
		timeout: DefaultAttemptTimeout,
		next:    map[platform.Stream]platform.Offset{},
		pending: map[pendingKey]platform.Offset{},
	}
	for _, set := range options {
		set(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.calls.Close() }

// Append implements platform.Log. Errors unwrap to *domain.Error.
func (c *Client) Append(ctx context.Context, stream platform.Stream, rec platform.Record) (platform.Offset, error) {
	var reply wire.AppendReply
	err := c.calls.Call(ctx, wire.PathAppend, "", wire.AppendRequest{Stream: stream, Record: rec}, &reply)
	if err != nil {
		return 0, err
	}
	c.advance(stream, reply.Offset+1)
	return reply.Offset, nil
}

// Read implements platform.Log. Errors unwrap to *domain.Error.
func (c *Client) Read(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.ReadReply, error) {
	req := wire.ReadRequest{Stream: stream, From: from, Limit: limit, WaitNanos: int64(wait)}
	var reply platform.ReadReply
	if err := c.calls.Call(ctx, wire.PathRead, "", req, &reply); err != nil {
		return platform.ReadReply{}, err
	}
	c.advance(stream, reply.Next)
	return reply, nil
}

func (c *Client) advance(stream platform.Stream, next platform.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next[stream] = max(c.next[stream], next)
}

// AppendOnce appends rec and tries again until ctx ends. After an error that
// leaves open whether the record was appended, it looks for the record id in
// the stream before it appends again or reports failure, also in a later call
// with the same record. The last quarter of the time until ctx's deadline, at
// most the attempt time-out, is kept for the last search. The returned error
// still leaves open whether the record was or will be appended: an append that
// is on its way can take effect after the search.
func (c *Client) AppendOnce(ctx context.Context, stream platform.Stream, rec platform.Record) (platform.Offset, error) {
	key := pendingKey{stream: stream, id: rec.ID}
	attempts, cancel := c.attemptContext(ctx)
	defer cancel()
	wait := retryWait()
	offset, err := c.tryOnce(attempts, key, rec)
	for err != nil && !final(err) && sleep(attempts, wait.NextBackOff()) {
		offset, err = c.tryOnce(attempts, key, rec)
	}
	if err != nil && !final(err) {
		offset, err = c.lastSearch(ctx, key, err)
	}
	if err == nil || final(err) {
		c.forget(key)
	}
	return offset, err
}

// attemptContext returns a context that ends early enough for a last search.
func (c *Client) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	reserve := min(c.timeout, time.Until(deadline)/4)
	return context.WithDeadline(ctx, deadline.Add(-reserve))
}

// tryOnce searches for the record if an earlier append of it is unclear, and
// appends it if it is not found.
func (c *Client) tryOnce(ctx context.Context, key pendingKey, rec platform.Record) (platform.Offset, error) {
	from, unclear := c.begin(key)
	if unclear {
		offset, err := c.find(ctx, key, from)
		if err != nil || offset != 0 {
			return offset, err
		}
	}
	return c.appendTimed(ctx, key.stream, rec)
}

// lastSearch returns the offset of the record if the stream holds it, and
// otherwise err.
func (c *Client) lastSearch(ctx context.Context, key pendingKey, err error) (platform.Offset, error) {
	from, _ := c.begin(key)
	found, findErr := c.find(ctx, key, from)
	if findErr == nil && found != 0 {
		return found, nil
	}
	return 0, err
}

func (c *Client) appendTimed(ctx context.Context, stream platform.Stream, rec platform.Record) (platform.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.Append(ctx, stream, rec)
}

// begin remembers the append and returns the offset from which its record can
// be in the stream. unclear tells that it was remembered before.
func (c *Client) begin(key pendingKey) (from platform.Offset, unclear bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from, ok := c.pending[key]; ok {
		return from, true
	}
	if len(c.order) >= maxPending {
		delete(c.pending, c.order[0])
		c.order = c.order[1:]
	}
	c.pending[key] = c.next[key.stream]
	c.order = append(c.order, key)
	return c.pending[key], false
}

func (c *Client) forget(key pendingKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, key)
	for i, k := range c.order {
		if k == key {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

// find returns the offset of the record with the key's id, or zero if the
// stream does not hold it.
func (c *Client) find(ctx context.Context, key pendingKey, from platform.Offset) (platform.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		reply, err := c.Read(ctx, key.stream, from, readLimit, 0)
		if err != nil {
			return 0, err
		}
		for _, r := range reply.Records {
			if r.ID == key.id {
				return r.Offset, nil
			}
			from = r.Offset + 1
		}
		if len(reply.Records) == 0 || from >= reply.Next {
			return 0, nil
		}
	}
}

// final reports whether an error shows that the record was refused for good.
func final(err error) bool {
	switch domain.KindOf(err) {
	case domain.KindBadRequest, domain.KindTooLarge, domain.KindUnauthorized:
		return true
	}
	return false
}

func retryWait() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetryWait
	b.MaxInterval = maxRetryWait
	return b
}

// sleep waits for d and returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// NotSent reports whether err shows that the call never reached the log
// service: no connection was obtained for it, so no byte of it was written.
func NotSent(err error) bool { return platformhttp.NotSent(err) }
