package dispatcher

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/ownership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
)

// Dispatcher drives the scheduling on one node.
type Dispatcher struct {
	cfg       Config
	events    chan func()
	ownership *ownership.Ownership
	// term is the current time as owner; nil on other nodes.
	term *term
	// config and evacuated are the operator's newest orders, kept for a new
	// time as owner.
	config    *platform.OperatorConfig
	evacuated map[domain.FailureDomain]bool
	// lastReadAt is the last complete read that was looked at.
	lastReadAt time.Duration
	claiming   bool
	// claimedAfter is when the log was last read before the newest claim was sent:
	// the claim was appended later.
	claimedAfter time.Duration
	// previousOwner is what is known of the owners before this process.
	previousOwner scheduler.PreviousOwner
	stopping      bool
	// ctx ends when the decision goroutine ends.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a dispatcher; Run starts it.
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

// post hands an event to the decision goroutine.
func (d *Dispatcher) post(ev func()) {
	select {
	case d.events <- ev:
	case <-d.ctx.Done():
	}
}

// Run decides until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.cancel()
	timer := time.NewTimer(ownerTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.endTerm("the process stops")
			return
		case ev := <-d.events:
			ev()
			d.drainEvents()
		case <-timer.C:
		}
		d.advance()
		timer.Reset(d.tickInterval())
	}
}

// drainEvents handles the events that wait, so that one planning round serves them.
func (d *Dispatcher) drainEvents() {
	for {
		select {
		case ev := <-d.events:
			ev()
		default:
			return
		}
	}
}

func (d *Dispatcher) tickInterval() time.Duration {
	if d.term != nil {
		return ownerTick
	}
	return followerTick
}

func (d *Dispatcher) advance() {
	now := d.cfg.Clock.Now()
	heard, ok := d.cfg.RequestsFollower.LastRead()
	if ok {
		if heard-d.lastReadAt > maxReadGap {
			d.ownership.RestartOwnerTimeout(now)
		}
		d.lastReadAt = heard
		d.performOwnershipAction(now, heard)
	}
	if d.term != nil {
		d.term.advance(now)
	}
}

func (d *Dispatcher) performOwnershipAction(now, heard time.Duration) {
	switch d.ownership.NextAction(now, heard) {
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

// claim appends a claim at the log's end as far as it was read.
func (d *Dispatcher) claim() {
	d.claiming = true
	d.claimedAfter = d.lastReadAt
	at := d.cfg.RequestsFollower.End()
	claim := d.ownership.Record(ownership.KindClaim)
	record := ownershipRecord(claim)
	owner, token := d.ownership.Owner()
	d.cfg.Logger.Info("claim", "at", at, "former_owner", owner, "former_token", token)
	go func() {
		err := d.appendClaim(record, at)
		d.post(func() {
			d.claiming = false
			d.cfg.RequestsFollower.ReadNow()
			if err != nil {
				d.cfg.Logger.Info("claim not made", "at", at, "err", err)
				d.ownership.ObserveClaimFailure(d.cfg.Clock.Now())
				return
			}
			// The log shows the claim as well; its answer is here first.
			d.observeOwner(claim, at)
		})
	}()
}
