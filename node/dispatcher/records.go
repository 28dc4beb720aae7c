package dispatcher

import (
	"time"

	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/ownership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
	"github.com/basilferry/basilferry/node/storelog"
)

// ownershipRecord returns the store record that contains an ownership record.
func ownershipRecord(record ownership.Record) platform.KeyedRecord {
	value, err := record.Encode()
	if err != nil {
		// The record has fields of fixed types only, so this is a bug.
		panic(err)
	}
	return platform.KeyedRecord{Key: jobview.OwnerKey, Value: value}
}

func (d *Dispatcher) appendClaim(record platform.KeyedRecord, at int64) error {
	return storelog.AppendClaim(d.ctx, d.cfg.Platform.Store, d.cfg.Platform.Requests, record, at)
}

// ApplyRequest processes a record of the requests partition. The record comes from
// the follower or from a commit of this node. It may be called from any goroutine.
func (d *Dispatcher) ApplyRequest(r platform.KeyedRecord) {
	kind, id, ok := jobview.ParseKey(r.Key)
	if !ok || len(r.Value) == 0 {
		return
	}
	switch kind {
	case jobview.KindOwner:
		d.applyOwnershipRecord(r)
	case jobview.KindOwnerShare:
		d.applyOwnerShare(r)
	case jobview.KindSettled:
		d.applySettledOffset(r)
	case jobview.KindJob:
		if !d.hasRead(r) {
			d.post(func() { d.acceptJob(r) })
		}
	case jobview.KindCancel:
		if !d.hasRead(r) {
			d.post(func() { d.cancelJob(id) })
		}
	}
}

// hasRead reports whether the requests were read beyond a record before it arrived again,
// on a page of the newest records that was read after a part of the history was dropped.
// Its job may have been removed since that page was read.
func (d *Dispatcher) hasRead(r platform.KeyedRecord) bool {
	return r.Offset != platform.UnknownOffset && r.Offset < d.cfg.RequestsFollower.End()
}

// ApplyState processes a record of the states partition. Only the owner writes
// there, so each record shows that the owner is alive.
func (d *Dispatcher) ApplyState(r platform.KeyedRecord) {
	d.post(func() { d.observeStates([]platform.KeyedRecord{r}) })
}

// observeStates records what a later term of this node has to know of the states.
func (d *Dispatcher) observeStates(records []platform.KeyedRecord) {
	now := d.cfg.Clock.Now()
	d.ownership.ObserveOwnerRecord(now)
	for _, r := range records {
		switch r.Key {
		case jobview.LeaseBoundsKey:
			d.previousOwner.LeaseBounds, d.previousOwner.LeaseBoundsReadAt = r.Value, now
		case jobview.OwnerKey:
			if record, err := ownership.Decode(r.Value); err == nil && d.ownership.IsOwn(record) {
				continue // This process wrote the record to fence the previous owner.
			}
		}
		d.previousOwner.LastSeenAt = now
	}
}

func (d *Dispatcher) applyOwnershipRecord(r platform.KeyedRecord) {
	record, err := ownership.Decode(r.Value)
	if err != nil {
		d.cfg.Logger.Error("ownership record ignored", "offset", r.Offset, "err", err)
		return
	}
	d.post(func() { d.observeOwner(record, r.Offset) })
}

func (d *Dispatcher) applyOwnerShare(r platform.KeyedRecord) {
	share, err := ownership.DecodeShare(r.Value)
	if err != nil {
		d.cfg.Logger.Error("CPU share of the owner ignored", "offset", r.Offset, "err", err)
		return
	}
	d.post(func() { d.ownership.ObserveOwnerShare(share) })
}

func (d *Dispatcher) applySettledOffset(r platform.KeyedRecord) {
	offset, err := scheduler.DecodeSettledOffset(r.Value)
	if err != nil {
		d.cfg.Logger.Error("settled offset ignored", "offset", r.Offset, "err", err)
		return
	}
	d.post(func() { d.previousOwner.SettledOffset = max(d.previousOwner.SettledOffset, offset) })
}

// observeOwner applies an ownership record. It starts a term if the record makes
// this process the owner, and ends the current term if it no longer is.
func (d *Dispatcher) observeOwner(record ownership.Record, offset int64) {
	now := d.cfg.Clock.Now()
	before, _ := d.ownership.Owner()
	switch {
	case !d.ownership.IsOwn(record) || record.Kind != ownership.KindClaim && !d.isTakingOver():
		d.previousOwner.LastSeenAt = now
	case d.term == nil:
		d.previousOwner.Token, d.previousOwner.ProcessEnded = d.ownership.LastClaim()
	}
	d.ownership.Observe(record, offset, now)
	after, token := d.ownership.Owner()
	if before != after {
		d.cfg.Logger.Info("owner changed", "owner", after, "token", token, "offset", offset)
	}
	own, owning := d.ownership.OwnToken()
	switch {
	case owning && (d.term == nil || d.term.token != own):
		d.endTerm("this process made a newer claim")
		d.startTerm(own)
	case !owning && !d.ownership.IsResigning() && d.term != nil:
		d.endTerm("this process is no longer the owner")
	}
}

// isTakingOver reports whether this process is the owner and has not scheduled yet. It
// has granted no lease then.
func (d *Dispatcher) isTakingOver() bool { return d.term != nil && d.term.jobScheduler == nil }

func (d *Dispatcher) acceptJob(r platform.KeyedRecord) {
	if d.term == nil || d.term.jobScheduler == nil {
		return
	}
	j, err := ledger.DecodeJob(r.Value)
	if err != nil {
		d.cfg.Logger.Error("job ignored", "key", r.Key, "offset", r.Offset, "err", err)
		return
	}
	if d.term.jobScheduler.State(j.ID) == "" {
		sinceSubmission := time.Duration(max(0, time.Now().UnixMilli()-j.SubmittedUnixMS)) * time.Millisecond
		d.cfg.Metrics.ObserveStage(string(scheduler.StageView), j.Queue.Route, sinceSubmission)
	}
	d.term.jobScheduler.Accept(j, d.cfg.Clock.Now())
}

func (d *Dispatcher) cancelJob(id job.ID) {
	if d.term != nil && d.term.jobScheduler != nil {
		d.term.jobScheduler.Cancel(id, d.cfg.Clock.Now())
	}
}

// SetConfig sets the operator's configuration.
func (d *Dispatcher) SetConfig(c *platform.OperatorConfig) {
	d.post(func() {
		d.config = c
		d.passOperatorRecords()
	})
}

// Evacuate takes a failure domain out of service or back into service.
func (d *Dispatcher) Evacuate(change platform.OperatorChange) {
	d.post(func() {
		starts := !change.Removed && !d.evacuated[change.Evacuate]
		d.evacuated[change.Evacuate] = !change.Removed
		d.passOperatorRecords()
		if change.Evacuate == d.cfg.Domain {
			d.ownership.SetEvacuated(!change.Removed)
			d.handOver(starts)
		}
	})
}

// handOver resigns ownership, if this node has it, when an evacuation of its failure
// domain starts and another domain is in service. A planned change of owner takes a
// moment; if the domain is switched off, the other nodes wait for the owner timeout.
func (d *Dispatcher) handOver(starts bool) {
	if _, owning := d.ownership.OwnToken(); !starts || !owning || !d.servesOtherDomain() {
		return
	}
	d.leave("the node's failure domain is evacuated", handOverLimit)
}

// leave resigns ownership, if this node has it, once the hand-over is prepared, at the
// latest after the given time.
func (d *Dispatcher) leave(reason string, limit time.Duration) {
	now := d.cfg.Clock.Now()
	token, owning := d.ownership.OwnToken()
	if owning {
		d.cfg.Logger.Info("resigning ownership", "token", token, "reason", reason, "failure_domain", d.cfg.Domain)
	}
	switch {
	case d.ownership.IsPreparing():
		d.term.handOverBy = min(d.term.handOverBy, now+limit)
	case owning && d.term != nil && d.term.jobScheduler != nil:
		d.ownership.MarkLeaving(now)
		d.term.prepareHandOver(now, limit)
	default:
		d.ownership.MarkUnfit(now)
	}
}

// servesOtherDomain reports whether a failure domain other than the node's own has
// registered workers and is not evacuated.
func (d *Dispatcher) servesOtherDomain() bool {
	if d.term == nil || d.term.jobScheduler == nil {
		return false
	}
	for _, w := range d.term.jobScheduler.Fleet().All() {
		if w.Registered && w.Domain != d.cfg.Domain && !d.evacuated[w.Domain] {
			return true
		}
	}
	return false
}

// MarkOperatorRead records that all operator records have been read.
func (d *Dispatcher) MarkOperatorRead() {
	d.post(func() {
		if !d.operatorRead {
			d.operatorRead = true
			d.passOperatorRecords()
		}
	})
}

// passOperatorRecords passes the configuration and the evacuations to the scheduler of
// the current term. It passes nothing before all of them have been read: without a
// configuration nothing starts, and with a part of the records a task could start in
// an evacuated failure domain.
func (d *Dispatcher) passOperatorRecords() {
	if !d.operatorRead || d.term == nil || d.term.jobScheduler == nil {
		return
	}
	s := d.term.jobScheduler
	for domain, isEvacuated := range d.evacuated {
		s.SetEvacuated(domain, isEvacuated)
	}
	if d.config != nil {
		s.SetConfig(d.config)
	}
}

// ResignForShutdown resigns ownership, if this node has it, and prevents new
// claims, for a planned stop of the process. The hand-over is prepared for at most the
// given time.
func (d *Dispatcher) ResignForShutdown(limit time.Duration) {
	d.post(func() {
		d.stopping = true
		d.leave("the process is stopping", min(limit, handOverLimit))
	})
}
