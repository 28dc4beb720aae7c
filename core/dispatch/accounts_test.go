package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
)

// ofAccount returns the demand as that of a job of an account.
func ofAccount(account string, d Demand) Demand {
	d.Account = account
	return d
}

// limitedRules returns rules in which accounts have the given room, in cores, and other
// accounts have no limit. The accounts in idle use nothing.
func limitedRules(cores map[string]int64, idle ...string) Rules {
	rules := permissiveRules()
	rules.AccountRoom = func(account string) (domain.Resources, bool) {
		room, limited := cores[account]
		return domain.Resources{CPUMilli: 1000 * room, MemoryMiB: 1 << 40}, limited
	}
	rules.AccountIdle = func(account string) bool {
		for _, name := range idle {
			if name == account {
				return true
			}
		}
		return false
	}
	return rules
}

// Guards against starts above the limit of an account, by one demand or by several of a
// round, and against a limit that holds back others.
func TestPlanKeepsToTheRoomOfAccounts(t *testing.T) {
	step := func(count int, cores int64) job.Step { return job.Step{Count: count, Need: cpu(cores)} }
	gang := job.Step{Count: 3, Need: cpu(2), Gang: true}
	bestEffort := job.Step{Count: 5, Need: cpu(2), Fills: true}
	memoryOnly := job.Step{Count: 2, Need: domain.Resources{MemoryMiB: 10}}
	starving := ofAccount("a", demand("1", bestEffort, 5))
	starving.Starving = true
	for name, c := range map[string]struct {
		room    map[string]int64
		idle    []string
		demands []Demand
		// placed and waits are the number of placed tasks of each demand, and whether it
		// waits for its account.
		placed []int
		waits  []bool
	}{
		"single tasks": {
			room:    map[string]int64{"a": 5},
			demands: []Demand{ofAccount("a", demand("1", step(4, 2), 4)), ofAccount("b", demand("2", step(4, 2), 4))},
			placed:  []int{2, 4}, waits: []bool{true, false},
		},
		"one count for all demands": {
			room:    map[string]int64{"a": 5},
			demands: []Demand{ofAccount("a", demand("1", step(2, 2), 2)), ofAccount("a", demand("2", step(1, 2), 1)), ofAccount("a", demand("3", step(2, 1), 2))},
			placed:  []int{2, 0, 1}, waits: []bool{false, true, true},
		},
		"skipped demand is no failed need": { // L7: the same need of another account and of none.
			room:    map[string]int64{"a": 0},
			demands: []Demand{ofAccount("a", demand("1", step(1, 1), 1)), ofAccount("b", demand("2", step(1, 1), 1)), demand("3", step(1, 1), 1)},
			placed:  []int{0, 1, 1}, waits: []bool{true, false, false},
		},
		"best-effort tasks count with their CPU": {
			room: map[string]int64{"a": 5}, demands: []Demand{ofAccount("a", demand("1", bestEffort, 5))},
			placed: []int{2}, waits: []bool{true},
		},
		"gang as a whole": {
			room: map[string]int64{"a": 5}, demands: []Demand{ofAccount("a", demand("1", gang, 3)), ofAccount("a", demand("2", step(3, 2), 3))},
			placed: []int{0, 2}, waits: []bool{true, true},
		},
		"gang within the room": {
			room: map[string]int64{"a": 7}, demands: []Demand{ofAccount("a", demand("1", gang, 3)), ofAccount("a", demand("2", step(3, 2), 3))},
			placed: []int{3, 0}, waits: []bool{false, true},
		},
		"gang larger than the limit of an idle account": {
			room: map[string]int64{"a": 5}, idle: []string{"a"}, demands: []Demand{ofAccount("a", demand("1", gang, 3))},
			placed: []int{0}, waits: []bool{true},
		},
		"gang that fits nowhere gives its room back": {
			room:    map[string]int64{"a": 60},
			demands: []Demand{ofAccount("a", demand("1", job.Step{Count: 30, Need: cpu(2), Gang: true}, 30)), ofAccount("a", demand("2", step(3, 2), 3))},
			placed:  []int{0, 3}, waits: []bool{false, false},
		},
		"starving task": {
			room: map[string]int64{"a": 1}, demands: []Demand{starving}, placed: []int{0}, waits: []bool{true},
		},
		"task larger than the limit of an idle account": {
			room: map[string]int64{"a": 1}, idle: []string{"a"},
			demands: []Demand{ofAccount("a", demand("1", step(2, 2), 2)), ofAccount("a", demand("2", step(1, 1), 1))},
			placed:  []int{1, 0}, waits: []bool{true, true},
		},
		"task larger than the limit of an account with attempts": {
			room:    map[string]int64{"a": 1},
			demands: []Demand{ofAccount("a", demand("1", step(1, 2), 1)), ofAccount("a", demand("2", step(1, 1), 1))},
			placed:  []int{0, 1}, waits: []bool{true, false},
		},
		"resource that is not needed": {
			room:    map[string]int64{"a": -3},
			demands: []Demand{ofAccount("a", demand("1", memoryOnly, 2)), ofAccount("a", demand("2", step(1, 1), 1))},
			placed:  []int{2, 0}, waits: []bool{false, true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var p Planner
			byJob := map[job.ID]int{}
			for _, placement := range p.Plan(c.demands, workers(4, 8), limitedRules(c.room, c.idle...)) {
				byJob[placement.Task.Job]++
			}
			for i, d := range c.demands {
				assert.Equal(t, byJob[d.ID.Job], c.placed[i], "job %s", d.ID.Job)
				assert.Equal(t, d.WaitsForAccount, c.waits[i], "job %s", d.ID.Job)
			}
		})
	}
}

// An overdue task that fits on no worker, of an account with room for it and without. Guards
// against claims that keep capacity from others for a task that may not start, and against
// tasks of the same account that take the room of the claiming task.
func TestClaimsKeepToTheRoomOfTheAccount(t *testing.T) {
	// The number of own tasks, and of all small ones, by the room of the account.
	for room, want := range map[int64][]int{0: {0, 3}, 3: {1, 3}, 4: {0, 2}, 5: {1, 2}, 8: {1, 2}} {
		all := workers(3, 8)
		for _, w := range all {
			fill(w, time.Second)
		}
		large := ofAccount("a", overdue("large", cpu(4), 3))
		own := ofAccount("a", demand("own", job.Step{Count: 1, Need: cpu(1)}, 1))
		demands := []Demand{large, own, demand("small", job.Step{Count: 3, Need: cpu(1)}, 3)}
		byJob := map[job.ID]int{}
		var p Planner
		for _, placement := range p.Plan(demands, all, limitedRules(map[string]int64{"a": room})) {
			byJob[placement.Task.Job]++
		}
		assert.Equal(t, byJob["large"], 0)
		assert.Equal(t, byJob["own"], want[0], "room %d", room)
		assert.Equal(t, byJob["own"]+byJob["small"], want[1], "room %d", room)
	}
}

// Guards against a round that keeps the rooms of an earlier one, and against a limit for
// tasks of no account.
func TestEachRoundAsksForTheRoomAgain(t *testing.T) {
	var p Planner
	room := map[string]int64{"a": 1}
	d := []Demand{ofAccount("a", demand("1", job.Step{Count: 3, Need: cpu(1)}, 3)), demand("2", job.Step{Count: 3, Need: cpu(1)}, 3)}
	all := workers(2, 8)
	assert.Equal(t, len(p.Plan(d, all, limitedRules(room))), 4)
	room["a"] = 2
	assert.Equal(t, len(p.Plan(d, all, limitedRules(room))), 5)
	assert.Equal(t, len(p.Plan(d, all, permissiveRules())), 6)
}
