package gateway

import (
	"bytes"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"winghatch/decide"
)

const (
	maxConnsPerServer = 64 // connections to one server, open or being dialed
	// How long a connection rests after an answer before it is reused. Anything that a server sends right after an
	// answer, such as a duplicate, takes as long to arrive as the answer did, plus or minus the network's jitter. If
	// the kernel holds no data after this time, the connection is in sync. A connection that is reused sooner could
	// give the next request another request's answer.
	quiescenceTime = 10 * time.Millisecond
	// How late the loop may handle a timeout that still counts against the server. The loop is late when the core was
	// busy elsewhere. Beyond this delay the server's answer may be waiting unread, so the timeout says nothing about
	// the server.
	loopDelayTolerance = 20 * time.Millisecond
	// How often a connection is tried while this machine lacks a resource or a route. The pause between tries grows by
	// dialRetryDelay: 60 ms in total.
	maxDialTries = 4
	// Limits the time from the first byte of a request to its last. A request states the time that is left. When its
	// last byte arrives, the resulting deadline may be at most 0.15 s later than the client's. The time left is
	// computed with the first byte, so the last one has to follow soon.
	requestWriteTimeout = 100 * time.Millisecond
	dialRetryDelay      = 10 * time.Millisecond
)

// serverCloseReason is why a connection to a server was closed, as a metric label.
type serverCloseReason string

const (
	serverCloseReplaced         serverCloseReason = "replaced"    // the server is draining, was removed, or has moved
	serverCloseEvicted          serverCloseReason = "room"        // another connection needed its descriptor
	serverCloseIdle             serverCloseReason = "idle"        // unused for the idle timeout
	serverCloseOutOfSync        serverCloseReason = "out_of_step" // unsolicited data, or a partly read answer
	serverCloseBroken           serverCloseReason = "broken"
	serverCloseAttemptAbandoned serverCloseReason = "given_up" // its attempt was cancelled or timed out
	serverCloseShutdown         serverCloseReason = "shutdown"
	serverCloseNoMemory         serverCloseReason = "memory" // there was none for the rest of a request
)

// upstream is a server with its connections.
type upstream struct {
	id        string
	addr      string
	entry     decide.Server
	connCount int             // open or being dialed
	idle      []*upstreamConn // the most recently used last: it is the least likely to have been closed
}

// upstreamConn is a connection to a server. It carries one attempt at a time, because abandoning an attempt closes its
// connection. The reader is notified once for each pending answer.
type upstreamConn struct {
	connection
	server         *upstream
	attempt        *attempt // whose answer is pending, or nil
	lastUsed       time.Duration
	requestWritten atomic.Bool // the last byte of the latest request has been written
	writeReserved  int         // bytes reserved for a request that is being written in the background
}

func newUpstreamConn(conn net.Conn, s *upstream, now time.Duration) (*upstreamConn, error) {
	base, err := newConnection(conn)
	return &upstreamConn{connection: base, server: s, lastUsed: now}, err
}

// attempt is one try of a request at one server.
type attempt struct {
	request       *request
	index         int
	server        *upstream      // nil if this gateway does not know it
	serverAtStart decide.Server  // the server's entry when the attempt started
	outcome       decide.Outcome // valid once the attempt has ended
	started       time.Duration
	deadline      time.Duration // when the answer is due
	sendBefore    time.Duration // if not 0, no byte may be written after this time
	conn          *upstreamConn // nil until the request is written to one
	deadlineTimer *timer
	sent          bool // the last byte of the request may have been written
	ended         bool
}

// pool holds the known servers and the connections to them.
type pool struct {
	loop           *loop
	servers        map[string]*upstream
	open           map[*upstreamConn]struct{}
	connCount      int // open or being dialed, of all servers
	maxConns       int
	dialTimeout    time.Duration
	idleTimeout    time.Duration
	sweepScheduled bool
}

func newPool(l *loop, cfg Config) pool {
	return pool{loop: l, servers: map[string]*upstream{}, open: map[*upstreamConn]struct{}{},
		maxConns: upstreamSockets(cfg.Sockets), dialTimeout: cfg.Settings.Decide.Limits.ConnectTimeout,
		idleTimeout: cfg.Settings.Decide.Limits.ConnKept}
}

// update applies an entry of the server list. The ID identifies a server; its address and its process may change.
func (p *pool) update(e decide.Server, addr string) {
	s := p.servers[e.ID]
	if s == nil {
		if e.State == decide.Removed {
			return
		}
		s = &upstream{id: e.ID}
		p.servers[e.ID] = s
	}
	moved := s.addr != addr || s.entry.Started != e.Started
	s.addr, s.entry = addr, e
	if moved || e.State != decide.Serving {
		p.closeIdle(s) // they lead to a process that is gone, or are no longer needed
	}
	p.removeIfUnused(s)
}

// removeIfUnused deletes a removed server once it has no connections left. Fleets replace their machines under new IDs,
// so without this the table would grow for as long as the gateway runs.
func (p *pool) removeIfUnused(s *upstream) {
	if s.entry.State == decide.Removed && s.connCount == 0 {
		delete(p.servers, s.id)
	}
}

// removeUnlisted marks the servers that are missing from a full list as removed.
func (p *pool) removeUnlisted(listed map[string]bool) {
	for id, s := range p.servers {
		if !listed[id] {
			s.entry.State = decide.Removed
			p.closeIdle(s)
			p.removeIfUnused(s)
		}
	}
}

func (p *pool) closeIdle(s *upstream) {
	for len(s.idle) > 0 {
		p.close(s.idle[len(s.idle)-1], serverCloseReplaced)
	}
}

// currentServers returns the latest known server list, sorted by ID.
func (p *pool) currentServers() []decide.Server {
	var all []decide.Server
	for _, s := range p.servers {
		all = append(all, s.entry)
	}
	slices.SortFunc(all, func(a, b decide.Server) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	return all
}

// start sends an attempt on an idle connection, or dials a new one.
func (p *pool) start(a *attempt) {
	s := a.server
	if s == nil || s.entry.State != decide.Serving {
		p.loop.attemptEnded(a, decide.NoConnection)
		return
	}
	if p.tooLate(a) {
		p.loop.attemptEnded(a, decide.NoConnection)
		return
	}
	if p.clientUnseen(a) {
		p.loop.attemptEnded(a, decide.NotSent)
		return
	}
	for c := p.takeReusable(s); c != nil; c = p.takeReusable(s) {
		if p.sendRequest(c, a) {
			return
		}
	}
	if p.connCount >= p.connLimit() {
		p.evictLongestIdle()
	}
	if s.connCount >= maxConnsPerServer || p.connCount >= p.connLimit() {
		p.loop.attemptEnded(a, decide.NotSent) // not the server's fault: it never saw the request
		return
	}
	p.dial(a)
}

// clientUnseen reports whether the client of an attempt may have left unnoticed, so that the attempt must not start.
func (p *pool) clientUnseen(a *attempt) bool {
	return !a.request.client.presence.seen(p.loop.clock.now())
}

// takeReusable removes and returns the most recently used of the connections that have been idle for quiescenceTime, or
// returns nil.
func (p *pool) takeReusable(s *upstream) *upstreamConn {
	now := p.loop.clock.now()
	for i := len(s.idle) - 1; i >= 0; i-- {
		if c := s.idle[i]; c.lastUsed+quiescenceTime <= now {
			s.idle = slices.Delete(s.idle, i, i+1)
			return c
		}
	}
	return nil
}

// connLimit returns how many connections to all servers together are allowed now. Clients beyond their share of the
// descriptors reduce it.
func (p *pool) connLimit() int {
	return min(p.maxConns, p.loop.cfg.Sockets-reservedSockets-acceptBacklog-len(p.loop.clients))
}

// evictLongestIdle closes the connection that has been idle for the longest time.
func (p *pool) evictLongestIdle() {
	var oldest *upstreamConn
	for _, s := range p.servers {
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].lastUsed < oldest.lastUsed) {
			oldest = s.idle[0]
		}
	}
	if oldest != nil {
		p.close(oldest, serverCloseEvicted)
	}
}

// tooLate reports whether it is too late to start an attempt, which can happen because the loop may handle it late: no
// answer could arrive in time, or the attempt is a retry and servers would no longer recognize it as one.
func (p *pool) tooLate(a *attempt) bool {
	now := p.loop.clock.now()
	return now >= a.deadline || a.sendBefore > 0 && now > a.sendBefore
}

// sendRequest writes an attempt's request to a connection. It returns false if the connection accepted no byte: then
// nothing has reached the server, and another connection may be tried. A connection with unsolicited data is out of
// sync or at its end, and gets no request.
func (p *pool) sendRequest(c *upstreamConn, a *attempt) bool {
	if !c.conn.Quiet() {
		p.close(c, serverCloseOutOfSync)
		return false
	}
	if p.clientUnseen(a) || !p.loop.guard.allowAttempt(p.loop, c, a) {
		p.loop.attemptEnded(a, decide.NotSent)
		p.putIdle(c)
		return true
	}
	b := a.request.cmd.encode(a.deadline - p.loop.clock.now())
	n, err := c.tryWrite(b)
	if err != nil {
		p.close(c, serverCloseBroken)
		if n > 0 {
			p.loop.attemptEnded(a, decide.NoConnection) // the connection broke before the last byte was written
		}
		return n > 0
	}
	if n < len(b) && !p.loop.memory.commands.tryReserve(len(b)) { // this copy of the command stays until it is written
		p.close(c, serverCloseNoMemory)
		p.loop.attemptEnded(a, decide.NotSent) // the last byte was not written
		return true
	}
	c.attempt, a.conn, c.lastUsed = a, c, p.loop.clock.now()
	c.requestWritten.Store(n == len(b))
	c.notifyReader()
	if n == len(b) {
		a.sent = true
		return true
	}
	c.writeReserved = len(b)
	c.writeRest(p.loop, b[n:], writeTimeouts{total: p.requestWriteLimit(a)}, func(err error) event {
		c.requestWritten.Store(err == nil)
		return requestWriteDone{c, a, err}
	})
	return true
}

// requestWriteLimit returns how long writing the rest of a request may take. The server starts to process it when the
// last byte arrives. At that time the time left that the request states must still be accurate, and a retry must still
// be recognized as one.
func (p *pool) requestWriteLimit(a *attempt) time.Duration {
	now := p.loop.clock.now()
	limit := min(a.deadline-now, requestWriteTimeout)
	if a.sendBefore > 0 {
		limit = min(limit, a.sendBefore-now)
	}
	return max(limit, time.Millisecond) // 0 would mean no limit
}

// requestWriteDone reports that the rest of a large request was written, or why not.
type requestWriteDone struct {
	conn    *upstreamConn
	attempt *attempt
	err     error
}

func (s requestWriteDone) apply(l *loop) {
	s.releaseMemory(l)
	s.conn.writerActive = false
	if s.err == nil {
		s.attempt.sent = true
	}
	if s.err == nil && !s.conn.closed() {
		return
	}
	l.pool.close(s.conn, serverCloseBroken)
	l.pool.attemptConnBroken(s.attempt)
}

// releaseMemory releases what was reserved for the write.
func (s requestWriteDone) releaseMemory(l *loop) {
	l.memory.commands.release(s.conn.writeReserved)
	s.conn.writeReserved = 0
}

// attemptConnBroken ends an attempt whose connection broke. The request can have run only if its last byte was written.
func (p *pool) attemptConnBroken(a *attempt) {
	outcome := decide.NoConnection
	if a.sent {
		outcome = decide.Reset
	}
	p.loop.attemptEnded(a, outcome)
}

// putIdle keeps a connection for a later attempt.
func (p *pool) putIdle(c *upstreamConn) {
	if c.closed() || c.writerActive {
		p.close(c, serverCloseOutOfSync)
		return
	}
	c.lastUsed = p.loop.clock.now()
	c.server.idle = append(c.server.idle, c)
	if !p.sweepScheduled && p.idleTimeout > 0 {
		p.sweepScheduled = true
		p.loop.schedule(c.lastUsed+p.idleTimeout, p.sweep)
	}
}

// sweep closes connections that have been idle for idleTimeout, well before the servers may close them. A request
// written to a connection that is being closed would end as a reset, and a request that must not run twice could not
// be retried after that.
func (p *pool) sweep() {
	now := p.loop.clock.now()
	next := time.Duration(0)
	for _, s := range p.servers {
		for len(s.idle) > 0 && s.idle[0].lastUsed+p.idleTimeout <= now {
			p.close(s.idle[0], serverCloseIdle)
		}
		if len(s.idle) > 0 && (next == 0 || s.idle[0].lastUsed < next) {
			next = s.idle[0].lastUsed
		}
	}
	if p.sweepScheduled = next > 0; p.sweepScheduled {
		p.loop.schedule(next+p.idleTimeout, p.sweep)
	}
}

func (p *pool) close(c *upstreamConn, reason serverCloseReason) {
	if !c.transition(p.loop, stateClosed) {
		return
	}
	p.loop.metrics.ServerCloses.Inc(string(reason))
	delete(p.open, c)
	if i := slices.Index(c.server.idle, c); i >= 0 {
		c.server.idle = slices.Delete(c.server.idle, i, i+1)
	}
	p.connRemoved(c.server)
}

// connRemoved updates the counts after a connection was closed or could not be established.
func (p *pool) connRemoved(s *upstream) {
	s.connCount--
	p.connCount--
	p.removeIfUnused(s)
}

// expire ends an attempt at its deadline. An attempt that has no connection yet never ran. If the loop itself is late,
// the server is not to blame, and the attempt counts as cancelled.
func (p *pool) expire(a *attempt) {
	outcome := decide.TimedOut
	switch {
	case a.conn == nil:
		outcome = decide.NoConnection
	case p.loop.clock.now()-a.deadline > loopDelayTolerance:
		outcome = decide.Cancelled
	}
	p.abandon(a, outcome)
}

// cancel stops waiting for an attempt. Once its request may have been written, it is unknown whether it ran.
func (p *pool) cancel(a *attempt) { p.abandon(a, decide.Cancelled) }

func (p *pool) abandon(a *attempt, outcome decide.Outcome) {
	if a.ended {
		return
	}
	if a.conn != nil {
		p.close(a.conn, serverCloseAttemptAbandoned) // its answer is still pending, so it can't be reused
	}
	p.loop.attemptEnded(a, outcome)
}

// answerReceived passes a server's complete answer to the loop.
type answerReceived struct {
	conn *upstreamConn
	answer
	afterRequest bool // it began after the last byte of the request was written
	reserved     int  // bytes reserved in the budget for server answers
}

func (e answerReceived) apply(l *loop) {
	l.memory.serverAnswers.release(e.reserved)
	l.ifOpen(&e.conn.connection, func() { l.pool.onAnswer(e) })
}

func (p *pool) onAnswer(e answerReceived) {
	c, a, l := e.conn, e.conn.attempt, p.loop
	if a != nil && e.afterRequest {
		a.sent = true // the answer arrived before the writer's requestWriteDone
	}
	if a == nil || !a.sent { // no request is pending, or not all of it was sent: this can't be its answer
		p.onReadFailure(readFailed{conn: c})
		return
	}
	c.attempt = nil
	if !e.inSync || c.server.entry.State != decide.Serving {
		l.pool.close(c, serverCloseOutOfSync)
	} else {
		l.pool.putIdle(c)
	}
	if e.outcome == decide.OK {
		l.deliverValue(a, e.value)
		return
	}
	l.attemptEnded(a, e.outcome)
}

// readFailed reports that a connection ended, or that something other than an answer arrived on it.
type readFailed struct {
	conn      *upstreamConn
	malformed bool
	noMemory  bool // there was no memory for a long answer
}

func (e readFailed) apply(l *loop) { l.ifOpen(&e.conn.connection, func() { l.pool.onReadFailure(e) }) }

func (p *pool) onReadFailure(e readFailed) {
	c, a, l := e.conn, e.conn.attempt, p.loop
	l.pool.close(c, serverCloseBroken)
	switch {
	case a == nil || c.writerActive: // the writer has yet to report whether it wrote the last byte
	case e.malformed && a.sent:
		l.attemptEnded(a, decide.Error) // the server answered, so the request may have run
	case e.noMemory && a.sent:
		l.attemptEnded(a, decide.Cancelled) // this is not the server's fault
	default:
		l.pool.attemptConnBroken(a)
	}
}
