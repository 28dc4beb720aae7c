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

// snapshotDue reports whether a snapshot is due and the delay of this node has
// passed.
func (s *Sync) snapshotDue(now time.Time) (domain.Configuration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.state.Current()
	// Before the end of the stream was reached, a snapshot may still come.
	if c.Version == 0 || !s.logUp || s.lastReadToEnd == 0 || s.retention == 0 {
		return c, false
	}
	return c, s.state.SnapshotDue(now.Add(-s.config.SnapshotDelay), s.retention)
}

func (s *Sync) appendSnapshot(ctx context.Context, c domain.Configuration) {
	rec, err := s.config.Encoder.Snapshot(uuid.NewString(), c)
	if err != nil {
		s.config.Logger.Error("the configuration cannot be encoded", "version", c.Version, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := s.config.Log.Append(ctx, configlog.Stream, rec); err != nil {
		s.config.Logger.Warn("snapshot is not confirmed", "err", err)
		return
	}
	s.catchUp(ctx)
}
