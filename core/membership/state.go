package membership

import (
	"cmp"
	"slices"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/ring"
)

// peer is what is known about another node.
type peer struct {
	// answered is when the last answer arrived; valid if hasReplied.
	answered   Instant
	hasReplied bool
	reply      Answered
}

// shardState is the state of one shard of this node's domain.
type shardState struct {
	// record is the ownership according to the log.
	record Ownership
	// recordedAt is when this record was first read.
	recordedAt Instant
	// claimedAt is when this node last asked for a claim; valid if hasClaimed.
	claimedAt  Instant
	hasClaimed bool
	// reportedAt is when the recorded owner last reported the shard, or recordedAt
	// if it has not reported it since.
	reportedAt Instant
	// needsOwnerSince is when the shard began to need a new owner; valid if
	// needsOwner.
	needsOwnerSince Instant
	needsOwner      bool
}

// State is the membership as this node sees it. Only Step changes it. It is not
// safe for concurrent use.
type State struct {
	config    Config
	ownDomain domain.FailureDomain
	startedAt Instant
	peers     map[domain.NodeID]*peer
	shards    map[domain.ShardID]*shardState
	self      SelfReport
	// lastReadAt is when the last successful log read was issued; valid if
	// hasRead.
	lastReadAt Instant
	hasRead    bool
	// latestReadOK is true if the latest log read succeeded.
	latestReadOK bool
	// remoteReplyAt is when another domain last answered; valid if
	// hasRemoteReply.
	remoteReplyAt  Instant
	hasRemoteReply bool
	// lastStepAt is when Step was last called. graceStart is the start of this
	// process or the end of its last pause. No peer timeout starts before
	// graceStart, so that a pause of this process makes no peer look dead.
	lastStepAt, graceStart Instant
}

// New returns the state of a node that starts now. Nodes that have not answered
// yet count as live for PeerTimeout, those of other domains for
// RemotePeerTimeout.
func New(c Config, now Instant) *State {
	s := &State{
		config:     c,
		ownDomain:  c.domainOf(c.Self),
		startedAt:  now,
		lastStepAt: now, graceStart: now,
		peers:  make(map[domain.NodeID]*peer),
		shards: make(map[domain.ShardID]*shardState),
	}
	for _, n := range c.Nodes {
		if n.ID != c.Self {
			s.peers[n.ID] = &peer{}
		}
	}
	return s
}

// Step processes one event and returns the claims that this node should append
// now, ordered by shard.
func (s *State) Step(now Instant, ev Event) []Claim {
	if now-s.lastStepAt >= PauseThreshold {
		s.graceStart = now
	}
	s.lastStepAt = now
	switch ev := ev.(type) {
	case Answered:
		s.answered(now, ev)
	case SelfReport:
		s.self = ev
		s.recordReports(now, s.config.Self, ev.OwnedShards)
	case LogRead:
		s.handleLogRead(now, ev)
	}
	return s.dueClaims(now)
}

func (s *State) answered(now Instant, ev Answered) {
	p := s.peers[ev.From]
	if p == nil {
		return
	}
	p.answered, p.hasReplied, p.reply = now, true, ev
	if s.config.domainOf(ev.From) != s.ownDomain {
		s.remoteReplyAt, s.hasRemoteReply = now, true
	}
	s.recordReports(now, ev.From, ev.OwnedShards)
}

// recordReports records when the owner of a shard according to the log last
// reported it.
func (s *State) recordReports(now Instant, from domain.NodeID, reports []ShardReport) {
	for _, r := range reports {
		shard := s.shards[r.Shard]
		if shard != nil && shard.record.Owner == from && shard.record.Epoch == r.Epoch {
			shard.reportedAt = now
		}
	}
}

func (s *State) handleLogRead(now Instant, ev LogRead) {
	s.latestReadOK = ev.OK
	if !ev.OK {
		return
	}
	s.lastReadAt, s.hasRead = ev.SentAt, true
	if !ev.AtEnd {
		return
	}
	for _, o := range ev.Owners {
		s.record(now, o)
	}
	s.self.OwnedShards = ev.OwnedShards
	s.recordReports(now, s.config.Self, ev.OwnedShards)
}

// record stores the ownership of a shard according to the log. A change restarts
// the owner's ServingGrace.
func (s *State) record(now Instant, o Ownership) {
	shard := s.shards[o.Shard]
	if shard == nil {
		shard = &shardState{}
		s.shards[o.Shard] = shard
	}
	if shard.record != o || shard.recordedAt == 0 {
		shard.record, shard.recordedAt, shard.reportedAt = o, now, now
	}
}

// dueClaims returns the claims that this node should append now. It returns none
// while this node stops or the log service does not answer.
func (s *State) dueClaims(now Instant) []Claim {
	if s.self.Stopping || !s.LogUp(now) {
		return nil
	}
	candidates := s.claimCandidates(now)
	var dueClaims []Claim
	for id, shard := range s.shards {
		claimReason := s.claimReason(now, id, shard, candidates)
		if claimReason == "" || (shard.hasClaimed && now-shard.claimedAt < ClaimInterval) {
			continue
		}
		shard.hasClaimed, shard.claimedAt = true, now
		dueClaims = append(dueClaims, Claim{Shard: id, Previous: shard.record.Epoch, Reason: claimReason})
	}
	slices.SortFunc(dueClaims, func(a, b Claim) int { return compareShards(a.Shard, b.Shard) })
	return dueClaims
}

// claimReason returns why this node should claim the shard, or "" if it should
// not.
func (s *State) claimReason(now Instant, id domain.ShardID, shard *shardState, candidates []domain.NodeID) string {
	o := shard.record
	if o.HasOwner() && o.Owner == s.config.Self {
		return s.ownRecordReason(id, o)
	}
	claimReason := s.vacancyReason(now, shard)
	if claimReason == "" {
		shard.needsOwner = false
		return ""
	}
	if !shard.needsOwner {
		shard.needsOwner, shard.needsOwnerSince = true, now
	}
	// A preferred node that answers pings may have lost its connection to the
	// log, so the next node claims the shard after a delay.
	rank := slices.Index(ring.RankedOwners(id, candidates), s.config.Self)
	if now-shard.needsOwnerSince < Instant(rank)*SuccessorDelay {
		return ""
	}
	return claimReason
}

// vacancyReason returns why a shard needs a new owner, or "" if it does not. The
// shard must be one that this node does not own according to the log.
func (s *State) vacancyReason(now Instant, shard *shardState) string {
	o := shard.record
	switch {
	case o.Epoch == 0:
		return "the shard never had an owner"
	case o.Released:
		return "the owner released the shard"
	case !s.Live(now, o.Owner):
		return "the owner is dead"
	case now-shard.reportedAt >= ServingGrace:
		return "the owner does not serve the shard"
	}
	return ""
}

// ownRecordReason returns why this node should claim a shard that it owns
// according to the log, or "" if it should not. If this process does not own
// the shard under that epoch, an earlier process of this node did. The state of
// that process is lost, and this node claims the shard again without waiting for
// other nodes.
func (s *State) ownRecordReason(id domain.ShardID, o Ownership) string {
	for _, h := range s.self.OwnedShards {
		if h.Shard == id && h.Epoch == o.Epoch {
			return ""
		}
	}
	return "an earlier process of this node owned the shard"
}

// claimCandidates returns the live nodes of this node's domain that are not
// stopping and may therefore claim shards.
func (s *State) claimCandidates(now Instant) []domain.NodeID {
	return slices.DeleteFunc(s.LiveInDomain(now), func(id domain.NodeID) bool {
		p := s.peers[id]
		return p != nil && p.reply.Stopping
	})
}

// Live reports whether a node counts as live: it is this node, or it answered a
// ping within the last PeerTimeout (RemotePeerTimeout in other domains). After a
// start or a pause of this process, each peer counts as live for its timeout.
func (s *State) Live(now Instant, id domain.NodeID) bool {
	if id == s.config.Self {
		return true
	}
	p := s.peers[id]
	if p == nil {
		return false
	}
	timeout := PeerTimeout
	if s.config.domainOf(id) != s.ownDomain {
		timeout = RemotePeerTimeout
	}
	lastReply := s.graceStart
	if p.hasReplied {
		lastReply = max(lastReply, p.answered)
	}
	return now-lastReply < timeout
}

// LiveInDomain returns the live nodes of this node's domain, including itself,
// ordered by id.
func (s *State) LiveInDomain(now Instant) []domain.NodeID {
	return slices.DeleteFunc(s.config.nodesIn(s.ownDomain), func(id domain.NodeID) bool { return !s.Live(now, id) })
}

// Isolated reports whether neither the log service nor another failure domain
// has answered within IsolationTimeout. A node that has just started counts as
// connected for the same time.
func (s *State) Isolated(now Instant) bool {
	lastContact := s.startedAt
	if s.hasRead {
		lastContact = max(lastContact, s.lastReadAt)
	}
	if s.hasRemoteReply {
		lastContact = max(lastContact, s.remoteReplyAt)
	}
	return now-lastContact >= IsolationTimeout
}

// LogUp reports whether the log service answers reads: the latest read succeeded
// and was issued within the last IsolationTimeout.
func (s *State) LogUp(now Instant) bool {
	return s.latestReadOK && s.hasRead && now-s.lastReadAt < IsolationTimeout
}

// Owner returns the live node that owns the shard. The nodes' own reports and
// the log are compared, and the one with the higher epoch decides. It returns
// false if the owner is unknown or not live.
func (s *State) Owner(now Instant, id domain.ShardID) (domain.NodeID, bool) {
	owner, epoch := s.reportedOwner(now, id)
	if c := s.shards[id]; c != nil && c.record.HasOwner() && c.record.Epoch > epoch {
		return c.record.Owner, s.Live(now, c.record.Owner)
	}
	return owner, epoch != 0
}

// reportedOwner returns the live node that reports the shard with the highest
// epoch, and that epoch; 0 if there is none.
func (s *State) reportedOwner(now Instant, id domain.ShardID) (owner domain.NodeID, epoch domain.Epoch) {
	s.forEachReport(now, func(n domain.NodeID, h ShardReport) {
		if h.Shard == id && h.Epoch > epoch {
			owner, epoch = n, h.Epoch
		}
	})
	return owner, epoch
}

// forEachReport calls visit with each shard that this node or a live peer reports
// as its own.
func (s *State) forEachReport(now Instant, visit func(domain.NodeID, ShardReport)) {
	for _, h := range s.self.OwnedShards {
		visit(s.config.Self, h)
	}
	for id, p := range s.peers {
		if !p.hasReplied || !s.Live(now, id) {
			continue
		}
		for _, h := range p.reply.OwnedShards {
			visit(id, h)
		}
	}
}

// ReachableShards returns shards of other failure domains that are ready and
// whose owners answer, most free slots first.
func (s *State) ReachableShards(now Instant) []domain.ShardID {
	best := make(map[domain.ShardID]ShardReport)
	s.forEachReport(now, func(_ domain.NodeID, h ShardReport) {
		if h.Shard.Domain != s.ownDomain && h.Ready && h.Epoch > best[h.Shard].Epoch {
			best[h.Shard] = h
		}
	})
	shards := make([]domain.ShardID, 0, len(best))
	for id := range best {
		shards = append(shards, id)
	}
	slices.SortFunc(shards, func(a, b domain.ShardID) int {
		return cmp.Or(cmp.Compare(best[b].FreeSlots, best[a].FreeSlots), compareShards(a, b))
	})
	return shards
}

// View is what is known about one node.
type View struct {
	Node Node
	// Self is true for the node that keeps the state.
	Self bool
	Live bool
	// Report is the node's last answer to a ping, or the current state of the
	// node that keeps the state.
	Report Answered
}

// Views returns what is known about every node in the settings, ordered by id.
func (s *State) Views(now Instant) []View {
	views := make([]View, 0, len(s.config.Nodes))
	for _, n := range s.config.Nodes {
		v := View{Node: n, Self: n.ID == s.config.Self, Live: s.Live(now, n.ID)}
		if p := s.peers[n.ID]; p != nil {
			v.Report = p.reply
		} else {
			v.Report = Answered{From: n.ID, ConfigVersion: s.self.ConfigVersion, OwnedShards: s.self.OwnedShards, Stopping: s.self.Stopping}
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	return views
}
