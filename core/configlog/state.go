package configlog

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// Limits on the memory of a State.
const (
	// maxHistory is the maximum number of decisions that are kept.
	maxHistory = 512
	// maxUndecided is the maximum number of changes that wait until the version
	// in force is known. It covers the records that other writers append after a
	// snapshot is made and before it is appended: at 50,000 changes a day, less
	// than one record a second.
	maxUndecided = 1024
	// maxAdoptedAhead is the maximum number of adopted versions that are kept
	// until the reader reaches them.
	maxAdoptedAhead = 1024
)

// firstOffset is the offset of the first record of the stream. A reader that
// starts there knows that the initial configuration is in force.
const firstOffset platform.Offset = 1

// State is the result of applying the records of the config stream in offset
// order. It is not safe for concurrent use.
//
// A reader that starts after the first record does not know the version in
// force until it applies a snapshot or adopts a configuration. Until then it
// rejects every change, but keeps the newest changes and decides on them again
// once the version is known.
//
// A snapshot can be out of date: a change may be accepted after the snapshot is
// made and before it is appended. A reader must not start between such a change
// and the snapshot, because it would miss the change. A writer whose snapshot
// was not accepted because it is out of date therefore appends another one.
type State struct {
	current domain.Configuration
	// readerVersion is the version in force at the reader's position. It is below
	// current.Version until the reader reaches the adopted version.
	readerVersion domain.Version
	// versionKnown is true if readerVersion is known, and false if it is only the
	// initial value.
	versionKnown bool
	// adoptedAhead lists the adopted versions that are ahead of the reader's
	// position, in ascending order.
	adoptedAhead []domain.Version
	// undecided lists changes that were rejected because the version in force at
	// the reader's position was unknown or another one. They are decided again
	// when a version is adopted or becomes known.
	undecided []platform.Record
	seen      *seenRecords
	history   *history
	// completeSince is the time, by the log service's clock, of the last snapshot
	// or, without one, of the first record applied. From that record on, the
	// stream contains everything that a new reader needs.
	completeSince time.Time
}

// New returns a State with the given configuration in force. Version 0 means the
// state before the first record of the stream. A higher version is assumed to be
// in force at the reader's position.
func New(initial domain.Configuration) *State {
	return &State{
		current:       cloneConfiguration(initial),
		versionKnown:  initial.Version > 0,
		readerVersion: initial.Version,
		seen:          newSeenRecords(),
		history:       newHistory(maxHistory),
	}
}

// Current returns the configuration in force. Its slices are shared with the
// State and must not be changed.
func (s *State) Current() domain.Configuration { return s.current }

// History returns up to limit decisions about changes, newest first.
func (s *State) History(limit int) []Decision { return s.history.newest(limit) }

// Adopt puts a configuration from a peer or a snapshot in force if its version is
// higher than the one in force, and reports whether it did. An equal version can
// still tell a reader that started late which version is in force.
func (s *State) Adopt(c domain.Configuration) bool {
	if c.Version < s.current.Version || c.Version == 0 {
		return false
	}
	advanced := c.Version > s.current.Version
	if advanced {
		s.current = cloneConfiguration(c)
	}
	if advanced || !s.versionKnown && len(s.adoptedAhead) == 0 {
		s.addAdopted(c.Version)
		s.redecide()
	}
	return advanced
}

// addAdopted records a version that is known to be in force from its offset on.
func (s *State) addAdopted(v domain.Version) {
	s.adoptedAhead = append(s.adoptedAhead, v)
	if len(s.adoptedAhead) > maxAdoptedAhead {
		s.adoptedAhead = s.adoptedAhead[1:]
	}
}

// ReportGap records that the records between the last applied one and the next
// one were not read, for example because they expired. Changes stay undecided
// until the next snapshot or adopted configuration.
func (s *State) ReportGap() {
	s.versionKnown = false
	s.adoptedAhead = nil
}

// SnapshotDue reports whether the configuration in force must be appended as a
// snapshot, so that a reader that starts later still finds a complete one. A
// snapshot is due when two thirds of the retention have passed since the last
// snapshot or, without one, since the first record applied. now is the time by
// the log service's clock.
//
// The age of the version in force is not considered. Otherwise a configuration
// that changes steadily would never get a snapshot, and the settings made by
// expired records would be lost.
func (s *State) SnapshotDue(now time.Time, retention time.Duration) bool {
	if s.completeSince.IsZero() {
		return false
	}
	return now.Sub(s.completeSince) >= retention*2/3
}

// Apply applies the next record and returns the decision about it. For a repeat
// of a record it returns the decision about the first one, with its version. A
// snapshot is accepted if it raises the version in force. A malformed record is
// rejected with KindBadRequest.
func (s *State) Apply(rec platform.Record) Decision {
	if s.completeSince.IsZero() {
		s.completeSince = rec.AppendedAt
	}
	if rec.Offset == firstOffset {
		s.versionKnown = true
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
	return s.rejectMalformed(rec, invalidRecord("the record type "+rec.Type+" is unknown"))
}

func (s *State) rejectMalformed(rec platform.Record, err *domain.Error) Decision {
	return Decision{
		Version:  domain.Version(rec.Offset),
		RecordID: rec.ID,
		Err:      err,
		InForce:  s.readerVersion,
	}
}

func (s *State) applySnapshot(rec platform.Record) Decision {
	c, err := decodeSnapshot(rec)
	if err != nil {
		return s.rejectMalformed(rec, err)
	}
	s.completeSince = rec.AppendedAt
	accepted := s.Adopt(c)
	s.advanceTo(rec.Offset)
	if !s.versionKnown {
		// Adopt ignores version 0. A snapshot of version 0 lets readers start
		// even if the first record expired before any change was accepted.
		s.readerVersion = max(s.readerVersion, c.Version)
		s.versionKnown = true
		s.redecide()
	}
	return Decision{
		Version:  domain.Version(rec.Offset),
		RecordID: rec.ID,
		Accepted: accepted,
		InForce:  s.readerVersion,
	}
}

func (s *State) applyChange(rec platform.Record) Decision {
	change, err := decodeChange(rec)
	d := Decision{Version: domain.Version(rec.Offset), RecordID: rec.ID, Change: change, Err: err}
	if err == nil {
		d = s.decide(rec, d)
	}
	d.InForce = s.readerVersion
	if s.versionKnown && rec.Offset >= firstOffset {
		s.history.put(d)
	}
	if d.Accepted || err != nil || change.Base <= s.readerVersion && s.versionKnown {
		// Other rejections are not kept, because a repeat of the record may be
		// accepted.
		s.seen.add(rec, d)
	}
	return d
}

// decide returns d, the decision about a well-formed change, with Accepted or Err
// set.
func (s *State) decide(rec platform.Record, d Decision) Decision {
	s.advanceTo(rec.Offset)
	if s.matchAdopted(d.Version) {
		d.Accepted = true
		return d
	}
	if !s.versionKnown || d.Change.Base != s.readerVersion {
		s.keepUndecided(rec, d.Change)
		d.Err = versionConflict(d.Change.Base, s.readerVersion)
		return d
	}
	if d.Version > s.current.Version {
		s.current = withChange(s.current, d.Change, rec)
	}
	s.readerVersion = d.Version
	d.Accepted = true
	return d
}

// advanceTo moves the reader's position to just before the offset. Adopted
// versions that it passes become the version in force at that position.
func (s *State) advanceTo(offset platform.Offset) {
	for len(s.adoptedAhead) > 0 && s.adoptedAhead[0] < domain.Version(offset) {
		s.readerVersion = max(s.readerVersion, s.adoptedAhead[0])
		s.versionKnown = true
		s.adoptedAhead = s.adoptedAhead[1:]
	}
}

// matchAdopted reports whether the record at the reader's position created the
// next adopted version, and if so moves the reader to that version.
func (s *State) matchAdopted(v domain.Version) bool {
	if len(s.adoptedAhead) == 0 || s.adoptedAhead[0] != v {
		return false
	}
	s.readerVersion = v
	s.versionKnown = true
	s.adoptedAhead = s.adoptedAhead[1:]
	return true
}

// keepUndecided keeps a rejected change for redecide, unless it can no longer be
// accepted: it precedes the configuration in force, or its base is already
// replaced or is not below its own offset.
func (s *State) keepUndecided(rec platform.Record, c Change) {
	offset := domain.Version(rec.Offset)
	if offset <= s.current.Version || c.Base >= offset {
		return
	}
	if s.versionKnown && c.Base < s.readerVersion {
		return
	}
	s.undecided = append(s.undecided, rec)
	if len(s.undecided) > maxUndecided {
		s.undecided = s.undecided[1:]
	}
}

// redecide decides again on the undecided changes that are newer than the version
// in force.
func (s *State) redecide() {
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
