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
	// office is the current time as owner; nil on other nodes.
	office *office
	// config and evacuated are the operator's newest orders, kept for a new
	// time as owner.
	config    *platform.OperatorConfig
	evacuated map[domain.FailureDomain]bool
	// lastHeard is the last complete read that was looked at.
	lastHeard time.Duration
	claiming  bool
	// claimedAt is when the log was last read before the newest claim was sent:
	// the claim was appended later.
	claimedAt time.Duration
	// former is what is known of the owners before this process.
	former   scheduler.Former
	stopping bool
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
		events:    make(chan func(), eventQueue),
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
			d.leaveOffice("the process stops")
			return
		case ev := <-d.events:
			ev()
			d.drain()
		case <-timer.C:
		}
		d.advance()
		timer.Reset(d.tick())
	}
}

// drain handles the events that wait, so that one planning round serves them.
func (d *Dispatcher) drain() {
	for {
		select {
		case ev := <-d.events:
			ev()
		default:
			return
		}
	}
}

func (d *Dispatcher) tick() time.Duration {
	if d.office != nil {
		return ownerTick
	}
	return followerTick
}

func (d *Dispatcher) advance() {
	now := d.cfg.Clock.Now()
	heard, ok := d.cfg.RequestsFollower.Heard()
	if ok {
		if heard-d.lastHeard > blindGap {
			d.ownership.RestartOwnerTimeout(now)
		}
		d.lastHeard = heard
		d.decideOwnership(now, heard)
	}
	if d.office != nil {
		d.office.advance(now)
	}
}

func (d *Dispatcher) decideOwnership(now, heard time.Duration) {
	switch d.ownership.NextAction(now, heard) {
	case ownership.Claim:
		if d.stopping || d.claiming {
			d.ownership.ObserveClaimFailure(d.cfg.Clock.Now())
			return
		}
		d.claim()
	case ownership.Renew:
		d.office.renew(ownership.KindRenewal)
	case ownership.Resign:
		if d.office != nil {
			d.office.renew(ownership.KindRelease)
		}
	}
}

// claim appends a claim at the log's end as far as it was read.
func (d *Dispatcher) claim() {
	d.claiming = true
	d.claimedAt = d.lastHeard
	at := d.cfg.RequestsFollower.End()
	claim := d.ownership.Record(ownership.KindClaim)
	record := stored(claim)
	owner, token := d.ownership.Owner()
	d.cfg.Logger.Info("claim", "at", at, "former_owner", owner, "former_token", token)
	go func() {
		err := d.claimOnce(record, at)
		d.post(func() {
			d.claiming = false
			d.cfg.RequestsFollower.Hurry()
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
