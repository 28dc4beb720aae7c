package membership

import (
	"cmp"
	"slices"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/ring"
)

// peer is what is known of another node.
type peer struct {
	// answered is when the last answer came; valid if heard.
	answered   Instant
	hasReplied bool
	reply      Answered
}

// shardState is the state of one shard of the own domain.
type shardState struct {
	record Ownership
	// recordedAt is when this record was first read.
	recordedAt Instant
	// claimedAt is when this node last asked for a claim; valid if asked.
	claimedAt  Instant
	hasClaimed bool
	// reportedAt is when the recorded owner last reported the shard.
	reportedAt Instant
	// needsOwnerSince is from when on the shard has needed a new owner; valid if free.
	needsOwnerSince Instant
	needsOwner      bool
}

// State is the membership as this node sees it. It is changed by Step only and
// used from one goroutine.
type State struct {
	config    Config
	ownDomain domain.FailureDomain
	startedAt Instant
	peers     map[domain.NodeID]*peer
	shards    map[domain.ShardID]*shardState
	self      SelfReport
	// lastReadAt is when the last good log read was issued; valid if readOK.
	lastReadAt Instant
	hasRead    bool
	// latestReadOK tells whether the latest read was good.
	latestReadOK bool
	// farReplyAt is the last answer of another domain; valid if farAny.
	farReplyAt  Instant
	hasFarReply bool
	// lastStepAt is when Step was last called, graceFrom from when on silent peers
	// count as dead: the start, or the end of a pause of this process.
	lastStepAt, graceStart Instant
}

// New returns the state of a node that starts now. Nodes that have not answered
// yet count as live for PeerTimeout.
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

// Step takes one event and returns the claims that this node should append now,
// ordered by shard.
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
		s.farReplyAt, s.hasFarReply = now, true
	}
	s.recordReports(now, ev.From, ev.OwnedShards)
}

// recordReports remembers when the recorded owner of a shard last reported it.
func (s *State) recordReports(now Instant, from domain.NodeID, holdings []ShardReport) {
	for _, h := range holdings {
		c := s.shards[h.Shard]
		if c != nil && c.record.Owner == from && c.record.Epoch == h.Epoch {
			c.reportedAt = now
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

func (s *State) record(now Instant, o Ownership) {
	c := s.shards[o.Shard]
	if c == nil {
		c = &shardState{}
		s.shards[o.Shard] = c
	}
	if c.record != o || c.recordedAt == 0 {
		c.record, c.recordedAt, c.reportedAt = o, now, now
	}
}

// dueClaims returns the shards that this node should claim now.
func (s *State) dueClaims(now Instant) []Claim {
	if s.self.Stopping || !s.LogUp(now) {
		return nil
	}
	live := s.claimCandidates(now)
	var dueClaims []Claim
	for id, c := range s.shards {
		claimReason := s.claimReason(now, id, c, live)
		if claimReason == "" || (c.hasClaimed && now-c.claimedAt < ClaimInterval) {
			continue
		}
		c.hasClaimed, c.claimedAt = true, now
		dueClaims = append(dueClaims, Claim{Shard: id, Previous: c.record.Epoch, Reason: claimReason})
	}
	slices.SortFunc(dueClaims, func(a, b Claim) int { return compareShards(a.Shard, b.Shard) })
	return dueClaims
}

// claimReason tells why this node should claim the shard; empty if it should not.
func (s *State) claimReason(now Instant, id domain.ShardID, c *shardState, live []domain.NodeID) string {
	o := c.record
	if o.HasOwner() && o.Owner == s.config.Self {
		return s.ownRecordReason(id, o)
	}
	claimReason := s.vacancyReason(now, c)
	if claimReason == "" {
		c.needsOwner = false
		return ""
	}
	if !c.needsOwner {
		c.needsOwner, c.needsOwnerSince = true, now
	}
	// A preferred node that answers pings may be cut off from the log, so the
	// next one follows after a while.
	rank := slices.Index(ring.RankedOwners(id, live), s.config.Self)
	if now-c.needsOwnerSince < Instant(rank)*SuccessorDelay {
		return ""
	}
	return claimReason
}

// vacancyReason tells why a shard that is recorded for no node or another node
// needs a new owner; empty if it does not.
func (s *State) vacancyReason(now Instant, c *shardState) string {
	o := c.record
	switch {
	case o.Epoch == 0:
		return "the shard never had an owner"
	case o.Released:
		return "the owner released the shard"
	case !s.Live(now, o.Owner):
		return "the owner is dead"
	case now-c.reportedAt >= ServingGrace:
		return "the owner does not serve the shard"
	}
	return ""
}

// ownRecordReason covers a record of this node's earlier process: its machine is gone
// and no other node is needed to replace it.
func (s *State) ownRecordReason(id domain.ShardID, o Ownership) string {
	for _, h := range s.self.OwnedShards {
		if h.Shard == id && h.Epoch == o.Epoch {
			return ""
		}
	}
	return "an earlier process of this node owned the shard"
}

// claimCandidates returns the live nodes of the own domain that claim shards.
func (s *State) claimCandidates(now Instant) []domain.NodeID {
	return slices.DeleteFunc(s.LiveInDomain(now), func(id domain.NodeID) bool {
		p := s.peers[id]
		return p != nil && p.reply.Stopping
	})
}

// Live reports whether a node answers.
func (s *State) Live(now Instant, id domain.NodeID) bool {
	if id == s.config.Self {
		return true
	}
	p := s.peers[id]
	if p == nil {
		return false
	}
	limit := PeerTimeout
	if s.config.domainOf(id) != s.ownDomain {
		limit = FarPeerTimeout
	}
	last := s.graceStart
	if p.hasReplied {
		last = max(last, p.answered)
	}
	return now-last < limit
}

// LiveInDomain returns the live nodes of the own domain, this node included,
// ordered by id.
func (s *State) LiveInDomain(now Instant) []domain.NodeID {
	return slices.DeleteFunc(s.config.nodesIn(s.ownDomain), func(id domain.NodeID) bool { return !s.Live(now, id) })
}

// Isolated reports whether neither the log service nor another failure domain
// has answered within IsolationTimeout. A node that has just started counts as
// connected for as long.
func (s *State) Isolated(now Instant) bool {
	last := s.startedAt
	if s.hasRead {
		last = max(last, s.lastReadAt)
	}
	if s.hasFarReply {
		last = max(last, s.farReplyAt)
	}
	return now-last >= IsolationTimeout
}

// LogUp reports whether the log service answers reads.
func (s *State) LogUp(now Instant) bool {
	return s.latestReadOK && s.hasRead && now-s.lastReadAt < IsolationTimeout
}

// Owner returns the live node that is known to own the shard: by its own
// account, else by the log.
func (s *State) Owner(now Instant, id domain.ShardID) (domain.NodeID, bool) {
	owner, epoch := s.reportedOwner(now, id)
	if c := s.shards[id]; c != nil && c.record.HasOwner() && c.record.Epoch > epoch {
		return c.record.Owner, s.Live(now, c.record.Owner)
	}
	return owner, epoch != 0
}

// reportedOwner returns the live node that reports the shard with the highest epoch.
func (s *State) reportedOwner(now Instant, id domain.ShardID) (owner domain.NodeID, epoch domain.Epoch) {
	s.forEachReport(now, func(n domain.NodeID, h ShardReport) {
		if h.Shard == id && h.Epoch > epoch {
			owner, epoch = n, h.Epoch
		}
	})
	return owner, epoch
}

// forEachReport visits the holdings of this node and all live nodes.
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

// View is what is known of one node.
type View struct {
	Node Node
	// Self tells that this is the node whose view it is.
	Self   bool
	Live   bool
	Report Answered
}

// Views returns what is known of every node in the settings, ordered by id.
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
