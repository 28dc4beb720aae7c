package platform

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
)

// RegistryEntry is what a worker says of itself in the registry.
type RegistryEntry struct {
	ID      domain.WorkerID
	Address string
	Domain  domain.FailureDomain
	Service string
	// Draining tells that the worker is about to leave.
	Draining bool
	Capacity domain.Resources
	// Labels are the worker's kind and its rack.
	Labels []string
	// StartedUnixMS identifies the life of the worker; 0 if it does not say.
	StartedUnixMS int64
	// WarmupRemaining is how much longer the worker is slow after its start.
	WarmupRemaining time.Duration
}

// Route maps requests to a queue.
type Route struct {
	Queue job.Queue
	Host  string
	// PathPrefix ends with a slash.
	PathPrefix string
}

// RequestLimits bound what a client may send.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// ServiceConfig describes a pool of workers.
type ServiceConfig struct {
	Name string
	// RejectsOverload tells that a worker refuses what does not fit.
	RejectsOverload bool
	// Standby pools are off until machines are moved to a pool in use.
	Standby bool
}

// OperatorConfig is one complete configuration that the operator wrote.
type OperatorConfig struct {
	Version  int64
	Routes   []Route
	Services map[string]ServiceConfig
	Limits   RequestLimits
}

// OperatorChange is one record that the operator wrote: at most one of the
// fields is set. A record that cannot be read leaves all unset.
type OperatorChange struct {
	Config *OperatorConfig
	// Evacuate names a failure domain to which no task may be sent, or, with
	// Removed, one that is taken back.
	Evacuate domain.FailureDomain
	Removed  bool
}
