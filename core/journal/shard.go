package journal

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// KeyRetention is how long a request is remembered after it ended or, if its
// end was not logged, after its intent was logged.
const KeyRetention = time.Hour

// repeatedJob marks the repeat of an entry that does not expire by its age.
var repeatedJob = time.Unix(1, 0).UTC()

// KnownIntent is an intent together with the time of its record.
type KnownIntent struct {
	Intent
	LoggedAt time.Time
}

// KnownEnd is an end together with the time of its record.
type KnownEnd struct {
	Ended
	LoggedAt time.Time
}

// KnownMove is a move and whether its target has confirmed it.
type KnownMove struct {
	Moved
	Arrived bool
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

	Jobs    map[domain.RequestID]Job
	Intents map[domain.RequestID]KnownIntent
	Ended   map[domain.RequestID]KnownEnd
	Moved   map[domain.RequestID]KnownMove

	// certain is false while the reader started after the first record and has
	// seen no ownership record that does not depend on earlier ones.
	certain bool
	// previous is the epoch that the claim in force replaced.
	previous domain.Epoch
}

func newShard(id domain.ShardID, certain bool) *Shard {
	return &Shard{
		ID:      id,
		Jobs:    map[domain.RequestID]Job{},
		Intents: map[domain.RequestID]KnownIntent{},
		Ended:   map[domain.RequestID]KnownEnd{},
		Moved:   map[domain.RequestID]KnownMove{},
		certain: certain,
	}
}

// Clone returns a copy whose maps can be changed.
func (s *Shard) Clone() *Shard {
	c := *s
	c.Jobs = cloneMap(s.Jobs)
	c.Intents = cloneMap(s.Intents)
	c.Ended = cloneMap(s.Ended)
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
		add(time.Time{}, Entry{Claim: &Claim{Shard: s.ID, Node: s.Owner, Previous: s.Epoch, Kept: s.Epoch}})
	}
	for _, j := range s.Jobs {
		add(repeatedJob, Entry{Job: &j})
	}
	for _, i := range s.Intents {
		add(i.LoggedAt, Entry{Intent: &i.Intent})
	}
	for _, e := range s.Ended {
		add(e.LoggedAt, Entry{Ended: &e.Ended})
	}
	for _, m := range s.Moved {
		add(repeatedJob, Entry{Moved: &m.Moved})
		if m.Arrived {
			add(repeatedJob, Entry{Arrived: &Arrived{ID: m.ID, Moves: m.Moves}})
		}
	}
	return out
}

func (s *Shard) apply(offset platform.Offset, at time.Time, e Entry) {
	if e.Claim != nil {
		s.claim(offset, *e.Claim)
		return
	}
	// An owner that has been replaced, or has released the shard, cannot write.
	if e.Epoch != s.Epoch || s.Released {
		return
	}
	if !e.FirstAt.IsZero() {
		if (e.Job != nil && s.knows(e.Job.Task.ID)) || (e.Moved != nil && s.knows(e.Moved.ID)) {
			return
		}
		at = e.FirstAt
	}
	switch {
	case e.Release != nil:
		s.Released = true
	case e.Intent != nil:
		s.intent(*e.Intent, at)
	case e.Job != nil:
		s.Jobs[e.Job.Task.ID] = *e.Job
		delete(s.Moved, e.Job.Task.ID)
	case e.Ended != nil:
		s.end(*e.Ended, at)
	case e.Moved != nil:
		s.Moved[e.Moved.ID] = KnownMove{Moved: *e.Moved}
		delete(s.Jobs, e.Moved.ID)
	case e.Arrived != nil:
		s.arrive(*e.Arrived)
	}
}

// knows reports whether there is a record of what became of a job.
func (s *Shard) knows(id domain.RequestID) bool {
	_, job := s.Jobs[id]
	_, ended := s.Ended[id]
	_, moved := s.Moved[id]
	return job || ended || moved
}

func (s *Shard) claim(offset platform.Offset, c Claim) {
	if c.Kept != 0 {
		s.keep(c)
		return
	}
	if s.certain && c.Previous != s.Epoch {
		return
	}
	s.Handover = s.Released || s.certain && s.Epoch == 0
	s.Owner = c.Node
	s.Epoch = domain.Epoch(offset)
	s.previous = c.Previous
	s.Released = false
}

// keep takes over an ownership whose claim record has expired. A reader that
// read the claim itself knows it already. For a reader that started later, a
// claim that it has read is valid only if it replaced the kept epoch or a
// later one; otherwise it lost a race that this reader did not see.
func (s *Shard) keep(c Claim) {
	if s.certain {
		return
	}
	if s.Epoch != 0 && s.previous >= c.Kept {
		s.certain = true
		return
	}
	s.Owner, s.Epoch, s.Released = c.Node, c.Kept, false
	s.certain = true
}

func (s *Shard) intent(i Intent, at time.Time) {
	if _, known := s.Intents[i.ID]; known {
		return
	}
	s.Intents[i.ID] = KnownIntent{Intent: i, LoggedAt: at}
}

func (s *Shard) end(e Ended, at time.Time) {
	id := e.Outcome.ID
	delete(s.Jobs, id)
	delete(s.Moved, id)
	if _, known := s.Ended[id]; known {
		return
	}
	s.Ended[id] = KnownEnd{Ended: e, LoggedAt: at}
}

func (s *Shard) arrive(a Arrived) {
	m, known := s.Moved[a.ID]
	if !known || m.Moves != a.Moves {
		return
	}
	m.Arrived = true
	m.Job = nil
	s.Moved[a.ID] = m
}

// expire forgets requests that ended, or were logged without an end, before
// the time given.
func (s *Shard) expire(before time.Time) {
	for id, i := range s.Intents {
		if i.LoggedAt.Before(before) {
			delete(s.Intents, id)
		}
	}
	for id, e := range s.Ended {
		if e.LoggedAt.Before(before) {
			delete(s.Ended, id)
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
