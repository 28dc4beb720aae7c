package app

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	startTimeout = 15 * time.Second
	// closeTimeout is the time allowed for closing listeners and connections after
	// the stop timeout of the settings.
	closeTimeout = 5 * time.Second
)

// loops runs the background goroutines of a node and stops them together.
type loops struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func (l *loops) start() { l.ctx, l.cancel = context.WithCancel(context.Background()) }

func (l *loops) run(f func(context.Context)) {
	l.wg.Go(func() { f(l.ctx) })
}

func (l *loops) stop() {
	l.cancel()
	l.wg.Wait()
}

// start opens the listeners first, so that it returns an error if an address cannot
// be listened on. It then starts the components in the order of their dependencies;
// the HTTP server comes last.
func (n *node) start(context.Context) error {
	if err := n.listen(); err != nil {
		return err
	}
	n.loops.start()
	n.loops.run(func(context.Context) { n.serve("peer", func() error { return n.peers.Serve(n.peerListener) }) })
	n.engine.Start()
	n.config.Start(n.loops.ctx)
	n.loops.run(n.claimer.Run)
	n.loops.run(n.pingOwnDomain)
	n.loops.run(n.pingOtherDomains)
	n.loops.run(func(ctx context.Context) { n.engine.PollVMList(ctx, n.platform.VMs) })
	n.loops.run(n.pushConfig)
	n.loops.run(func(context.Context) { n.serve("http", func() error { return n.http.Serve(n.httpListener) }) })
	n.logger.Info("started", "id", n.settings.Node.ID, "http", n.httpListener.Addr(), "peer", n.peerListener.Addr())
	return nil
}

func (n *node) listen() error {
	var err error
	if n.peerListener, err = listenOn(n.settings.Node.PeerAddress); err != nil {
		return err
	}
	if n.httpListener, err = listenOn(n.settings.Node.HTTPAddress); err != nil {
		n.peerListener.Close()
		return err
	}
	return nil
}

func listenOn(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &domain.Error{
			Kind:    domain.KindUnavailable,
			Message: fmt.Sprintf("cannot listen on %s: %v", address, err),
			Remedy:  "free the address or set another one in the settings",
		}
	}
	return l, nil
}

func (n *node) serve(name string, serve func() error) {
	if err := serve(); err != nil {
		n.logger.Error("listener failed", "listener", name, "err", err)
	}
}

// stop shuts the node down gracefully. It hands shards over while both listeners
// still serve, so that requests of clients and peers are answered or forwarded, and
// then shuts the listeners down. When the stop timeout expires or ctx is done, calls
// that are still in progress are aborted.
func (n *node) stop(ctx context.Context) error {
	n.logger.Info("stopping")
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Limits.StopTimeout))
	defer cancel()
	n.http.Drain()
	handOverErr := n.engine.Stop(ctx)
	shutdownErr := n.http.Shutdown(ctx)
	n.shutdownPeers(ctx)
	n.router.Close()
	n.config.Stop()
	n.loops.stop()
	n.pool.Close()
	if err := n.metrics.closer.Close(); err != nil {
		n.logger.Warn("cannot close the metrics reporter", "err", err)
	}
	n.logger.Info("stopped")
	if handOverErr != nil {
		return fmt.Errorf("hand over shards: %w", handOverErr)
	}
	return shutdownErr
}

func (n *node) shutdownPeers(ctx context.Context) {
	if n.peers.Shutdown(ctx) != nil {
		n.peers.Close()
	}
}
