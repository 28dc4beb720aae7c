package engine

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/membership"
)

// Claimer appends the ownership claims that the membership requests.
type Claimer struct {
	engine        *Engine
	members       *Members
	configVersion func() domain.Version
	logger        *log.Logger
}

// NewClaimer returns a claimer. configVersion returns the version of the
// configuration in force on this node.
func NewClaimer(e *Engine, m *Members, configVersion func() domain.Version, logger *log.Logger) *Claimer {
	return &Claimer{engine: e, members: m, configVersion: configVersion, logger: logger}
}

// Run reports the shards of this node to the membership and appends the claims that
// it requests, every TickInterval and whenever a claim is requested, until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.members.updateOwned(c.engine.Owned(), c.configVersion(), c.engine.Stopping())
		for _, claim := range c.members.takeClaims() {
			c.claim(claim)
		}
		select {
		case <-ticker.C:
		case <-c.members.wake:
		case <-ctx.Done():
		}
	}
}

func (c *Claimer) claim(claim membership.Claim) {
	c.logger.Info("claiming shard", "shard", claim.Shard, "previous", claim.Previous, "reason", claim.Reason)
	c.engine.Claim(claim.Shard, claim.Previous, func(err *domain.Error) {
		if err != nil {
			c.logger.Warn("claim was not confirmed in the log", "shard", claim.Shard, "err", err)
		}
	})
}
