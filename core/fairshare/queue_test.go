package fairshare

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/basilferry/basilferry/core/domain"
)

var testTotal = domain.Resources{CPUMilli: 1_000_000, MemoryMiB: 1_000_000, Slots: 1000}

func id(seq int) domain.RequestID {
	return domain.RequestID{Shard: domain.ShardID{Domain: "a"}, Epoch: 1, Seq: uint64(seq)}
}

func item(seq int, team string, cpu int64) Item {
	return Item{
		ID:       id(seq),
		Team:     domain.Team(team),
		Class:    "c",
		Declared: domain.Resources{CPUMilli: cpu, MemoryMiB: 100, Slots: 1},
	}
}

// startAll starts tasks until none fits into the free CPU, in thousandths of a
// core, or into its quota.
func startAll(q *Queue, free int64) []Item {
	var started []Item
	for {
		i, ok := q.StartNext(100, func(i Item) StartResult {
			if !q.WithinQuota(i.Team, i.Declared) {
				return OverQuota
			}
			if i.Declared.CPUMilli > free {
				return NoCapacity
			}
			return Started
		})
		if !ok {
			return started
		}
		free -= i.Declared.CPUMilli
		q.AddUsage(i.Team, i.Declared, true)
		started = append(started, i)
	}
}

func countByTeam(items []Item) map[domain.Team]int {
	n := map[domain.Team]int{}
	for _, i := range items {
		n[i.Team]++
	}
	return n
}

// Guards against shares of long-running tasks that do not follow the weights.
func TestStartsFollowWeights(t *testing.T) {
	q := New()
	q.SetTotalCapacity(testTotal)
	q.SetQuotas([]domain.Quota{{Team: "big", Weight: 3}})
	for seq := 0; seq < 400; seq += 2 {
		q.Add(item(seq, "big", 1000))
		q.Add(item(seq+1, "small", 1000))
	}
	n := countByTeam(startAll(q, 100_000))
	assert.Equal(t, n["big"], 75)
	assert.Equal(t, n["small"], 25)
}

// Guards against ignoring the weights when each task finishes before the next one
// starts, so that no team has any usage when tasks are compared.
func TestWeightsHoldForShortTasks(t *testing.T) {
	q := New()
	q.SetTotalCapacity(testTotal)
	q.SetQuotas([]domain.Quota{{Team: "big", Weight: 3}})
	for seq := 0; seq < 400; seq += 2 {
		q.Add(item(seq, "big", 1000))
		q.Add(item(seq+1, "small", 1000))
	}
	n := map[domain.Team]int{}
	for range 100 {
		i, _ := q.StartNext(1, func(Item) StartResult { return Started })
		q.AddUsage(i.Team, i.Declared, true)
		q.RemoveUsage(i.Team, i.Declared, true)
		n[i.Team]++
	}
	assert.Assert(t, n["big"] >= 74 && n["big"] <= 76, "%v", n)
}

// Guards against head-of-line blocking by a task that does not fit now or
// exceeds its team's quota.
func TestSkipsTasksThatDoNotFit(t *testing.T) {
	q := New()
	q.SetTotalCapacity(testTotal)
	q.SetQuotas([]domain.Quota{{Team: "limited", Weight: 1, Limit: domain.Resources{Slots: 1}}})
	q.Add(item(1, "a", 50_000))
	q.Add(item(2, "a", 1000))
	q.Add(item(3, "limited", 1000))
	q.Add(item(4, "limited", 1000))
	started := startAll(q, 10_000)
	assert.Equal(t, len(started), 2)
	assert.Equal(t, q.Len(), 2)
	q.RemoveUsage("limited", started[1].Declared, true)
	q.Room(domain.Resources{CPUMilli: 60_000, MemoryMiB: 1000, Slots: 8})
	assert.Equal(t, len(startAll(q, 60_000)), 2)
}

// Guards against a wrong order after any sequence of calls: each started task
// must belong to a team with the lowest share among the teams with tasks that
// fit.
func TestStartsTeamWithLowestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		q.SetTotalCapacity(testTotal)
		pending := map[domain.RequestID]Item{}
		usage := map[domain.Team][]domain.Resources{}
		share := func(team domain.Team) float64 {
			var sum domain.Resources
			for _, r := range usage[team] {
				sum = sum.Add(r)
			}
			return dominantShare(sum, testTotal)
		}
		for seq := range rapid.IntRange(1, 200).Draw(t, "steps") {
			team := fmt.Sprint("t", rapid.IntRange(0, 4).Draw(t, "team"))
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				i := item(seq, team, rapid.Int64Range(1, 5).Draw(t, "cpu")*1000)
				pending[i.ID] = i
				q.Add(i)
			case 1:
				removed := id(rapid.IntRange(0, seq).Draw(t, "victim"))
				delete(pending, removed)
				q.Remove(removed)
			case 2:
				if r := usage[domain.Team(team)]; len(r) > 0 {
					q.RemoveUsage(domain.Team(team), r[0], true)
					usage[domain.Team(team)] = r[1:]
				}
			case 3:
				maxCPU := rapid.Int64Range(0, 6).Draw(t, "bound") * 1000
				q.RetryAll()
				fits := func(i Item) bool { return i.Declared.CPUMilli <= maxCPU }
				got, ok := q.StartNext(1000, func(i Item) StartResult {
					if fits(i) {
						return Started
					}
					return NoCapacity
				})
				lowest, any := 0.0, false
				for _, i := range pending {
					if s := share(i.Team); fits(i) && (!any || s < lowest) {
						lowest, any = s, true
					}
				}
				if ok != any {
					t.Fatalf("started %v, startable %v", ok, any)
				}
				if !ok {
					continue
				}
				if share(got.Team) > lowest+1e-12 {
					t.Fatalf("team %s has share %v, the lowest is %v", got.Team, share(got.Team), lowest)
				}
				delete(pending, got.ID)
				q.AddUsage(got.Team, got.Declared, true)
				usage[got.Team] = append(usage[got.Team], got.Declared)
			}
			if q.Len() != len(pending) {
				t.Fatalf("%d pending, want %d", q.Len(), len(pending))
			}
		}
	})
}

func filledQueue(teams, tasks int) *Queue {
	q := New()
	q.SetTotalCapacity(testTotal)
	for seq := range tasks {
		q.Add(item(seq, fmt.Sprint("t", seq%teams), int64(1000*(1+seq%7))))
	}
	return q
}

// BenchmarkStartNext measures one start with 1,000 teams at different queue lengths.
func BenchmarkStartNext(b *testing.B) {
	for _, tasks := range []int{10_000, 100_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			q := filledQueue(1000, tasks)
			for b.Loop() {
				i, _ := q.StartNext(1, func(Item) StartResult { return Started })
				q.AddUsage(i.Team, i.Declared, true)
				q.RemoveUsage(i.Team, i.Declared, true)
				q.Add(i)
			}
		})
	}
}

// BenchmarkCancellationWave measures the removal of 10,000 of 20,000 pending
// tasks.
func BenchmarkCancellationWave(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		q := filledQueue(1000, 20_000)
		b.StartTimer()
		for seq := range 10_000 {
			q.Remove(id(2 * seq))
		}
	}
}
