package fairshare

import "github.com/basilferry/basilferry/core/domain"

// SetQuotas replaces the quotas. A team without a quota has weight 1 and no limit.
func (q *Queue) SetQuotas(quotas []domain.Quota) {
	q.quotas = map[domain.Team]domain.Quota{}
	for _, quota := range quotas {
		q.quotas[quota.Team] = quota
	}
	for _, t := range q.teams {
		q.updateOrder(t, func() { q.applyQuota(t) })
		q.clearOverQuota(t)
	}
}

// SetTotalCapacity sets the capacity from which the teams' shares are computed.
// Small changes have no effect; see rebaseFactor.
func (q *Queue) SetTotalCapacity(total domain.Resources) {
	q.total = total
	if isSimilar(q.shareBase.CPUMilli, total.CPUMilli) && isSimilar(q.shareBase.MemoryMiB, total.MemoryMiB) && isSimilar(q.shareBase.Slots, total.Slots) && isSimilar(q.shareBase.Accelerators, total.Accelerators) {
		return
	}
	q.shareBase = total
	for _, t := range q.teams {
		q.updateOrder(t, func() {})
	}
}

// AddUsage records that a task of the team uses the amount. If fair is true the
// amount counts in the fair order; every task counts against the quota.
func (q *Queue) AddUsage(name domain.Team, amount domain.Resources, fair bool) {
	t := q.team(name)
	t.runningTasks++
	t.totalUsage = t.totalUsage.Add(amount)
	if !fair {
		return
	}
	q.updateOrder(t, func() {
		t.fairUsage = t.fairUsage.Add(amount)
		q.virtualTime = max(q.virtualTime, t.virtualTime)
		t.virtualTime = q.virtualTime + dominantShare(amount, q.shareBase)/t.weight
	})
}

// RemoveUsage reverts an AddUsage with the same values.
func (q *Queue) RemoveUsage(name domain.Team, amount domain.Resources, fair bool) {
	t := q.team(name)
	t.runningTasks--
	t.totalUsage = t.totalUsage.Sub(amount)
	if fair {
		q.updateOrder(t, func() { t.fairUsage = t.fairUsage.Sub(amount) })
	}
	q.clearOverQuota(t)
	q.dropIfIdle(t)
}

// WithinQuota reports whether the team may use the amount in addition to its
// present usage.
func (q *Queue) WithinQuota(name domain.Team, amount domain.Resources) bool {
	t, ok := q.teams[name]
	if !ok {
		return withinLimit(amount, q.quotas[name].Limit)
	}
	return withinLimit(t.totalUsage.Add(amount), t.limit)
}

// CapToQuota returns the amount, reduced to the limit of the team's quota where
// it is above.
func (q *Queue) CapToQuota(name domain.Team, amount domain.Resources) domain.Resources {
	limit := q.quotas[name].Limit
	return domain.Resources{
		CPUMilli:     capAmount(amount.CPUMilli, limit.CPUMilli),
		MemoryMiB:    capAmount(amount.MemoryMiB, limit.MemoryMiB),
		Accelerators: capAmount(amount.Accelerators, limit.Accelerators),
		Slots:        capAmount(amount.Slots, limit.Slots),
		Connections:  capAmount(amount.Connections, limit.Connections),
	}
}

// AloneExceedsQuota reports whether the amount exceeds the team's quota even
// without any other usage.
func (q *Queue) AloneExceedsQuota(name domain.Team, amount domain.Resources) bool {
	return !withinLimit(amount, q.quotas[name].Limit)
}

// team returns the team with the name. It adds a new one if there is none.
func (q *Queue) team(name domain.Team) *team {
	if t, ok := q.teams[name]; ok {
		return t
	}
	q.lastTeamNumber++
	t := &team{name: name, order: q.lastTeamNumber, virtualTime: q.virtualTime, groups: map[shapeKey]*group{}}
	q.applyQuota(t)
	q.teams[name] = t
	return t
}

func (q *Queue) applyQuota(t *team) {
	quota := q.quotas[t.name]
	t.limit = quota.Limit
	t.weight = quota.Weight
	if t.weight <= 0 {
		t.weight = defaultWeight
	}
}

// updateOrder runs change, which may change the values that order the team, and
// then computes its share and moves its groups. The shapes are removed from the
// heap before the change, because a heap can restore its order for only one
// changed element at a time.
func (q *Queue) updateOrder(t *team, change func()) {
	for _, g := range t.groups {
		q.ready.remove(g.shape)
	}
	change()
	t.share = dominantShare(t.fairUsage, q.shareBase) / t.weight
	for _, g := range t.groups {
		q.updateGroup(g)
	}
}

func (q *Queue) clearOverQuota(t *team) {
	for _, g := range t.groups {
		if g.overQuota {
			g.overQuota = false
			q.updateGroup(g)
		}
	}
}

func (q *Queue) dropIfIdle(t *team) {
	// A team whose virtual time is ahead of the queue's is kept, so that it
	// cannot reset its virtual time by having nothing pending for a moment.
	if t.runningTasks == 0 && len(t.groups) == 0 && t.virtualTime <= q.virtualTime {
		delete(q.teams, t.name)
	}
}

// isSimilar reports whether the amounts differ by at most a factor of rebaseFactor.
func isSimilar(a, b int64) bool {
	low, high := float64(min(a, b)), float64(max(a, b))
	return high <= low*rebaseFactor
}

// dominantShare returns the largest share of a single resource. Connections do not
// count.
func dominantShare(used, total domain.Resources) float64 {
	share := fraction(used.CPUMilli, total.CPUMilli)
	share = max(share, fraction(used.MemoryMiB, total.MemoryMiB))
	share = max(share, fraction(used.Accelerators, total.Accelerators))
	return max(share, fraction(used.Slots, total.Slots))
}

func fraction(used, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}

// withinLimit reports whether each resource is within its limit. A zero limit
// means no limit.
func withinLimit(amount, limit domain.Resources) bool {
	return isWithinBound(amount.CPUMilli, limit.CPUMilli) &&
		isWithinBound(amount.MemoryMiB, limit.MemoryMiB) &&
		isWithinBound(amount.Accelerators, limit.Accelerators) &&
		isWithinBound(amount.Slots, limit.Slots) &&
		isWithinBound(amount.Connections, limit.Connections)
}

func isWithinBound(amount, limit int64) bool { return limit <= 0 || amount <= limit }

func capAmount(amount, limit int64) int64 {
	if limit <= 0 {
		return amount
	}
	return min(amount, limit)
}
