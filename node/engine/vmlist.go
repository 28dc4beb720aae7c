package engine

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/platform"
)

// Interval and time limit of reads of the VM list.
const (
	vmListInterval = time.Second
	vmListTimeout  = time.Second
)

// PollVMList reads the VM list of the node's failure domain repeatedly until ctx
// ends. While the VM list does not respond, the last one stays in force.
func (e *Engine) PollVMList(ctx context.Context, list platform.VMList) {
	for ctx.Err() == nil {
		vms, err := fetchVMs(ctx, list, e.config)
		if err == nil {
			e.SetWorkers(vms)
		} else if ctx.Err() == nil {
			e.config.Logger.Warn("reading the VM list failed; the last list stays in force", "err", err)
		}
		sleep(ctx, vmListInterval)
	}
}

func fetchVMs(ctx context.Context, list platform.VMList, c Config) ([]platform.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	return list.List(ctx, c.Domain)
}
