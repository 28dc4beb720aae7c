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
	// Avoid lists workers that must not be chosen. Tasks with different lists
	// have different shapes.
	Avoid []domain.WorkerID
}

// StartResult is the result of an attempt to start a task.
type StartResult int

// Verdicts of an attempt.
const (
	// Started: the task starts and is no longer pending.
	Started StartResult = iota
	// NoCapacity: no worker can take a task of this shape now.
	NoCapacity
	// OverQuota: the team's quota does not allow a task of this shape now.
	OverQuota
)

// sizeStepsPerOctave makes sizes within 9% of each other one shape, so that
// a team whose tasks all have different sizes has a bounded number of shapes.
const sizeStepsPerOctave = 8

// shapeKey identifies tasks that fit or do not fit together.
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

// shape is a set of groups that fit or do not fit together.
type shape struct {
	key        shapeKey
	smallest   domain.Resources // a lower bound of the sizes of its tasks
	parked     bool
	groups     indexedHeap // of *group
	groupCount int         // groups with tasks, also those over quota
	index      int         // place in Queue.ready
}

func (s *shape) heapIndex() *int { return &s.index }

func (s *shape) before(other heapElement) bool {
	return s.groups[0].before(other.(*shape).groups[0])
}

// group has the pending tasks of one team and shape, oldest first.
type group struct {
	team      *team
	shape     *shape
	items     list.List // of Item
	overQuota bool
	index     int // place in shape.groups
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
	return a.number < b.number
}

// oldestArrival is the arrival number of the oldest task.
func (g *group) oldestArrival() uint64 { return g.items.Front().Value.(*pending).arrival }

// pending is a queued item with its arrival number and group.
type pending struct {
	Item
	arrival uint64
	group   *group
}

// team is what a team holds and waits for.
type team struct {
	name   domain.Team
	number uint64 // order of first appearance, the last tie-break
	weight float64
	limit  domain.Resources
	// fairUsage is what the team's tasks in the fair order hold; all includes
	// every other task, which counts against the quota.
	fairUsage    domain.Resources
	totalUsage   domain.Resources
	runningTasks int
	// share is the dominant share of batch over weight.
	share float64
	// virtualTime is the start-time virtual clock. It orders teams of equal share,
	// which all teams are when tasks end faster than they are started.
	virtualTime float64
	groups      map[shapeKey]*group
}
