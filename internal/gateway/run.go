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

// The descriptors that a gateway may hold are parted between clients and servers; the rest is for the
// listener, discovery, peers and the runtime.
const (
	leastSockets   = 64
	reserveSockets = 32
)

func upstreamSockets(all int) int { return (all - reserveSockets) / 2 }
func clientSockets(all int) int   { return (all - reserveSockets) / 2 }

const (
	acceptOn   = 500 * time.Millisecond // after the stop: the front goes on sending new connections for a while
	closeGrace = 200 * time.Millisecond // for a connection that came in as the listener closed
	// The platform kills a gateway that it has told to stop once the longest deadline (no more than shutdownWait of it)
	// and shutdownGrace have passed. What is owed by then would be lost, so it is failed shutdownMargin before.
	shutdownWait   = 3 * time.Second
	shutdownGrace  = 700 * time.Millisecond
	shutdownMargin = 200 * time.Millisecond
	// Clients that take their last answers slowly have this long; the platform may end the gateway before.
	shutdownLongest = 10 * time.Second
	// What was read ahead gets its refusals in this; connections linger before they are closed, still in shutdownMargin.
	shutdownLast = shutdownMargin - lingerFor - 10*time.Millisecond
)

// Run serves until the context ends; then it takes what still comes for a moment, answers all that it has
// taken, and returns. Each address that comes over moves is where discovery is from then on.
func Run(ctx context.Context, cfg Config, moves <-chan netip.AddrPort, log *slog.Logger) error {
	ln, err := listen(ctx, cfg.Listen.String(), log)
	if err != nil && ctx.Err() != nil {
		return nil // told to end before it took anything
	}
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	defer ln.Close()
	return serve(ctx, cfg, moves, ln, log)
}

func serve(ctx context.Context, cfg Config, moves <-chan netip.AddrPort, ln net.Listener, log *slog.Logger) error {
	opened := time.Now()
	l, err := newLoop(cfg, log)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	inner, cancel := context.WithCancel(context.Background()) // discovery goes on while the gateway drains
	defer wg.Wait()
	defer cancel()
	if cfg.PeerListen.IsValid() {
		if err := linkPeers(inner, &wg, cfg, l.in.post, log); err != nil {
			return err
		}
	}
	if cfg.MetricsListen.IsValid() {
		wg.Go(func() { serveMetrics(inner, cfg.MetricsListen, l.metrics, log) })
	}
	hearing := newHearing()
	wg.Go(func() { follow(inner, cfg, moves, l.in.post, l.metrics, hearing, log) })
	wg.Go(func() {
		// The list that the gateway was started with may be old. What discovery has told since counts from the first
		// moment, so it is heard before the first request is taken, or nothing new if it has nothing to say.
		hearing.await(cmp.Or(cfg.hearFor, hearFirst), hearWhole)
		l.in.post(ready{})
		queue := acceptQueue{since: opened} // clients may have connected meanwhile
		acceptor{ln: ln, queue: queue, ahead: l.ahead, post: l.in.post, metrics: l.metrics, log: log}.run(inner)
		l.in.post(acceptEnded{}) // behind all connections that it took
	})
	wg.Go(func() {
		select {
		case <-ctx.Done():
			l.in.post(stop{ln})
		case <-inner.Done():
		}
	})
	l.run()
	l.shut()
	log.Info("counted", "metrics", l.metrics.Summary())
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("closing the listener: %w", err)
	}
	return nil
}

// ready tells that requests may be taken from now on.
type ready struct{}

func (ready) apply(l *loop) { l.ready = true }

// stop begins the end of the gateway.
type stop struct{ ln net.Listener }

func (s stop) apply(l *loop) {
	now := l.clock.now()
	l.stopBy = now + l.stopGrace()
	l.log.Info("stopping", "open", len(l.requests))
	l.schedule(min(now+acceptOn, l.stopBy), func() {
		endAccepting(s.ln)
		l.closing = true
		for c := range l.clients {
			l.drain(c)
		}
	})
	l.schedule(l.stopBy, func() {
		s.ln.Close() // also where accepting still fails
		l.stopAll()
	})
}

// stopGrace is how long after the stop answers can still be given.
func (l *loop) stopGrace() time.Duration {
	longest := time.Duration(0)
	for i := range l.cfg.Settings.Decide.Classes {
		longest = max(longest, l.cfg.Settings.Decide.Classes[i].Deadline)
	}
	if longest <= 0 {
		longest = shutdownWait
	}
	return min(longest, shutdownWait) + shutdownGrace - shutdownMargin
}

// stopAll fails what is still owed, such as requests at servers that hang, and ends all connections. What was read ahead is
// refused, and what is unread is left so: its client sends it again elsewhere. The last word on what was read is the
// reader's, so that nothing is lost between it and the loop.
func (l *loop) stopAll() {
	l.closing = true
	for c := range l.clients {
		l.failOpen(c, reasonStopping)
		l.limitReading(c, readBegun)
	}
	l.schedule(l.clock.now()+shutdownLast, func() {
		for c := range l.clients {
			l.limitReading(c, readNoMore)
		}
	})
	l.schedule(l.clock.now()+shutdownLongest, func() {
		for c := range l.clients {
			l.closeClient(c, closeShutdown)
		}
	})
}

// acceptEnded tells that no further connection will come.
type acceptEnded struct{}

func (acceptEnded) apply(l *loop) { l.accepted = true }

// finished reports that the gateway is stopping and owes nothing: no connection is open or still to be counted.
func (l *loop) finished() bool { return l.closing && l.accepted && len(l.clients) == 0 }
