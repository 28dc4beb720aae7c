package entry

import (
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/platform"
)

// configAge determines for which time this node certainly knows the newest version of the
// configuration. A record that cannot be read may be a version that removes a key, so the
// time stands still from such a record until a later version is in force.
type configAge struct {
	// lastSent returns when the latest complete read was sent.
	lastSent func() (time.Duration, bool)

	mu sync.Mutex
	// unreadable is the largest offset of a record that could not be read, and inForce that
	// of a version in force; -1 for none.
	unreadable, inForce int64
	// stoppedAt and stoppedOK are the result of lastSent at the first unreadable record.
	stoppedAt time.Duration
	stoppedOK bool
}

func newConfigAge(lastSent func() (time.Duration, bool)) *configAge {
	return &configAge{lastSent: lastSent, unreadable: -1, inForce: -1}
}

func (a *configAge) isStopped() bool { return a.unreadable > a.inForce }

// setUnreadable notes that the record at an offset could not be read.
func (a *configAge) setUnreadable(offset int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wasStopped := a.isStopped()
	a.unreadable = max(a.unreadable, offset)
	if !wasStopped && a.isStopped() {
		a.stoppedAt, a.stoppedOK = a.lastSent()
	}
}

// setInForce notes that the version in the record at an offset is in force.
func (a *configAge) setInForce(offset int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inForce = max(a.inForce, offset)
}

// known returns the time for which the newest version is known; see intake.Config.
func (a *configAge) known() (at time.Duration, ok bool) {
	// Read first: a record of a read that lastSent covers may stop the time.
	at, ok = a.lastSent()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isStopped() {
		return a.stoppedAt, a.stoppedOK
	}
	return at, ok
}

// maxAccountWarnings limits the log lines about the accounts of one configuration.
const maxAccountWarnings = 32

// logAccounts logs what is odd about the accounts of a configuration that has come into
// force.
func (n *Node) logAccounts(c *platform.OperatorConfig, conflicts []account.Conflict) {
	if !c.HasAccounts {
		return
	}
	n.logger.Info("accounts in force", "part", "config", "version", c.Version, "accounts", len(c.Accounts),
		"warnings", len(c.AccountWarnings)+len(conflicts))
	for _, warning := range c.AccountWarnings[:min(len(c.AccountWarnings), maxAccountWarnings)] {
		n.logger.Warn("odd account", "part", "config", "version", c.Version, "warning", warning)
	}
	for _, k := range conflicts[:min(len(conflicts), maxAccountWarnings)] {
		n.logger.Warn("key of two accounts", "part", "config", "version", c.Version, "key_digest", k.Key.Short(),
			"used_for", k.Holder, "ignored_for", k.Other)
	}
}
