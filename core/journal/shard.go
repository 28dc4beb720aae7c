package journal

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// KeyRetention is how long a final outcome or an intent is kept after it was
// logged. A request with the same idempotency key after that time is a new request.
const KeyRetention = time.Hour

// noExpiryMark is the FirstAt of a repeated entry that does not expire by its
// age: a job, a move or the confirmation of a move.
var noExpiryMark = time.Unix(1, 0).UTC()

// LoggedIntent is an intent with the time of its record.
type LoggedIntent struct {
	Intent
	LoggedAt time.Time
}

// LoggedFinish is a final outcome with the time of its record.
type LoggedFinish struct {
	Finished
	LoggedAt time.Time
}

// MoveState is a move and whether its target has confirmed it.
type MoveState struct {
	Moved
	MoveConfirmed bool
}

// Shard is the state of one shard according to the stream.
type Shard struct {
	ID    domain.ShardID
	Owner domain.NodeID
	// Epoch is the epoch in force; 0 if no claim was read.
	Epoch domain.Epoch
	// Released is true if the owner has released the shard on a planned stop.
	Released bool
	// Handover is true if, when the claim in force was made, the previous owner had
	// released the shard or there was none. Then no earlier owner starts tasks or
	// extends leases any more, and this journal shows every started task that must
	// not be started again.
	Handover bool

	Jobs     map[domain.RequestID]Job
	Intents  map[domain.RequestID]LoggedIntent
	Finished map[domain.RequestID]LoggedFinish
	Moved    map[domain.RequestID]MoveState

	// ownershipKnown is false if the reader started after the first record and
	// has not yet read a claim with KeptEpoch. Whether another claim took effect
	// depends on earlier records, which this reader has not read.
	ownershipKnown bool
	// replacedEpoch is the epoch that the claim in force replaced.
	replacedEpoch domain.Epoch
}

func newShard(id domain.ShardID, ownershipKnown bool) *Shard {
	return &Shard{
		ID:             id,
		Jobs:           map[domain.RequestID]Job{},
		Intents:        map[domain.RequestID]LoggedIntent{},
		Finished:       map[domain.RequestID]LoggedFinish{},
		Moved:          map[domain.RequestID]MoveState{},
		ownershipKnown: ownershipKnown,
	}
}

// Clone returns a copy. Changes of its maps do not affect s.
func (s *Shard) Clone() *Shard {
	c := *s
	c.Jobs = cloneMap(s.Jobs)
	c.Intents = cloneMap(s.Intents)
	c.Finished = cloneMap(s.Finished)
	c.Moved = cloneMap(s.Moved)
	return &c
}

// Snapshot returns entries that restore the current state for readers that start
// after all earlier records have expired. They take effect only under the epoch
// in force; Released and Handover are not included.
func (s *Shard) Snapshot() []Entry {
	var out []Entry
	add := func(at time.Time, e Entry) {
		e.Shard, e.Epoch, e.FirstAt = s.ID, s.Epoch, at
		out = append(out, e)
	}
	if s.Epoch != 0 {
		add(time.Time{}, Entry{Claim: &Claim{Shard: s.ID, Node: s.Owner, Previous: s.Epoch, KeptEpoch: s.Epoch}})
	}
	for _, j := range s.Jobs {
		add(noExpiryMark, Entry{Job: &j})
	}
	for _, i := range s.Intents {
		add(i.LoggedAt, Entry{Intent: &i.Intent})
	}
	for _, e := range s.Finished {
		add(e.LoggedAt, Entry{Finished: &e.Finished})
	}
	for _, m := range s.Moved {
		add(noExpiryMark, Entry{Moved: &m.Moved})
		if m.MoveConfirmed {
			add(noExpiryMark, Entry{MoveConfirmed: &MoveConfirmed{ID: m.ID, Moves: m.Moves}})
		}
	}
	return out
}

func (s *Shard) apply(offset platform.Offset, at time.Time, e Entry) {
	if e.Claim != nil {
		s.applyClaim(offset, *e.Claim)
		return
	}
	// An owner that has been replaced, or has released the shard, cannot write.
	if e.Epoch != s.Epoch || s.Released {
		return
	}
	if !e.FirstAt.IsZero() {
		if (e.Job != nil && s.hasRecordOf(e.Job.Task.ID)) || (e.Moved != nil && s.hasRecordOf(e.Moved.ID)) {
			return
		}
		at = e.FirstAt
	}
	switch {
	case e.Release != nil:
		s.Released = true
	case e.Intent != nil:
		s.addIntent(*e.Intent, at)
	case e.Job != nil:
		s.Jobs[e.Job.Task.ID] = *e.Job
		delete(s.Moved, e.Job.Task.ID)
	case e.Finished != nil:
		s.addFinished(*e.Finished, at)
	case e.Moved != nil:
		s.Moved[e.Moved.ID] = MoveState{Moved: *e.Moved}
		delete(s.Jobs, e.Moved.ID)
	case e.MoveConfirmed != nil:
		s.confirmMove(*e.MoveConfirmed)
	}
}

// hasRecordOf reports whether a job, a final outcome or a move is known for the
// request id.
func (s *Shard) hasRecordOf(id domain.RequestID) bool {
	_, job := s.Jobs[id]
	_, finished := s.Finished[id]
	_, moved := s.Moved[id]
	return job || finished || moved
}

func (s *Shard) applyClaim(offset platform.Offset, c Claim) {
	if c.KeptEpoch != 0 {
		s.applyKeptClaim(c)
		return
	}
	if s.ownershipKnown && c.Previous != s.Epoch {
		return
	}
	s.Handover = s.Released || s.ownershipKnown && s.Epoch == 0
	s.Owner = c.Node
	s.Epoch = domain.Epoch(offset)
	s.replacedEpoch = c.Previous
	s.Released = false
}

// applyKeptClaim applies an ownership that is appended again because the record
// of its claim is about to expire. A reader that read that claim needs no repeat.
// For a reader that started later, a claim that it has read is valid only if it
// replaced the kept epoch or a later one. Otherwise the claim took no effect,
// because another claim, which this reader did not read, had already replaced the
// epoch that it names.
func (s *Shard) applyKeptClaim(c Claim) {
	if s.ownershipKnown {
		return
	}
	if s.Epoch != 0 && s.replacedEpoch >= c.KeptEpoch {
		s.ownershipKnown = true
		return
	}
	s.Owner, s.Epoch, s.Released = c.Node, c.KeptEpoch, false
	s.ownershipKnown = true
}

func (s *Shard) addIntent(i Intent, at time.Time) {
	if _, known := s.Intents[i.ID]; known {
		return
	}
	s.Intents[i.ID] = LoggedIntent{Intent: i, LoggedAt: at}
}

func (s *Shard) addFinished(e Finished, at time.Time) {
	id := e.Outcome.ID
	delete(s.Jobs, id)
	delete(s.Moved, id)
	if _, known := s.Finished[id]; known {
		return
	}
	s.Finished[id] = LoggedFinish{Finished: e, LoggedAt: at}
}

func (s *Shard) confirmMove(a MoveConfirmed) {
	m, known := s.Moved[a.ID]
	if !known || m.Moves != a.Moves {
		return
	}
	m.MoveConfirmed = true
	m.Job = nil
	s.Moved[a.ID] = m
}

// dropOldRequests drops final outcomes and intents that were logged before the
// given time.
func (s *Shard) dropOldRequests(before time.Time) {
	for id, i := range s.Intents {
		if i.LoggedAt.Before(before) {
			delete(s.Intents, id)
		}
	}
	for id, e := range s.Finished {
		if e.LoggedAt.Before(before) {
			delete(s.Finished, id)
		}
	}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	c := make(map[K]V, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
