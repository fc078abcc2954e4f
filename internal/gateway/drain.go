package gateway

// atDescriptorLimit reports that no further client may be accepted. Clients, connections in the accept backlog and
// connections to servers together leave reservedSockets descriptors for discovery, peers and the runtime.
func (l *loop) atDescriptorLimit() bool {
	n := len(l.clients)
	return n >= l.cfg.Sockets-minSockets || n+l.pool.connCount >= l.cfg.Sockets-reservedSockets-acceptBacklog
}

// evictClient makes room for a new connection. It closes a lingering connection that has delivered everything, if
// there is one, and else drains the idlest connection.
func (l *loop) evictClient() {
	for c := range l.clients {
		if c.state == stateLingering && c.conn.Unsent() <= finBytes {
			l.closeClient(c, closeEvicted)
			return
		}
	}
	l.drainIdlest()
}

// drainIdlest drains the connection that has been idle for longest. (Draining connections that have not sent a
// request yet instead was measured: in a burst of new connections, those are the ones about to send one.) If every
// connection has pending answers, none is drained, and a new connection uses a descriptor from the servers' share.
func (l *loop) drainIdlest() {
	var idlest *client
	for c := range l.clients {
		if len(c.slots) == 0 && !c.writerActive && !c.ending() && (idlest == nil || c.lastActive < idlest.lastActive) {
			idlest = c
		}
	}
	if idlest != nil {
		l.drain(idlest)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// drain ends a connection between requests: its reader stops once no answer is pending and no input waits in the
// kernel. Closing at once would lose a request that has arrived. A reader that stopped while answers are pending
// would not notice that the client leaves. If the gateway is closing, requests that would wait too
// long are refused, see readRefuseExcess.
func (l *loop) drain(c *client) {
	if l.closing {
		c.readState.advance(readRefuseExcess)
		if c.slow.Load() {
			l.watchPace(c, paceChecks)
			return
		}
		l.wakeReader(c)
		return
	}
	l.limitReading(c, readUntilIdle)
}

// limitReading moves the read state of a connection forward to state and wakes its reader.
func (l *loop) limitReading(c *client, state readState) {
	c.readState.advance(state)
	l.wakeReader(c)
}

// ending reports that a connection accepts no further commands, or none after those that are being answered.
func (c *client) ending() bool { return c.readState.load() > readNormal || c.state > stateOpen }
