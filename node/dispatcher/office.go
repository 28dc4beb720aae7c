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

// office is one time as owner, from the claim to its end.
type office struct {
	d      *Dispatcher
	token  platform.Token
	ctx    context.Context
	cancel context.CancelFunc
	since  time.Duration

	// requests and states write under the token.
	requests, states *storelog.OwnerWriter
	// machine is nil until the records of the former owner have been read.
	machine *scheduler.Machine
	// fencedEnd is the end of the states when the former owner was fenced; the
	// machine starts once they were read up to it. -1 before.
	fencedEnd int64

	renewing   bool
	appending  bool
	lastAppend time.Duration
	lastLoad   time.Duration
	counters   scheduler.Counters
	summaries  int
	// lastRound is the last round of decisions, and judgeFrom is from when on
	// this owner may judge whether it reaches the workers.
	lastRound, judgeFrom time.Duration
	// drops are the records that drop states of jobs, for the next append.
	drops []platform.KeyedRecord
}

// takeOffice begins the time as owner: the former owner's writes are fenced,
// then its records are read to the end.
func (d *Dispatcher) takeOffice(token platform.Token) {
	p := d.cfg.Platform
	ctx, cancel := context.WithCancel(d.ctx)
	o := &office{
		d: d, token: token, ctx: ctx, cancel: cancel, since: d.cfg.Clock.Now(), fencedEnd: -1,
		requests: storelog.NewOwnerWriter(p.Store, p.Requests, token),
		states:   storelog.NewOwnerWriter(p.Store, p.States, token),
	}
	d.office = o
	d.cfg.Owning(true)
	d.cfg.Logger.Info("took office", "token", token)
	record := stored(d.ownership.Record(ownership.KindRenewal))
	go func() {
		end, err := o.states.Append(ctx, []platform.KeyedRecord{record})
		d.postTo(o, func() {
			if err != nil {
				o.replaced(err)
				return
			}
			o.fencedEnd = end
			d.cfg.StatesFollower.Hurry()
		})
	}()
}

// postTo hands an event of a time as owner to the decision goroutine, which
// drops it if that time is over.
func (d *Dispatcher) postTo(o *office, ev func()) {
	d.post(func() {
		if d.office == o {
			ev()
		}
	})
}

func (d *Dispatcher) leaveOffice(reason string) {
	if d.office == nil {
		return
	}
	d.cfg.Logger.Info("left office", "token", d.office.token, "reason", reason, "after", d.cfg.Clock.Now()-d.office.since)
	d.office.cancel()
	d.office = nil
	d.cfg.Owning(false)
}

// replaced ends the time as owner because the store refused its epoch.
func (o *office) replaced(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	o.d.ownership.ObserveReplacement(o.d.cfg.Clock.Now())
	o.d.leaveOffice("the store refused the epoch: " + err.Error())
}

// begin builds the decision core from the records that were read.
func (o *office) begin(now time.Duration) {
	d := o.d
	restored := d.cfg.View.Restore()
	for _, err := range restored.Unreadable {
		d.cfg.Logger.Error("job cannot be read", "err", err)
	}
	m := scheduler.New(d.cfg.Scheduler, o.token, d.claimedAt, now)
	o.machine = m
	if err := m.Restore(restored.Jobs, d.former, now, time.Now().UnixMilli()); err != nil {
		d.cfg.Logger.Error("lease bounds of the former owner not taken over; its longest lease counts", "err", err)
	}
	if learned := d.cfg.View.InterferenceModel(); learned != nil {
		if err := m.RestoreLearned(learned); err != nil {
			d.cfg.Logger.Warn("learned pressures not taken over", "err", err)
		}
	}
	m.RestoreOver(restored.Finished, now)
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
		"former_token", d.former.Token, "former_dead", d.former.Dead, "former_age_ms", (now - d.former.SeenAt).Milliseconds())
	o.followRegistry()
}

// followRegistry feeds the workers' entries to the machine.
func (o *office) followRegistry() {
	d := o.d
	listed := map[string]bool{}
	f := storelog.NewFollower(storelog.FollowerConfig{
		Store: d.cfg.Platform.Store, Partition: d.cfg.Platform.Registry, Clock: d.cfg.Clock, Logger: d.cfg.Logger,
		Reset: func() {
			for key := range listed {
				d.postTo(o, func() { o.machine.Unlist(workerID(key)) })
			}
			clear(listed)
		},
		Apply: func(r platform.KeyedRecord) { o.registryRecord(r, listed) },
		Pause: func() time.Duration { return registryPause },
	})
	go f.Run(o.ctx)
}

func (o *office) registryRecord(r platform.KeyedRecord, listed map[string]bool) {
	d := o.d
	if len(r.Value) == 0 {
		delete(listed, r.Key)
		d.postTo(o, func() { o.machine.Unlist(workerID(r.Key)) })
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
	d.postTo(o, func() { o.machine.List(entry, d.cfg.Clock.Now()) })
}

func (o *office) advance(now time.Duration) {
	d := o.d
	if o.machine == nil {
		if o.fencedEnd < 0 || d.cfg.StatesFollower.End() < o.fencedEnd {
			return
		}
		o.begin(now)
	}
	if now-o.lastRound > suspended {
		o.judgeFrom = now + unfitOffice
	}
	o.lastRound = now
	o.machine.Advance(now, time.Now().UnixMilli())
	o.append(now)
	for _, order := range o.machine.TakeOrders() {
		go o.execute(order)
	}
	o.report()
	o.summarize(now)
	o.judge(now)
}

// append stores what has changed, and waits a little between two appends.
func (o *office) append(now time.Duration) {
	if o.appending || now-o.lastAppend < appendInterval {
		return
	}
	batch, err := o.machine.TakeBatch(now)
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
	records = append(records, o.drops...)
	o.drops = nil
	if batch.Learned != nil {
		records = append(records, platform.KeyedRecord{Key: jobview.InterferenceModelKey, Value: batch.Learned})
	}
	if batch.Bounds != nil {
		records = append(records, platform.KeyedRecord{Key: jobview.LeaseBoundsKey, Value: batch.Bounds})
	}
	go o.store(batch, records, now)
}

func (o *office) store(batch *scheduler.Batch, records []platform.KeyedRecord, sent time.Duration) {
	d := o.d
	var err error
	if len(records) > 0 {
		_, err = o.states.Append(o.ctx, records)
	}
	d.postTo(o, func() {
		o.appending = false
		if err != nil {
			o.replaced(err)
			return
		}
		now := d.cfg.Clock.Now()
		d.cfg.Metrics.Observe("store_append", now-sent)
		d.ownership.ObserveOwnerRecord(now)
		o.machine.Stored(batch, sent, now)
	})
}

// renew appends a sign of life, or a release.
func (o *office) renew(kind ownership.RecordKind) {
	if o == nil || o.renewing {
		return
	}
	o.renewing = true
	d := o.d
	sent := d.cfg.Clock.Now()
	records := []platform.KeyedRecord{stored(d.ownership.Record(kind))}
	if kind == ownership.KindRenewal && o.machine != nil {
		records = append(records, o.expired(sent)...)
	}
	go func() {
		_, err := o.requests.Append(o.ctx, records)
		d.postTo(o, func() {
			o.renewing = false
			if err != nil {
				o.replaced(err)
				return
			}
			if o.machine != nil {
				o.machine.Renewed(sent)
			}
		})
	}()
}

// expired returns the records that drop jobs which have been over for long: the
// acceptance and the cancel here, and, with the next append, the state.
func (o *office) expired(now time.Duration) []platform.KeyedRecord {
	var out []platform.KeyedRecord
	for _, id := range o.machine.Expired(now) {
		out = append(out,
			platform.KeyedRecord{Key: jobview.Key(jobview.KindJob, id)}, platform.KeyedRecord{Key: jobview.Key(jobview.KindCancel, id)})
		o.drops = append(o.drops, platform.KeyedRecord{Key: jobview.Key(jobview.KindState, id)})
	}
	return out
}

// judge resigns if this owner reaches less than half of the workers while it
// reaches the store: another node may reach them.
func (o *office) judge(now time.Duration) {
	if _, owning := o.d.ownership.OwnToken(); !owning || now < o.judgeFrom || !o.machine.Connected(now) {
		return
	}
	silent, listed := o.machine.Silent(now, unfitAfter)
	if listed > 0 && 2*silent > listed {
		o.d.cfg.Logger.Warn("resigns", "token", o.token, "silent", silent, "listed", listed)
		o.d.ownership.MarkUnfit(now)
	}
}
