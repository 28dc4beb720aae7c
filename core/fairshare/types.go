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

// Verdict is the result of an attempt to start a task.
type Verdict int

// Verdicts of an attempt.
const (
	// Started: the task starts and is no longer pending.
	Started Verdict = iota
	// NoRoom: no worker can take a task of this shape now.
	NoRoom
	// OverQuota: the team's quota does not allow a task of this shape now.
	OverQuota
)

// sizeStepsPerOctave makes sizes within 9% of each other one shape, so that
// a team whose tasks all have different sizes has a bounded number of shapes.
const sizeStepsPerOctave = 8

// shapeKey identifies tasks that fit or do not fit together.
type shapeKey struct {
	class       domain.Class
	cpu, memory int
	rest        domain.Resources
	avoid       string
}

func keyOf(i Item) shapeKey {
	rest := i.Declared
	rest.CPUMilli = 0
	rest.MemoryMiB = 0
	return shapeKey{
		class:  i.Class,
		cpu:    sizeStep(i.Declared.CPUMilli),
		memory: sizeStep(i.Declared.MemoryMiB),
		rest:   rest,
		avoid:  joinWorkers(i.Avoid),
	}
}

func sizeStep(amount int64) int {
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
	key      shapeKey
	smallest domain.Resources // a lower bound of the sizes of its tasks
	parked   bool
	groups   ranking // of *group
	all      int     // groups with tasks, also those over quota
	at       int     // place in Queue.ready
}

func (s *shape) place() *int { return &s.at }

func (s *shape) before(other ranked) bool {
	return s.groups[0].before(other.(*shape).groups[0])
}

// group has the pending tasks of one team and shape, oldest first.
type group struct {
	team      *team
	shape     *shape
	items     list.List // of Item
	overQuota bool
	at        int // place in shape.groups
}

func (g *group) place() *int { return &g.at }

func (g *group) before(other ranked) bool {
	a, b := g.team, other.(*group).team
	if a == b {
		return g.head() < other.(*group).head()
	}
	if a.share != b.share {
		return a.share < b.share
	}
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.number < b.number
}

// head is the arrival number of the oldest task.
func (g *group) head() uint64 { return g.items.Front().Value.(*pending).number }

// pending is a queued item with its arrival number and group.
type pending struct {
	Item
	number uint64
	group  *group
}

// team is what a team holds and waits for.
type team struct {
	name   domain.Team
	number uint64 // order of first appearance, the last tie-break
	weight float64
	limit  domain.Resources
	// batch is what the team's tasks in the fair order hold; all includes
	// every other task, which counts against the quota.
	batch domain.Resources
	all   domain.Resources
	holds int
	// share is the dominant share of batch over weight.
	share float64
	// virtual is the start-time virtual clock. It orders teams of equal share,
	// which all teams are when tasks end faster than they are started.
	virtual float64
	groups  map[shapeKey]*group
}
