package configsync

import (
	"context"

	"github.com/google/uuid"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// proposal is a change whose record has not been read yet.
type proposal struct {
	decided chan struct{}
	// decision is valid once decided is closed.
	decision configlog.Decision
}

// Propose implements service.Config. It returns an error of KindUnavailable if
// the log service is down and nothing was appended. It returns an error of
// KindOutcomeUnknown if ctx ended or the log service failed before the decision
// was known; the change may then still be accepted.
func (s *Sync) Propose(ctx context.Context, change configlog.Change) (configlog.Decision, error) {
	if !s.LogUp() {
		return configlog.Decision{}, &domain.Error{
			Kind:    domain.KindUnavailable,
			Message: "the log service is not responding, so no change can be decided",
			Remedy:  "try again when it responds; until then, a take-out can be made provisionally",
		}
	}
	id := uuid.NewString()
	rec, err := s.config.Encoder.Change(id, change)
	if err != nil {
		return configlog.Decision{}, domain.AsError(err)
	}
	p := s.addProposal(id)
	// While the log service is down, another append would only delay the error.
	for tried := false; ctx.Err() == nil && (!tried || s.LogUp()); tried = true {
		if s.appendAndWait(ctx, rec, p) {
			return p.decision, nil
		}
		wait(ctx, retryDelay, p.decided)
	}
	s.removeProposal(id)
	return configlog.Decision{}, &domain.Error{
		Kind:    domain.KindOutcomeUnknown,
		Message: "the decision about the change was not read in time",
		Remedy:  "look for record " + id + " in the configuration history",
	}
}

func (s *Sync) addProposal(id string) *proposal {
	p := &proposal{decided: make(chan struct{})}
	s.mu.Lock()
	s.proposals[id] = p
	s.mu.Unlock()
	return p
}

func (s *Sync) removeProposal(id string) {
	s.mu.Lock()
	delete(s.proposals, id)
	s.mu.Unlock()
}

// appendAndWait appends the record, waits for its decision and reports whether it
// is known. If the append fails or has no reply, it reads the stream to its end
// before it returns false, so that the record is not appended twice without need.
// A second copy has an outdated base version and is rejected by all readers.
func (s *Sync) appendAndWait(ctx context.Context, rec platform.Record, p *proposal) bool {
	if p.isDecided() {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := s.config.Log.Append(callCtx, configlog.Stream, rec)
		result <- err
	}()
	select {
	case err := <-result:
		if err == nil {
			return p.waitDecided(ctx)
		}
	case <-p.decided:
		return true
	case <-callCtx.Done():
	}
	readCtx, cancelRead := context.WithTimeout(ctx, readTimeout+longPollWait)
	defer cancelRead()
	s.catchUp(readCtx)
	return p.isDecided()
}

func (p *proposal) isDecided() bool {
	select {
	case <-p.decided:
		return true
	default:
		return false
	}
}

func (p *proposal) waitDecided(ctx context.Context) bool {
	select {
	case <-p.decided:
		return true
	case <-ctx.Done():
		return p.isDecided()
	}
}
