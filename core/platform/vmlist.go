package platform

import (
	"context"

	"github.com/basilferry/basilferry/core/domain"
)

// VMState is the state of a VM in the VM list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one worker VM of the VM list.
type VM struct {
	ID     domain.WorkerID      `json:"id"`
	Domain domain.FailureDomain `json:"domain"`
	Rack   string               `json:"rack"`
	// Address is the "ip:port" at which the worker is reached.
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// VMList is the contract of the VM list. It lags behind the actual state by
// seconds.
type VMList interface {
	// List returns the worker VMs of one failure domain, ordered by ID.
	List(ctx context.Context, d domain.FailureDomain) ([]VM, error)
}
