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
	teams          map[domain.Team]*team
	quotas         map[domain.Team]domain.Quota
	shapes         map[shapeKey]*shape
	items          map[domain.RequestID]*list.Element
	ready          indexedHeap // of *shape, neither parked nor without groups
	parked         map[shapeKey]*shape
	total          domain.Resources
	shareBase      domain.Resources
	virtualTime    float64
	lastArrival    uint64
	lastTeamNumber uint64
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
	q.lastArrival++
	p := &pending{Item: i, arrival: q.lastArrival, group: g}
	q.items[i.ID] = g.items.PushBack(p)
	g.shape.smallest = componentwiseMin(g.shape.smallest, i.Declared)
	if g.items.Len() == 1 {
		q.updateGroup(g)
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
		q.updateGroup(g)
	}
}

// StartNext attempts tasks in fair order until one starts, and removes it. Each
// failed attempt excludes the shape, or the team's tasks of the shape, until
// Room, Released, SetQuotas or Review. At most limit attempts are made.
func (q *Queue) StartNext(limit int, attempt func(Item) StartResult) (Item, bool) {
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
		case NoCapacity:
			q.park(g.shape)
		case OverQuota:
			g.overQuota = true
			q.updateGroup(g)
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

// RetryAll lets every pending task be attempted again.
func (q *Queue) RetryAll() {
	for _, s := range q.parked {
		q.unpark(s)
	}
	for _, t := range q.teams {
		q.clearOverQuota(t)
		q.dropIfIdle(t)
	}
}

func (q *Queue) park(s *shape) {
	s.parked = true
	q.parked[s.key] = s
	q.ready.remove(s)
}

func (q *Queue) unpark(s *shape) {
	s.parked = false
	delete(q.parked, s.key)
	q.updateShape(s)
}

// updateGroup puts a group and its shape where their order requires.
func (q *Queue) updateGroup(g *group) {
	if g.overQuota {
		g.shape.groups.remove(g)
	} else {
		g.shape.groups.update(g)
	}
	q.updateShape(g.shape)
}

func (q *Queue) updateShape(s *shape) {
	if s.parked || len(s.groups) == 0 {
		q.ready.remove(s)
		return
	}
	q.ready.update(s)
}

func (q *Queue) group(i Item) *group {
	t := q.team(i.Team)
	key := shapeKeyOf(i)
	if g, ok := t.groups[key]; ok {
		return g
	}
	s, ok := q.shapes[key]
	if !ok {
		s = &shape{key: key, smallest: i.Declared, index: notInHeap}
		q.shapes[key] = s
	}
	s.groupCount++
	g := &group{team: t, shape: s, index: notInHeap}
	t.groups[key] = g
	return g
}

func (q *Queue) dropGroup(g *group) {
	q.ready.remove(g.shape)
	g.shape.groups.remove(g)
	g.items.Init()
	delete(g.team.groups, g.shape.key)
	g.shape.groupCount--
	if g.shape.groupCount == 0 {
		delete(q.shapes, g.shape.key)
		delete(q.parked, g.shape.key)
	}
	q.updateShape(g.shape)
	q.dropIfIdle(g.team)
}

func componentwiseMin(a, b domain.Resources) domain.Resources {
	return domain.Resources{
		CPUMilli:     min(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
		Slots:        min(a.Slots, b.Slots),
		Connections:  min(a.Connections, b.Connections),
	}
}
