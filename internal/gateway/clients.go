package gateway

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"
)

const (
	clientBuffer = 1 << 10         // bytes of a connection's read buffer between commands
	owedMost     = 64              // answers that a client has not been sent yet; beyond these, commands are not handed on
	clientWrite  = 2 * time.Second // a client that takes nothing for so long is given up
	unsentPart   = 8               // of the memory limit goes to answers that clients leave unread
	// Whoever sends what can't be read is owed an error within 3 s. Requests before it are owed their answers, and those
	// that are still open after this are failed, so that the error can follow.
	faultWithin = 2 * time.Second
	// A connection on which a command waits unread is reset as it is closed, and the reset may overtake or destroy
	// the answers before it. So the gateway ends its sending first, and closes when those have arrived.
	lingerFor = 150 * time.Millisecond
	finBytes  = 1 // the end of the sending counts as a byte that is to be taken
)

// slot holds the place of an answer among those of its connection.
type slot struct {
	req   *request // open, else nil
	reply []byte
	ready bool
}

// client is a connection of a client.
type client struct {
	connection
	slots        []*slot // in the order of the commands
	backlog      []byte  // answers behind those that are being written
	waiting      int     // answers in the backlog
	writing      int     // answers that a goroutine is writing ...
	writingBytes int     // ... and their bytes
	used         time.Duration
	owed         atomic.Int32 // answers that the reader counts on the loop to give
	accepted     time.Time    // when it was taken from the listener
	slow         atomic.Bool  // it has not taken all that was written to it
	reading      readLimit    // how far it is read; beyond readOn it is to end between requests
}

func newClient(conn net.Conn) (*client, error) {
	life, err := newConnection(conn)
	return &client{connection: life, accepted: time.Now()}, err
}

// place makes the place of the next answer. It is nil where none can follow: a command that the reader handed on
// before the connection ended in the middle of its batch is not begun.
func (c *client) place() *slot {
	if c.state != stateOpen {
		return nil
	}
	s := &slot{}
	c.slots = append(c.slots, s)
	return s
}

// received is one command as the reader found it: a request, or an answer that needs no decision.
type received struct {
	cmd   *command
	reply []byte
}

// commands hands what a client sent to the loop.
type commands struct {
	c     *client
	got   []received
	last  bool // nothing more is read from it
	fault bool // it sent what can't be read
}

func (e commands) apply(l *loop) { l.on(&e.c.connection, func() { l.take(e) }) }

// take carries out commands, up to the first that finds the connection at its end: an answer to one before it may
// have shown that the client is gone.
func (l *loop) take(e commands) {
	c := e.c
	for _, r := range e.got {
		s := c.place()
		if s == nil {
			return
		}
		if r.cmd == nil {
			c.reply(s, r.reply)
		} else {
			l.accept(c, s, r.cmd)
		}
		l.drainTodo()
	}
	if len(e.got) > 0 {
		l.flush(c)
	}
	if e.last {
		c.transition(l, stateDraining)
		l.endIfDone(c)
	}
	if e.fault {
		l.after(&c.connection, faultWithin, func() { l.failOpen(c, reasonFault) })
	}
}

// failOpen fails all requests that are open on a connection.
func (l *loop) failOpen(c *client, reason string) {
	for _, s := range slices.Clone(c.slots) {
		if s.req != nil {
			l.fail(s.req, reason)
		}
	}
}

// left tells that a client closed its connection.
type left struct{ c *client }

func (e left) apply(l *loop) { l.on(&e.c.connection, func() { l.closeClient(e.c, closeLeft) }) }

// joined tells of a new connection.
type joined struct{ c *client }

func (e joined) apply(l *loop) {
	defer func() { <-l.ahead }() // its place is free once it is counted or closed
	if !l.ready {
		l.guard.broken(ruleStart, "connection", e.c.id)
	}
	// Those that end on their own account hold a descriptor for a while longer. So room is made before the last is
	// taken, for each newcomer anew: a crowd would else leave a usual client to chance.
	live := 0
	for c := range l.clients {
		live += b2i(!c.ending())
	}
	if live >= clientSockets(l.cfg.Sockets) {
		l.drainIdlest()
	}
	if l.full() { // connections to servers that were made while there were fewer clients may rest in the way
		l.pool.evict()
	}
	if l.full() {
		l.evictClient()
	}
	if l.full() {
		l.guard.closing(e.c, closeFull)
		e.c.transition(l, stateClosed) // unread: the client sends what it may have written once more, elsewhere
		return
	}
	e.c.used = l.clock.now()
	l.clients[e.c] = struct{}{}
	r := reader{c: e.c, cfg: &l.cfg, clock: l.clock, limits: l.limits, post: l.in.post}
	l.tasks.Go(r.run)
	if l.closing {
		l.after(&e.c.connection, closeGrace, func() { l.drain(e.c) })
	}
}

// full reports that no further client may be taken: clients, those in hand and connections to servers together leave
// reserveSockets for discovery, peers and the runtime.
func (l *loop) full() bool {
	n := len(l.clients)
	return n >= l.cfg.Sockets-leastSockets || n+l.pool.conns >= l.cfg.Sockets-reserveSockets-acceptAhead
}

// evictClient makes room for a new connection: one that only lingers goes first, else the quietest is to end.
func (l *loop) evictClient() {
	for c := range l.clients {
		if c.state == stateLingering && c.conn.Unsent() <= finBytes {
			l.closeClient(c, closeRoom)
			return
		}
	}
	l.drainIdlest()
}

// drainIdlest ends the connection that has been quiet for longest. (Ending those that have not asked yet in its place
// was measured: in a crowd of newcomers it is they who are about to ask.) If all are owed answers nothing is ended, and
// a new one takes from the servers' share of descriptors.
func (l *loop) drainIdlest() {
	var quiet *client
	for c := range l.clients {
		if len(c.slots) == 0 && !c.busy && !c.ending() && (quiet == nil || c.used < quiet.used) {
			quiet = c
		}
	}
	if quiet != nil {
		l.drain(quiet)
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// drain ends a connection between requests: its reader stops once nothing is owed and nothing more waits in the
// kernel. Closing at once would lose a request that has come; a reader that stopped while answers are owed would
// not see the client leave.
func (l *loop) drain(c *client) { l.limitReading(c, readToRest) }

// limitReading has a connection read no further than a mode says.
func (l *loop) limitReading(c *client, mode readMode) {
	c.reading.raise(mode)
	l.wakeReader(c)
}

// ending reports that a connection takes no new command, or none once all is answered.
func (c *client) ending() bool { return c.reading.get() > readOn || c.state > stateOpen }

// wakeReader makes a reader look again whether it can stop, or hand on more.
func (l *loop) wakeReader(c *client) {
	c.notify()
	if err := c.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		l.closeClient(c, closeBroken)
	}
}

// reply fills a slot; flush writes it when those before it are filled.
func (c *client) reply(s *slot, b []byte) {
	s.reply, s.ready = b, true
}

// flush writes the answers that are next in order, in one write.
func (l *loop) flush(c *client) {
	n := 0
	for n < len(c.slots) && c.slots[n].ready {
		c.backlog = append(c.backlog, c.slots[n].reply...)
		l.unsent += len(c.slots[n].reply)
		n++
	}
	if n > 0 {
		c.slots = slices.Delete(c.slots, 0, n)
		c.waiting += n
		c.used = l.clock.now()
	}
	l.push(c)
	l.boundUnsent()
	l.endIfDone(c)
}

// sent takes that answers have been written: the client may be owed as many more.
func (l *loop) sent(c *client, answers, bytes int) {
	l.unsent -= bytes
	owed := c.owed.Add(int32(-answers))
	if owed < owedMost && owed+int32(answers) >= owedMost || owed == 0 && c.reading.get() > readOn {
		l.wakeReader(c)
	}
}

// boundUnsent ends connections for as long as clients together leave more unread than there is memory for, the one that
// holds most of it first. A client that takes its answers slowly is else let be.
func (l *loop) boundUnsent() {
	for l.unsent > l.cfg.MemoryMB<<20/unsentPart {
		var most *client
		for c := range l.clients {
			if most == nil || len(c.backlog) > len(most.backlog) {
				most = c
			}
		}
		if most == nil || len(most.backlog) == 0 {
			return // all of it is being written, in bounded pieces
		}
		l.log.Warn("a client is closed as answers unread by clients fill their memory", "bytes", len(most.backlog))
		l.closeClient(most, closeMemory)
	}
}

// push writes the backlog, unless an earlier write is still going on.
func (l *loop) push(c *client) {
	if c.busy || len(c.backlog) == 0 {
		return
	}
	n, err := c.try(c.backlog)
	if err != nil {
		l.closeClient(c, closeBroken)
		return
	}
	if n == len(c.backlog) {
		answers := c.waiting
		c.backlog, c.waiting = c.backlog[:0], 0
		l.sent(c, answers, n)
		return
	}
	l.unsent -= n
	rest := c.backlog[n:]
	c.writing, c.writingBytes = c.waiting, len(rest)
	c.backlog, c.waiting = nil, 0
	c.slow.Store(true)
	if c.reading.get() > readOn {
		l.wakeReader(c) // it reads no more than what has begun
	}
	c.finish(l, rest, writeLimit{stalled: clientWrite}, func(err error) event { return flushed{c, err} })
}

// flushed tells how a slow write to a client ended.
type flushed struct {
	c   *client
	err error
}

func (e flushed) apply(l *loop) {
	l.on(&e.c.connection, func() {
		e.c.busy = false
		e.c.slow.Store(e.c.reading.get() > readOn) // one that was slow as its connection is to end is not read on
		if e.err != nil {
			l.closeClient(e.c, writeFailure(e.err))
			return
		}
		answers, bytes := e.c.writing, e.c.writingBytes
		e.c.writing, e.c.writingBytes = 0, 0
		l.sent(e.c, answers, bytes)
		l.push(e.c)
		l.endIfDone(e.c)
	})
}

// writeFailure is why a connection is closed on which a write failed.
func writeFailure(err error) closeReason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return closeStalled
	}
	return closeBroken
}

// endIfDone ends the sending on a connection that is not read any more and on which nothing is owed.
func (l *loop) endIfDone(c *client) {
	if c.state != stateDraining || len(c.slots) > 0 || c.busy || len(c.backlog) > 0 {
		return
	}
	c.transition(l, stateLingering)
	if c.conn.CloseWrite() != nil {
		l.closeClient(c, closeBroken)
		return
	}
	l.after(&c.connection, lingerFor, func() { l.endLinger(c, c.conn.Unsent(), l.clock.now()) })
}

// endLinger closes a connection whose sending has ended, once the client has all that was sent, or takes nothing for
// clientWrite. Before the last look unsent bytes were still to be taken, and some were taken at the time progress at the latest.
func (l *loop) endLinger(c *client, unsent int, progress time.Duration) {
	now, left := l.clock.now(), c.conn.Unsent()
	if left < unsent {
		progress = now
	}
	switch {
	case left <= finBytes:
		l.closeClient(c, closeDone)
		return
	case now-progress >= clientWrite:
		l.closeClient(c, closeStalled)
		return
	}
	l.after(&c.connection, lingerFor, func() { l.endLinger(c, left, progress) })
}

// closeClient ends a connection. What was open on it is over: no one waits for it any more.
func (l *loop) closeClient(c *client, reason closeReason) {
	if c.closed() {
		return
	}
	l.guard.closing(c, reason)
	if l.traced {
		l.log.Debug("client closed", "connection", c.id, "reason", string(reason), "owed", len(c.slots), "unread_by_it", len(c.backlog)+c.writingBytes)
	}
	c.transition(l, stateClosed)
	delete(l.clients, c)
	for _, s := range c.slots {
		if s.req != nil {
			l.abandon(s.req)
		}
	}
	l.unsent -= len(c.backlog) + c.writingBytes
	c.slots, c.backlog, c.writingBytes = nil, nil, 0
}
