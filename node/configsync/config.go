package configsync

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/peer"
)

// Time limits and bounds.
const (
	longPollWait        = 500 * time.Millisecond
	readTimeout         = time.Second
	retryDelay          = 100 * time.Millisecond
	appendTimeout       = time.Second
	fetchTimeout        = time.Second
	relayInterval       = time.Second
	provisionalInterval = time.Second
	// proposeTimeout bounds the wait for the decision about a change of this
	// package, that is a provisional take-out.
	proposeTimeout = 5 * time.Second
	maxReadRecords = 128
	// keptRecords bounds the records that are kept for other nodes. A node that
	// lags further behind takes the configuration without its history.
	keptRecords = 1000
)

// State folds the config stream; configlog.State is one. Apply of a record at
// or below the version in force must change nothing.
type State interface {
	Apply(rec platform.Record) configlog.Decision
	Current() domain.Configuration
	History(limit int) []configlog.Decision
	// Adopt takes a higher version from a peer and reports whether it was
	// higher.
	Adopt(c domain.Configuration) bool
	// Lost tells that records expired before they were read.
	Lost()
	// SnapshotDue reports whether the configuration must be appended again, by
	// the log service's clock.
	SnapshotDue(now time.Time, retention time.Duration) bool
}

// Encoder makes records of the config stream.
type Encoder struct {
	Change   func(id string, c configlog.Change) (platform.Record, error)
	Snapshot func(id string, c domain.Configuration) (platform.Record, error)
}

// Config is what a Sync needs. All fields are required unless stated.
type Config struct {
	Node    domain.NodeID
	Log     platform.Log
	State   State
	Encoder Encoder
	// Peers returns the nodes that Fetch may ask.
	Peers func() []domain.NodeID
	// Fetch asks a node for its configuration and the records after a version.
	Fetch func(ctx context.Context, from domain.NodeID, after domain.Version) (peer.ConfigReply, error)
	// SnapshotDelay is different on each node, so that one of them appends the
	// snapshot and the others see it.
	SnapshotDelay time.Duration
	// Changed, if set, is called after the configuration or the provisional
	// take-outs changed. It must not block.
	OnChange func()
	Logger   *log.Logger
}
