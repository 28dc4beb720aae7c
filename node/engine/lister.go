package engine

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/platform"
)

// Intervals of the VM list's reads.
const (
	listInterval = time.Second
	listTimeout  = time.Second
)

// RunLister gives the VM list of the node's failure domain to the engine until
// ctx ends. While the list does not answer, the last one stays in force.
func (e *Engine) RunLister(ctx context.Context, list platform.VMList) {
	for ctx.Err() == nil {
		vms, err := listOnce(ctx, list, e.config)
		if err == nil {
			e.SetWorkers(vms)
		} else if ctx.Err() == nil {
			e.config.Logger.Warn("the VM list does not answer", "err", err)
		}
		sleep(ctx, listInterval)
	}
}

func listOnce(ctx context.Context, list platform.VMList, c Config) ([]platform.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return list.List(ctx, c.Domain)
}
