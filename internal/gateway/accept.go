package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"winghatch/internal/logging"
	"winghatch/internal/platform"
	"winghatch/internal/telemetry"
)

const (
	acceptRetry = 10 * time.Millisecond // after a failure: the machine may have then what it lacked
	acceptAhead = 16                    // connections that may be taken before the loop has counted them
	// A connection that an accept waited for so long has just come; with a shorter wait it may have stood in the queue.
	acceptWaited = 2 * time.Millisecond
)

// acceptQueue tells since when connections may have waited in the kernel's queue. While the gateway could not accept, clients
// connected and wrote their requests, whose time has run since then.
type acceptQueue struct {
	since time.Time // zero: the queue was empty not long ago
}

// heldUp notes that nothing was accepted from a time on.
func (q *acceptQueue) heldUp(from time.Time) {
	if q.since.IsZero() {
		q.since = from
	}
}

// accepted returns the earliest time at which a connection may have come that an accept from began to now returned.
func (q *acceptQueue) accepted(began, now time.Time) time.Time {
	if now.Sub(began) >= acceptWaited {
		q.since = time.Time{}
	}
	if q.since.IsZero() {
		return now
	}
	return q.since
}

// acceptor takes connections and hands them to the loop.
type acceptor struct {
	ln      net.Listener
	ahead   chan<- struct{} // has room for those that the loop has not counted yet
	post    func(event)
	metrics *telemetry.Metrics
	log     *slog.Logger
}

// run takes connections until the listener is closed or the context ends. Only so many are taken ahead of the loop, which
// bounds the descriptors: hundreds that come at once wait in the kernel.
func (a acceptor) run(ctx context.Context) {
	var queue acceptQueue
	warnings := logging.Limiter{Every: time.Second}
	for {
		began := time.Now()
		conn, err := a.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.metrics.SystemCallErrors.Inc(string(platform.CallAccept))
			if suppressed, ok := warnings.Allow(time.Now()); ok {
				a.log.Warn("accepting a connection", "err", err, "suppressed", suppressed)
			}
			queue.heldUp(began)
			sleep(ctx, acceptRetry)
			continue
		}
		taken := time.Now()
		if !a.hand(ctx, conn, queue.accepted(began, taken)) {
			return
		}
		if time.Since(taken) >= acceptWaited { // the loop had not counted those before
			queue.heldUp(taken)
		}
	}
}

// hand gives the loop a connection that came at a time or later. It reports whether the context is still open.
func (a acceptor) hand(ctx context.Context, conn net.Conn, came time.Time) bool {
	c, err := newClient(conn)
	if err != nil {
		a.log.Error("accepting a connection", "err", err)
		conn.Close()
		return true
	}
	c.accepted = came
	select {
	case a.ahead <- struct{}{}:
		a.post(joined{c})
		return true
	case <-ctx.Done():
		conn.Close()
		return false
	}
}
