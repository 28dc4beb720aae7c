package fairshare

import "github.com/basilferry/basilferry/core/domain"

// SetQuotas replaces the quotas. A team without one has weight 1 and no limit.
func (q *Queue) SetQuotas(quotas []domain.Quota) {
	q.quotas = map[domain.Team]domain.Quota{}
	for _, quota := range quotas {
		q.quotas[quota.Team] = quota
	}
	for _, t := range q.teams {
		q.rekey(t, func() { q.applyQuota(t) })
		q.recheckQuota(t)
	}
}

// SetTotal sets the capacity of which the teams' shares are taken.
func (q *Queue) SetTotal(total domain.Resources) {
	q.total = total
	if similar(q.base.CPUMilli, total.CPUMilli) && similar(q.base.MemoryMiB, total.MemoryMiB) && similar(q.base.Slots, total.Slots) && similar(q.base.Accelerators, total.Accelerators) {
		return
	}
	q.base = total
	for _, t := range q.teams {
		q.rekey(t, func() {})
	}
}

// Held records that a task of the team holds the amount. fair tells that it
// counts for the fair order; every task counts against the quota.
func (q *Queue) Held(name domain.Team, amount domain.Resources, fair bool) {
	t := q.team(name)
	t.holds++
	t.all = t.all.Add(amount)
	if !fair {
		return
	}
	q.rekey(t, func() {
		t.batch = t.batch.Add(amount)
		q.virtual = max(q.virtual, t.virtual)
		t.virtual = q.virtual + dominant(amount, q.base)/t.weight
	})
}

// Released ends a Held with the same values.
func (q *Queue) Released(name domain.Team, amount domain.Resources, fair bool) {
	t := q.team(name)
	t.holds--
	t.all = t.all.Sub(amount)
	if fair {
		q.rekey(t, func() { t.batch = t.batch.Sub(amount) })
	}
	q.recheckQuota(t)
	q.forgetIfIdle(t)
}

// WithinQuota reports whether the team may hold the amount in addition.
func (q *Queue) WithinQuota(name domain.Team, amount domain.Resources) bool {
	t, ok := q.teams[name]
	if !ok {
		return withinLimit(amount, q.quotas[name].Limit)
	}
	return withinLimit(t.all.Add(amount), t.limit)
}

// Bounded returns the amount cut down to the team's quota.
func (q *Queue) Bounded(name domain.Team, amount domain.Resources) domain.Resources {
	limit := q.quotas[name].Limit
	return domain.Resources{
		CPUMilli:     bounded(amount.CPUMilli, limit.CPUMilli),
		MemoryMiB:    bounded(amount.MemoryMiB, limit.MemoryMiB),
		Accelerators: bounded(amount.Accelerators, limit.Accelerators),
		Slots:        bounded(amount.Slots, limit.Slots),
		Connections:  bounded(amount.Connections, limit.Connections),
	}
}

// NeverWithinQuota reports whether the amount alone is above the team's quota.
func (q *Queue) NeverWithinQuota(name domain.Team, amount domain.Resources) bool {
	return !withinLimit(amount, q.quotas[name].Limit)
}

func (q *Queue) team(name domain.Team) *team {
	if t, ok := q.teams[name]; ok {
		return t
	}
	q.joined++
	t := &team{name: name, number: q.joined, virtual: q.virtual, groups: map[shapeKey]*group{}}
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

// rekey changes what the team's order depends on and moves its groups. The
// shapes leave the ranking before the change, because a ranking can only mend
// the place of one changed element at a time.
func (q *Queue) rekey(t *team, change func()) {
	for _, g := range t.groups {
		q.ready.take(g.shape)
	}
	change()
	t.share = dominant(t.batch, q.base) / t.weight
	for _, g := range t.groups {
		q.place(g)
	}
}

func (q *Queue) recheckQuota(t *team) {
	for _, g := range t.groups {
		if g.overQuota {
			g.overQuota = false
			q.place(g)
		}
	}
}

func (q *Queue) forgetIfIdle(t *team) {
	// A team ahead of the virtual clock is kept, so that it cannot reset its
	// clock by having nothing pending for a moment.
	if t.holds == 0 && len(t.groups) == 0 && t.virtual <= q.virtual {
		delete(q.teams, t.name)
	}
}

func similar(a, b int64) bool {
	low, high := float64(min(a, b)), float64(max(a, b))
	return high <= low*rebaseFactor
}

func dominant(used, total domain.Resources) float64 {
	share := part(used.CPUMilli, total.CPUMilli)
	share = max(share, part(used.MemoryMiB, total.MemoryMiB))
	share = max(share, part(used.Accelerators, total.Accelerators))
	return max(share, part(used.Slots, total.Slots))
}

func part(used, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}

// withinLimit treats a zero field of the limit as no bound.
func withinLimit(amount, limit domain.Resources) bool {
	return below(amount.CPUMilli, limit.CPUMilli) &&
		below(amount.MemoryMiB, limit.MemoryMiB) &&
		below(amount.Accelerators, limit.Accelerators) &&
		below(amount.Slots, limit.Slots) &&
		below(amount.Connections, limit.Connections)
}

func below(amount, limit int64) bool { return limit <= 0 || amount <= limit }

func bounded(amount, limit int64) int64 {
	if limit <= 0 {
		return amount
	}
	return min(amount, limit)
}
