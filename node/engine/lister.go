package engine

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/platform"
)

// Intervals of the VM list's reads.
const (
	vmListInterval = time.Second
	vmListTimeout  = time.Second
)

// PollVMList gives the VM list of the node's failure domain to the engine until
// ctx ends. While the list does not answer, the last one stays in force.
func (e *Engine) PollVMList(ctx context.Context, list platform.VMList) {
	for ctx.Err() == nil {
		vms, err := fetchVMs(ctx, list, e.config)
		if err == nil {
			e.SetWorkers(vms)
		} else if ctx.Err() == nil {
			e.config.Logger.Warn("the VM list does not answer", "err", err)
		}
		sleep(ctx, vmListInterval)
	}
}

func fetchVMs(ctx context.Context, list platform.VMList, c Config) ([]platform.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	return list.List(ctx, c.Domain)
}
