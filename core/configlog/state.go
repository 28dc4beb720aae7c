package configlog

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// Bounds of the memory of a State.
const (
	// historyLimit is the number of decisions that are kept.
	historyLimit = 512
	// undecidedLimit bounds the changes that wait for an older version. It
	// covers the records that can pass between a snapshot being made and its
	// place in the stream; at 50,000 changes a day that is under one record a
	// second.
	undecidedLimit = 1024
	// aheadLimit bounds the adopted versions that the reader has not reached.
	aheadLimit = 1024
)

// firstOffset is the offset of the first record of the stream. A reader that
// starts there knows that the initial configuration is in force.
const firstOffset platform.Offset = 1

// State is the fold of the config stream. Records are applied in offset order.
// It is not safe for concurrent use.
//
// A reader that starts after the first record does not know the version in
// force until it applies a snapshot or adopts a configuration. Until then it
// rejects every change and keeps the newest ones, to decide them again once
// the version is known. A reader must not start between a snapshot and a change
// that was accepted after the snapshot was made but stands before it: a writer
// whose snapshot was not accepted because it is out of date appends another.
type State struct {
	current domain.Configuration
	// trail is the version in force at the reader's place. It is below
	// current.Version while the reader has yet to reach an adopted version.
	trail domain.Version
	// anchored tells that trail is known and not only the initial value.
	anchored bool
	// ahead lists adopted versions above the reader's place, ascending.
	ahead []domain.Version
	// undecided are changes with a base that the reader has not seen yet.
	undecided []platform.Record
	seen      *seenRecords
	history   *history
	// wholeSince is the log time since which the stream holds everything that
	// a new reader needs.
	wholeSince time.Time
}

// New returns a State with the initial configuration in force. Version 0 holds
// from the first record of the stream on; a higher version is taken as in force
// at the reader's place.
func New(initial domain.Configuration) *State {
	return &State{
		current:  cloneConfiguration(initial),
		anchored: initial.Version > 0,
		trail:    initial.Version,
		seen:     newSeenRecords(),
		history:  newHistory(historyLimit),
	}
}

// Current returns the configuration in force. Its slices are shared with the
// State and must not be changed.
func (s *State) Current() domain.Configuration { return s.current }

// History returns up to limit decisions about changes, newest first.
func (s *State) History(limit int) []Decision { return s.history.newest(limit) }

// Adopt takes a configuration from a peer or a snapshot and reports whether it
// was taken. A version that is not above the one in force is never taken.
func (s *State) Adopt(c domain.Configuration) bool {
	if c.Version < s.current.Version || c.Version == 0 {
		return false
	}
	taken := c.Version > s.current.Version
	if taken {
		s.current = cloneConfiguration(c)
	}
	if taken || !s.anchored && len(s.ahead) == 0 {
		s.expect(c.Version)
		s.decideAgain()
	}
	return taken
}

// expect notes a version that is known to be in force from its offset on.
func (s *State) expect(v domain.Version) {
	s.ahead = append(s.ahead, v)
	if len(s.ahead) > aheadLimit {
		s.ahead = s.ahead[1:]
	}
}

// Lost tells that records between the last applied one and the next were not
// read, for example because they expired. Changes stay undecided until the
// next snapshot or adopted configuration.
func (s *State) Lost() {
	s.anchored = false
	s.ahead = nil
}

// SnapshotDue reports whether the configuration in force must be appended as a
// snapshot so that a reader that starts later still finds a whole one: two
// thirds of the retention have passed since the last snapshot, or since the
// first record if there was none. now is by the log service's clock.
//
// The age of the version in force is no measure, because a stream with steady
// changes would never get a snapshot and lose what older records had set.
func (s *State) SnapshotDue(now time.Time, retention time.Duration) bool {
	if s.wholeSince.IsZero() {
		return false
	}
	return now.Sub(s.wholeSince) >= retention*2/3
}

// Apply decides on the next record. A repeat returns the decision about the
// first one, with its version. A snapshot is accepted if it raises the version
// in force. A malformed record is rejected with KindBadRequest.
func (s *State) Apply(rec platform.Record) Decision {
	if s.wholeSince.IsZero() {
		s.wholeSince = rec.AppendedAt
	}
	if rec.Offset == firstOffset {
		s.anchored = true
	}
	if d, ok := s.seen.lookup(rec); ok {
		return d
	}
	switch rec.Type {
	case ChangeType:
		return s.applyChange(rec)
	case SnapshotType:
		return s.applySnapshot(rec)
	}
	return s.malformed(rec, badRecord("the record type "+rec.Type+" is unknown"))
}

func (s *State) malformed(rec platform.Record, err *domain.Error) Decision {
	return Decision{
		Version:  domain.Version(rec.Offset),
		RecordID: rec.ID,
		Err:      err,
		InForce:  s.trail,
	}
}

func (s *State) applySnapshot(rec platform.Record) Decision {
	c, err := decodeSnapshot(rec)
	if err != nil {
		return s.malformed(rec, err)
	}
	s.wholeSince = rec.AppendedAt
	accepted := s.Adopt(c)
	s.reach(rec.Offset)
	if !s.anchored {
		// A snapshot of version 0 keeps a stream usable whose first record
		// expired before any change was accepted.
		s.trail = max(s.trail, c.Version)
		s.anchored = true
		s.decideAgain()
	}
	return Decision{
		Version:  domain.Version(rec.Offset),
		RecordID: rec.ID,
		Accepted: accepted,
		InForce:  s.trail,
	}
}

func (s *State) applyChange(rec platform.Record) Decision {
	change, err := decodeChange(rec)
	d := Decision{Version: domain.Version(rec.Offset), RecordID: rec.ID, Change: change, Err: err}
	if err == nil {
		d = s.decide(rec, d)
	}
	d.InForce = s.trail
	if s.anchored && rec.Offset >= firstOffset {
		s.history.put(d)
	}
	if d.Accepted || err != nil || change.Base <= s.trail && s.anchored {
		// Any other rejection can turn out differently for a repeat.
		s.seen.add(rec, d)
	}
	return d
}

// decide sets d.Accepted or d.Err for a well-formed change.
func (s *State) decide(rec platform.Record, d Decision) Decision {
	s.reach(rec.Offset)
	if s.madeAdopted(d.Version) {
		d.Accepted = true
		return d
	}
	if !s.anchored || d.Change.Base != s.trail {
		s.keepUndecided(rec, d.Change)
		d.Err = conflict(d.Change.Base, s.trail)
		return d
	}
	if d.Version > s.current.Version {
		s.current = withChange(s.current, d.Change, rec)
	}
	s.trail = d.Version
	d.Accepted = true
	return d
}

// reach moves the reader's place to just before the offset.
func (s *State) reach(offset platform.Offset) {
	for len(s.ahead) > 0 && s.ahead[0] < domain.Version(offset) {
		s.trail = max(s.trail, s.ahead[0])
		s.anchored = true
		s.ahead = s.ahead[1:]
	}
}

// madeAdopted reports whether the record at the reader's place made a version
// that was adopted before.
func (s *State) madeAdopted(v domain.Version) bool {
	if len(s.ahead) == 0 || s.ahead[0] != v {
		return false
	}
	s.trail = v
	s.anchored = true
	s.ahead = s.ahead[1:]
	return true
}

func (s *State) keepUndecided(rec platform.Record, c Change) {
	offset := domain.Version(rec.Offset)
	if offset <= s.current.Version || c.Base >= offset {
		return
	}
	if s.anchored && c.Base < s.trail {
		return
	}
	s.undecided = append(s.undecided, rec)
	if len(s.undecided) > undecidedLimit {
		s.undecided = s.undecided[1:]
	}
}

// decideAgain decides on the undecided changes above the version in force.
func (s *State) decideAgain() {
	records := s.undecided
	s.undecided = nil
	for _, rec := range records {
		if domain.Version(rec.Offset) <= s.current.Version {
			continue
		}
		if _, ok := s.seen.lookup(rec); !ok {
			s.applyChange(rec)
		}
	}
}
