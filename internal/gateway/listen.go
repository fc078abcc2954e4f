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
	bindRetryDelay = 20 * time.Millisecond
	bindTimeout    = 20 * time.Second // a restarted gateway must be ready within 30 s
	// The gateway never stops trying to open the peer socket. It can serve without peers, but serves better with
	// them.
	peerBindRetryDelay = 500 * time.Millisecond
	forever            = time.Duration(math.MaxInt64)
)

// retryable reports that opening a socket failed for a reason that may pass: the previous process still holds the
// address, or the machine is short of a resource.
func retryable(err error) bool { return platform.IsAddressInUse(err) || platform.IsTransient(err) }

// bind calls open until it returns a socket. While the error of open is retryable, bind tries again after each pause
// of retryDelay, for as long as timeout. It returns any other error of open at once, and the context's error once the
// context has ended.
func bind[S any](ctx context.Context, retryDelay, timeout time.Duration, open func() (S, error),
	log *slog.Logger) (S, error) {
	started := time.Now()
	for tries := 0; ; tries++ {
		s, err := open()
		switch {
		case err == nil:
			return s, nil
		case ctx.Err() != nil:
			return s, ctx.Err()
		case !retryable(err):
			return s, err
		case time.Since(started) >= timeout:
			return s, fmt.Errorf("could not open a socket within %v: %w", timeout, err)
		case tries == 0:
			log.Warn("could not open a socket; retrying", "err", err)
		}
		sleep(ctx, retryDelay)
	}
}

// listen opens the listener for clients.
func listen(ctx context.Context, addr string, log *slog.Logger) (net.Listener, error) {
	return bind(ctx, bindRetryDelay, bindTimeout, func() (net.Listener, error) { return platform.Listen(ctx, addr) }, log)
}

// peerSocketReady is the event that passes the socket for other gateways to the loop.
type peerSocketReady struct{ socket *peerSocket }

func (p peerSocketReady) apply(l *loop) { l.peers = p.socket }

// startPeers opens the socket for messages between gateways, reads from it, and closes it when the context ends.
// tasks counts the goroutine that does so. While the socket can't be opened the gateway serves without it, since
// messages from peers may be late or lost at any time. startPeers returns an error only if it is one that retrying
// can't fix.
func startPeers(ctx context.Context, tasks *sync.WaitGroup, cfg Config, post func(event), log *slog.Logger) error {
	open := func() (*peerSocket, error) {
		p, err := openPeerSocket(cfg.PeerListen, cfg.Peers)
		if err == nil {
			p.maxPerWindow = int(min(peerRateFactor*cfg.Settings.Decide.PeerIntake, 1<<30))
		}
		return p, err
	}
	socket, err := open()
	if err != nil && !retryable(err) {
		return err
	}
	tasks.Go(func() {
		if err != nil {
			if socket, err = bindPeers(ctx, open, log); err != nil {
				if ctx.Err() == nil {
					log.Error("could not open the peer socket; serving without peers", "err", err)
				}
				return
			}
		}
		defer socket.conn.Close()
		defer context.AfterFunc(ctx, func() { socket.conn.Close() })()
		post(peerSocketReady{socket})
		socket.read(post, log)
	})
	return nil
}

// bindPeers tries to open the peer socket until the context ends, at short intervals first and then every
// peerBindRetryDelay.
func bindPeers(ctx context.Context, open func() (*peerSocket, error), log *slog.Logger) (*peerSocket, error) {
	socket, err := bind(ctx, bindRetryDelay, bindTimeout, open, log)
	if err == nil || ctx.Err() != nil || !retryable(err) {
		return socket, err
	}
	return bind(ctx, peerBindRetryDelay, forever, open, log)
}
