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

// Limits of AppendOnce.
const (
	// DefaultCallTimeout bounds one append or search of AppendOnce, unless
	// WithCallTimeout sets another limit.
	DefaultCallTimeout = time.Second
	// searchReadLimit is the maximum number of records that one read of a search
	// returns.
	searchReadLimit = 500
	// minRetryDelay and maxRetryDelay bound the delay between the retries of
	// AppendOnce, before randomization.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// Client implements platform.Log. Use New.
type Client struct {
	calls   *platformhttp.Client
	timeout time.Duration

	unresolved unresolvedAppends

	mu sync.Mutex
	// nextOffset is, for each stream, the lowest offset that a record appended
	// from now on can get, as far as this client knows.
	nextOffset map[platform.Stream]platform.Offset
}

var _ platform.Log = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithCallTimeout bounds one append or search of AppendOnce.
func WithCallTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the log service at base, "http://ip:port".
func New(base string, options ...Option) *Client {
	c := &Client{
		calls:      platformhttp.New(base),
		timeout:    DefaultCallTimeout,
		nextOffset: map[platform.Stream]platform.Offset{},
	}
	for _, apply := range options {
		apply(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.calls.Close() }

// Append implements platform.Log. Errors unwrap to *domain.Error. After an
// error that does not show whether the record was appended, AppendOnce with the
// same record first searches for it.
func (c *Client) Append(ctx context.Context, stream platform.Stream, rec platform.Record) (platform.Offset, error) {
	key := appendKey{stream: stream, id: rec.ID}
	from := c.knownNextOffset(stream)
	var reply wire.AppendReply
	err := c.calls.Call(ctx, wire.PathAppend, "", wire.AppendRequest{Stream: stream, Record: rec}, &reply)
	if err != nil {
		if !IsNotSent(err) && !isPermanent(err) {
			c.unresolved.add(key, from)
		}
		return 0, err
	}
	c.unresolved.remove(key)
	c.advanceNextOffset(stream, reply.Offset+1)
	return reply.Offset, nil
}

// Read implements platform.Log. Errors unwrap to *domain.Error.
func (c *Client) Read(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.ReadReply, error) {
	req := wire.ReadRequest{Stream: stream, From: from, Limit: limit, WaitNanos: int64(wait)}
	var reply platform.ReadReply
	if err := c.calls.Call(ctx, wire.PathRead, "", req, &reply); err != nil {
		return platform.ReadReply{}, err
	}
	c.advanceNextOffset(stream, reply.Next)
	return reply, nil
}

func (c *Client) knownNextOffset(stream platform.Stream) platform.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextOffset[stream]
}

func (c *Client) advanceNextOffset(stream platform.Stream, nextOffset platform.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextOffset[stream] = max(c.nextOffset[stream], nextOffset)
}

// AppendOnce appends rec and retries until ctx ends. If an earlier append of the
// record by Append or AppendOnce on this client is unresolved, that is, it may
// or may not have taken effect, AppendOnce searches the stream for the record id
// before it appends again and before it reports a failure. The last quarter of
// the time until ctx's deadline, at most the call timeout, is reserved for the
// final search. After an error for which IsNotSent is false, the record may still
// have been appended or may be appended later: an append in transit can take
// effect after the search.
func (c *Client) AppendOnce(ctx context.Context, stream platform.Stream, rec platform.Record) (platform.Offset, error) {
	key := appendKey{stream: stream, id: rec.ID}
	retryCtx, cancel := c.retryContext(ctx)
	defer cancel()
	delays := newRetryBackoff()
	offset, err := c.searchAndAppend(retryCtx, key, rec)
	for err != nil && !isPermanent(err) && sleep(retryCtx, delays.NextBackOff()) {
		offset, err = c.searchAndAppend(retryCtx, key, rec)
	}
	if err != nil && !isPermanent(err) {
		return c.finalSearch(ctx, key, err)
	}
	return offset, err
}

// retryContext returns a context that ends early enough for a final search.
func (c *Client) retryContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	reserve := min(c.timeout, time.Until(deadline)/4)
	return context.WithDeadline(ctx, deadline.Add(-reserve))
}

// searchAndAppend searches for the record if an earlier append of it is
// unresolved, and appends it if it is not found.
func (c *Client) searchAndAppend(ctx context.Context, key appendKey, rec platform.Record) (platform.Offset, error) {
	offset, err := c.searchUnresolved(ctx, key)
	if err != nil || offset != 0 {
		return offset, err
	}
	return c.appendWithTimeout(ctx, key.stream, rec)
}

// finalSearch returns the offset of the record if the stream contains it, and
// otherwise err. IsNotSent is false for the returned error if any append of the
// record may have been sent, even if the latest call was not.
func (c *Client) finalSearch(ctx context.Context, key appendKey, err error) (platform.Offset, error) {
	offset, searchErr := c.searchUnresolved(ctx, key)
	if searchErr == nil && offset != 0 {
		return offset, nil
	}
	if _, ok := c.unresolved.minOffset(key); ok {
		return 0, unresolvedError(key, err)
	}
	return 0, err
}

// unresolvedError returns an error for which IsNotSent is false even if the latest
// call was never sent, because an earlier one may have been.
func unresolvedError(key appendKey, err error) error {
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: "an append of record " + key.id + " may have taken effect: " + err.Error(),
		Remedy:  "call AppendOnce again with the same record",
	}
}

// searchUnresolved returns the offset of a record whose append is unresolved, or
// zero if there is no such append or the stream does not contain the record.
func (c *Client) searchUnresolved(ctx context.Context, key appendKey) (platform.Offset, error) {
	minOffset, ok := c.unresolved.minOffset(key)
	if !ok {
		return 0, nil
	}
	offset, err := c.findRecord(ctx, key, minOffset)
	if err == nil && offset != 0 {
		c.unresolved.remove(key)
	}
	return offset, err
}

func (c *Client) appendWithTimeout(ctx context.Context, stream platform.Stream, rec platform.Record) (platform.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.Append(ctx, stream, rec)
}

// findRecord returns the offset of the record with the key's id, or zero if the
// stream does not contain it.
func (c *Client) findRecord(ctx context.Context, key appendKey, from platform.Offset) (platform.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		reply, err := c.Read(ctx, key.stream, from, searchReadLimit, 0)
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

// isPermanent reports whether an error means that a retry would be rejected too.
func isPermanent(err error) bool {
	switch domain.KindOf(err) {
	case domain.KindBadRequest, domain.KindTooLarge, domain.KindUnauthorized:
		return true
	}
	return false
}

func newRetryBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}

// sleep waits for d. It returns false if ctx ends first.
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

// IsNotSent reports whether err shows that the call never reached the log
// service: no connection was obtained for it, so no byte of it was written.
func IsNotSent(err error) bool { return platformhttp.IsNotSent(err) }
