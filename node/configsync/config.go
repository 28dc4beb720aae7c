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

const (
	// longPollWait is how long a read at the end of the stream waits for records;
	// readTimeout is the additional time for its reply.
	longPollWait = 500 * time.Millisecond
	readTimeout  = time.Second
	// retryDelay is the time between a failed read or append and the next.
	retryDelay    = 100 * time.Millisecond
	appendTimeout = time.Second
	fetchTimeout  = time.Second
	// relayInterval and provisionalInterval are how long runRelay and
	// runProvisional wait at most before they check again for work.
	relayInterval       = time.Second
	provisionalInterval = time.Second
	// proposeTimeout bounds the wait for the decision about a change that this
	// package proposes itself, a provisional take-out, and the read of the stream
	// before it.
	proposeTimeout = 5 * time.Second
	maxReadRecords = 128
	// keptRecords is the minimum number of latest records that are kept for other
	// nodes; at most twice as many are kept. A node that is further behind gets
	// the configuration without its history.
	keptRecords = 1000
)

// State is the configuration that results from the records of the config stream;
// configlog.State implements it. Applying a record at or below the version in
// force must change nothing.
type State interface {
	Apply(rec platform.Record) configlog.Decision
	Current() domain.Configuration
	History(limit int) []configlog.Decision
	// Adopt puts a configuration from a peer in force if its version is higher
	// than the current one, and reports whether it was.
	Adopt(c domain.Configuration) bool
	// ReportGap is called when records expired before they were read.
	ReportGap()
	// SnapshotDue reports whether the configuration must be appended again
	// before its record expires. now is compared with times of the log service's
	// clock. Sync passes the time of this node's clock less Config.SnapshotDelay.
	SnapshotDue(now time.Time, retention time.Duration) bool
}

// Encoder encodes records of the config stream.
type Encoder struct {
	Change   func(id string, c configlog.Change) (platform.Record, error)
	Snapshot func(id string, c domain.Configuration) (platform.Record, error)
}

// Config configures a Sync. All fields are required unless stated otherwise.
type Config struct {
	Node    domain.NodeID
	Log     platform.Log
	State   State
	Encoder Encoder
	// Peers returns the nodes that Fetch may ask.
	Peers func() []domain.NodeID
	// Fetch asks a node for its configuration and the records after a version.
	Fetch func(ctx context.Context, from domain.NodeID, after domain.Version) (peer.ConfigReply, error)
	// SnapshotDelay is how long this node waits before it appends a snapshot that
	// is due. It differs between nodes, so that one node appends the snapshot and
	// the others read it before their delay has passed.
	SnapshotDelay time.Duration
	// OnChange, if set, is called after the configuration or the provisional
	// take-outs have changed. It must not block.
	OnChange func()
	Logger   *log.Logger
}
