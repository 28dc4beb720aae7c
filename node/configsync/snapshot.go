package configsync

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
)

// snapshotCheckInterval is how often the age of the configuration is checked.
const snapshotCheckInterval = time.Second

// runSnapshots appends the configuration in force again before its record
// expires.
func (s *Sync) runSnapshots(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, snapshotCheckInterval, nil)
		if c, due := s.snapshotDue(time.Now()); due {
			s.appendSnapshot(ctx, c)
		}
	}
}

// snapshotDue returns the configuration in force and reports whether a snapshot
// of it has been due for longer than this node's SnapshotDelay.
func (s *Sync) snapshotDue(now time.Time) (domain.Configuration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.state.Current()
	// Until the end of the stream has been read, it may still contain a newer
	// snapshot.
	if c.Version == 0 || !s.logUp || s.lastReadToEnd == 0 || s.retention == 0 {
		return c, false
	}
	return c, s.state.SnapshotDue(now.Add(-s.config.SnapshotDelay), s.retention)
}

func (s *Sync) appendSnapshot(ctx context.Context, c domain.Configuration) {
	rec, err := s.config.Encoder.Snapshot(uuid.NewString(), c)
	if err != nil {
		s.config.Logger.Error("configuration could not be encoded for a snapshot", "version", c.Version, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := s.config.Log.Append(ctx, configlog.Stream, rec); err != nil {
		s.config.Logger.Warn("append of the configuration snapshot was not confirmed", "err", err)
		return
	}
	s.catchUp(ctx)
}
