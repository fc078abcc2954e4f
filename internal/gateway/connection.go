package gateway

import (
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// connState is the lifecycle state of a connection. It only moves forward, and only transition changes it.
type connState uint8

const (
	stateOpen      connState = iota // read from and written to
	stateDraining                   // no longer read; pending answers are still written
	stateLingering                  // the sending side is closed as well; written data is still in transit
	stateClosed                     // nothing uses it any more, and no table refers to it
)

// String returns the state's name for the log.
func (s connState) String() string { return [...]string{"open", "draining", "lingering", "closed"}[s] }

// connection is a connection that the loop owns. Everything that could still use it after it is closed is tied to it:
//   - events that other goroutines post go through loop.ifOpen, which drops those that arrive too late;
//   - timers are set with loop.scheduleWhileOpen and cancelled when it closes;
//   - goroutines are woken through channels that are never closed, or through done, on which nothing is ever sent. So
//     a wake-up can't fail, however late it is;
//   - the tables that refer to it (a client's slots, the attempt of a connection to a server, lists of idle
//     connections) are cleared when it closes, and filled only by functions that check the state first (addSlot,
//     sendRequest, putIdle).
type connection struct {
	id           uint64 // identifies the connection in the log
	conn         streamConn
	state        connState
	writerActive bool          // a goroutine is writing
	bytesWritten *atomic.Int64 // accepted by the kernel so far
	wake         chan struct{} // holds at most one notification for the reader
	done         chan struct{} // closed when the connection is closed
	timers       []*timer
}

// lastConnectionID is the id of the newest connection.
var lastConnectionID atomic.Uint64

func newConnection(conn net.Conn) (connection, error) {
	c, ok := conn.(streamConn)
	if !ok {
		s, err := newTCPConn(conn)
		if err != nil {
			return connection{}, err
		}
		c = s
	}
	return connection{id: lastConnectionID.Add(1), conn: c, bytesWritten: &atomic.Int64{}, wake: make(chan struct{}, 1), done: make(chan struct{})}, nil
}

// transition moves a connection to a state, and reports whether the connection was in an earlier one. Moving to
// stateClosed closes the connection and releases everything that is tied to it.
func (c *connection) transition(l *loop, to connState) bool {
	if to <= c.state {
		return false
	}
	c.state = to
	if l.debugEnabled {
		l.log.Debug("connection state", "connection", c.id, "state", to.String())
	}
	if to == stateClosed {
		c.conn.Close()
		close(c.done)
		for _, t := range c.timers {
			l.cancelTimer(t)
		}
		c.timers = nil
	}
	return true
}

func (c *connection) closed() bool { return c.state == stateClosed }

// notifyReader wakes the reader. A busy reader finds the notification later.
func (c *connection) notifyReader() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// ifOpen calls do, which handles an event, unless the connection has been closed since the event was posted.
func (l *loop) ifOpen(c *connection, do func()) {
	if !c.closed() {
		do()
	}
}

// scheduleWhileOpen sets a timer that is cancelled when the connection is closed.
func (l *loop) scheduleWhileOpen(c *connection, wait time.Duration, do func()) {
	if c.closed() {
		return
	}
	c.timers = slices.DeleteFunc(c.timers, func(t *timer) bool { return t.index < 0 }) // those that have fired
	c.timers = append(c.timers, l.schedule(l.clock.now()+wait, do))
}

// tryWrite writes as much of b as the kernel accepts without blocking.
func (c *connection) tryWrite(b []byte) (int, error) {
	n, err := c.conn.TryWrite(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// writeRest writes the rest in a separate goroutine and then posts the event that done returns for the result. It
// removes its write deadline afterwards: a deadline that stayed would fail every later write, and with it the
// connection.
func (c *connection) writeRest(l *loop, rest []byte, timeouts writeTimeouts, done func(error) event) {
	c.writerActive = true
	conn, post := c.conn, l.inbox.post
	l.tasks.Go(func() {
		err := writeAll(conn, rest, timeouts, c.bytesWritten)
		if err == nil {
			conn.SetWriteDeadline(time.Time{}) // fails only on a closed connection; everything has been written anyway
		}
		post(done(err))
	})
}
