package router

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/service"
	"github.com/basilferry/basilferry/node/settings"
)

// Ring maps callers' keys to request ids. Package ring implements it.
type Ring interface {
	// KeyID returns the request id of a key. It depends on the settings only,
	// never on which domains are live.
	KeyID(key string) domain.RequestID
}

// Clients gives the client of a node. *peer.Pool implements it. An error must
// be one for which peer.IsNotSent is true.
type Clients interface {
	Client(id domain.NodeID) (peer.Caller, error)
}

// Options are what a Router works with. All fields are needed unless a comment
// tells otherwise.
type Options struct {
	Node    settings.Node
	Cluster settings.Cluster
	Limits  settings.Limits
	Shards  service.Shards
	Peers   service.Peers
	Config  service.Config
	Ring    Ring
	Clients Clients
	// Records returns config records after a version, in offset order, for
	// peers that read the configuration from this node. Nil for none.
	Records func(after domain.Version) []platform.Record
	// OnPing is told what each pinging node says of itself. Nil for none.
	OnPing func(peer.PingArgs)
	// Stopping tells that this node is on a planned stop. Nil for never.
	Stopping func() bool
}

const (
	// defaultMaxInFlight is used if the settings give no limit.
	defaultMaxInFlight = 1024
	// answerGracePeriod is how long the answer of an owner is awaited beyond the
	// deadline that was given to the owner. The owner knows at the deadline
	// whether a request was started; without the grace its "not run" would
	// arrive just after this node had reported an unknown outcome.
	answerGracePeriod = 50 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time between two tries. The
	// upper bound keeps the delay after a change of owner small beside the
	// second that the change takes.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
	// maxRetryRounds bounds the rounds of tries of one request.
	maxRetryRounds = 256
	// maxShardsPerRound is the number of shards that a request without an id
	// tries before it waits.
	maxShardsPerRound = 4
	// gatherTimeout bounds one call to one node when an operator asks for
	// nodes, workers or the progress of a change.
	gatherTimeout = 750 * time.Millisecond
	// gatherConcurrency bounds the calls to other nodes that one operator call
	// makes at once.
	gatherConcurrency = 32
	// changePollInterval is the time between two looks at the nodes' versions.
	changePollInterval = 100 * time.Millisecond
)
