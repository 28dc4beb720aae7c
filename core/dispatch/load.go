package dispatch

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
)

// Pool is capacity that tasks of one kind compete for: the best-effort tasks of a service,
// or its tasks with reserved CPU.
type Pool struct {
	Service    string
	BestEffort bool
}

// String returns the service and the kind, for logs and metrics.
func (p Pool) String() string { return p.Service + "/" + p.Kind() }

// Kind returns "best_effort" or "reserved".
func (p Pool) Kind() string {
	if p.BestEffort {
		return "best_effort"
	}
	return "reserved"
}

// pool returns the pool that the demand's tasks take their capacity from.
func (d *Demand) pool() Pool { return Pool{Service: d.Service, BestEffort: d.Step.Fills} }

// Load describes the workers and the work on them at the start of a round.
type Load struct {
	Pools map[Pool]PoolLoad
	// Accounts holds the client accounts by name. It is nil if accounts are disabled.
	Accounts map[string]AccountLoad
}

// PoolLoad describes one pool.
type PoolLoad struct {
	// Rate is the work that the pool can finish per second, in core-seconds by the clients'
	// estimates; 0 if it is unknown. No job is deferred at an unknown rate.
	Rate float64
	// Slowdown is the mean ratio of the duration of the pool's tasks to their estimate.
	Slowdown float64
	// Executing is the whole work of the tasks that have been placed, of all jobs, in
	// core-seconds by the estimates. Long-running tasks are not included.
	Executing float64
	// Capacity is what the attempts of the pool use and what is free for more of them. It is
	// needed only if accounts are enabled.
	Capacity domain.Resources
}

// AccountLoad is what the shares of one account depend on.
type AccountLoad struct {
	// Weight is the relative size of the account's share. It is positive.
	Weight float64
	// Limit is what the account may use over all pools; a resource of 0 has no limit. What
	// it waits for beyond that does not reduce the shares of others.
	Limit domain.Resources
	Use   map[Pool]AccountUse
}

// AccountUse is what the attempts of an account use of one pool, with the CPU of best-effort
// tasks. LongRunning is the part of it that does not end by itself.
type AccountUse struct{ Total, LongRunning domain.Resources }

// UnusedCPUMilli returns the expected unused CPU of a worker, in millicores: the free CPU and
// what serving tasks reserve but do not use, less the demand of best-effort tasks.
func UnusedCPUMilli(w *fleet.Worker) int64 {
	return w.FreeCapacity().CPUMilli + int64((1-servingCPUUse)*float64(w.ServingCPU)) - w.BestEffortCPU
}
