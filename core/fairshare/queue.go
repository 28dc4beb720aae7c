package fairshare

import (
	"container/list"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	defaultWeight = 1.0
	// rebaseFactor is the change of the total capacity after which the shares
	// of all teams are computed again. A worker more or less changes every
	// share by the same factor and hardly changes the order.
	rebaseFactor = 1.25
)

// Queue holds pending tasks. It is used from one goroutine.
type Queue struct {
	teams   map[domain.Team]*team
	quotas  map[domain.Team]domain.Quota
	shapes  map[shapeKey]*shape
	items   map[domain.RequestID]*list.Element
	ready   ranking // of *shape, neither parked nor without groups
	parked  map[shapeKey]*shape
	total   domain.Resources
	base    domain.Resources
	virtual float64
	arrived uint64
	joined  uint64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		teams:  map[domain.Team]*team{},
		quotas: map[domain.Team]domain.Quota{},
		shapes: map[shapeKey]*shape{},
		items:  map[domain.RequestID]*list.Element{},
		parked: map[shapeKey]*shape{},
	}
}

// Len returns the number of pending tasks.
func (q *Queue) Len() int { return len(q.items) }

// Add adds a task; a task with the same id is replaced.
func (q *Queue) Add(i Item) {
	q.Remove(i.ID)
	g := q.group(i)
	q.arrived++
	p := &pending{Item: i, number: q.arrived, group: g}
	q.items[i.ID] = g.items.PushBack(p)
	g.shape.smallest = smaller(g.shape.smallest, i.Declared)
	if g.items.Len() == 1 {
		q.place(g)
	}
}

// Remove removes a pending task. Unknown ids are ignored.
func (q *Queue) Remove(id domain.RequestID) {
	e, ok := q.items[id]
	if !ok {
		return
	}
	delete(q.items, id)
	g := e.Value.(*pending).group
	wasHead := g.items.Front() == e
	if g.items.Len() == 1 {
		q.dropGroup(g)
		return
	}
	g.items.Remove(e)
	if wasHead {
		q.place(g)
	}
}

// Next attempts tasks in fair order until one starts, and removes it. Each
// failed attempt excludes the shape, or the team's tasks of the shape, until
// Room, Released, SetQuotas or Review. At most limit attempts are made.
func (q *Queue) Next(limit int, attempt func(Item) Verdict) (Item, bool) {
	for range limit {
		if len(q.ready) == 0 {
			break
		}
		g := q.ready[0].(*shape).groups[0].(*group)
		item := g.items.Front().Value.(*pending).Item
		switch attempt(item) {
		case Started:
			q.Remove(item.ID)
			return item, true
		case NoRoom:
			q.park(g.shape)
		case OverQuota:
			g.overQuota = true
			q.place(g)
		}
	}
	return Item{}, false
}

// Room tells that a worker now has this much room: parked shapes that could
// fit are attempted again.
func (q *Queue) Room(room domain.Resources) {
	for _, s := range q.parked {
		if s.smallest.Fits(room) {
			q.unpark(s)
		}
	}
}

// Review lets every pending task be attempted again.
func (q *Queue) Review() {
	for _, s := range q.parked {
		q.unpark(s)
	}
	for _, t := range q.teams {
		q.recheckQuota(t)
		q.forgetIfIdle(t)
	}
}

func (q *Queue) park(s *shape) {
	s.parked = true
	q.parked[s.key] = s
	q.ready.take(s)
}

func (q *Queue) unpark(s *shape) {
	s.parked = false
	delete(q.parked, s.key)
	q.placeShape(s)
}

// place puts a group and its shape where their order requires.
func (q *Queue) place(g *group) {
	if g.overQuota {
		g.shape.groups.take(g)
	} else {
		g.shape.groups.put(g)
	}
	q.placeShape(g.shape)
}

func (q *Queue) placeShape(s *shape) {
	if s.parked || len(s.groups) == 0 {
		q.ready.take(s)
		return
	}
	q.ready.put(s)
}

func (q *Queue) group(i Item) *group {
	t := q.team(i.Team)
	key := keyOf(i)
	if g, ok := t.groups[key]; ok {
		return g
	}
	s, ok := q.shapes[key]
	if !ok {
		s = &shape{key: key, smallest: i.Declared, at: absent}
		q.shapes[key] = s
	}
	s.all++
	g := &group{team: t, shape: s, at: absent}
	t.groups[key] = g
	return g
}

func (q *Queue) dropGroup(g *group) {
	q.ready.take(g.shape)
	g.shape.groups.take(g)
	g.items.Init()
	delete(g.team.groups, g.shape.key)
	g.shape.all--
	if g.shape.all == 0 {
		delete(q.shapes, g.shape.key)
		delete(q.parked, g.shape.key)
	}
	q.placeShape(g.shape)
	q.forgetIfIdle(g.team)
}

func smaller(a, b domain.Resources) domain.Resources {
	return domain.Resources{
		CPUMilli:     min(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
		Slots:        min(a.Slots, b.Slots),
		Connections:  min(a.Connections, b.Connections),
	}
}
