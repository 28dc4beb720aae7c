package dispatcher

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ownership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
	"github.com/basilferry/basilferry/node/storelog"
)

// term is one ownership term of this node: the time from a successful claim until
// the node resigns or is replaced.
type term struct {
	d      *Dispatcher
	token  platform.Token
	ctx    context.Context
	cancel context.CancelFunc
	since  time.Duration

	// requests and states append under the fencing token.
	requests, states *storelog.OwnerWriter
	// jobScheduler is nil until the records of the previous owner have been read.
	jobScheduler *scheduler.Scheduler
	// statesFence and requestsFence are the ends of the partitions when the previous
	// owner was fenced there, or -1 before that. The requests are fenced after the
	// states: they then have each job whose state a previous owner has stored. The
	// scheduler starts once both partitions have been read up to these offsets.
	statesFence, requestsFence int64

	// appendingRequests is true while an ownership record or statuses are being
	// appended to the requests, appending while job states are. dueRecord is the kind
	// of the ownership record that waits for the former, if hasDueRecord is true.
	appendingRequests bool
	appending         bool
	dueRecord         ownership.RecordKind
	hasDueRecord      bool
	// statusesFrom is the earliest time of the next append that contains only statuses.
	statusesFrom time.Duration
	// pulses appends the signs of life. pulsing is true while one is being appended, and
	// lastPulse is when the last one was sent.
	pulses    *storelog.OwnerWriter
	pulsing   bool
	lastPulse time.Duration
	// shareStored is true once the CPU share of this owner has been appended.
	shareStored bool
	// settled finds the settled offset, which is stored with the renewals.
	settled scheduler.SettledOffset
	// backlog decides when the backlog is stored, and backlogPools are the pools for which a
	// gauge is set.
	backlog        backlogRecord
	backlogPools   map[dispatch.Pool]bool
	lastAppend     time.Duration
	lastLoadReport time.Duration
	// reportedCounters are the scheduler's counters as of the last update of the
	// metrics.
	reportedCounters scheduler.Counters
	// loadReports is the number of load reports logged in this term.
	loadReports int
	// lastRound is the time of the last scheduling round. Before
	// checkReachabilityFrom the owner does not check whether it reaches the workers.
	lastRound, checkReachabilityFrom time.Duration
	// handOverFrom is when the preparation of the hand-over began, and handOverBy when it
	// ends at the latest.
	handOverFrom, handOverBy time.Duration
	// sealedAt is when the leases were sealed; 0 before that.
	sealedAt time.Duration
	// tombstones delete the states of removed jobs. They are part of the next
	// append to states.
	tombstones []platform.KeyedRecord
	// reportedHolds are the held jobs that a metric names.
	reportedHolds map[job.ID]bool
	// reportedAccounts are the accounts that metrics name, and lastAccountLog is when the
	// accounts were last logged; 0 if they were not in this term.
	reportedAccounts map[string]bool
	lastAccountLog   time.Duration
	// statuses holds the status records that are not stored yet.
	statuses statusQueue
}

// startTerm starts an ownership term. It fences the previous owner's writes; the
// scheduler starts after the previous owner's records have been read to the end.
func (d *Dispatcher) startTerm(token platform.Token) {
	p := d.cfg.Platform
	ctx, cancel := context.WithCancel(d.ctx)
	t := &term{
		d: d, token: token, ctx: ctx, cancel: cancel, since: d.cfg.Clock.Now(), statesFence: -1, requestsFence: -1,
		requests: storelog.NewOwnerWriter(p.Store, p.Requests, token),
		states:   storelog.NewOwnerWriter(p.Store, p.States, token),
		pulses:   storelog.NewOwnerWriter(p.Store, p.Pulse, token),
		statuses: newStatusQueue(), reportedHolds: map[job.ID]bool{},
		backlogPools: map[dispatch.Pool]bool{},
	}
	d.term = t
	if d.cfg.FollowStates != nil {
		t.background("follow states", func() { d.cfg.FollowStates(ctx) })
	}
	d.cfg.OnOwnershipChange(true)
	d.cfg.Logger.Info("ownership term started", "token", token)
	record := ownershipRecord(d.ownership.Record(ownership.KindRenewal))
	t.background("fence", func() {
		end, err := t.states.Append(ctx, []platform.KeyedRecord{record})
		d.postForTerm(t, func() {
			if err != nil {
				t.handleFenced(err)
				return
			}
			t.statesFence = end
			d.cfg.StatesFollower.ReadNow()
			t.fenceRequests()
		})
	})
}

// fenceRequests appends a renewal, unless an ownership record is due anyway. The first
// append of this owner fences the previous one.
func (t *term) fenceRequests() {
	if _, owning := t.d.ownership.OwnToken(); owning && !t.hasDueRecord {
		t.appendOwnershipRecord(ownership.KindRenewal)
	}
}

// hasReadPredecessors reports whether all records of the previous owners have been
// read.
func (t *term) hasReadPredecessors() bool {
	return t.statesFence >= 0 && t.d.cfg.StatesFollower.End() >= t.statesFence &&
		t.requestsFence >= 0 && t.d.cfg.RequestsFollower.End() >= t.requestsFence
}

// background runs f in a goroutine. If f panics, the term ends.
func (t *term) background(name string, f func()) {
	t.d.background(name, f, func(err error) {
		if t.d.term == t {
			t.d.abandonTerm(err)
		}
	})
}

// postForTerm queues an event of a term for the decision goroutine, which drops
// it if the term has ended by then.
func (d *Dispatcher) postForTerm(t *term, ev func()) {
	d.post(func() {
		if d.term == t {
			ev()
		}
	})
}

func (d *Dispatcher) endTerm(reason string) {
	if d.term == nil {
		return
	}
	d.cfg.Logger.Info("ownership term ended", "token", d.term.token, "reason", reason, "after", d.cfg.Clock.Now()-d.term.since)
	d.term.cancel()
	d.term.clearHolds(true)
	d.term.clearAccounts(nil)
	d.term = nil
	d.cfg.OnOwnershipChange(false)
}

// handleFenced ends the term after the store has refused an append that the owner cannot
// do without, mostly because a newer owner has written. A cancelled append is ignored, because its term has ended.
func (t *term) handleFenced(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	reason := "the store refused the epoch: "
	if errors.Is(err, platform.ErrInvalid) {
		reason = "the store refuses a record of the owner for good: "
	}
	t.d.ownership.ObserveReplacement(t.d.cfg.Clock.Now())
	t.d.endTerm(reason + err.Error())
}

// startScheduler creates the scheduler from the records that were read.
func (t *term) startScheduler(now time.Duration) {
	d := t.d
	restored := d.cfg.View.Restore()
	for id, err := range restored.Unreadable {
		d.cfg.Logger.Error("job record cannot be decoded", "job", id, "err", err)
	}
	s := scheduler.New(d.cfg.Scheduler, t.token, d.claimedAfter, now)
	t.jobScheduler = s
	previous := d.previousOwner
	previous.StateOffsets = restored.StateOffsets
	previous.Unreadable = slices.Collect(maps.Keys(restored.Unreadable))
	if err := s.Restore(restored.Jobs, previous, now, time.Now().UnixMilli()); err != nil {
		d.cfg.Logger.Error("lease bounds of the previous owner cannot be decoded; assuming its longest lease for all workers", "err", err)
	}
	if learned := d.cfg.View.InterferenceModel(); learned != nil {
		if err := s.RestoreSharingModel(learned); err != nil {
			d.cfg.Logger.Warn("stored interference model cannot be restored; starting without it", "err", err)
		}
	}
	s.RestoreFinishedJobs(restored.Finished, now)
	t.statuses.addAll(restored.Unshown)
	for _, id := range restored.Cancelled {
		s.Cancel(id, now)
	}
	d.passOperatorRecords()
	d.cfg.Logger.Info("scheduling started", "token", t.token, "jobs", restored.Jobs.Len(), "over", len(restored.Finished), "cancelled", len(restored.Cancelled), "after", now-t.since,
		"former_token", d.previousOwner.Token, "former_dead", d.previousOwner.ProcessEnded, "former_age_ms", (now - d.previousOwner.LastSeenAt).Milliseconds())
	wait := s.LeaseWait(now)
	d.cfg.Logger.Info("leases of previous owners", "token", t.token, "bounds_age_ms", (now - d.previousOwner.LeaseBoundsReadAt).Milliseconds(),
		"workers_bounded", wait.Bounded, "bounded_ms", wait.BoundedFor.Milliseconds(), "workers", wait.Unbounded, "longest_ms", wait.UnboundedFor.Milliseconds(),
		"unsettled", wait.Unsettled, "settled_offset", previous.SettledOffset)
	t.followRegistry()
}

// followRegistry passes the entries of the worker registry to the scheduler.
func (t *term) followRegistry() {
	d := t.d
	registered := map[string]bool{}
	f := storelog.NewFollower(storelog.FollowerConfig{
		Store: d.cfg.Platform.Store, Partition: d.cfg.Platform.Registry, Clock: d.cfg.Clock, Logger: d.cfg.Logger,
		Reset: func() {
			for key := range registered {
				d.postForTerm(t, func() { t.jobScheduler.UnregisterWorker(workerID(key)) })
			}
			clear(registered)
		},
		Apply: func(r platform.KeyedRecord) { t.applyRegistryRecord(r, registered) },
		Pause: func() time.Duration { return registryPause }, Guard: d.cfg.Guard,
	})
	t.background("follow registry", func() { f.Run(t.ctx) })
}

func (t *term) applyRegistryRecord(r platform.KeyedRecord, registered map[string]bool) {
	d := t.d
	if len(r.Value) == 0 {
		delete(registered, r.Key)
		d.postForTerm(t, func() { t.jobScheduler.UnregisterWorker(workerID(r.Key)) })
		return
	}
	entry, err := d.cfg.Platform.DecodeEntry(r)
	if err != nil {
		if !registered[r.Key] {
			d.cfg.Logger.Warn("registry entry ignored", "key", r.Key, "err", err)
		}
		return
	}
	registered[r.Key] = true
	d.postForTerm(t, func() { t.jobScheduler.RegisterWorker(entry, d.cfg.Clock.Now()) })
}

// advance performs one scheduling round. The scheduler starts in the first call after
// the previous owners' records have been read.
func (t *term) advance(now time.Duration) {
	d := t.d
	if t.jobScheduler == nil {
		if !t.hasReadPredecessors() {
			return
		}
		// The followers pass on what they read as events.
		d.drainEvents()
		if d.term != t {
			return
		}
		now = d.cfg.Clock.Now()
		t.startScheduler(now)
	}
	if now-t.lastRound > suspensionThreshold {
		t.checkReachabilityFrom = now + reachabilityGrace
	}
	t.lastRound = now
	if t.jobScheduler.IsFenced() {
		d.ownership.ObserveReplacement(now)
		d.endTerm("a worker has seen a higher fencing token")
		return
	}
	t.jobScheduler.Advance(now, time.Now().UnixMilli())
	t.jobScheduler.ObserveRound(now, d.cfg.Clock.Now()-now)
	t.statuses.addBegun(t.jobScheduler.TakeBegun())
	t.append(now)
	t.pulse(now)
	if t.statuses.isUrgent() && now >= t.statusesFrom {
		t.appendRequests()
	}
	for _, command := range t.jobScheduler.TakeCommands() {
		go t.execute(command)
	}
	t.reportDecisions()
	t.reportLoad(now)
	t.checkReachability(now)
	t.checkHandOver(now)
}

// append stores the changes since the last append, at most once per
// appendInterval.
func (t *term) append(now time.Duration) {
	if t.appending || now-t.lastAppend < appendInterval {
		return
	}
	batch, err := t.jobScheduler.TakeBatch(now)
	if err != nil {
		t.d.cfg.Logger.Error("state records cannot be encoded", "err", err)
		return
	}
	if batch == nil {
		return
	}
	t.appending, t.lastAppend = true, now
	groups := t.batchGroups(batch)
	t.background("store batch", func() { t.storeBatch(batch, groups, now) })
}

// appendOwnershipRecord appends a renewal or a release of the ownership. If an append
// to the requests is in progress, the record is appended after it.
func (t *term) appendOwnershipRecord(kind ownership.RecordKind) {
	if t == nil {
		return
	}
	if kind == ownership.KindRelease && t.jobScheduler != nil {
		t.jobScheduler.StopStarting()
	}
	t.dueRecord, t.hasDueRecord = kind, true
	t.appendRequests()
}

// appendRequests appends the ownership record that is due, and the status records that
// are not stored yet, unless an append to the requests is in progress.
func (t *term) appendRequests() {
	if t.appendingRequests {
		return
	}
	t.appendingRequests = true
	d := t.d
	fences := t.statesFence >= 0 && t.requestsFence < 0
	// Nodes take no status for a sign of life of the owner.
	renews := t.hasDueRecord
	sent := d.cfg.Clock.Now()
	records := t.takeDueRecords(sent)
	statuses := t.statuses.take()
	records = append(records, statuses...)
	t.background("append to requests", func() {
		end, err := t.requests.Append(t.ctx, records)
		if err == nil {
			t.applyToView(statuses, end)
		}
		d.postForTerm(t, func() {
			t.appendingRequests = false
			if err != nil {
				t.handleFenced(err)
				return
			}
			if fences {
				t.requestsFence = end
				d.cfg.RequestsFollower.ReadNow()
			}
			now := d.cfg.Clock.Now()
			t.statusesFrom = now + statusLoad*(now-sent)
			if renews && t.jobScheduler != nil {
				t.jobScheduler.RecordRenewal(sent)
			}
			if t.hasDueRecord {
				t.appendRequests()
			}
		})
	})
}

// pulse shows that the owner is alive, once per renewal interval.
func (t *term) pulse(now time.Duration) {
	if t.pulsing || now-t.lastPulse < t.d.cfg.Ownership.RenewInterval {
		return
	}
	t.pulsing, t.lastPulse = true, now
	record := ownershipRecord(t.d.ownership.Record(ownership.KindRenewal))
	t.background("pulse", func() {
		_, err := t.pulses.Append(t.ctx, []platform.KeyedRecord{record})
		t.d.postForTerm(t, func() {
			t.pulsing = false
			if err != nil {
				t.handleFenced(err)
				return
			}
			t.jobScheduler.RecordPulse(now)
		})
	})
}

// takeDueRecords returns the ownership record that is due, if any, and with a renewal
// the records that remove expired jobs.
func (t *term) takeDueRecords(now time.Duration) []platform.KeyedRecord {
	if !t.hasDueRecord {
		return nil
	}
	t.hasDueRecord = false
	records := []platform.KeyedRecord{ownershipRecord(t.d.ownership.Record(t.dueRecord))}
	if !t.shareStored {
		t.shareStored = true
		share := ownership.EncodeShare(t.d.cfg.Ownership.CPUShare)
		records = append(records, platform.KeyedRecord{Key: jobview.OwnerShareKey, Value: share})
	}
	if t.dueRecord == ownership.KindRenewal && t.jobScheduler != nil {
		records = append(records, t.settledRecord(now)...)
		records = append(records, t.backlogRecord(now)...)
		records = append(records, t.expiredJobTombstones(now)...)
	}
	return records
}

// settledRecord returns the record of the settled offset, if it is due.
func (t *term) settledRecord(now time.Duration) []platform.KeyedRecord {
	if !t.jobScheduler.AreLeaseBoundsStored(now) {
		return nil
	}
	offset, ok := t.settled.Take(now)
	if !ok {
		return nil
	}
	return []platform.KeyedRecord{{Key: jobview.SettledKey, Value: scheduler.EncodeSettledOffset(offset)}}
}

// expiredJobTombstones removes the finished jobs whose retention time has passed.
// It returns the records that delete their acceptances, cancels and statuses, and adds those
// that delete their states to the next append.
func (t *term) expiredJobTombstones(now time.Duration) []platform.KeyedRecord {
	var out []platform.KeyedRecord
	for _, id := range t.jobScheduler.RemoveExpiredJobs(now) {
		out = append(out,
			platform.KeyedRecord{Key: jobview.Key(jobview.KindStatus, id)}, platform.KeyedRecord{Key: jobview.Key(jobview.KindCancel, id)},
			platform.KeyedRecord{Key: jobview.Key(jobview.KindJob, id)})
		t.statuses.forget(id)
		for _, part := range t.d.cfg.View.Parts(id) {
			t.tombstones = append(t.tombstones, platform.KeyedRecord{Key: jobview.PartKey(id, part)})
		}
		t.tombstones = append(t.tombstones, platform.KeyedRecord{Key: jobview.Key(jobview.KindState, id)})
	}
	return out
}

// prepareHandOver begins the preparation of the hand-over.
func (t *term) prepareHandOver(now, limit time.Duration) {
	t.handOverFrom, t.handOverBy = now, now+limit
	t.jobScheduler.PrepareHandOver(now)
}

// checkHandOver lets this owner release its claim once its hand-over is prepared.
func (t *term) checkHandOver(now time.Duration) {
	if !t.d.ownership.IsPreparing() {
		return
	}
	ready, unknown := t.jobScheduler.IsReadyToHandOver(now)
	if t.sealedAt == 0 {
		if !ready && now < t.handOverBy {
			return
		}
		t.sealedAt = now
		t.jobScheduler.SealLeases()
	}
	if !t.jobScheduler.AreLeasesSealed() && now-t.sealedAt < sealLimit {
		return
	}
	wait := t.jobScheduler.LeaseWait(now)
	t.d.cfg.Logger.Info("hand-over prepared", "token", t.token, "after_ms", (now - t.handOverFrom).Milliseconds(), "sealing_ms", (now - t.sealedAt).Milliseconds(), "workers_unknown", unknown,
		"workers_bounded", wait.Bounded, "bounded_ms", wait.BoundedFor.Milliseconds())
	t.d.ownership.MarkUnfit(now)
}

// checkReachability resigns if this owner reaches the store but fewer than half of
// the workers, because another node may reach them.
func (t *term) checkReachability(now time.Duration) {
	if _, owning := t.d.ownership.OwnToken(); !owning || now < t.checkReachabilityFrom || !t.jobScheduler.IsConnected(now) {
		return
	}
	unresponsive, registered := t.jobScheduler.CountUnresponsive(now, unresponsiveAfter)
	if registered > 0 && 2*unresponsive > registered {
		t.d.cfg.Logger.Warn("resigning ownership", "token", t.token, "silent", unresponsive, "listed", registered)
		t.d.ownership.MarkUnfit(now)
	}
}
