package domain

import "time"

// IsolatedStarts says what a failure domain may start while it hears neither
// the log service nor another failure domain.
type IsolatedStarts string

// Values of IsolatedStarts.
const (
	// IsolatedAll starts everything. A start may then follow a take-out that
	// the domain cannot know of.
	IsolatedAll IsolatedStarts = "all"
	// IsolatedUrgent starts urgent requests and watches only.
	IsolatedUrgent IsolatedStarts = "urgent"
	// IsolatedNone starts nothing.
	IsolatedNone IsolatedStarts = "none"
)

// Preset is one complete way to run. Exactly one preset is in force.
type Preset struct {
	Name string `json:"name"`
	// IsolatedStarts applies to a domain that is cut off.
	IsolatedStarts IsolatedStarts `json:"isolated_starts"`
	// BatchShare is the share of each worker's capacity that batch tasks may
	// reserve together, in [0, 1].
	BatchShare float64 `json:"batch_share"`
	// UrgentSlots is the number of slots on each worker that only urgent
	// requests may use.
	UrgentSlots int64 `json:"urgent_slots"`
	// UrgentPerWorker limits the urgent requests that run at once on a worker
	// (the guard). Zero means the number of its slots.
	UrgentPerWorker int64 `json:"urgent_per_worker"`
	// ReservationQuantile is the quantile of a class's observed use that is
	// reserved when it is above the declared size, in (0, 1].
	ReservationQuantile float64 `json:"reservation_quantile"`
	// ThrottleSlowdown is the estimated slowdown of an urgent class above
	// which batch tasks beside it are throttled; at least 1.
	ThrottleSlowdown float64 `json:"throttle_slowdown"`
	// EvictSlowdown is the estimated slowdown above which a batch task is
	// evicted; at least ThrottleSlowdown.
	EvictSlowdown float64 `json:"evict_slowdown"`
	// RetryBudget is the share of urgent starts that may be second tries
	// after a worker refused the first, in [0, 1].
	RetryBudget float64 `json:"retry_budget"`
}

// Quota limits what the running tasks of one team reserve in one failure
// domain.
type Quota struct {
	Team Team `json:"team"`
	// Weight is the team's share of batch capacity relative to other teams;
	// greater than zero.
	Weight float64 `json:"weight"`
	// Limit bounds the team's reservations; a zero field sets no bound.
	Limit Resources `json:"limit"`
}

// TakeOut marks a failure domain in which no task may start.
type TakeOut struct {
	Domain FailureDomain `json:"domain"`
	// Since is the version that took the domain out.
	Since Version `json:"since"`
	// Operator and Reason are for people.
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}

// Configuration is what operators have put in force.
type Configuration struct {
	// Version is the log offset of the record that made it; it never falls.
	Version Version `json:"version"`
	// Preset is the preset in force.
	Preset Preset `json:"preset"`
	// TakeOuts lists the failure domains taken out, ordered by name.
	TakeOuts []TakeOut `json:"take_outs,omitempty"`
	// Quotas lists the team quotas, ordered by team.
	Quotas []Quota `json:"quotas,omitempty"`
	// AppendedAt is the log's time of the record, for people only.
	AppendedAt time.Time `json:"appended_at"`
}

// TakenOut reports whether the failure domain is taken out.
func (c Configuration) TakenOut(d FailureDomain) bool {
	for _, t := range c.TakeOuts {
		if t.Domain == d {
			return true
		}
	}
	return false
}
