package router

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/service"
	"github.com/basilferry/basilferry/node/settings"
)

// Ring maps clients' idempotency keys to request ids. Package ring implements it.
type Ring interface {
	// RequestIDForKey returns the request id of a key. It depends only on the
	// settings, never on which failure domains are live.
	RequestIDForKey(key string) domain.RequestID
}

// Clients provides the clients for calls to other nodes. *peer.Pool implements it.
// An error must be one for which peer.IsNotSent is true.
type Clients interface {
	Client(id domain.NodeID) (peer.Caller, error)
}

// Options configures a Router. All fields are required unless a comment says
// otherwise.
type Options struct {
	Node    settings.Node
	Cluster settings.Cluster
	Limits  settings.Limits
	Shards  service.Shards
	Peers   service.Peers
	Config  service.Config
	Ring    Ring
	Clients Clients
	// Records returns the configuration records after a version, in offset
	// order, for peers that read the configuration from this node. It may be
	// nil; then peers get no records.
	Records func(after domain.Version) []platform.Record
	// OnPing is called with the arguments of each ping from a peer. It may be
	// nil.
	OnPing func(peer.PingArgs)
	// Stopping reports whether this node is in a planned shutdown. Nil means
	// that it never is.
	Stopping func() bool
}

const (
	// defaultMaxInFlight is the number of requests that may be in progress if
	// the settings give no limit.
	defaultMaxInFlight = 1024
	// answerGracePeriod is how long this node waits for the answer of an owner
	// beyond the deadline that the owner got. The owner knows at the deadline
	// whether a request was started. Without the grace period, its "not run"
	// would arrive just after this node reported an unknown outcome.
	answerGracePeriod = 50 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay before a retry. The upper
	// bound keeps the delay after a change of owner small compared with the
	// second that the change takes.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
	// maxRetryRounds bounds the rounds of retries of one request.
	maxRetryRounds = 256
	// maxShardsPerRound is the number of shards to which a request without an
	// id is sent before the next retry delay.
	maxShardsPerRound = 4
	// gatherTimeout bounds the calls to one node, together, when an operator asks
	// for nodes, workers or the progress of a change.
	gatherTimeout = 750 * time.Millisecond
	// gatherConcurrency is the number of nodes that one operator call asks
	// concurrently.
	gatherConcurrency = 32
	// changePollInterval is the time between two polls of the nodes'
	// configuration versions.
	changePollInterval = 100 * time.Millisecond
)
