package ownership

import (
	"time"

	"github.com/basilferry/basilferry/core/chart"
	"github.com/basilferry/basilferry/core/platform"
)

// Instant is a time on the node's monotonic clock.
type Instant = time.Duration

// Settings identify this process and hold the timeouts of ownership.
type Settings struct {
	// Node is the name of this node, and Incarnation identifies this process: a
	// restarted node has a new one.
	Node        string
	Incarnation uint64
	// OwnerTimeout is how long after its last record the owner is replaced.
	OwnerTimeout time.Duration
	// ClaimDelay delays the claims of this node, so that better suited nodes
	// claim first.
	ClaimDelay time.Duration
	// RenewInterval is the time between two renewals of a claim.
	RenewInterval time.Duration
	// ResignCooldown is how long a node that resigned does not claim ownership.
	ResignCooldown time.Duration
	// CPUShare is the share of a core that this node has. A node with less than
	// smallNodeRatio of the share of the latest owner delays its claims by
	// UnsuitedDelay: it would be a much slower owner, and nodes like the latest one
	// probably exist. So does a node in an evacuated failure domain.
	CPUShare      float64
	UnsuitedDelay time.Duration
}

// smallNodeRatio is the ratio of two nodes' CPU shares up to which the smaller one
// counts as much slower.
const smallNodeRatio = 0.6

// Action is what the node should do next.
type Action uint8

// Actions that NextAction returns.
const (
	// Wait: nothing is due.
	Wait Action = iota
	// Claim: append a claim at the log's end.
	Claim
	// Renew: append a renewal.
	Renew
	// Resign: append a release.
	Resign
)

// States and events of the state chart "ownership".
const (
	following = chart.State("following")
	owning    = chart.State("owning")
	preparing = chart.State("preparing")
	resigning = chart.State("resigning")

	ownerSilent  = chart.Event("owner_silent")
	otherClaimed = chart.Event("other_claimed")
	claimFailed  = chart.Event("claim_failed")
	selfClaimed  = chart.Event("self_claimed")
	leaving      = chart.Event("leaving")
	unfit        = chart.Event("unfit")
	released     = chart.Event("released")
)

// Ownership is one node's view of who the owner is.
type Ownership struct {
	settings Settings
	chart    *chart.Chart
	state    chart.State
	// owner is the record of the newest claim or of a later renewal, and token
	// its fencing token. vacant is true if the claim was released, its process
	// is known to have ended, or there is no claim.
	owner  Record
	token  platform.Token
	vacant bool
	// ownerShare is the CPU share of the latest owner that has stored it; 0 if none has.
	ownerShare float64
	// evacuated is true while this node's failure domain is evacuated.
	evacuated bool
	// ownerSeenAt is when a record of the owner was last read.
	ownerSeenAt Instant
	// renewedAt is when this owner last renewed its claim.
	renewedAt Instant
	// claimFailedAt is when the last claim failed. The log must be read again
	// before the next one.
	claimFailedAt Instant
	// cooldownUntil is until when this node does not claim because it resigned.
	cooldownUntil Instant
}

// New returns the view of a node that has not read any record.
func New(s Settings, now Instant) *Ownership {
	c := chart.MustLoad("ownership")
	return &Ownership{settings: s, chart: c, state: c.Initial(), vacant: true, ownerSeenAt: now}
}

func (o *Ownership) transition(ev chart.Event) {
	if next, err := o.chart.Next(o.state, ev); err == nil {
		o.state = next
	}
}

// OwnToken returns the newest fencing token and whether this process is the
// owner that it belongs to.
func (o *Ownership) OwnToken() (platform.Token, bool) { return o.token, o.state == owning }

// IsResigning reports whether this process is the owner and its release is not stored
// yet.
func (o *Ownership) IsResigning() bool { return o.state == preparing || o.state == resigning }

// IsPreparing reports whether this process is the owner and prepares a hand-over: it
// renews its claim until MarkUnfit.
func (o *Ownership) IsPreparing() bool { return o.state == preparing }

// Owner returns the name of the owner and the newest fencing token. The name is
// empty if there is no owner.
func (o *Ownership) Owner() (string, platform.Token) {
	if o.vacant {
		return "", o.token
	}
	return o.owner.Node, o.token
}

// LastClaim returns the fencing token of the newest claim, and whether the
// process that made the claim is known to have ended.
func (o *Ownership) LastClaim() (token platform.Token, ended bool) {
	return o.token, o.isPreviousIncarnation(o.owner)
}

// IsOwn reports whether this process wrote the record.
func (o *Ownership) IsOwn(r Record) bool {
	return r.Node == o.settings.Node && r.Incarnation == o.settings.Incarnation
}

// Record returns a new record of this process. A renewal or release carries the
// fencing token of the claim that it renews or releases.
func (o *Ownership) Record(kind RecordKind) Record {
	r := Record{Kind: kind, Node: o.settings.Node, Incarnation: o.settings.Incarnation}
	if kind != KindClaim {
		r.Token = o.token
	}
	return r
}

// Observe records an ownership record that was read at an offset.
func (o *Ownership) Observe(r Record, offset int64, now Instant) {
	switch r.Kind {
	case KindClaim:
		o.observeClaim(r, TokenAt(offset), now)
	case KindRenewal:
		if r.Token > o.token && !o.IsOwn(r) {
			// Its claim was in the history that was dropped before it was read.
			o.transition(otherClaimed)
		}
		if r.Token >= o.token {
			o.token, o.owner, o.vacant, o.ownerSeenAt = r.Token, r, o.isPreviousIncarnation(r), now
		}
	case KindRelease:
		if r.Token >= o.token {
			o.token, o.vacant = r.Token, true
			o.transition(released)
		}
	}
}

// isPreviousIncarnation reports whether a previous process of this node wrote
// the record. Its ownership has certainly ended.
func (o *Ownership) isPreviousIncarnation(r Record) bool {
	return r.Node == o.settings.Node && r.Incarnation != o.settings.Incarnation
}

func (o *Ownership) observeClaim(r Record, token platform.Token, now Instant) {
	if token <= o.token {
		return
	}
	o.owner, o.token, o.vacant, o.ownerSeenAt = r, token, o.isPreviousIncarnation(r), now
	if o.IsOwn(r) {
		o.renewedAt = now
		o.transition(selfClaimed)
		return
	}
	o.transition(otherClaimed)
}

// ObserveOwnerRecord records that a record that only the owner writes was read
// or, by the owner itself, appended.
func (o *Ownership) ObserveOwnerRecord(now Instant) { o.ownerSeenAt = now }

// ObserveClaimFailure records that a claim that NextAction returned was not made
// or could not be appended.
func (o *Ownership) ObserveClaimFailure(now Instant) {
	o.claimFailedAt = now
	o.transition(claimFailed)
}

// ObserveReplacement records that the store refused the epoch of this owner, so
// another node is the owner.
func (o *Ownership) ObserveReplacement(now Instant) {
	o.ownerSeenAt = now
	o.transition(otherClaimed)
}

// MarkLeaving makes this owner prepare a hand-over, for example because its process is
// about to stop. MarkUnfit ends the preparation.
func (o *Ownership) MarkLeaving(now Instant) {
	o.cooldownUntil = now + o.settings.ResignCooldown
	o.transition(leaving)
}

// MarkUnfit makes this owner resign, for example because it reaches few workers
// or because its hand-over is prepared. It also keeps this node from claiming
// ownership for the resign cooldown.
func (o *Ownership) MarkUnfit(now Instant) {
	o.cooldownUntil = now + o.settings.ResignCooldown
	o.renewedAt = now - o.settings.RenewInterval
	o.transition(unfit)
}

// NextAction returns what is due. lastRead is when the log was last read to its
// end: while the log cannot be read, the time since the last record of the
// owner does not show whether the owner is still working.
func (o *Ownership) NextAction(now, lastRead Instant) Action {
	switch o.state {
	case owning, preparing:
		if now-o.renewedAt >= o.settings.RenewInterval {
			o.renewedAt = now
			return Renew
		}
	case resigning:
		if now-o.renewedAt >= o.settings.RenewInterval {
			o.renewedAt = now
			return Resign
		}
	case following:
		if o.mayClaim(now, lastRead) {
			o.transition(ownerSilent)
			return Claim
		}
	}
	return Wait
}

// maxReadAge is the maximum age of the last complete read of the log at which a
// node may claim ownership.
const maxReadAge = 800 * time.Millisecond

func (o *Ownership) mayClaim(now, lastRead Instant) bool {
	if now < o.cooldownUntil || now-lastRead > maxReadAge || lastRead < o.claimFailedAt {
		return false
	}
	sinceOwnerSeen := now - o.ownerSeenAt
	if o.vacant {
		return sinceOwnerSeen >= o.claimDelay()
	}
	return sinceOwnerSeen >= o.settings.OwnerTimeout+o.claimDelay()
}

func (o *Ownership) claimDelay() time.Duration {
	isSmall := o.settings.CPUShare < smallNodeRatio*o.ownerShare && !o.isPreviousIncarnation(o.owner)
	if isSmall || o.evacuated {
		return o.settings.ClaimDelay + o.settings.UnsuitedDelay
	}
	return o.settings.ClaimDelay
}

// SetEvacuated records whether this node's failure domain is evacuated.
func (o *Ownership) SetEvacuated(evacuated bool) { o.evacuated = evacuated }

// ObserveOwnerShare records the CPU share of an owner.
func (o *Ownership) ObserveOwnerShare(share float64) { o.ownerShare = share }

// RestartOwnerTimeout starts the owner's timeout anew. It is called when the
// log can be read again after an outage, during which the owner may have been
// unable to append renewals.
func (o *Ownership) RestartOwnerTimeout(now Instant) { o.ownerSeenAt = now }
