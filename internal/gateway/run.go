package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"
)

// The file descriptors of a gateway are shared equally by connections to clients and to servers. The rest is reserved
// for the listener, discovery, peers and the Go runtime.
const (
	minSockets      = 64
	reservedSockets = 32
)

func upstreamSockets(total int) int { return (total - reservedSockets) / 2 }
func clientSockets(total int) int   { return (total - reservedSockets) / 2 }

const (
	// Connections are accepted for this long after a stop request, because the load balancer in front of the gateways
	// keeps sending new ones for a while.
	acceptGrace = 500 * time.Millisecond
	closeGrace  = 200 * time.Millisecond // for a connection that is accepted while the listener closes
	// After a stop request the platform kills the gateway once the longest deadline (but no more than
	// maxShutdownWait) plus shutdownGrace has passed. Requests that are open by then would be lost, so they are
	// failed shutdownMargin earlier.
	maxShutdownWait = 3 * time.Second
	shutdownGrace   = 700 * time.Millisecond
	shutdownMargin  = 200 * time.Millisecond
	// Clients that read their last answers slowly have this long. The platform may kill the gateway earlier.
	lastAnswerTimeout = 10 * time.Second
	// Requests that were read ahead or wait in the kernel are refused within this time. Connections linger for lingerInterval before they are
	// closed, and that must also fit into shutdownMargin.
	finalReadGrace = shutdownMargin - lingerInterval - 10*time.Millisecond
)

// Run serves clients until the context ends. It then accepts connections for a short time, answers all requests that
// it has taken, and returns. Each address received from discoveryAddrs replaces the address of discovery.
func Run(ctx context.Context, cfg Config, discoveryAddrs <-chan netip.AddrPort, log *slog.Logger) error {
	ln, err := listen(ctx, cfg.Listen.String(), log)
	if err != nil && ctx.Err() != nil {
		return nil // stopped before it accepted anything
	}
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	defer ln.Close()
	return serve(ctx, cfg, discoveryAddrs, ln, log)
}

// serve runs a gateway on a listener until the context ends and the shutdown is complete.
func serve(ctx context.Context, cfg Config, discoveryAddrs <-chan netip.AddrPort, ln net.Listener, log *slog.Logger) error {
	opened := time.Now()
	l, err := newLoop(cfg, log)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	serveCtx, cancel := context.WithCancel(context.Background()) // discovery is still polled while the gateway drains
	defer wg.Wait()
	defer cancel()
	if cfg.PeerListen.IsValid() {
		if err := startPeers(serveCtx, &wg, cfg, l.inbox.post, log); err != nil {
			return err
		}
	}
	if cfg.MetricsListen.IsValid() {
		wg.Go(func() { serveMetrics(serveCtx, cfg.MetricsListen, l.metrics, log) })
	}
	warmup := newDiscoveryWarmup()
	wg.Go(func() { followDiscovery(serveCtx, cfg, discoveryAddrs, l.inbox.post, l.metrics, warmup, log) })
	wg.Go(func() {
		// The list from the configuration may be out of date, and newer state that discovery has published applies
		// from the first request on. So discovery is polled first, but the wait is bounded in case it does not
		// answer.
		warmup.await(cmp.Or(cfg.discoveryFirstByteTimeout, warmupFirstByteTimeout), warmupAnswerTimeout)
		l.inbox.post(warmupEnded{})
		queue := acceptQueue{waitingSince: opened} // clients may have connected since the listener was opened
		acceptor{ln: ln, queue: queue, acceptSlots: l.acceptSlots, post: l.inbox.post, metrics: l.metrics,
			log: log}.run(serveCtx)
		l.inbox.post(acceptEnded{}) // after all accepted connections
	})
	wg.Go(func() {
		select {
		case <-ctx.Done():
			l.inbox.post(stopRequested{ln})
		case <-serveCtx.Done():
		}
	})
	l.run()
	l.shutdown()
	log.Info("final metrics", "metrics", l.metrics.Summary())
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("closing the listener: %w", err)
	}
	return nil
}

// warmupEnded is the event that the start no longer waits for discovery, whether that has answered or not. Requests may
// be taken from now on.
type warmupEnded struct{}

func (warmupEnded) apply(l *loop) { l.acceptingRequests = true }

// stopRequested is the event that starts the shutdown of the gateway.
type stopRequested struct{ ln net.Listener }

func (s stopRequested) apply(l *loop) {
	now := l.clock.now()
	l.stopDeadline = now + l.stopGrace()
	l.log.Info("stopping", "open", len(l.requests))
	l.schedule(min(now+acceptGrace, l.stopDeadline), func() {
		stopAccepting(s.ln)
		l.closing = true
		for c := range l.clients {
			l.drain(c)
		}
	})
	l.schedule(l.stopDeadline, func() {
		s.ln.Close() // also if accepting still fails
		l.stopAll()
	})
}

// stopGrace returns how long after the stop request answers can still be given.
func (l *loop) stopGrace() time.Duration {
	longest := time.Duration(0)
	for i := range l.cfg.Settings.Decide.Classes {
		longest = max(longest, l.cfg.Settings.Decide.Classes[i].Deadline)
	}
	if longest <= 0 {
		longest = maxShutdownWait
	}
	return min(longest, maxShutdownWait) + shutdownGrace - shutdownMargin
}

// stopAll fails the requests that are still open, such as those at servers that hang, and ends all connections.
// Requests that were read ahead, and those that wait in the kernel, are refused: they count as taken, and their clients
// wait for an answer. Only what arrives as a connection ends stays unread; its client sends it again to another gateway.
// The reader decides last which commands were read, so that none is lost between the reader and the loop.
func (l *loop) stopAll() {
	l.closing = true
	for c := range l.clients {
		l.failOpenRequests(c, reasonStopping)
		l.limitReading(c, readToEnd)
	}
	l.schedule(l.clock.now()+finalReadGrace, func() {
		for c := range l.clients {
			l.limitReading(c, readStopped)
		}
	})
	l.schedule(l.clock.now()+lastAnswerTimeout, func() {
		for c := range l.clients {
			l.closeClient(c, closeShutdown)
		}
	})
}

// acceptEnded is the event that no further connection will be accepted.
type acceptEnded struct{}

func (acceptEnded) apply(l *loop) { l.acceptDone = true }

// finished reports whether the gateway is stopping, no connection is open and none is still to be counted.
func (l *loop) finished() bool { return l.closing && l.acceptDone && len(l.clients) == 0 }
