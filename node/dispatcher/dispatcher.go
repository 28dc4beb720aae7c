package dispatcher

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/ownership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
)

// Dispatcher claims ownership for one node and schedules while it is the owner.
type Dispatcher struct {
	cfg       Config
	events    chan func()
	ownership *ownership.Ownership
	// term is the current ownership term; nil while this node is not the owner.
	term *term
	// config and evacuated are the operator's latest configuration and evacuated
	// failure domains. They are kept for the next term.
	config    *platform.OperatorConfig
	evacuated map[domain.FailureDomain]bool
	// operatorRead is true once all operator records have been read.
	operatorRead bool
	// lastReadAt is when the log was last read to its end, as of the last call of
	// advance.
	lastReadAt time.Duration
	// claiming is true while a claim is being appended.
	claiming bool
	// claimedAfter is when the log was last read to its end before the latest claim
	// was sent. The claim was appended after this time.
	claimedAfter time.Duration
	// previousOwner is what is known about the owners before this process.
	previousOwner scheduler.PreviousOwner
	// stopping is true once the process is about to stop. It prevents new claims.
	stopping bool
	// ctx ends when the decision goroutine ends.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a dispatcher. Run must be called to start it.
func New(cfg Config) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		ctx:       ctx,
		cancel:    cancel,
		cfg:       cfg,
		events:    make(chan func(), eventQueueLength),
		ownership: ownership.New(cfg.Ownership, cfg.Clock.Now()),
		evacuated: map[domain.FailureDomain]bool{},
	}
}

// post queues an event for the decision goroutine.
func (d *Dispatcher) post(ev func()) {
	select {
	case d.events <- ev:
	case <-d.ctx.Done():
	}
}

// Run handles events and makes decisions until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.cancel()
	timer := time.NewTimer(ownerTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.endTerm("the process is stopping")
			return
		case ev := <-d.events:
			d.guarded("event", ev)
			d.drainEvents()
		case <-timer.C:
		}
		d.guarded("scheduling round", d.advance)
		timer.Reset(d.tickInterval())
	}
}

// drainEvents handles all queued events, so that one scheduling round covers
// them.
func (d *Dispatcher) drainEvents() {
	for {
		select {
		case ev := <-d.events:
			d.guarded("event", ev)
		default:
			return
		}
	}
}

// guarded calls f in the decision goroutine. If f panics, the scheduler's state may be
// inconsistent, so the term ends: the next owner, perhaps this node, restores it from
// the store.
func (d *Dispatcher) guarded(name string, f func()) {
	if err := d.cfg.Guard.Do(name, f); err != nil {
		d.abandonTerm(err)
	}
}

// abandonTerm ends the current term because of a defect.
func (d *Dispatcher) abandonTerm(err error) {
	if d.term == nil {
		return
	}
	d.ownership.ObserveReplacement(d.cfg.Clock.Now())
	d.endTerm(err.Error())
}

// background runs f in a goroutine. If f panics, failed is called in the decision
// goroutine.
func (d *Dispatcher) background(name string, f func(), failed func(error)) {
	go func() {
		if err := d.cfg.Guard.Do(name, f); err != nil {
			d.post(func() { failed(err) })
		}
	}()
}

func (d *Dispatcher) tickInterval() time.Duration {
	if d.term != nil {
		return ownerTick
	}
	return followerTick
}

// advance performs the ownership action that is due and, while this node is the
// owner, a scheduling round.
func (d *Dispatcher) advance() {
	now := d.cfg.Clock.Now()
	lastRead, ok := d.cfg.RequestsFollower.LastRead()
	if ok {
		if lastRead-d.lastReadAt > maxReadGap {
			d.ownership.RestartOwnerTimeout(now)
		}
		d.lastReadAt = lastRead
		d.performOwnershipAction(now, lastRead)
	}
	if d.term != nil {
		d.term.advance(now)
	}
}

func (d *Dispatcher) performOwnershipAction(now, lastRead time.Duration) {
	switch d.ownership.NextAction(now, lastRead) {
	case ownership.Claim:
		if d.stopping || d.claiming {
			d.ownership.ObserveClaimFailure(d.cfg.Clock.Now())
			return
		}
		d.claim()
	case ownership.Renew:
		d.term.appendOwnershipRecord(ownership.KindRenewal)
	case ownership.Resign:
		if d.term != nil {
			d.term.appendOwnershipRecord(ownership.KindRelease)
		}
	}
}

// claim appends a claim, on condition that the log still ends where this node
// has read it to.
func (d *Dispatcher) claim() {
	d.claiming = true
	d.claimedAfter = d.lastReadAt
	at := d.cfg.RequestsFollower.End()
	claim := d.ownership.Record(ownership.KindClaim)
	record := ownershipRecord(claim)
	owner, token := d.ownership.Owner()
	d.cfg.Logger.Info("claiming ownership", "at", at, "former_owner", owner, "former_token", token)
	claimFailed := func(err error) {
		d.claiming = false
		d.cfg.Logger.Info("ownership claim failed", "at", at, "err", err)
		d.ownership.ObserveClaimFailure(d.cfg.Clock.Now())
	}
	d.background("claim", func() {
		err := d.appendClaim(record, at)
		d.post(func() {
			d.cfg.RequestsFollower.ReadNow()
			if err != nil {
				claimFailed(err)
				return
			}
			d.claiming = false
			// The follower reads the claim too, but usually after this response.
			d.observeOwner(claim, at)
		})
	}, claimFailed)
}
