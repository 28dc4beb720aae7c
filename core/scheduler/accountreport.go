package scheduler

import "github.com/basilferry/basilferry/core/domain"

const (
	// maxReportedAccounts is the number of accounts that are reported by name. Each is a
	// series of every metric.
	maxReportedAccounts = 32
	// OtherAccounts is the name of the sum of the other accounts.
	OtherAccounts = "other"
)

// AccountReport is the use of one client account, or the sum over several.
type AccountReport struct {
	Name string
	// Use is the full need of all attempts, and Limit the maximum; a resource of 0 has no
	// limit.
	Use, Limit domain.Resources
	// Share is the dominant share: the largest share that the account has of the CPU, memory
	// or accelerators of the registered workers, from 0 to 1. FairShare is what its weight
	// entitles it to when all accounts have waiting work.
	Share, FairShare float64
	// WaitingJobs is the number of jobs that wait for the limit.
	WaitingJobs int
}

// AccountReports returns the use of the first accounts in the order of the configuration.
// All others, with those that are gone and still have attempts or waiting jobs, follow as OtherAccounts if
// there are any. The result is empty without accounts.
func (s *Scheduler) AccountReports() []AccountReport {
	if !s.accounts.isEnabled() {
		return nil
	}
	totalWeight, position := 0.0, make(map[string]int, len(s.accounts.order))
	for i, name := range s.accounts.order {
		position[name] = i
		totalWeight += s.accounts.last[name].Weight
	}
	capacity, waiting := s.registeredCapacity(), s.waitingByAccount()
	report := func(name string) AccountReport {
		a, use := s.accounts.last[name], s.fleet.AccountUse(name)
		r := AccountReport{Name: name, Use: use, Limit: a.Limit, Share: dominantShare(use, capacity), WaitingJobs: waiting[name]}
		if _, configured := position[name]; configured && totalWeight > 0 {
			r.FairShare = a.Weight / totalWeight
		}
		return r
	}
	var out []AccountReport
	for _, name := range s.accounts.order[:min(maxReportedAccounts, len(s.accounts.order))] {
		out = append(out, report(name))
	}
	rest, count := AccountReport{Name: OtherAccounts}, 0
	for name := range s.accounts.last {
		i, configured := position[name]
		if configured && i < maxReportedAccounts {
			continue
		}
		r := report(name)
		if !configured && r.Use == (domain.Resources{}) && r.WaitingJobs == 0 {
			continue
		}
		rest.Use, rest.Limit = rest.Use.Add(r.Use), addLimits(rest.Limit, r.Limit, count == 0)
		rest.FairShare += r.FairShare
		rest.WaitingJobs += r.WaitingJobs
		count++
	}
	if count > 0 {
		rest.Share = dominantShare(rest.Use, capacity)
		out = append(out, rest)
	}
	return out
}

// addLimits returns the sum of two limits. A resource has none if one of them has none.
func addLimits(sum, limit domain.Resources, first bool) domain.Resources {
	add := func(sum, limit int64) int64 {
		if limit <= 0 || (sum <= 0 && !first) {
			return 0
		}
		return sum + limit
	}
	return domain.Resources{
		CPUMilli: add(sum.CPUMilli, limit.CPUMilli), MemoryMiB: add(sum.MemoryMiB, limit.MemoryMiB),
		Accelerators: add(sum.Accelerators, limit.Accelerators),
	}
}

// registeredCapacity returns the capacity of all registered workers.
func (s *Scheduler) registeredCapacity() domain.Resources {
	var sum domain.Resources
	for _, w := range s.fleet.All() {
		if w.Registered {
			sum = sum.Add(w.Capacity)
		}
	}
	return sum
}

// waitingByAccount counts the jobs that wait for the limit of each account.
func (s *Scheduler) waitingByAccount() map[string]int {
	counts := map[string]int{}
	for id := range s.accountWaits.lastSeen {
		if e := s.ledger.Entry(id); e != nil && !e.IsClosed() {
			counts[e.Job.Account]++
		}
	}
	return counts
}

// dominantShare returns the largest share of the capacity of one resource that is in use.
func dominantShare(use, capacity domain.Resources) float64 {
	share := func(use, capacity int64) float64 { return float64(use) / float64(max(1, capacity)) }
	return max(share(use.CPUMilli, capacity.CPUMilli), share(use.MemoryMiB, capacity.MemoryMiB), share(use.Accelerators, capacity.Accelerators))
}
