package dispatcher

import (
	"errors"
	"time"

	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
)

// recordGroup are records of a batch that the store accepts or refuses together: those of
// one job, or one other record.
type recordGroup struct {
	// job is empty for records that belong to no open job.
	job     job.ID
	records []platform.KeyedRecord
}

// size returns the size of the records in an append, in bytes.
func (g recordGroup) size() int {
	size := 0
	for _, r := range g.records {
		size += platform.EncodedSize(r)
	}
	return size
}

// refusedGroup is a group that the store refuses for good.
type refusedGroup struct {
	recordGroup
	err error
}

// batchGroups returns the records of a batch, and the tombstones that wait for an append.
func (t *term) batchGroups(batch *scheduler.Batch) []recordGroup {
	groups := make([]recordGroup, 0, len(batch.Records))
	add := func(r platform.KeyedRecord) { groups = append(groups, recordGroup{records: []platform.KeyedRecord{r}}) }
	if batch.LeaseBounds != nil {
		// The placements rely on it, and may be in a later call.
		add(platform.KeyedRecord{Key: jobview.LeaseBoundsKey, Value: batch.LeaseBounds})
	}
	for _, r := range batch.Records {
		record := platform.KeyedRecord{Key: stateKey(r), Value: r.State}
		if last := len(groups) - 1; last >= 0 && groups[last].job == r.Job {
			groups[last].records = append(groups[last].records, record)
			continue
		}
		groups = append(groups, recordGroup{job: r.Job, records: []platform.KeyedRecord{record}})
	}
	for _, tombstone := range t.tombstones {
		add(tombstone)
	}
	t.tombstones = nil
	if batch.SharingModel != nil {
		add(platform.KeyedRecord{Key: jobview.InterferenceModelKey, Value: batch.SharingModel})
	}
	return groups
}

func stateKey(r scheduler.Record) string {
	if r.Part == ledger.MainPart {
		return jobview.Key(jobview.KindState, r.Job)
	}
	return jobview.PartKey(r.Job, r.Part)
}

func (t *term) storeBatch(batch *scheduler.Batch, groups []recordGroup, sent time.Duration) {
	d := t.d
	refused, err := t.appendGroups(groups)
	stored := len(groups) > len(refused)
	if !stored {
		sent = 0 // The store acknowledges nothing.
	}
	d.postForTerm(t, func() {
		t.appending = false
		if err != nil {
			t.handleFenced(err)
			return
		}
		now := d.cfg.Clock.Now()
		for _, g := range refused {
			t.handleRefused(batch, g, now)
		}
		t.statuses.addStates(batch.Records)
		if stored {
			d.cfg.Metrics.Observe("store_append", now-sent)
			d.ownership.ObserveOwnerRecord(now)
		}
		t.jobScheduler.Stored(batch, sent, now)
		if stored {
			t.settled.Observe(d.cfg.StatesFollower.End(), now)
		}
	})
}

// appendGroups appends groups, in as many calls as the size requires, and returns those
// that the store refuses for good.
func (t *term) appendGroups(groups []recordGroup) ([]refusedGroup, error) {
	var out []refusedGroup
	for len(groups) > 0 {
		count, size := 0, 0
		for count < len(groups) {
			size += groups[count].size()
			if count > 0 && size > t.d.cfg.Platform.maxCallBytes() {
				break
			}
			count++
		}
		refused, err := t.appendTogether(groups[:count])
		if err != nil {
			return nil, err
		}
		out, groups = append(out, refused...), groups[count:]
	}
	return out, nil
}

// appendTogether appends groups in one call, or one group in several. If the store refuses
// several groups for good, each half is appended by itself.
func (t *term) appendTogether(groups []recordGroup) ([]refusedGroup, error) {
	var records []platform.KeyedRecord
	for _, g := range groups {
		records = append(records, g.records...)
	}
	err := t.appendRecords(records)
	if !errors.Is(err, platform.ErrInvalid) {
		return nil, err
	}
	if len(groups) == 1 {
		return []refusedGroup{{groups[0], err}}, nil
	}
	middle := len(groups) / 2
	first, err := t.appendTogether(groups[:middle])
	if err != nil {
		return nil, err
	}
	second, err := t.appendTogether(groups[middle:])
	return append(first, second...), err
}

// appendRecords appends records in their order, in as many calls as the size requires.
func (t *term) appendRecords(records []platform.KeyedRecord) error {
	for len(records) > 0 {
		count, size := 1, platform.EncodedSize(records[0])
		for count < len(records) && size+platform.EncodedSize(records[count]) <= t.d.cfg.Platform.maxCallBytes() {
			size += platform.EncodedSize(records[count])
			count++
		}
		end, err := t.states.Append(t.ctx, records[:count])
		if err != nil {
			return err
		}
		t.applyStored(records[:count], end)
		records = records[count:]
	}
	return nil
}

// handleRefused removes a group that the store refuses for good from its batch.
func (t *term) handleRefused(batch *scheduler.Batch, g refusedGroup, now time.Duration) {
	key := g.records[0].Key
	t.d.cfg.Logger.Error("the store refuses a record for good", "job", g.job, "key", key, "records", len(g.records), "bytes", g.size(), "err", g.err)
	t.d.cfg.Metrics.Count("append_refused_for_good", 1)
	switch {
	case g.job != "":
		t.jobScheduler.Hold(batch, g.job, g.err, now)
		t.reportHeld(g.job, g.size())
	case key == jobview.LeaseBoundsKey:
		batch.LeaseBounds = nil
	}
}

// maxReportedHolds bounds the jobs that a metric names. The log names all.
const maxReportedHolds = 100

func (t *term) reportHeld(id job.ID, bytes int) {
	if len(t.reportedHolds) < maxReportedHolds || t.reportedHolds[id] {
		t.reportedHolds[id] = true
		t.d.cfg.Metrics.SetHeld(string(id), bytes)
	}
}

// clearHolds clears the metric of the jobs that are no longer held, or of all jobs at the
// end of the term.
func (t *term) clearHolds(all bool) {
	for id := range t.reportedHolds {
		if all || !t.jobScheduler.IsHeld(id) {
			t.d.cfg.Metrics.SetHeld(string(id), 0)
			delete(t.reportedHolds, id)
		}
	}
}

// applyStored applies records that this owner has stored, which end at the given
// offset, to the read model. Reading its own records back would cost a call for nearly
// every append.
func (t *term) applyStored(records []platform.KeyedRecord, end int64) {
	t.applyToView(records, end)
	t.d.cfg.StatesFollower.SkipTo(end)
	t.d.post(func() { t.d.observeStates(records) })
}

// applyToView applies stored records, the last of which is before the offset end, to
// the read model.
func (t *term) applyToView(records []platform.KeyedRecord, end int64) {
	for i, r := range records {
		r.Offset = end - int64(len(records)-i)
		if err := t.d.cfg.View.Apply(r); err != nil {
			t.d.cfg.Logger.Error("stored record cannot be applied to the read model", "key", r.Key, "err", err)
		}
	}
}
