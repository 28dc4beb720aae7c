package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/platform"
)

var settings = Settings{
	Node: "n1", Incarnation: 7, OwnerTimeout: 2500 * time.Millisecond, ClaimDelay: 100 * time.Millisecond,
	RenewInterval: 800 * time.Millisecond, ResignCooldown: 6 * time.Second,
}

func claimBy(node string, incarnation uint64) Record {
	return Record{Kind: KindClaim, Node: node, Incarnation: incarnation}
}

// Guards against a claim while the owner renews its claim, and against a missing
// claim after the owner timeout.
func TestClaimOnlyAfterOwnerTimeout(t *testing.T) {
	o := New(settings, 0)
	o.Observe(claimBy("n2", 1), 4, time.Second)
	assert.Equal(t, o.NextAction(3*time.Second, 3*time.Second), Wait)
	o.ObserveOwnerRecord(3 * time.Second)
	assert.Equal(t, o.NextAction(5*time.Second, 5*time.Second), Wait)
	assert.Equal(t, o.NextAction(5700*time.Millisecond, 5700*time.Millisecond), Claim)
}

// Guards against replacing a healthy owner while this node cannot read the log.
func TestNoClaimWithoutRecentRead(t *testing.T) {
	o := New(settings, 0)
	o.Observe(claimBy("n2", 1), 4, time.Second)
	assert.Equal(t, o.NextAction(20*time.Second, 2*time.Second), Wait)
	o.RestartOwnerTimeout(20 * time.Second)
	assert.Equal(t, o.NextAction(21*time.Second, 21*time.Second), Wait)
}

// Guards against two owners: a claim at a higher offset ends the ownership of
// this node, one at a lower offset does not.
func TestNewestClaimOwns(t *testing.T) {
	o := New(settings, 0)
	o.Observe(claimBy("n1", 7), 9, time.Second)
	token, owning := o.OwnToken()
	assert.Assert(t, owning)
	assert.Equal(t, token, platform.Token(10))
	o.Observe(claimBy("n2", 1), 5, time.Second)
	_, owning = o.OwnToken()
	assert.Assert(t, owning)
	o.Observe(claimBy("n2", 1), 12, time.Second)
	_, owning = o.OwnToken()
	assert.Assert(t, !owning)
}

// An owner is cut off and replaced, the history is dropped, and it reads the renewal of the
// next owner in place of the claim. Guards against an owner that goes on with the fencing
// token of the next one.
func TestRenewalOfANewerClaimEndsTheOwnership(t *testing.T) {
	for name, leave := range map[string]func(*Ownership, Instant){
		"owning": func(*Ownership, Instant) {}, "preparing": (*Ownership).MarkLeaving, "resigning": (*Ownership).MarkUnfit,
	} {
		o := New(settings, 0)
		o.Observe(claimBy("n1", 7), 9, time.Second)
		leave(o, time.Second)
		renewal := Record{Kind: KindRenewal, Node: "n2", Incarnation: 1, Token: 13}
		o.Observe(renewal, 20, 2*time.Second)
		_, owning := o.OwnToken()
		assert.Assert(t, !owning && !o.IsResigning(), name)
		owner, token := o.Owner()
		assert.Equal(t, owner, "n2", name)
		assert.Equal(t, token, platform.Token(13), name)
		assert.Equal(t, o.NextAction(3*time.Second, 3*time.Second), Wait, name)
	}
}

// Guards against an owner that takes its own renewal, or one of a former owner that it reads
// late, for that of a newer owner.
func TestOtherRenewalsDoNotEndTheOwnership(t *testing.T) {
	o := New(settings, 0)
	o.Observe(claimBy("n1", 7), 9, time.Second)
	o.Observe(Record{Kind: KindRenewal, Node: "n2", Incarnation: 1, Token: 4}, 5, time.Second)
	o.Observe(Record{Kind: KindRenewal, Node: "n1", Incarnation: 7, Token: 10}, 11, time.Second)
	_, owning := o.OwnToken()
	assert.Assert(t, owning)
}

// Guards against waiting for the owner timeout of this node's own previous
// incarnation, and against mistaking its claim for one of this incarnation.
func TestRestartedOwnerClaimsImmediately(t *testing.T) {
	o := New(settings, 0)
	o.Observe(claimBy("n1", 6), 9, time.Second)
	_, owning := o.OwnToken()
	assert.Assert(t, !owning)
	assert.Equal(t, o.NextAction(1200*time.Millisecond, 1200*time.Millisecond), Claim)
}

// Guards against a released ownership that stays vacant for the owner timeout,
// and against the node that resigned claiming it again too early.
func TestOtherNodeClaimsImmediatelyAfterRelease(t *testing.T) {
	o := New(settings, 0)
	o.Observe(claimBy("n1", 7), 9, time.Second)
	o.MarkUnfit(2 * time.Second)
	assert.Equal(t, o.NextAction(2*time.Second, 2*time.Second), Resign)
	o.Observe(o.Record(KindRelease), 10, 2*time.Second)
	assert.Equal(t, o.NextAction(7*time.Second, 7*time.Second), Wait)
	assert.Equal(t, o.NextAction(9*time.Second, 9*time.Second), Claim)

	other := New(Settings{Node: "n2", OwnerTimeout: settings.OwnerTimeout, ClaimDelay: settings.ClaimDelay}, 0)
	other.Observe(claimBy("n1", 7), 9, time.Second)
	other.Observe(Record{Kind: KindRelease, Node: "n1", Incarnation: 7, Token: 10}, 10, 2*time.Second)
	assert.Equal(t, other.NextAction(2200*time.Millisecond, 2200*time.Millisecond), Claim)
}

// Guards against an owner that is replaced, or that releases its claim, while it
// prepares its hand-over, and against one that goes on after a newer claim.
func TestOwnerRenewsItsClaimUntilItsHandOverIsPrepared(t *testing.T) {
	o := New(settings, 0)
	o.Observe(claimBy("n1", 7), 9, time.Second)
	o.MarkLeaving(2 * time.Second)
	assert.Assert(t, o.IsPreparing() && o.IsResigning())
	assert.Equal(t, o.NextAction(2*time.Second, 2*time.Second), Renew)
	o.MarkLeaving(2200 * time.Millisecond)
	assert.Equal(t, o.NextAction(2200*time.Millisecond, 2200*time.Millisecond), Wait)
	assert.Equal(t, o.NextAction(2800*time.Millisecond, 2800*time.Millisecond), Renew)
	o.MarkUnfit(3 * time.Second)
	assert.Assert(t, !o.IsPreparing() && o.IsResigning())
	assert.Equal(t, o.NextAction(3*time.Second, 3*time.Second), Resign)

	replaced := New(settings, 0)
	replaced.Observe(claimBy("n1", 7), 9, time.Second)
	replaced.MarkLeaving(2 * time.Second)
	replaced.Observe(claimBy("n2", 1), 12, 2*time.Second)
	assert.Assert(t, !replaced.IsPreparing() && !replaced.IsResigning())
}

// Guards against a rapid series of claims: after a failed claim the log is read
// before the next one.
func TestNoNewClaimBeforeReadAfterFailedClaim(t *testing.T) {
	o := New(settings, 0)
	assert.Equal(t, o.NextAction(time.Second, time.Second), Claim)
	o.ObserveClaimFailure(1100 * time.Millisecond)
	assert.Equal(t, o.NextAction(1200*time.Millisecond, time.Second), Wait)
	assert.Equal(t, o.NextAction(1200*time.Millisecond, 1150*time.Millisecond), Claim)
}

// The owner of a large fleet dies. Guards against a much smaller node that replaces it
// while larger ones are there, against waiting where all nodes are alike, and against a
// fleet without an owner once the large nodes are gone.
func TestMuchSmallerNodeClaimsLater(t *testing.T) {
	for _, c := range []struct {
		name              string
		share, ownerShare float64
		want              time.Duration
	}{
		{"same size", 0.8, 0.8, 2600 * time.Millisecond},
		{"somewhat smaller", 0.6, 0.8, 2600 * time.Millisecond},
		{"much smaller", 0.192, 0.8, 3300 * time.Millisecond},
		{"larger", 0.8, 0.192, 2600 * time.Millisecond},
		{"unknown owner", 0.192, 0, 2600 * time.Millisecond},
	} {
		s := settings
		s.CPUShare, s.UnsuitedDelay = c.share, 700*time.Millisecond
		o := New(s, 0)
		o.ObserveOwnerShare(c.ownerShare)
		o.Observe(claimBy("n2", 1), 4, 0)
		assert.Equal(t, o.NextAction(c.want-time.Millisecond, c.want-time.Millisecond), Wait, c.name)
		assert.Equal(t, o.NextAction(c.want, c.want), Claim, c.name)
	}
}

// The owner dies while a failure domain is evacuated, often because it is about to be
// switched off. Guards against a next owner in that domain while others could claim, and
// against a fleet without an owner if they do not.
func TestNodeInEvacuatedDomainClaimsLater(t *testing.T) {
	s := settings
	s.UnsuitedDelay = 700 * time.Millisecond
	o := New(s, 0)
	o.Observe(claimBy("n2", 1), 4, 0)
	o.SetEvacuated(true)
	assert.Equal(t, o.NextAction(3200*time.Millisecond, 3200*time.Millisecond), Wait)
	assert.Equal(t, o.NextAction(3300*time.Millisecond, 3300*time.Millisecond), Claim)
	o.ObserveClaimFailure(3300 * time.Millisecond)
	o.SetEvacuated(false)
	o.Observe(claimBy("n2", 2), 9, 4*time.Second)
	assert.Equal(t, o.NextAction(6600*time.Millisecond, 6600*time.Millisecond), Claim)
}

// Guards against an odd record that makes a node wait forever or claim too early.
func TestShareRecordIsChecked(t *testing.T) {
	share, err := DecodeShare(EncodeShare(0.192))
	assert.NilError(t, err)
	assert.Equal(t, share, 0.192)
	for _, odd := range []string{"", "x", "-1", "NaN", "Inf", "1e300"} {
		_, err := DecodeShare([]byte(odd))
		assert.ErrorContains(t, err, "decode CPU share", odd)
	}
}

// Guards against a stored record that cannot be decoded.
func TestRecordEncodingRoundTrip(t *testing.T) {
	r := Record{Kind: KindRenewal, Node: "n1", Incarnation: 7, Token: 10}
	data, err := r.Encode()
	assert.NilError(t, err)
	got, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, r)
	_, err = Decode([]byte("x"))
	assert.ErrorContains(t, err, "decode ownership record")
}
