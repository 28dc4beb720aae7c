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
	Node string
	Boot uint64
	// Silence is how long the owner may show no life before it is replaced.
	Silence time.Duration
	// Handicap delays this node's claims, so that better suited nodes come first.
	Handicap time.Duration
	// RenewEvery is the time between two signs of life.
	RenewEvery time.Duration
	// Rest is how long a node that resigned does not claim.
	Rest time.Duration
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
	// lifeAt is when the owner last showed life.
	lifeAt Instant
	// renewedAt is when this owner last sent a sign of life.
	renewedAt Instant
	// failedAt is when the last claim failed; the log is read again before the
	// next one.
	failedAt Instant
	// restUntil keeps a node that resigned from claiming again.
	restUntil Instant
}

// New returns the view of a node that has read nothing yet.
func New(s Settings, now Instant) *Ownership {
	c := chart.MustLoad("ownership")
	return &Ownership{settings: s, chart: c, state: c.Initial(), vacant: true, lifeAt: now}
}

func (o *Ownership) move(ev chart.Event) {
	if next, err := o.chart.Next(o.state, ev); err == nil {
		o.state = next
	}
}

// Owning reports whether this process is the owner, and its token.
func (o *Ownership) Owning() (platform.Token, bool) { return o.token, o.state == owning }

// Owner returns the owner's name and token; the name is empty if there is none.
func (o *Ownership) Owner() (string, platform.Token) {
	if o.vacant {
		return "", o.token
	}
	return o.owner.Node, o.token
}

// Last returns the token of the newest claim, and whether its process has
// surely ended.
func (o *Ownership) Last() (token platform.Token, dead bool) {
	return o.token, o.formerSelf(o.owner)
}

// Mine reports whether this process wrote the record.
func (o *Ownership) Mine(r Record) bool {
	return r.Node == o.settings.Node && r.Boot == o.settings.Boot
}

// Record returns a record of this process. A renewal or release carries the
// token of the ownership that it is about.
func (o *Ownership) Record(kind RecordKind) Record {
	r := Record{Kind: kind, Node: o.settings.Node, Boot: o.settings.Boot}
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
			o.token, o.owner, o.vacant, o.lifeAt = r.Token, r, o.formerSelf(r), now
		}
	case KindRelease:
		if r.Token >= o.token {
			o.token, o.vacant = r.Token, true
			o.move(released)
		}
	}
}

// formerSelf reports whether the writer was this node in a former life of its
// process, so that its ownership has surely ended.
func (o *Ownership) formerSelf(r Record) bool {
	return r.Node == o.settings.Node && r.Boot != o.settings.Boot
}

func (o *Ownership) observeClaim(r Record, token platform.Token, now Instant) {
	if token <= o.token {
		return
	}
	o.owner, o.token, o.vacant, o.lifeAt = r, token, o.formerSelf(r), now
	if o.Mine(r) {
		o.renewedAt = now
		o.move(selfClaimed)
		return
	}
	o.move(otherClaimed)
}

// ObserveLife takes note of a record that only the owner writes.
func (o *Ownership) ObserveLife(now Instant) { o.lifeAt = now }

// ClaimFailed takes note that a claim was not appended.
func (o *Ownership) ClaimFailed(now Instant) {
	o.failedAt = now
	o.move(claimFailed)
}

// Replaced takes note that the store has refused this owner's epoch.
func (o *Ownership) Replaced(now Instant) {
	o.lifeAt = now
	o.move(otherClaimed)
}

// Unfit makes an owner resign that cannot do its work, for example because it
// reaches few workers.
func (o *Ownership) Unfit(now Instant) {
	o.restUntil = now + o.settings.Rest
	o.renewedAt = now - o.settings.RenewEvery
	o.move(unfit)
}

// Decide returns what is due. Heard is when the log was last read to its end:
// while it cannot be read, silence proves nothing.
func (o *Ownership) Decide(now, heard Instant) Action {
	switch o.state {
	case owning:
		if now-o.renewedAt >= o.settings.RenewEvery {
			o.renewedAt = now
			return Renew
		}
	case resigning:
		if now-o.renewedAt >= o.settings.RenewEvery {
			o.renewedAt = now
			return Resign
		}
	case following:
		if o.mayClaim(now, heard) {
			o.move(ownerSilent)
			return Claim
		}
	}
	return Wait
}

// freshRead is how old the last complete read may be for a claim.
const freshRead = 800 * time.Millisecond

func (o *Ownership) mayClaim(now, heard Instant) bool {
	if now < o.restUntil || now-heard > freshRead || heard < o.failedAt {
		return false
	}
	silence := now - o.lifeAt
	if o.vacant {
		return silence >= o.settings.Handicap
	}
	return silence >= o.settings.Silence+o.settings.Handicap
}

// ResetSilence starts the owner's silence anew. It is called when the log can
// be read again after a time without: the owner may have been as blind.
func (o *Ownership) ResetSilence(now Instant) { o.lifeAt = now }
