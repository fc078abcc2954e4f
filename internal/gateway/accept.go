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
	// pause after a failed accept, since a shortage of resources may pass
	acceptRetryDelay = 10 * time.Millisecond
	acceptBacklog    = 16 // limit of connections accepted ahead of the loop, which has not counted them yet
	// An accept that blocked for at least this long returned a connection that has just arrived. One that returned
	// sooner may have found a connection that had been waiting in the kernel's queue.
	freshAcceptWait = 2 * time.Millisecond
	// After stopAccepting, a connection that is still queued is accepted within this time.
	finalAcceptTimeout = 20 * time.Millisecond
)

// socketListener is a listener on a kernel socket, as opposed to an in-memory listener of a test.
type socketListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// stopAccepting makes the acceptor stop once the kernel's queue is empty. Connections in that queue are still
// accepted: the machine has already completed their handshake, so their requests count as received, and closing the
// listener would reset them. The acceptor closes the listener when the queue is empty. A listener without a socket is
// closed at once.
func stopAccepting(ln net.Listener) {
	if s, ok := ln.(socketListener); ok && s.SetDeadline(time.Unix(1, 0)) == nil {
		return
	}
	ln.Close()
}

// hasQueuedConn reports whether a connection waits in the listener's kernel queue.
func hasQueuedConn(ln net.Listener) bool {
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

// acceptQueue tracks since when connections may have been waiting in the kernel's queue. While the gateway could not
// accept, clients connected and wrote requests, and the deadlines of those requests have been running since.
type acceptQueue struct {
	waitingSince time.Time // zero if the queue was empty recently
}

// markPaused records that nothing has been accepted since from.
func (q *acceptQueue) markPaused(from time.Time) {
	if q.waitingSince.IsZero() {
		q.waitingSince = from
	}
}

// earliestArrival returns the earliest time at which a connection may have arrived that was returned by an accept
// call which lasted from began to now.
func (q *acceptQueue) earliestArrival(began, now time.Time) time.Time {
	if now.Sub(began) >= freshAcceptWait {
		q.waitingSince = time.Time{}
	}
	if q.waitingSince.IsZero() {
		return now
	}
	return q.waitingSince
}

// acceptor accepts connections and posts them to the loop.
type acceptor struct {
	ln    net.Listener
	queue acceptQueue
	// semaphore: one element for each connection that is awaited or accepted and that the loop has not counted yet
	acceptSlots chan struct{}
	post        func(event)
	metrics     *telemetry.Metrics
	log         *slog.Logger
}

// run accepts connections until the listener is closed, until stopAccepting was called and the queue is empty, or
// until the context ends. The capacity of acceptSlots limits how many are accepted ahead of the loop, which bounds
// the number of open descriptors: when hundreds of clients connect at once, the rest wait in the kernel.
func (a acceptor) run(ctx context.Context) {
	queue := a.queue
	warnings := logging.Limiter{Interval: time.Second}
	for a.reserve(ctx, &queue) {
		conn, arrivedAt := a.acceptNext(ctx, &queue, &warnings)
		if conn == nil {
			return
		}
		a.deliver(conn, arrivedAt)
	}
}

// reserve acquires an element of acceptSlots. It returns false if the context has ended.
func (a acceptor) reserve(ctx context.Context, queue *acceptQueue) bool {
	began := time.Now()
	select {
	case a.acceptSlots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if time.Since(began) >= freshAcceptWait { // the loop was behind with the connections before this one
		queue.markPaused(began)
	}
	return true
}

// acceptNext accepts a connection and returns it with the earliest time at which it may have arrived. It returns nil
// when no more connections are to be accepted.
func (a acceptor) acceptNext(ctx context.Context, queue *acceptQueue, warnings *logging.Limiter) (net.Conn, time.Time) {
	for ctx.Err() == nil {
		began := time.Now()
		conn, err := a.ln.Accept()
		switch {
		case err == nil:
			return conn, queue.earliestArrival(began, time.Now())
		case errors.Is(err, net.ErrClosed):
			return nil, time.Time{}
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !a.extendForQueued() {
				return nil, time.Time{}
			}
		default:
			a.metrics.SystemCallErrors.Inc(string(platform.CallAccept))
			if suppressed, ok := warnings.Allow(time.Now()); ok {
				a.log.Warn("accept failed; retrying", "err", err, "suppressed", suppressed)
			}
			queue.markPaused(began)
			sleep(ctx, acceptRetryDelay)
		}
	}
	return nil, time.Time{}
}

// extendForQueued extends the accept deadline if a connection still waits in the queue. Otherwise it closes the
// listener and returns false.
func (a acceptor) extendForQueued() bool {
	if s, ok := a.ln.(socketListener); ok && hasQueuedConn(s) && s.SetDeadline(time.Now().Add(finalAcceptTimeout)) == nil {
		return true
	}
	a.ln.Close()
	return false
}

// deliver posts a connection to the loop, together with the earliest time at which it may have arrived. It uses the
// element of acceptSlots that reserve acquired; the loop releases it.
func (a acceptor) deliver(conn net.Conn, arrivedAt time.Time) {
	c, err := newClient(conn)
	if err != nil {
		a.log.Error("could not use an accepted connection", "err", err)
		conn.Close()
		<-a.acceptSlots
		return
	}
	c.acceptedAt = arrivedAt
	a.post(clientConnected{c})
}
