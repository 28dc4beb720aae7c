package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ownership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
	"github.com/basilferry/basilferry/node/storelog"
)

// term is one time as owner, from the claim to its end.
type term struct {
	d      *Dispatcher
	token  platform.Token
	ctx    context.Context
	cancel context.CancelFunc
	since  time.Duration

	// requests and states write under the token.
	requests, states *storelog.OwnerWriter
	// jobScheduler is nil until the records of the former owner have been read.
	jobScheduler *scheduler.Scheduler
	// fenceOffset is the end of the states when the former owner was fenced; the
	// machine starts once they were read up to it. -1 before.
	fenceOffset int64

	renewing         bool
	appending        bool
	lastAppend       time.Duration
	lastLoadReport   time.Duration
	reportedCounters scheduler.Counters
	loadReports      int
	// lastRound is the last round of decisions, and judgeFrom is from when on
	// this owner may judge whether it reaches the workers.
	lastRound, checkReachabilityFrom time.Duration
	// tombstones are the records that drop states of jobs, for the next append.
	tombstones []platform.KeyedRecord
}

// startTerm begins the time as owner: the former owner's writes are fenced,
// then its records are read to the end.
func (d *Dispatcher) startTerm(token platform.Token) {
	p := d.cfg.Platform
	ctx, cancel := context.WithCancel(d.ctx)
	o := &term{
		d: d, token: token, ctx: ctx, cancel: cancel, since: d.cfg.Clock.Now(), fenceOffset: -1,
		requests: storelog.NewOwnerWriter(p.Store, p.Requests, token),
		states:   storelog.NewOwnerWriter(p.Store, p.States, token),
	}
	d.term = o
	d.cfg.OnOwnershipChange(true)
	d.cfg.Logger.Info("took office", "token", token)
	record := ownershipRecord(d.ownership.Record(ownership.KindRenewal))
	go func() {
		end, err := o.states.Append(ctx, []platform.KeyedRecord{record})
		d.postForTerm(o, func() {
			if err != nil {
				o.handleFenced(err)
				return
			}
			o.fenceOffset = end
			d.cfg.StatesFollower.ReadNow()
		})
	}()
}

// postForTerm hands an event of a time as owner to the decision goroutine, which
// drops it if that time is over.
func (d *Dispatcher) postForTerm(o *term, ev func()) {
	d.post(func() {
		if d.term == o {
			ev()
		}
	})
}

func (d *Dispatcher) endTerm(reason string) {
	if d.term == nil {
		return
	}
	d.cfg.Logger.Info("left office", "token", d.term.token, "reason", reason, "after", d.cfg.Clock.Now()-d.term.since)
	d.term.cancel()
	d.term = nil
	d.cfg.OnOwnershipChange(false)
}

// handleFenced ends the time as owner because the store refused its epoch.
func (o *term) handleFenced(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	o.d.ownership.ObserveReplacement(o.d.cfg.Clock.Now())
	o.d.endTerm("the store refused the epoch: " + err.Error())
}

// startScheduler builds the decision core from the records that were read.
func (o *term) startScheduler(now time.Duration) {
	d := o.d
	restored := d.cfg.View.Restore()
	for _, err := range restored.Unreadable {
		d.cfg.Logger.Error("job cannot be read", "err", err)
	}
	m := scheduler.New(d.cfg.Scheduler, o.token, d.claimedAfter, now)
	o.jobScheduler = m
	if err := m.Restore(restored.Jobs, d.previousOwner, now, time.Now().UnixMilli()); err != nil {
		d.cfg.Logger.Error("lease bounds of the former owner not taken over; its longest lease counts", "err", err)
	}
	if learned := d.cfg.View.InterferenceModel(); learned != nil {
		if err := m.RestoreSharingModel(learned); err != nil {
			d.cfg.Logger.Warn("learned pressures not taken over", "err", err)
		}
	}
	m.RestoreFinishedJobs(restored.Finished, now)
	for _, id := range restored.Cancelled {
		m.Cancel(id, now)
	}
	if d.config != nil {
		m.SetConfig(d.config)
	}
	for domain, out := range d.evacuated {
		m.SetEvacuated(domain, out)
	}
	d.cfg.Logger.Info("schedules", "token", o.token, "jobs", restored.Jobs.Len(), "over", len(restored.Finished), "cancelled", len(restored.Cancelled), "after", now-o.since,
		"former_token", d.previousOwner.Token, "former_dead", d.previousOwner.ProcessEnded, "former_age_ms", (now - d.previousOwner.LastSeenAt).Milliseconds())
	o.followRegistry()
}

// followRegistry feeds the workers' entries to the machine.
func (o *term) followRegistry() {
	d := o.d
	listed := map[string]bool{}
	f := storelog.NewFollower(storelog.FollowerConfig{
		Store: d.cfg.Platform.Store, Partition: d.cfg.Platform.Registry, Clock: d.cfg.Clock, Logger: d.cfg.Logger,
		Reset: func() {
			for key := range listed {
				d.postForTerm(o, func() { o.jobScheduler.Unlist(workerID(key)) })
			}
			clear(listed)
		},
		Apply: func(r platform.KeyedRecord) { o.applyRegistryRecord(r, listed) },
		Pause: func() time.Duration { return registryPause },
	})
	go f.Run(o.ctx)
}

func (o *term) applyRegistryRecord(r platform.KeyedRecord, listed map[string]bool) {
	d := o.d
	if len(r.Value) == 0 {
		delete(listed, r.Key)
		d.postForTerm(o, func() { o.jobScheduler.Unlist(workerID(r.Key)) })
		return
	}
	entry, err := d.cfg.Platform.DecodeEntry(r)
	if err != nil {
		if !listed[r.Key] {
			d.cfg.Logger.Warn("registry entry ignored", "key", r.Key, "err", err)
		}
		return
	}
	listed[r.Key] = true
	d.postForTerm(o, func() { o.jobScheduler.List(entry, d.cfg.Clock.Now()) })
}

func (o *term) advance(now time.Duration) {
	d := o.d
	if o.jobScheduler == nil {
		if o.fenceOffset < 0 || d.cfg.StatesFollower.End() < o.fenceOffset {
			return
		}
		o.startScheduler(now)
	}
	if now-o.lastRound > suspensionThreshold {
		o.checkReachabilityFrom = now + reachabilityGrace
	}
	o.lastRound = now
	o.jobScheduler.Advance(now, time.Now().UnixMilli())
	o.append(now)
	for _, order := range o.jobScheduler.TakeCommands() {
		go o.execute(order)
	}
	o.reportDecisions()
	o.reportLoad(now)
	o.checkReachability(now)
}

// append stores what has changed, and waits a little between two appends.
func (o *term) append(now time.Duration) {
	if o.appending || now-o.lastAppend < appendInterval {
		return
	}
	batch, err := o.jobScheduler.TakeBatch(now)
	if err != nil {
		o.d.cfg.Logger.Error("state records cannot be made", "err", err)
		return
	}
	if batch == nil {
		return
	}
	o.appending, o.lastAppend = true, now
	records := make([]platform.KeyedRecord, len(batch.Records))
	for i, r := range batch.Records {
		records[i] = platform.KeyedRecord{Key: jobview.Key(jobview.KindState, r.Job), Value: r.State}
	}
	records = append(records, o.tombstones...)
	o.tombstones = nil
	if batch.SharingModel != nil {
		records = append(records, platform.KeyedRecord{Key: jobview.InterferenceModelKey, Value: batch.SharingModel})
	}
	if batch.LeaseBounds != nil {
		records = append(records, platform.KeyedRecord{Key: jobview.LeaseBoundsKey, Value: batch.LeaseBounds})
	}
	go o.storeBatch(batch, records, now)
}

func (o *term) storeBatch(batch *scheduler.Batch, records []platform.KeyedRecord, sent time.Duration) {
	d := o.d
	var err error
	if len(records) > 0 {
		_, err = o.states.Append(o.ctx, records)
	}
	d.postForTerm(o, func() {
		o.appending = false
		if err != nil {
			o.handleFenced(err)
			return
		}
		now := d.cfg.Clock.Now()
		d.cfg.Metrics.Observe("store_append", now-sent)
		d.ownership.ObserveOwnerRecord(now)
		o.jobScheduler.Stored(batch, sent, now)
	})
}

// appendOwnershipRecord appends a sign of life, or a release.
func (o *term) appendOwnershipRecord(kind ownership.RecordKind) {
	if o == nil || o.renewing {
		return
	}
	o.renewing = true
	d := o.d
	sent := d.cfg.Clock.Now()
	records := []platform.KeyedRecord{ownershipRecord(d.ownership.Record(kind))}
	if kind == ownership.KindRenewal && o.jobScheduler != nil {
		records = append(records, o.expiredJobTombstones(sent)...)
	}
	go func() {
		_, err := o.requests.Append(o.ctx, records)
		d.postForTerm(o, func() {
			o.renewing = false
			if err != nil {
				o.handleFenced(err)
				return
			}
			if o.jobScheduler != nil {
				o.jobScheduler.RecordRenewal(sent)
			}
		})
	}()
}

// expiredJobTombstones returns the records that drop jobs which have been over for long: the
// acceptance and the cancel here, and, with the next append, the state.
func (o *term) expiredJobTombstones(now time.Duration) []platform.KeyedRecord {
	var out []platform.KeyedRecord
	for _, id := range o.jobScheduler.RemoveExpiredJobs(now) {
		out = append(out,
			platform.KeyedRecord{Key: jobview.Key(jobview.KindJob, id)}, platform.KeyedRecord{Key: jobview.Key(jobview.KindCancel, id)})
		o.tombstones = append(o.tombstones, platform.KeyedRecord{Key: jobview.Key(jobview.KindState, id)})
	}
	return out
}

// checkReachability resigns if this owner reaches less than half of the workers while it
// reaches the store: another node may reach them.
func (o *term) checkReachability(now time.Duration) {
	if _, owning := o.d.ownership.OwnToken(); !owning || now < o.checkReachabilityFrom || !o.jobScheduler.IsConnected(now) {
		return
	}
	silent, listed := o.jobScheduler.CountUnresponsive(now, unresponsiveAfter)
	if listed > 0 && 2*silent > listed {
		o.d.cfg.Logger.Warn("resigns", "token", o.token, "silent", silent, "listed", listed)
		o.d.ownership.MarkUnfit(now)
	}
}
