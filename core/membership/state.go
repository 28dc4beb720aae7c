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
	answered Instant
	heard    bool
	report   Answered
}

// claimed is the state of one shard of the own domain.
type claimed struct {
	record Ownership
	// since is when this record was first read.
	since Instant
	// claimedAt is when this node last asked for a claim; valid if asked.
	claimedAt Instant
	asked     bool
	// reportedAt is when the recorded owner last reported the shard.
	reportedAt Instant
	// freeAt is from when on the shard has needed a new owner; valid if free.
	freeAt Instant
	free   bool
}

// State is the membership as this node sees it. It is changed by Step only and
// used from one goroutine.
type State struct {
	config  Config
	own     domain.FailureDomain
	started Instant
	peers   map[domain.NodeID]*peer
	shards  map[domain.ShardID]*claimed
	self    Held
	// readAt is when the last good log read was issued; valid if readOK.
	readAt Instant
	readOK bool
	// lastRead tells whether the latest read was good.
	lastRead bool
	// farAt is the last answer of another domain; valid if farAny.
	farAt  Instant
	farAny bool
	// stepped is when Step was last called, graceFrom from when on silent peers
	// count as dead: the start, or the end of a pause of this process.
	stepped, graceFrom Instant
}

// New returns the state of a node that starts now. Nodes that have not answered
// yet count as live for DeadAfter.
func New(c Config, now Instant) *State {
	s := &State{
		config:  c,
		own:     c.domainOf(c.Self),
		started: now,
		stepped: now, graceFrom: now,
		peers:  make(map[domain.NodeID]*peer),
		shards: make(map[domain.ShardID]*claimed),
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
	if now-s.stepped >= PauseLimit {
		s.graceFrom = now
	}
	s.stepped = now
	switch ev := ev.(type) {
	case Answered:
		s.answered(now, ev)
	case Held:
		s.self = ev
		s.note(now, s.config.Self, ev.Holdings)
	case LogRead:
		s.read(now, ev)
	}
	return s.claims(now)
}

func (s *State) answered(now Instant, ev Answered) {
	p := s.peers[ev.From]
	if p == nil {
		return
	}
	p.answered, p.heard, p.report = now, true, ev
	if s.config.domainOf(ev.From) != s.own {
		s.farAt, s.farAny = now, true
	}
	s.note(now, ev.From, ev.Holdings)
}

// note remembers when the recorded owner of a shard last reported it.
func (s *State) note(now Instant, from domain.NodeID, holdings []Holding) {
	for _, h := range holdings {
		c := s.shards[h.Shard]
		if c != nil && c.record.Owner == from && c.record.Epoch == h.Epoch {
			c.reportedAt = now
		}
	}
}

func (s *State) read(now Instant, ev LogRead) {
	s.lastRead = ev.OK
	if !ev.OK {
		return
	}
	s.readAt, s.readOK = ev.SentAt, true
	if !ev.AtEnd {
		return
	}
	for _, o := range ev.Owners {
		s.record(now, o)
	}
	s.self.Holdings = ev.Holdings
	s.note(now, s.config.Self, ev.Holdings)
}

func (s *State) record(now Instant, o Ownership) {
	c := s.shards[o.Shard]
	if c == nil {
		c = &claimed{}
		s.shards[o.Shard] = c
	}
	if c.record != o || c.since == 0 {
		c.record, c.since, c.reportedAt = o, now, now
	}
}

// claims returns the shards that this node should claim now.
func (s *State) claims(now Instant) []Claim {
	if s.self.Stopping || !s.LogUp(now) {
		return nil
	}
	live := s.candidates(now)
	var claims []Claim
	for id, c := range s.shards {
		reason := s.reason(now, id, c, live)
		if reason == "" || (c.asked && now-c.claimedAt < ClaimInterval) {
			continue
		}
		c.asked, c.claimedAt = true, now
		claims = append(claims, Claim{Shard: id, Previous: c.record.Epoch, Reason: reason})
	}
	slices.SortFunc(claims, func(a, b Claim) int { return byShard(a.Shard, b.Shard) })
	return claims
}

// reason tells why this node should claim the shard; empty if it should not.
func (s *State) reason(now Instant, id domain.ShardID, c *claimed, live []domain.NodeID) string {
	o := c.record
	if o.Owned() && o.Owner == s.config.Self {
		return s.reasonOwn(id, o)
	}
	reason := s.reasonFree(now, c)
	if reason == "" {
		c.free = false
		return ""
	}
	if !c.free {
		c.free, c.freeAt = true, now
	}
	// A preferred node that answers pings may be cut off from the log, so the
	// next one follows after a while.
	rank := slices.Index(ring.RankedOwners(id, live), s.config.Self)
	if now-c.freeAt < Instant(rank)*SuccessorDelay {
		return ""
	}
	return reason
}

// reasonFree tells why a shard that is recorded for no node or another node
// needs a new owner; empty if it does not.
func (s *State) reasonFree(now Instant, c *claimed) string {
	o := c.record
	switch {
	case o.Epoch == 0:
		return "the shard never had an owner"
	case o.Released:
		return "the owner released the shard"
	case !s.Live(now, o.Owner):
		return "the owner is dead"
	case now-c.reportedAt >= HoldGrace:
		return "the owner does not serve the shard"
	}
	return ""
}

// reasonOwn covers a record of this node's earlier process: its machine is gone
// and no other node is needed to replace it.
func (s *State) reasonOwn(id domain.ShardID, o Ownership) string {
	for _, h := range s.self.Holdings {
		if h.Shard == id && h.Epoch == o.Epoch {
			return ""
		}
	}
	return "an earlier process of this node owned the shard"
}

// candidates returns the live nodes of the own domain that claim shards.
func (s *State) candidates(now Instant) []domain.NodeID {
	return slices.DeleteFunc(s.LiveInDomain(now), func(id domain.NodeID) bool {
		p := s.peers[id]
		return p != nil && p.report.Stopping
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
	limit := DeadAfter
	if s.config.domainOf(id) != s.own {
		limit = FarDeadAfter
	}
	last := s.graceFrom
	if p.heard {
		last = max(last, p.answered)
	}
	return now-last < limit
}

// LiveInDomain returns the live nodes of the own domain, this node included,
// ordered by id.
func (s *State) LiveInDomain(now Instant) []domain.NodeID {
	return slices.DeleteFunc(s.config.nodesOf(s.own), func(id domain.NodeID) bool { return !s.Live(now, id) })
}

// Isolated reports whether neither the log service nor another failure domain
// has answered within IsolationWindow. A node that has just started counts as
// connected for as long.
func (s *State) Isolated(now Instant) bool {
	last := s.started
	if s.readOK {
		last = max(last, s.readAt)
	}
	if s.farAny {
		last = max(last, s.farAt)
	}
	return now-last >= IsolationWindow
}

// LogUp reports whether the log service answers reads.
func (s *State) LogUp(now Instant) bool {
	return s.lastRead && s.readOK && now-s.readAt < IsolationWindow
}

// Owner returns the live node that is known to own the shard: by its own
// account, else by the log.
func (s *State) Owner(now Instant, id domain.ShardID) (domain.NodeID, bool) {
	owner, epoch := s.holder(now, id)
	if c := s.shards[id]; c != nil && c.record.Owned() && c.record.Epoch > epoch {
		return c.record.Owner, s.Live(now, c.record.Owner)
	}
	return owner, epoch != 0
}

// holder returns the live node that reports the shard with the highest epoch.
func (s *State) holder(now Instant, id domain.ShardID) (owner domain.NodeID, epoch domain.Epoch) {
	s.eachHolding(now, func(n domain.NodeID, h Holding) {
		if h.Shard == id && h.Epoch > epoch {
			owner, epoch = n, h.Epoch
		}
	})
	return owner, epoch
}

// eachHolding visits the holdings of this node and all live nodes.
func (s *State) eachHolding(now Instant, visit func(domain.NodeID, Holding)) {
	for _, h := range s.self.Holdings {
		visit(s.config.Self, h)
	}
	for id, p := range s.peers {
		if !p.heard || !s.Live(now, id) {
			continue
		}
		for _, h := range p.report.Holdings {
			visit(id, h)
		}
	}
}

// ReachableShards returns shards of other failure domains that are ready and
// whose owners answer, most free slots first.
func (s *State) ReachableShards(now Instant) []domain.ShardID {
	best := make(map[domain.ShardID]Holding)
	s.eachHolding(now, func(_ domain.NodeID, h Holding) {
		if h.Shard.Domain != s.own && h.Ready && h.Epoch > best[h.Shard].Epoch {
			best[h.Shard] = h
		}
	})
	shards := make([]domain.ShardID, 0, len(best))
	for id := range best {
		shards = append(shards, id)
	}
	slices.SortFunc(shards, func(a, b domain.ShardID) int {
		return cmp.Or(cmp.Compare(best[b].FreeSlots, best[a].FreeSlots), byShard(a, b))
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
			v.Report = p.report
		} else {
			v.Report = Answered{From: n.ID, ConfigVersion: s.self.ConfigVersion, Holdings: s.self.Holdings, Stopping: s.self.Stopping}
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	return views
}
