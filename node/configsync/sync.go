package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/service"
)

// Sync holds this node's view of the configuration and keeps it up to date. It
// implements service.Config.
type Sync struct {
	config          Config
	cancel          context.CancelFunc
	goroutines      sync.WaitGroup
	wakeReader      chan struct{}
	wakeRelay       chan struct{}
	wakeProvisional chan struct{}

	mu    sync.Mutex
	state State
	// next is the offset of the next record to apply.
	next platform.Offset
	// records are the latest applied records, kept for requests of other nodes.
	records []platform.Record
	// readCount is the number of reads that were started, and lastReadToEnd the
	// number of the latest one that reached the end of the stream.
	readCount, lastReadToEnd uint64
	logUp                    bool
	retention                time.Duration
	// changed is closed and replaced after each read that was applied.
	changed chan struct{}
	// proposals holds the changes that wait for their decision, by record id.
	proposals   map[string]*proposal
	provisional []provisional
	// newestReported is the highest version that was reported since runRelay last
	// used one. It may be outdated.
	newestReported reportedVersion
}

// reportedVersion is a version that another node has reported and that was higher
// than the one in force then.
type reportedVersion struct {
	node    domain.NodeID
	version domain.Version
}

var _ service.Config = (*Sync)(nil)

// New returns a Sync; Start starts it.
func New(c Config) *Sync {
	return &Sync{
		config:          c,
		state:           c.State,
		next:            1,
		wakeReader:      make(chan struct{}, 1),
		wakeRelay:       make(chan struct{}, 1),
		wakeProvisional: make(chan struct{}, 1),
		changed:         make(chan struct{}),
		proposals:       make(map[string]*proposal),
	}
}

// Start fetches the highest version from the peers, for at most fetchTimeout or
// until ctx ends. It then starts the goroutines that follow the stream.
func (s *Sync) Start(ctx context.Context) {
	s.fetchAll(ctx)
	runCtx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, loop := range []func(context.Context){s.follow, s.runRelay, s.runProvisional, s.runSnapshots} {
		s.goroutines.Go(func() { loop(runCtx) })
	}
}

// Stop stops all goroutines and waits for them.
func (s *Sync) Stop() {
	s.cancel()
	s.goroutines.Wait()
}

// Current implements service.Config.
func (s *Sync) Current() domain.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Current()
}

// History implements service.Config.
func (s *Sync) History(limit int) []configlog.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.History(limit)
}

// LogUp reports whether the latest read of the config stream succeeded.
func (s *Sync) LogUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logUp
}

func (s *Sync) notifyChanged() {
	if s.config.OnChange != nil {
		s.config.OnChange()
	}
}

// wake wakes the goroutine that waits on c, now or at its next wait.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wait returns when c is signaled, after d, or when ctx ends.
func wait(ctx context.Context, d time.Duration, c <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c:
	case <-ctx.Done():
	}
}
