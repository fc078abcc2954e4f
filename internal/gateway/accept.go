package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"winghatch/internal/logging"
	"winghatch/internal/platform"
	"winghatch/internal/telemetry"
)

const (
	acceptRetry = 10 * time.Millisecond // after a failure: the machine may have then what it lacked
	acceptAhead = 16                    // connections that may be taken before the loop has counted them
	// A connection that an accept waited for so long has just come; with a shorter wait it may have stood in the queue.
	acceptWaited = 2 * time.Millisecond
	// Once no more connections are to come, one that stands in the queue all the same is accepted within this.
	acceptLast = 20 * time.Millisecond
)

// socketListener is a listener on a socket, as opposed to one in the memory of a test.
type socketListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// endAccepting ends the taking of connections. Those that stand in the kernel's queue are still taken: this machine has accepted
// them, so requests on them count as taken, and closing the listener would reset them. The acceptor closes it once the
// queue is empty.
func endAccepting(ln net.Listener) {
	if s, ok := ln.(socketListener); ok && s.SetDeadline(time.Unix(1, 0)) == nil {
		return
	}
	ln.Close()
}

// queued reports whether a connection stands in the listener's queue.
func queued(ln net.Listener) bool {
	s, ok := ln.(socketListener)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) { ready = pollNow(fd, unix.POLLIN)&unix.POLLIN != 0 })
	return err == nil && ready
}

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
	queue   acceptQueue
	ahead   chan struct{} // holds one for each connection that was taken, or is waited for, and that the loop has not counted
	post    func(event)
	metrics *telemetry.Metrics
	log     *slog.Logger
}

// run takes connections until the listener is closed, or endAccepting was called and its queue is empty, or the context ends.
// Only so many are taken ahead of the loop, which bounds the descriptors: hundreds that come at once wait in the kernel.
func (a acceptor) run(ctx context.Context) {
	queue := a.queue
	warnings := logging.Limiter{Every: time.Second}
	for a.place(ctx, &queue) {
		conn, came := a.next(ctx, &queue, &warnings)
		if conn == nil {
			return
		}
		a.hand(conn, came)
	}
}

// place waits for a place ahead of the loop. It reports false if the context has ended.
func (a acceptor) place(ctx context.Context, queue *acceptQueue) bool {
	began := time.Now()
	select {
	case a.ahead <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if time.Since(began) >= acceptWaited { // the loop had not counted those before
		queue.heldUp(began)
	}
	return true
}

// next accepts a connection, and tells when it came at the earliest. It returns nil once no more are to be taken.
func (a acceptor) next(ctx context.Context, queue *acceptQueue, warnings *logging.Limiter) (net.Conn, time.Time) {
	for ctx.Err() == nil {
		began := time.Now()
		conn, err := a.ln.Accept()
		switch {
		case err == nil:
			return conn, queue.accepted(began, time.Now())
		case errors.Is(err, net.ErrClosed):
			return nil, time.Time{}
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !a.awaitQueued() {
				return nil, time.Time{}
			}
		default:
			a.metrics.SystemCallErrors.Inc(string(platform.CallAccept))
			if suppressed, ok := warnings.Allow(time.Now()); ok {
				a.log.Warn("accepting a connection", "err", err, "suppressed", suppressed)
			}
			queue.heldUp(began)
			sleep(ctx, acceptRetry)
		}
	}
	return nil, time.Time{}
}

// awaitQueued prepares for a connection that still stands in the queue, or closes the listener and reports false if none does.
func (a acceptor) awaitQueued() bool {
	if s, ok := a.ln.(socketListener); ok && queued(s) && s.SetDeadline(time.Now().Add(acceptLast)) == nil {
		return true
	}
	a.ln.Close()
	return false
}

// hand gives the loop a connection that came at a time or later, in the place that was taken for it.
func (a acceptor) hand(conn net.Conn, came time.Time) {
	c, err := newClient(conn)
	if err != nil {
		a.log.Error("accepting a connection", "err", err)
		conn.Close()
		<-a.ahead
		return
	}
	c.accepted = came
	a.post(joined{c})
}
