package fairshare

import (
	"container/list"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	defaultWeight = 1.0
	// rebaseFactor is the factor by which the total capacity must change before
	// the shares of all teams are computed again. A single worker added or
	// removed changes every share by the same factor and hardly changes the
	// order.
	rebaseFactor = 1.25
)

// Queue holds pending tasks. It is not safe for concurrent use.
type Queue struct {
	teams          map[domain.Team]*team
	quotas         map[domain.Team]domain.Quota
	shapes         map[shapeKey]*shape
	items          map[domain.RequestID]*list.Element
	ready          indexedHeap // of *shape that are not parked and have groups
	parked         map[shapeKey]*shape
	total          domain.Resources
	shareBase      domain.Resources // total capacity from which the shares are computed; see rebaseFactor
	virtualTime    float64          // largest virtual start time so far; see team.virtualTime
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

// Add adds a task. It replaces a task with the same id.
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
	wasOldest := g.items.Front() == e
	if g.items.Len() == 1 {
		q.dropGroup(g)
		return
	}
	g.items.Remove(e)
	if wasOldest {
		q.updateGroup(g)
	}
}

// StartNext tries to start tasks in fair order until one starts. It removes that
// task from the queue and returns it. After NoCapacity the shape is not tried
// again until Room or RetryAll; after OverQuota the team's tasks of the shape are
// not tried again until RemoveUsage, SetQuotas or RetryAll. At most limit tasks
// are tried.
func (q *Queue) StartNext(limit int, tryStart func(Item) StartResult) (Item, bool) {
	for range limit {
		if len(q.ready) == 0 {
			break
		}
		g := q.ready[0].(*shape).groups[0].(*group)
		item := g.items.Front().Value.(*pending).Item
		switch tryStart(item) {
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

// Room must be called when the free capacity of a worker has grown. Parked shapes
// of which a task may fit into it are tried again.
func (q *Queue) Room(freeCapacity domain.Resources) {
	for _, s := range q.parked {
		if s.smallest.Fits(freeCapacity) {
			q.unpark(s)
		}
	}
}

// RetryAll lets every pending task be tried again.
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

// updateGroup restores the heap order after a change of the group, for the group
// and its shape.
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

// group returns the group of an item. It adds a new one if there is none.
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
