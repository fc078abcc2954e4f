package gateway

import (
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// phase is how far the life of a connection has come. It goes forward only, and advance is the one place that moves it.
type phase uint8

const (
	phaseOpen      phase = iota // it is read, and written to
	phaseDraining               // nothing more is read; what is owed still goes out
	phaseLingering              // nothing more is sent either; what was sent is on its way
	phaseClosed                 // over: nothing runs on it, and nothing of it is left in a table
)

// String is the phase's name in the log.
func (p phase) String() string { return [...]string{"open", "draining", "lingering", "closed"}[p] }

// lifeline is a connection in the loop's hands. What could still use it after its close is tied to it:
//   - events that other goroutines posted pass loop.on, which drops those that come too late;
//   - alarms are set by loop.after and taken back with the close;
//   - goroutines are woken over channels that are never closed, or by gone, on which nothing is ever sent. So no
//     signal can fail, however late it is;
//   - the tables that lead to it (a client's slots, the attempt of a connection to a server, lists of idle ones) are
//     emptied by the close, and filled only by functions that look at the phase first (place, write, park).
type lifeline struct {
	id     uint64 // of the connection, in the log
	conn   link
	phase  phase
	busy   bool          // a goroutine is writing
	wake   chan struct{} // holds one wake-up for the reader
	gone   chan struct{} // closed with the connection
	alarms []*alarm
}

// lastConnection is the id of the latest connection.
var lastConnection atomic.Uint64

func newLifeline(conn net.Conn) (lifeline, error) {
	c, ok := conn.(link)
	if !ok {
		s, err := newSocket(conn)
		if err != nil {
			return lifeline{}, err
		}
		c = s
	}
	return lifeline{id: lastConnection.Add(1), conn: c, wake: make(chan struct{}, 1), gone: make(chan struct{})}, nil
}

// advance moves a connection on to a phase, and reports whether it was in an earlier one. The last one ends the
// connection with all that is tied to it.
func (c *lifeline) advance(l *loop, to phase) bool {
	if to <= c.phase {
		return false
	}
	c.phase = to
	if l.traced {
		l.log.Debug("connection state", "connection", c.id, "state", to.String())
	}
	if to == phaseClosed {
		c.conn.Close()
		close(c.gone)
		for _, a := range c.alarms {
			l.unset(a)
		}
		c.alarms = nil
	}
	return true
}

func (c *lifeline) closed() bool { return c.phase == phaseClosed }

// rouse wakes the reader. One that is busy finds the wake-up later.
func (c *lifeline) rouse() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// on does what an event is about, unless its connection has been closed since it was posted.
func (l *loop) on(c *lifeline, do func()) {
	if !c.closed() {
		do()
	}
}

// after sets an alarm that the close of a connection takes back.
func (l *loop) after(c *lifeline, wait time.Duration, do func()) {
	if c.closed() {
		return
	}
	c.alarms = slices.DeleteFunc(c.alarms, func(a *alarm) bool { return a.index < 0 }) // those that have rung
	c.alarms = append(c.alarms, l.at(l.clock.now()+wait, do))
}

// try writes what the kernel takes at once.
func (c *lifeline) try(b []byte) (int, error) { return c.conn.TryWrite(b) }

// finish writes the rest from a goroutine of its own and then posts what done makes of the result. Its time limit ends
// with it: one that stayed would fail every later write, and with it the connection.
func (c *lifeline) finish(l *loop, rest []byte, limit writeLimit, done func(error) event) {
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
