package fairshare

import (
	"container/list"
	"math"
	"strings"

	"github.com/basilferry/basilferry/core/domain"
)

// Item is a pending task.
type Item struct {
	ID       domain.RequestID
	Team     domain.Team
	Class    domain.Class
	Declared domain.Resources
	// Avoid lists workers that must not run the task. Tasks with different
	// lists have different shapes.
	Avoid []domain.WorkerID
}

// StartResult is the result of trying to start a task.
type StartResult int

// Results of trying to start a task.
const (
	// Started means that the task has started and is no longer pending.
	Started StartResult = iota
	// NoCapacity means that no worker can run a task of this shape now.
	NoCapacity
	// OverQuota means that the team's quota does not allow a task of this shape
	// now.
	OverQuota
)

// sizeStepsPerOctave is the number of size steps between an amount and its
// double. Sizes in one step differ by at most about 9% and share a shape, so that
// a team whose tasks all have different sizes has a bounded number of shapes.
const sizeStepsPerOctave = 8

// shapeKey identifies a shape. Tasks with the same key are assumed to fit, or not
// to fit, on the same workers.
type shapeKey struct {
	class          domain.Class
	cpu, memory    int
	otherResources domain.Resources
	avoid          string
}

func shapeKeyOf(i Item) shapeKey {
	otherResources := i.Declared
	otherResources.CPUMilli = 0
	otherResources.MemoryMiB = 0
	return shapeKey{
		class:          i.Class,
		cpu:            logSizeStep(i.Declared.CPUMilli),
		memory:         logSizeStep(i.Declared.MemoryMiB),
		otherResources: otherResources,
		avoid:          joinWorkers(i.Avoid),
	}
}

func logSizeStep(amount int64) int {
	if amount <= 0 {
		return 0
	}
	return 1 + int(math.Log2(float64(amount))*sizeStepsPerOctave)
}

func joinWorkers(ids []domain.WorkerID) string {
	if len(ids) == 0 {
		return ""
	}
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, "\x00")
}

// shape has the groups of all teams for one shapeKey.
type shape struct {
	key        shapeKey
	smallest   domain.Resources // a lower bound on the sizes of its tasks
	parked     bool
	groups     indexedHeap // of *group
	groupCount int         // number of groups, including those over quota, which are not in groups
	index      int         // position in Queue.ready
}

func (s *shape) heapIndex() *int { return &s.index }

func (s *shape) before(other heapElement) bool {
	return s.groups[0].before(other.(*shape).groups[0])
}

// group has the pending tasks of one team and shape, oldest first.
type group struct {
	team      *team
	shape     *shape
	items     list.List // of *pending
	overQuota bool
	index     int // position in shape.groups
}

func (g *group) heapIndex() *int { return &g.index }

func (g *group) before(other heapElement) bool {
	a, b := g.team, other.(*group).team
	if a == b {
		return g.oldestArrival() < other.(*group).oldestArrival()
	}
	if a.share != b.share {
		return a.share < b.share
	}
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.order < b.order
}

// oldestArrival returns the arrival number of the oldest task.
func (g *group) oldestArrival() uint64 { return g.items.Front().Value.(*pending).arrival }

// pending is a queued item with its arrival number and group.
type pending struct {
	Item
	arrival uint64
	group   *group
}

// team has a team's usage, quota and pending tasks.
type team struct {
	name   domain.Team
	order  uint64 // order of first appearance; breaks the remaining ties
	weight float64
	limit  domain.Resources
	// fairUsage is the usage that counts in the fair order. totalUsage is the
	// usage of all tasks, which counts against the quota.
	fairUsage    domain.Resources
	totalUsage   domain.Resources
	runningTasks int
	// share is the dominant share of fairUsage, divided by weight.
	share float64
	// virtualTime is the virtual start time of the team's next task, as in
	// start-time fair queueing. It orders teams with equal shares. If each task
	// finishes before the next one starts, the shares of all teams are 0.
	virtualTime float64
	groups      map[shapeKey]*group
}
