package scheduler

import (
	"fmt"
	"math"
	"time"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// accountTerms holds the limits and weights of the client accounts.
type accountTerms struct {
	// order lists the names of the current configuration in its order.
	order []string
	// last holds the newest entry of each account that this owner has seen. Entries of
	// accounts that are gone stay: their jobs can be read later than the configuration.
	last map[string]account.Account
}

// setConfig applies the accounts of a newer configuration. The first entry of a name counts.
func (t *accountTerms) setConfig(c *platform.OperatorConfig) {
	t.order = t.order[:0]
	seen := make(map[string]bool, len(c.Accounts))
	for _, a := range c.Accounts {
		if !seen[a.Name] {
			seen[a.Name] = true
			t.order = append(t.order, a.Name)
			t.last[a.Name] = a
		}
	}
}

// isEnabled reports whether this owner has seen an account.
func (t *accountTerms) isEnabled() bool { return len(t.last) > 0 }

// limit returns the limit of an account; resources without a limit have noLimit.
func (t *accountTerms) limit(name string) (limit domain.Resources, limited bool) {
	a, known := t.last[name]
	if !known {
		return domain.Resources{}, false
	}
	limitOf := func(amount int64) int64 {
		if amount <= 0 {
			return noLimit
		}
		limited = true
		return amount
	}
	limit = domain.Resources{
		CPUMilli: limitOf(a.Limit.CPUMilli), MemoryMiB: limitOf(a.Limit.MemoryMiB), Accelerators: limitOf(a.Limit.Accelerators),
		Slots: limitOf(a.Limit.Slots), Connections: limitOf(a.Limit.Connections),
	}
	return limit, limited
}

// noLimit is more than all workers together have. Sums and differences of it and uses do
// not overflow.
const noLimit = math.MaxInt64 / 4

// accountRoom returns what an account may start beyond what it has; see dispatch.Rules.
func (s *Scheduler) accountRoom(name string) (room domain.Resources, limited bool) {
	limit, limited := s.accounts.limit(name)
	return limit.Sub(s.fleet.AccountUse(name)), limited
}

// isAccountIdle reports whether an account uses nothing.
func (s *Scheduler) isAccountIdle(name string) bool {
	return s.fleet.AccountUse(name) == domain.Resources{}
}

// releaseOverLimit releases the attempts of stored placements whose accounts use more than
// their limits, because a limit was lowered after the placement. The placements that were
// planned last go first. Members of a gang are released together.
func (s *Scheduler) releaseOverLimit(starts []unsentStart, now fleet.Instant) {
	if !s.accounts.isEnabled() {
		return
	}
	for i := len(starts) - 1; i >= 0; i-- {
		start := starts[i]
		if !isUnsent(start) || !s.isOverLimit(start.attempt) {
			continue
		}
		s.releaseForLimit(start, now)
		if !start.attempt.Step.Gang {
			continue
		}
		for _, other := range starts {
			if isUnsent(other) && other.attempt.ID.StepID == start.attempt.ID.StepID {
				s.releaseForLimit(other, now)
			}
		}
	}
}

func (s *Scheduler) releaseForLimit(start unsentStart, now fleet.Instant) {
	s.Counters.AccountReleased++
	s.releaseAttempt(start.worker, start.attempt, "the limit of the account was lowered before the start", now)
}

// isUnsent reports whether the attempt of a start is still on its worker and not sent.
func isUnsent(start unsentStart) bool {
	r := start.attempt
	return start.worker.Attempts[r.ID] == r && r.Phase == fleet.AttemptUnsent
}

// isOverLimit reports whether an attempt that is not sent needs a resource of which its
// account uses more than its limit. A task that is the only user of the resource may be
// larger than the limit.
func (s *Scheduler) isOverLimit(r *fleet.Attempt) bool {
	limit, limited := s.accounts.limit(r.Account)
	if !limited {
		return false
	}
	use, need := s.fleet.AccountUse(r.Account), r.Step.Need
	over := func(use, need, limit int64) bool { return need > 0 && use > limit && (use > need || r.Step.Gang) }
	return over(use.CPUMilli, need.CPUMilli, limit.CPUMilli) || over(use.MemoryMiB, need.MemoryMiB, limit.MemoryMiB) ||
		over(use.Accelerators, need.Accelerators, limit.Accelerators) || over(use.Slots, need.Slots, limit.Slots) ||
		over(use.Connections, need.Connections, limit.Connections)
}

const (
	// accountWaitInterval is the shortest time between two decisions about the wait of one
	// job for the limit of its account.
	accountWaitInterval = time.Second
	// maxAccountWaits is the largest number of such decisions of one planning round. A new
	// owner may have thousands of waiting jobs; the others follow in the next rounds.
	maxAccountWaits = 64
)

// accountWaits are the jobs that wait for the limit of their account.
type accountWaits struct {
	// lastSeen is the last planning round in which each job waited. Jobs that have not
	// waited for accountWaitInterval are dropped.
	lastSeen  map[job.ID]fleet.Instant
	nextSweep fleet.Instant
}

// sweep drops the jobs that no longer wait.
func (a *accountWaits) sweep(now fleet.Instant) {
	if now < a.nextSweep {
		return
	}
	a.nextSweep = now + accountWaitInterval
	for id, seen := range a.lastSeen {
		if now-seen >= accountWaitInterval {
			delete(a.lastSeen, id)
		}
	}
}

// recordAccountWaits records the jobs that start to wait for the limit of their account. A
// job that waits for it does not count as starving: it would get any worker afterwards,
// also one on which it interferes with others.
func (s *Scheduler) recordAccountWaits(demands []dispatch.Demand, now fleet.Instant) {
	added := 0
	for i := range demands {
		d := &demands[i]
		if !d.WaitsForAccount {
			continue
		}
		delete(s.idleSince, d.ID.Job)
		if _, waits := s.accountWaits.lastSeen[d.ID.Job]; !waits {
			if added == maxAccountWaits {
				continue
			}
			added++
			s.Counters.AccountWaits++
			s.recordDecision(Decision{Action: "wait for account", Job: d.ID.Job, Reason: s.accountWaitReason(d)})
		}
		s.accountWaits.lastSeen[d.ID.Job] = now
	}
}

// accountWaitReason names the account with its use and limit, and the need of one task or,
// of a gang, of all of them.
func (s *Scheduler) accountWaitReason(d *dispatch.Demand) string {
	limit, _ := s.accounts.limit(d.Account)
	use := s.fleet.AccountUse(d.Account)
	count := int64(1)
	if d.Step.Gang {
		count = int64(len(d.Waiting))
	}
	exceeded := ""
	for _, r := range []struct {
		name             string
		use, need, limit int64
	}{
		{"millicores", use.CPUMilli, count * d.Step.Need.CPUMilli, limit.CPUMilli},
		{"MiB", use.MemoryMiB, count * d.Step.Need.MemoryMiB, limit.MemoryMiB},
		{"accelerators", use.Accelerators, count * d.Step.Need.Accelerators, limit.Accelerators},
	} {
		if r.need > 0 && r.use+r.need > r.limit {
			exceeded += fmt.Sprintf(" %d of %d %s in use, %d needed", r.use, r.limit, r.name, r.need)
		}
	}
	if exceeded == "" {
		exceeded = " the rest is kept for its overdue tasks"
	}
	return "account " + d.Account + " is at its limit:" + exceeded
}
