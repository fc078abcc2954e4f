package gateway

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
)

const (
	maxPendingAnswers  = 64              // pending answers of one client; at this many, its further commands wait
	clientWriteTimeout = 2 * time.Second // a client that accepts no bytes for this long is disconnected
	// A client that sends a malformed command must get a protocol error within 3 s. Requests before that command must
	// get their answers first. Those still open after this time are failed, so that the error can follow them.
	protocolErrorGrace = 2 * time.Second
	// Closing a connection with unread input resets it, and the reset may overtake or destroy the answers before it.
	// So the gateway shuts down its sending side first, then checks at this interval whether the client has received
	// all answers, and closes when it has.
	lingerInterval = 150 * time.Millisecond
	finBytes       = 1  // the FIN counts as one unacknowledged byte
	maxSmallReply  = 64 // bytes of an answer that is one line of the gateway's own
)

// slot is the place of one answer in the order of a connection's answers.
type slot struct {
	request *request // the request while it is open, else nil
	reply   []byte
	ready   bool
	held    int // bytes of reply that count as held, because an earlier answer is not ready
}

// client is a connection from a client.
type client struct {
	connection
	slots          []*slot       // pending answers, in the order of the commands
	backlog        []byte        // encoded answers that wait for the write in progress, if any
	backlogAnswers int           // number of answers in backlog
	answers        answerSizes   // of the answers that have been put into backlog
	writingAnswers int           // number of answers that a goroutine is writing
	writingBytes   int           // bytes that this goroutine is writing
	lastActive     time.Duration // when the client connected or its latest answer was queued
	pendingAnswers atomic.Int32  // answers to the commands that the reader has posted and that are not written yet
	acceptedAt     time.Time     // earliest time at which the connection may have arrived
	caughtUp       int           // how often it accepted everything after it was behind
	writeBlocked   atomic.Bool   // it is behind: it has not accepted all bytes written to it
	// The client was behind at slowChecks checks in a row. While the process is to end, this stays set.
	slow atomic.Bool
	// The process is to end, and the client accepts its answers fast enough to get all of them before that.
	keepsPace atomic.Bool
	tooSlow   atomic.Bool     // the process is to end, and the client is slow and did not keep pace at paceChecks checks
	behind    pace            // of the client since it was last behind
	presence  presence        // whether the client is known to be connected
	readState atomicReadState // how far the connection is still read; beyond readNormal it ends between requests
}

func newClient(conn net.Conn) (*client, error) {
	base, err := newConnection(conn)
	return &client{connection: base, acceptedAt: time.Now()}, err
}

// addSlot appends a slot for the next answer. It returns nil if the connection takes no more answers: a command that
// was posted before the connection ended in the middle of its batch is not started.
func (c *client) addSlot() *slot {
	if c.state != stateOpen {
		return nil
	}
	s := &slot{}
	c.slots = append(c.slots, s)
	return s
}

// receivedCommand is one command as parsed by the reader: either a request, or a request that the reader refuses, or a
// ready answer to a command that needs no decision.
type receivedCommand struct {
	cmd      *command
	refusal  string // the reason for the refusal
	reply    []byte
	reserved int // bytes reserved in the budget for commands
}

// commandBatch is the event with which a reader passes commands to the loop.
type commandBatch struct {
	client        *client
	commands      []receivedCommand
	last          bool // the reader has stopped: no more commands follow
	protocolError bool // the client sent malformed input
}

func (e commandBatch) apply(l *loop) {
	l.metrics.QueuedCommands.Add(-e.size())
	if e.client.closed() {
		l.discardCommands(e.commands)
		return
	}
	l.handleBatch(e)
}

// size returns how many bytes are reserved for the commands.
func (e commandBatch) size() int {
	n := 0
	for _, r := range e.commands {
		n += r.reserved
	}
	return n
}

// handleBatch executes commands in order. It stops at the first command for which the connection has ended, since
// writing an earlier answer may have shown that the client is gone.
func (l *loop) handleBatch(e commandBatch) {
	c := e.client
	for i, r := range e.commands {
		s := c.addSlot()
		switch {
		case s == nil:
			l.discardCommands(e.commands[i:])
			return
		case r.refusal != "":
			l.refuse(c, s, r.refusal)
		case r.cmd != nil:
			l.acceptRequest(c, s, r)
		default:
			l.memory.commands.release(r.reserved)
			if !l.mayHold(c, s, r.reply) {
				r.reply = noMemoryReply()
			}
			l.reply(c, s, r.reply)
		}
		l.processPending()
	}
	if len(e.commands) > 0 {
		l.flush(c)
		l.updatePace(c)
	}
	if e.last {
		c.transition(l, stateDraining)
		l.closeWriteIfDone(c)
	}
	if e.protocolError {
		l.scheduleWhileOpen(&c.connection, protocolErrorGrace, func() { l.failOpenRequests(c, reasonClientFault) })
	}
}

// discardCommands releases what commands of a connection that has ended hold.
func (l *loop) discardCommands(commands []receivedCommand) {
	for _, r := range commands {
		l.memory.commands.release(r.reserved)
	}
}

// failOpenRequests fails all open requests of a connection.
func (l *loop) failOpenRequests(c *client, reason string) {
	for _, s := range slices.Clone(c.slots) {
		if s.request != nil {
			l.fail(s.request, reason)
		}
	}
}

// clientDisconnected is the event that a client closed its connection.
type clientDisconnected struct{ client *client }

func (e clientDisconnected) apply(l *loop) {
	l.ifOpen(&e.client.connection, func() { l.closeClient(e.client, closeLeft) })
}

// clientConnected is the event that a connection was accepted.
type clientConnected struct{ client *client }

func (e clientConnected) apply(l *loop) {
	defer func() { <-l.acceptSlots }() // release the element once the connection is counted or closed
	if !l.acceptingRequests {
		l.guard.reportViolation(ruleStart, "connection", e.client.id)
	}
	// Connections that are already ending keep their descriptor for a while. So an idle connection is drained for
	// each newcomer before the last descriptor is in use. Otherwise a burst of new connections would leave it to
	// chance whether a regular client gets one.
	active := 0
	for c := range l.clients {
		active += boolToInt(!c.ending())
	}
	if active >= clientSockets(l.cfg.Sockets) {
		l.drainIdlest()
	}
	// idle connections to servers, opened while there were fewer clients, may occupy descriptors
	if l.atDescriptorLimit() {
		l.pool.evictLongestIdle()
	}
	if l.atDescriptorLimit() {
		l.evictClient()
	}
	if l.atDescriptorLimit() {
		l.guard.recordClose(e.client, closeFull)
		// nothing was read: the client resends elsewhere what it may have written
		e.client.transition(l, stateClosed)
		return
	}
	e.client.lastActive = l.clock.now()
	l.clients[e.client] = struct{}{}
	r := clientReader{client: e.client, cfg: &l.cfg, clock: l.clock, timeouts: l.clientTimeouts, post: l.inbox.post,
		metrics: l.metrics, memory: l.memory}
	l.tasks.Go(r.run)
	if l.closing {
		l.scheduleWhileOpen(&e.client.connection, closeGrace, func() { l.drain(e.client) })
	}
}

// wakeReader makes a blocked reader check again whether it can stop or process more commands.
func (l *loop) wakeReader(c *client) {
	c.notifyReader()
	if err := c.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		l.closeClient(c, closeBroken)
	}
}

// reply stores an answer in its slot. flush writes it once all earlier slots are ready.
func (l *loop) reply(c *client, s *slot, b []byte) {
	s.reply, s.ready = b, true
	if !c.isFirst(s) {
		s.held = len(b) + answerOverhead
		l.memory.heldAnswers.reserve(s.held)
	}
}

// isFirst reports whether no earlier answer is pending.
func (c *client) isFirst(s *slot) bool { return len(c.slots) > 0 && c.slots[0] == s }

// mayHold reports whether there is memory for an answer until all earlier ones are ready. There always is for one line:
// the reader limits how many of them there are.
func (l *loop) mayHold(c *client, s *slot, b []byte) bool {
	return len(b) <= maxSmallReply || c.isFirst(s) || l.memory.heldAnswers.hasRoom(len(b)+answerOverhead)
}

// noMemoryReply is the answer for which there is no memory.
func noMemoryReply() []byte { return redcon.AppendError(nil, "ERR not enough memory") }

// releaseHeld accounts for slots whose answers are no longer held.
func (l *loop) releaseHeld(slots []*slot) {
	for _, s := range slots {
		l.memory.heldAnswers.release(s.held)
		s.held = 0
	}
}

// flush moves the answers that are next in order to the backlog and writes it, so that they go out in one write.
func (l *loop) flush(c *client) {
	n := 0
	for n < len(c.slots) && c.slots[n].ready {
		c.backlog = append(c.backlog, c.slots[n].reply...)
		c.answers.add(len(c.slots[n].reply))
		l.unsentBytes += len(c.slots[n].reply)
		n++
	}
	if n > 0 {
		l.releaseHeld(c.slots[:n])
		c.slots = slices.Delete(c.slots, 0, n)
		c.backlogAnswers += n
		c.lastActive = l.clock.now()
	}
	l.writeBacklog(c)
	l.enforceUnsentLimit()
	l.closeWriteIfDone(c)
}

// answersWritten accounts for answers that have been written to the socket and wakes the reader if that lets it
// process more commands or stop.
func (l *loop) answersWritten(c *client, answers, bytes int) {
	l.unsentBytes -= bytes
	pending := c.pendingAnswers.Add(int32(-answers))
	if pending < maxPendingAnswers && pending+int32(answers) >= maxPendingAnswers || pending == 0 && c.readState.load() > readNormal {
		l.wakeReader(c)
	}
}

// enforceUnsentLimit closes connections while unread answers of all clients together exceed their share of memory,
// the connection with the largest backlog first. Below that limit, a client that reads its answers slowly is left
// alone.
func (l *loop) enforceUnsentLimit() {
	for l.unsentBytes > l.cfg.MemoryMB<<20/unsentMemoryDivisor {
		var largest *client
		for c := range l.clients {
			if largest == nil || len(c.backlog) > len(largest.backlog) {
				largest = c
			}
		}
		if largest == nil || len(largest.backlog) == 0 {
			return // all of it is being written by goroutines, in pieces of limited size
		}
		l.log.Warn("closing client: unread answers exceed the memory limit", "bytes", len(largest.backlog))
		l.closeClient(largest, closeMemory)
	}
}

// writeBacklog writes the backlog, unless an earlier write is still in progress.
func (l *loop) writeBacklog(c *client) {
	if c.writerActive || len(c.backlog) == 0 {
		return
	}
	n, err := c.tryWrite(c.backlog)
	if err != nil {
		l.closeClient(c, closeBroken)
		return
	}
	if n == len(c.backlog) {
		answers := c.backlogAnswers
		c.backlog, c.backlogAnswers = c.backlog[:0], 0
		l.answersWritten(c, answers, n)
		return
	}
	l.unsentBytes -= n
	rest := c.backlog[n:]
	c.writingAnswers, c.writingBytes = c.backlogAnswers, len(rest)
	c.backlog, c.backlogAnswers = nil, 0
	if !c.writeBlocked.Swap(true) {
		c.measurePace(l.clock.now(), n)
		l.checkSlow(c, slowChecks)
	}
	c.writeRest(l, rest, writeTimeouts{stall: clientWriteTimeout}, func(err error) event { return clientWriteDone{c, err} })
}

// clientWriteDone is the event that a write in the background to a client has ended.
type clientWriteDone struct {
	client *client
	err    error
}

func (e clientWriteDone) apply(l *loop) {
	l.ifOpen(&e.client.connection, func() {
		e.client.writerActive = false
		if e.err != nil {
			l.closeClient(e.client, writeFailureReason(e.err))
			return
		}
		answers, bytes := e.client.writingAnswers, e.client.writingBytes
		e.client.writingAnswers, e.client.writingBytes = 0, 0
		l.answersWritten(e.client, answers, bytes)
		l.writeBacklog(e.client)
		l.clearIfCaughtUp(e.client)
		l.closeWriteIfDone(e.client)
	})
}

// writeFailureReason returns the reason for closing a connection on which a write failed with err.
func writeFailureReason(err error) closeReason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return closeStalled
	}
	return closeBroken
}

// closeWriteIfDone shuts down the sending side of a connection that is no longer read and has no pending answers.
func (l *loop) closeWriteIfDone(c *client) {
	if c.state != stateDraining || len(c.slots) > 0 || c.writerActive || len(c.backlog) > 0 {
		return
	}
	c.transition(l, stateLingering)
	if c.conn.CloseWrite() != nil {
		l.closeClient(c, closeBroken)
		return
	}
	l.scheduleWhileOpen(&c.connection, lingerInterval, func() { l.checkLinger(c, c.conn.Unsent(), l.clock.now()) })
}

// checkLinger closes a connection whose sending side is shut down, once the client has received everything or has
// accepted nothing for clientWriteTimeout. At the previous check unsent bytes were outstanding; lastProgress is the
// time of the latest check at which that number had fallen. Until the connection is closed, checkLinger runs every
// lingerInterval.
func (l *loop) checkLinger(c *client, unsent int, lastProgress time.Duration) {
	now, remaining := l.clock.now(), c.conn.Unsent()
	if remaining < unsent {
		lastProgress = now
	}
	switch {
	case remaining <= finBytes:
		l.closeClient(c, closeDone)
		return
	case now-lastProgress >= clientWriteTimeout:
		l.closeClient(c, closeStalled)
		return
	}
	l.scheduleWhileOpen(&c.connection, lingerInterval, func() { l.checkLinger(c, remaining, lastProgress) })
}

// closeClient closes a connection and abandons the requests that are open on it, since nobody waits for their
// answers.
func (l *loop) closeClient(c *client, reason closeReason) {
	if c.closed() {
		return
	}
	l.guard.recordClose(c, reason)
	if l.debugEnabled {
		l.log.Debug("client closed", "connection", c.id, "reason", string(reason), "owed", len(c.slots), "unread_by_it", len(c.backlog)+c.writingBytes)
	}
	c.transition(l, stateClosed)
	delete(l.clients, c)
	for _, s := range c.slots {
		if s.request != nil {
			l.abandon(s.request)
		}
	}
	l.releaseHeld(c.slots)
	l.unsentBytes -= len(c.backlog) + c.writingBytes
	c.slots, c.backlog, c.writingBytes = nil, nil, 0
}
