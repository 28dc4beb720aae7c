package dispatcher

import (
	"time"

	"github.com/basilferry/basilferry/core/backlog"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/platform"
)

// backlogRefreshInterval is the age of the stored backlog from which on it is stored again
// although it has not changed. The nodes ignore one that is older than 2 s when they use it;
// renewals are 0.5 s apart, and a node reads up to 0.25 s later.
const backlogRefreshInterval = time.Second

// backlogRecord decides when the backlog is stored. The zero value is that of a new owner,
// whose predecessor's backlog grows stale on the nodes.
type backlogRecord struct {
	// stored is the last summary that was included in an append, and storedAt when; nil if
	// there is none.
	stored   *backlog.Summary
	storedAt time.Duration
}

// isDue reports whether a summary has to be stored: it differs noticeably from the stored
// one, or that one is old. Of several summaries that can refuse nothing, as those without work,
// only the first is stored.
func (b *backlogRecord) isDue(s *backlog.Summary, now time.Duration) bool {
	switch {
	case !s.CanRefuse() && (b.stored == nil || !b.stored.CanRefuse()):
		return false
	case b.stored == nil || s.DiffersNoticeably(b.stored):
		return true
	}
	return now-b.storedAt >= backlogRefreshInterval
}

// backlogRecord returns the record of the backlog, if it is due, and sets its gauges.
func (t *term) backlogRecord(now time.Duration) []platform.KeyedRecord {
	summary := t.jobScheduler.Backlog(now, time.Now().UnixMilli())
	t.reportBacklog(summary)
	if !t.backlog.isDue(summary, now) {
		return nil
	}
	value, err := summary.Encode()
	if err != nil {
		t.d.cfg.Logger.Error("backlog cannot be encoded", "err", err)
		return nil
	}
	t.backlog.stored, t.backlog.storedAt = summary, now
	return []platform.KeyedRecord{{Key: jobview.LoadKey, Value: value}}
}

// reportBacklog sets the gauges of the pools, and those of pools without work to 0.
func (t *term) reportBacklog(summary *backlog.Summary) {
	for id := range t.backlogPools {
		if summary.Pool(id) == nil {
			t.d.cfg.Metrics.SetBacklog(backlog.Pool{ID: id})
		}
	}
	for _, p := range summary.Pools {
		t.backlogPools[p.ID] = true
		t.d.cfg.Metrics.SetBacklog(p)
	}
}
