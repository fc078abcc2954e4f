package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"sync"
	"time"

	"winghatch/internal/platform"
)

const (
	bindRetry  = 20 * time.Millisecond
	bindWithin = 20 * time.Second // a restarted gateway has to be ready within 30 s
	// The socket to the peers is not given up: the gateway serves without it, and with it serves better.
	peerBindRetry = 500 * time.Millisecond
	forever       = time.Duration(math.MaxInt64)
)

// retryable reports that a socket can't be had now and may be later: the process before this one still has its address,
// or the machine lacks something.
func retryable(err error) bool { return platform.IsAddressHeld(err) || platform.IsTransient(err) }

// bind opens a socket with open, again and again with a pause of retry as long as its error is retryable, for so long as
// within. Any other error of open is returned at once, and the context's once that has ended.
func bind[S any](ctx context.Context, retry, within time.Duration, open func() (S, error), log *slog.Logger) (S, error) {
	begun := time.Now()
	for tries := 0; ; tries++ {
		s, err := open()
		switch {
		case err == nil:
			return s, nil
		case ctx.Err() != nil:
			return s, ctx.Err()
		case !retryable(err):
			return s, err
		case time.Since(begun) >= within:
			return s, fmt.Errorf("no socket could be had for %v: %w", within, err)
		case tries == 0:
			log.Warn("waiting for a socket", "err", err)
		}
		sleep(ctx, retry)
	}
}

// listen opens the listener for clients.
func listen(ctx context.Context, addr string, log *slog.Logger) (net.Listener, error) {
	return bind(ctx, bindRetry, bindWithin, func() (net.Listener, error) { return platform.Listen(ctx, addr) }, log)
}

// peersOpen hands the loop the socket to the other gateways.
type peersOpen struct{ link *peerLink }

func (p peersOpen) apply(l *loop) { l.peers = p.link }

// linkPeers opens the socket to the other gateways, reads from it, and closes it as the context ends; tasks counts what
// it does meanwhile. While the socket can't be had the gateway serves without: words of peers may always come late or not
// at all. Only an error that no waiting mends is returned.
func linkPeers(ctx context.Context, tasks *sync.WaitGroup, cfg Config, post func(event), log *slog.Logger) error {
	open := func() (*peerLink, error) {
		p, err := openPeers(cfg.PeerListen, cfg.Peers)
		if err == nil {
			p.most = int(min(peerOver*cfg.Settings.Decide.PeerIntake, 1<<30))
		}
		return p, err
	}
	link, err := open()
	if err != nil && !retryable(err) {
		return err
	}
	tasks.Go(func() {
		if err != nil {
			if link, err = bindPeers(ctx, open, log); err != nil {
				if ctx.Err() == nil {
					log.Error("no word to peers", "err", err)
				}
				return
			}
		}
		defer link.conn.Close()
		defer context.AfterFunc(ctx, func() { link.conn.Close() })()
		post(peersOpen{link})
		link.read(post, log)
	})
	return nil
}

// bindPeers tries to open the socket to the other gateways, soon at first and then less often, until the context ends.
func bindPeers(ctx context.Context, open func() (*peerLink, error), log *slog.Logger) (*peerLink, error) {
	link, err := bind(ctx, bindRetry, bindWithin, open, log)
	if err == nil || ctx.Err() != nil || !retryable(err) {
		return link, err
	}
	return bind(ctx, peerBindRetry, forever, open, log)
}
