package platform

import (
	"time"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
)

// RegistryEntry is a worker's own entry in the registry.
type RegistryEntry struct {
	ID      domain.WorkerID
	Address string
	Domain  domain.FailureDomain
	Service string
	// Draining is true if the worker is about to leave.
	Draining bool
	Capacity domain.Resources
	// Labels are the worker's kind and its rack.
	Labels []string
	// StartedUnixMS is when the worker process started, in Unix milliseconds. It
	// identifies the incarnation of the worker; 0 if unknown.
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
	// Timeout is how long the platform lets a request take; 0 if it is not given. Only the
	// check of a configuration uses it.
	Timeout time.Duration
	// Public is true if requests need no API key. Their jobs belong to no account.
	Public bool
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
	// RejectsOverload is true if a worker refuses tasks that exceed its free
	// capacity.
	RejectsOverload bool
	// Standby is true for a pool that is off until VMs are moved to a pool in
	// use.
	Standby bool
}

// OperatorConfig is one complete configuration written by the operator.
type OperatorConfig struct {
	Version  int64
	Routes   []Route
	Services map[string]ServiceConfig
	Limits   RequestLimits
	// HasAccounts is true if accounts are enabled, also if Accounts is empty.
	HasAccounts bool
	Accounts    []account.Account
	// AccountWarnings lists the entries of accounts that cannot be used as they are.
	AccountWarnings []string
}

// OperatorChange is one record written by the operator. At most one of Config
// and Evacuate is set; neither is set for a record with an unknown key or an
// empty configuration.
type OperatorChange struct {
	Config *OperatorConfig
	// Evacuate names a failure domain to which no tasks may be sent. If Removed
	// is set, the evacuation of the domain ends.
	Evacuate domain.FailureDomain
	Removed  bool
}
