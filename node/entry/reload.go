package entry

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
)

// reloadOnHangup reads the settings file again on SIGHUP and applies the limits of the
// Go runtime. Changed names and addresses need a restart, which the log reports. If
// the file cannot be read or is not valid, nothing changes.
func (n *Node) reloadOnHangup(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-hangup:
			n.reload()
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) reload() {
	s, err := LoadSettings(n.settingsFile)
	if err != nil {
		n.logger.Error("reload", "part", "node", "err", err)
		return
	}
	n.applyRuntimeLimits(s)
	restart := s.Node != n.settings.Node || s.Listen != n.settings.Listen || s.Store != n.settings.Store || s.Accounts != n.settings.Accounts
	n.logger.Info("reload", "part", "node", "gc_percent", s.Runtime.GCPercent, "memory_mb", s.Machine.MemoryMB, "needs_restart", restart)
}

func (n *Node) applyRuntimeLimits(s Settings) {
	debug.SetGCPercent(s.Runtime.GCPercent)
	debug.SetMemoryLimit(int64(float64(s.Machine.MemoryMB<<20) * s.Runtime.MemoryLimitShare))
}
