package ownership

import (
	"time"

	"github.com/basilferry/basilferry/core/chart"
	"github.com/basilferry/basilferry/core/platform"
)

// Instant is a time on the node's steady clock.
type Instant = time.Duration

// Settings are the time-outs of the ownership.
type Settings struct {
	// Node and Boot name this process.
	Node        string
	Incarnation uint64
	// OwnerTimeout is how long the owner may show no life before it is replaced.
	OwnerTimeout time.Duration
	// ClaimDelay delays this node's claims, so that better suited nodes come first.
	ClaimDelay time.Duration
	// RenewInterval is the time between two signs of life.
	RenewInterval time.Duration
	// ResignCooldown is how long a node that resigned does not claim.
	ResignCooldown time.Duration
}

// Action is what the driver should do.
type Action uint8

// Actions.
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

// The states and events of the chart.
const (
	following = chart.State("following")
	owning    = chart.State("owning")
	resigning = chart.State("resigning")

	ownerSilent  = chart.Event("owner_silent")
	otherClaimed = chart.Event("other_claimed")
	claimFailed  = chart.Event("claim_failed")
	selfClaimed  = chart.Event("self_claimed")
	unfit        = chart.Event("unfit")
	released     = chart.Event("released")
)

// Ownership is one node's view of who schedules.
type Ownership struct {
	settings Settings
	chart    *chart.Chart
	state    chart.State
	// owner is the last claim in the log; vacant if it was released or there
	// is none.
	owner  Record
	token  platform.Token
	vacant bool
	// ownerSeenAt is when the owner last showed life.
	ownerSeenAt Instant
	// renewedAt is when this owner last sent a sign of life.
	renewedAt Instant
	// claimFailedAt is when the last claim failed; the log is read again before the
	// next one.
	claimFailedAt Instant
	// cooldownUntil keeps a node that resigned from claiming again.
	cooldownUntil Instant
}

// New returns the view of a node that has read nothing yet.
func New(s Settings, now Instant) *Ownership {
	c := chart.MustLoad("ownership")
	return &Ownership{settings: s, chart: c, state: c.Initial(), vacant: true, ownerSeenAt: now}
}

func (o *Ownership) transition(ev chart.Event) {
	if next, err := o.chart.Next(o.state, ev); err == nil {
		o.state = next
	}
}

// OwnToken reports whether this process is the owner, and its token.
func (o *Ownership) OwnToken() (platform.Token, bool) { return o.token, o.state == owning }

// Owner returns the owner's name and token; the name is empty if there is none.
func (o *Ownership) Owner() (string, platform.Token) {
	if o.vacant {
		return "", o.token
	}
	return o.owner.Node, o.token
}

// LastClaim returns the token of the newest claim, and whether its process has
// surely ended.
func (o *Ownership) LastClaim() (token platform.Token, dead bool) {
	return o.token, o.isPreviousIncarnation(o.owner)
}

// IsOwn reports whether this process wrote the record.
func (o *Ownership) IsOwn(r Record) bool {
	return r.Node == o.settings.Node && r.Incarnation == o.settings.Incarnation
}

// Record returns a record of this process. A renewal or release carries the
// token of the ownership that it is about.
func (o *Ownership) Record(kind RecordKind) Record {
	r := Record{Kind: kind, Node: o.settings.Node, Incarnation: o.settings.Incarnation}
	if kind != KindClaim {
		r.Token = o.token
	}
	return r
}

// Observe takes note of an ownership record that was read at an offset.
func (o *Ownership) Observe(r Record, offset int64, now Instant) {
	switch r.Kind {
	case KindClaim:
		o.observeClaim(r, TokenAt(offset), now)
	case KindRenewal:
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

// isPreviousIncarnation reports whether the writer was this node in a former life of its
// process, so that its ownership has surely ended.
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

// ObserveOwnerRecord takes note of a record that only the owner writes.
func (o *Ownership) ObserveOwnerRecord(now Instant) { o.ownerSeenAt = now }

// ObserveClaimFailure takes note that a claim was not appended.
func (o *Ownership) ObserveClaimFailure(now Instant) {
	o.claimFailedAt = now
	o.transition(claimFailed)
}

// ObserveReplacement takes note that the store has refused this owner's epoch.
func (o *Ownership) ObserveReplacement(now Instant) {
	o.ownerSeenAt = now
	o.transition(otherClaimed)
}

// MarkUnfit makes an owner resign that cannot do its work, for example because it
// reaches few workers.
func (o *Ownership) MarkUnfit(now Instant) {
	o.cooldownUntil = now + o.settings.ResignCooldown
	o.renewedAt = now - o.settings.RenewInterval
	o.transition(unfit)
}

// NextAction returns what is due. Heard is when the log was last read to its end:
// while it cannot be read, silence proves nothing.
func (o *Ownership) NextAction(now, lastRead Instant) Action {
	switch o.state {
	case owning:
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

// maxReadAge is how old the last complete read may be for a claim.
const maxReadAge = 800 * time.Millisecond

func (o *Ownership) mayClaim(now, lastRead Instant) bool {
	if now < o.cooldownUntil || now-lastRead > maxReadAge || lastRead < o.claimFailedAt {
		return false
	}
	silence := now - o.ownerSeenAt
	if o.vacant {
		return silence >= o.settings.ClaimDelay
	}
	return silence >= o.settings.OwnerTimeout+o.settings.ClaimDelay
}

// RestartOwnerTimeout starts the owner's silence anew. It is called when the log can
// be read again after a time without: the owner may have been as blind.
func (o *Ownership) RestartOwnerTimeout(now Instant) { o.ownerSeenAt = now }
