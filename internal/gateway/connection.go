package gateway

import (
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// connState is how far the life of a connection has come. It goes forward only, and transition is the one place that moves it.
type connState uint8

const (
	stateOpen      connState = iota // it is read, and written to
	stateDraining                   // nothing more is read; what is owed still goes out
	stateLingering                  // nothing more is sent either; what was sent is on its way
	stateClosed                     // over: nothing runs on it, and nothing of it is left in a table
)

// String is the state's name in the log.
func (s connState) String() string { return [...]string{"open", "draining", "lingering", "closed"}[s] }

// connection is a connection in the loop's hands. What could still use it after its close is tied to it:
//   - events that other goroutines posted pass loop.on, which drops those that come too late;
//   - timers are set by loop.after and taken back with the close;
//   - goroutines are woken over channels that are never closed, or by gone, on which nothing is ever sent. So no
//     signal can fail, however late it is;
//   - the tables that lead to it (a client's slots, the attempt of a connection to a server, lists of idle ones) are
//     emptied by the close, and filled only by functions that look at the state first (place, write, park).
type connection struct {
	id     uint64 // of the connection, in the log
	conn   link
	state  connState
	busy   bool          // a goroutine is writing
	wake   chan struct{} // holds one wake-up for the reader
	gone   chan struct{} // closed with the connection
	timers []*timer
}

// lastConnection is the id of the latest connection.
var lastConnection atomic.Uint64

func newConnection(conn net.Conn) (connection, error) {
	c, ok := conn.(link)
	if !ok {
		s, err := newSocket(conn)
		if err != nil {
			return connection{}, err
		}
		c = s
	}
	return connection{id: lastConnection.Add(1), conn: c, wake: make(chan struct{}, 1), gone: make(chan struct{})}, nil
}

// transition moves a connection on to a state, and reports whether it was in an earlier one. The last one ends the
// connection with all that is tied to it.
func (c *connection) transition(l *loop, to connState) bool {
	if to <= c.state {
		return false
	}
	c.state = to
	if l.traced {
		l.log.Debug("connection state", "connection", c.id, "state", to.String())
	}
	if to == stateClosed {
		c.conn.Close()
		close(c.gone)
		for _, t := range c.timers {
			l.cancelTimer(t)
		}
		c.timers = nil
	}
	return true
}

func (c *connection) closed() bool { return c.state == stateClosed }

// notify wakes the reader. One that is busy finds the wake-up later.
func (c *connection) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// on does what an event is about, unless its connection has been closed since it was posted.
func (l *loop) on(c *connection, do func()) {
	if !c.closed() {
		do()
	}
}

// after sets an timer that the close of a connection takes back.
func (l *loop) after(c *connection, wait time.Duration, do func()) {
	if c.closed() {
		return
	}
	c.timers = slices.DeleteFunc(c.timers, func(t *timer) bool { return t.index < 0 }) // those that have fired
	c.timers = append(c.timers, l.schedule(l.clock.now()+wait, do))
}

// try writes what the kernel takes at once.
func (c *connection) try(b []byte) (int, error) { return c.conn.TryWrite(b) }

// finish writes the rest from a goroutine of its own and then posts what done makes of the result. Its time limit ends
// with it: one that stayed would fail every later write, and with it the connection.
func (c *connection) finish(l *loop, rest []byte, limit writeLimit, done func(error) event) {
	c.busy = true
	conn, post := c.conn, l.in.post
	l.tasks.Go(func() {
		err := writeAll(conn, rest, limit)
		if err == nil {
			conn.SetWriteDeadline(time.Time{}) // fails on a closed connection only, and all was written all the same
		}
		post(done(err))
	})
}
