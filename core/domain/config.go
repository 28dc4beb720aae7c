package domain

import "time"

// IsolatedStarts states which tasks a failure domain may start while it can
// reach neither the log service nor another failure domain.
type IsolatedStarts string

// Values of IsolatedStarts.
const (
	// IsolatedAll starts all tasks. The domain may then start a task after a
	// take-out that it has not read.
	IsolatedAll IsolatedStarts = "all"
	// IsolatedUrgent starts urgent requests and watches only.
	IsolatedUrgent IsolatedStarts = "urgent"
	// IsolatedNone starts nothing.
	IsolatedNone IsolatedStarts = "none"
)

// Preset is a complete set of scheduling parameters. Exactly one preset is in
// force.
type Preset struct {
	Name string `json:"name"`
	// IsolatedStarts applies to an isolated failure domain.
	IsolatedStarts IsolatedStarts `json:"isolated_starts"`
	// BatchShare is the share of each worker's CPU, memory and connections that
	// batch tasks may reserve together, and the share of workers on which classes
	// that slow down urgent requests may run, in [0, 1].
	BatchShare float64 `json:"batch_share"`
	// UrgentSlots is the number of slots on each worker that batch tasks leave
	// free for urgent requests. Watches may use them.
	UrgentSlots int64 `json:"urgent_slots"`
	// UrgentPerWorker limits the urgent requests that run concurrently on a
	// worker. Zero means the number of its slots.
	UrgentPerWorker int64 `json:"urgent_per_worker"`
	// ReservationQuantile is the quantile of a class's observed resource use
	// that is reserved if it exceeds the declared demand, in (0, 1].
	ReservationQuantile float64 `json:"reservation_quantile"`
	// ThrottleSlowdown is the estimated slowdown of an urgent class above which
	// colocated batch tasks are throttled; at least 1.
	ThrottleSlowdown float64 `json:"throttle_slowdown"`
	// EvictSlowdown is the estimated slowdown above which a batch task is
	// evicted; at least ThrottleSlowdown.
	EvictSlowdown float64 `json:"evict_slowdown"`
	// RetryBudget is the share of urgent starts that may be retries after a
	// worker refused the first start, in [0, 1].
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
	// Since is the configuration version that took the domain out.
	Since Version `json:"since"`
	// Operator and Reason are for display only.
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}

// Configuration is the configuration that operators have put in force.
type Configuration struct {
	// Version is the log offset of the record that set it; it never decreases.
	Version Version `json:"version"`
	// Preset is the preset in force.
	Preset Preset `json:"preset"`
	// TakeOuts lists the failure domains taken out, ordered by name.
	TakeOuts []TakeOut `json:"take_outs,omitempty"`
	// Quotas lists the team quotas, ordered by team.
	Quotas []Quota `json:"quotas,omitempty"`
	// AppendedAt is the log service's time of the record, for display only.
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
