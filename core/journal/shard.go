package journal

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// KeyRetention is how long a request is remembered after it ended or, if its
// end was not logged, after its intent was logged.
const KeyRetention = time.Hour

// noExpiryMark marks the repeat of an entry that does not expire by its age.
var noExpiryMark = time.Unix(1, 0).UTC()

// LoggedIntent is an intent together with the time of its record.
type LoggedIntent struct {
	Intent
	LoggedAt time.Time
}

// LoggedFinish is an end together with the time of its record.
type LoggedFinish struct {
	Finished
	LoggedAt time.Time
}

// MoveState is a move and whether its target has confirmed it.
type MoveState struct {
	Moved
	MoveConfirmed bool
}

// Shard is what the stream says of one shard.
type Shard struct {
	ID    domain.ShardID
	Owner domain.NodeID
	// Epoch is the epoch in force; 0 if there was no claim.
	Epoch domain.Epoch
	// Released tells that the owner has given the shard up on a planned stop.
	Released bool
	// Handover tells that the owner before had released the shard, or that
	// there was none: nothing was started that this journal does not show.
	Handover bool

	Jobs     map[domain.RequestID]Job
	Intents  map[domain.RequestID]LoggedIntent
	Finished map[domain.RequestID]LoggedFinish
	Moved    map[domain.RequestID]MoveState

	// ownershipKnown is false while the reader started after the first record and has
	// seen no ownership record that does not depend on earlier ones.
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

// Clone returns a copy whose maps can be changed.
func (s *Shard) Clone() *Shard {
	c := *s
	c.Jobs = cloneMap(s.Jobs)
	c.Intents = cloneMap(s.Intents)
	c.Finished = cloneMap(s.Finished)
	c.Moved = cloneMap(s.Moved)
	return &c
}

// Snapshot returns entries that restore what is live when all earlier records
// have expired. They are valid under the epoch in force.
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

// hasRecordOf reports whether there is a record of what became of a job.
func (s *Shard) hasRecordOf(id domain.RequestID) bool {
	_, job := s.Jobs[id]
	_, ended := s.Finished[id]
	_, moved := s.Moved[id]
	return job || ended || moved
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

// applyKeptClaim takes over an ownership whose claim record has expired. A reader that
// read the claim itself knows it already. For a reader that started later, a
// claim that it has read is valid only if it replaced the kept epoch or a
// later one; otherwise it lost a race that this reader did not see.
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

// dropOldRequests forgets requests that ended, or were logged without an end, before
// the time given.
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
