package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// A connection that is accepted while the listener closes must still be served. A gateway that ended before it was
// counted would lose the request on it.
func TestShutdownServesConnectionsAcceptedLast(t *testing.T) {
	l := newManualLoop(t, nil)
	near, far := tcpPair(t)
	c := newClientOn(t, near)
	if _, err := io.WriteString(far, "*1\r\n$4\r\nPING\r\n"); err != nil {
		t.Fatal(err)
	}
	l.closing = true
	l.acceptSlots <- struct{}{}
	go func() { // as the accepting goroutine does at its end
		l.inbox.post(clientConnected{c})
		l.inbox.post(acceptEnded{})
	}()
	l.run()
	if got := readAll(t, far); got != "+PONG\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// A request at a server that hangs must be failed before the platform kills the gateway. The time until then depends
// on the longest deadline of all classes.
func TestShutdownFailsHangingRequestsBeforeKill(t *testing.T) {
	for name, tc := range map[string]struct{ longest, want time.Duration }{
		"short deadlines": {time.Second, 1500 * time.Millisecond},
		"long deadlines":  {time.Minute, 3500 * time.Millisecond},
		"none":            {0, 3500 * time.Millisecond},
	} {
		l := newManualLoop(t, unreachableServers(t))
		c, far := connectClient(t, l, defaultClientTimeouts, rawRequest("id"))
		runUntil(t, l, func() bool { return len(l.requests) > 0 })
		for i := range l.cfg.Settings.Decide.Classes {
			l.cfg.Settings.Decide.Classes[i].Deadline = tc.longest
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		before := l.clock.now()
		stopRequested{ln}.apply(l)
		if by := l.stopDeadline - before; by < tc.want || by > l.clock.now()-before+tc.want {
			t.Errorf("%s: answers are due within %v, want %v", name, by, tc.want)
		}
		l.stopAll()
		l.processPending()
		runUntil(t, l, func() bool { return c.closed() })
		if got := readAll(t, far); got != "-ERR failed\r\n" {
			t.Errorf("%s: the client got %q", name, got)
		}
		ln.Close()
	}
}

// A command whose last byte arrives after the stop must be answered before the gateway ends, even if its client would
// wait longer.
func TestCommandReadAfterStopIsAnsweredBeforeExit(t *testing.T) {
	l := newManualLoop(t, unreachableServers(t))
	l.stopDeadline = l.clock.now() + longTarget/3
	r, _ := openRequest(t, l)
	if r.overdueTimer.at > l.stopDeadline+overdueGrace {
		t.Errorf("the answer is due %v after the stop deadline", r.overdueTimer.at-l.stopDeadline)
	}
}

// If a client disconnects while its connection is draining, its waiting request must be abandoned. It must not be
// sent on a server connection that is established later.
func TestDisconnectedClientsRequestIsNotSentWhileDraining(t *testing.T) {
	l := newManualLoop(t, unreachableServers(t))
	c, far := connectClient(t, l, defaultClientTimeouts, rawRequest("id"))
	runUntil(t, l, func() bool { return len(l.requests) > 0 })
	var a *attempt
	for _, r := range l.requests {
		a = r.attempts[0]
	}
	l.drain(c)
	if _, err := io.WriteString(far, "*1\r\n$4\r\nPING\r\n"); err != nil {
		t.Fatal(err)
	}
	runUntil(t, l, func() bool { return len(c.slots) == 2 }) // the reader has read on
	far.Close()
	runUntil(t, l, func() bool { return c.closed() })
	if !a.request.done {
		t.Fatal("the request is still open")
	}
	near, server := tcpPair(t)
	dialDone{a, a.server.addr, near, nil}.apply(l)
	l.pool.closeIdle(a.server)
	if got := readAll(t, server); got != "" {
		t.Errorf("the server got %q", got)
	}
}

// Commands that are pipelined behind an open request after the stop must be answered while their connection stays
// open. The client must have received the answers before the connection is closed.
func TestPipelinedCommandsAreAnsweredDuringShutdown(t *testing.T) {
	b := newBackend(t)
	// With such a long target, the second request still seems worth sending in the remaining time.
	h := newHarness(t, longTarget/6, b)
	c := h.dial(t)
	c.sendLook("id-1")
	x := b.next(t)
	idle := h.dial(t)
	idle.send("PING")
	idle.expect("+PONG")
	h.stop()
	idle.expect("EOF") // from now on connections without a request are closed
	c.send("PING")
	c.sendLook("id-2")
	x.answer(t, servedReply("1"))
	c.expect("$1")
	c.expect("+PONG")
	b.next(t).answer(t, servedReply("2"))
	c.expect("$2")
	c.expect("EOF")
	if err := <-h.done; err != nil {
		t.Error(err)
	}
}

// Guards against commands that get no answer at a planned restart because they wait unread, behind as many pending
// answers as are allowed, while the servers hang. Each command that was written before the end is answered.
func TestShutdownAnswersCommandsBehindPendingLimit(t *testing.T) {
	const first, second = 3 * maxPendingAnswers, 20
	h := newHarness(t, longTarget, newBackend(t)) // the server never answers
	c := h.dial(t)
	answers := make(chan int, 1)
	go func() {
		b, err := io.ReadAll(c.conn)
		if err != nil {
			t.Error(err)
		}
		answers <- countAnswers(b)
	}()
	for i := range first {
		c.sendRaw(longRedeem(fmt.Sprint("first-", i)))
		if i == first/2 {
			h.stop()
		}
	}
	time.Sleep(time.Second)
	for i := range second {
		c.sendRaw(longRedeem(fmt.Sprint("second-", i)))
	}
	if got := <-answers; got != first+second {
		t.Errorf("%d of %d commands were answered", got, first+second)
	}
	if err := <-h.done; err != nil {
		t.Error(err)
	}
}

// Closing a connection with unread input sends a reset, which may destroy an answer on its way. So the gateway first
// ends its sending side and closes the connection later.
func TestResetOnCloseDoesNotDestroyAnswer(t *testing.T) {
	l := newManualLoop(t, nil)
	c, far := connectClient(t, l, defaultClientTimeouts, "*1\r\n$4\r\nPING\r\n*1\r\n:5\r\n"+strings.Repeat("x", 64<<10))
	runUntil(t, l, func() bool { return (c.state >= stateLingering) })
	if c.closed() {
		t.Error("the connection was closed at once")
	}
	if got := readAll(t, far); !strings.HasPrefix(got, "+PONG\r\n-ERR protocol error") {
		t.Errorf("the client got %q", got)
	}
	runUntil(t, l, func() bool { return c.closed() })
}

// A lingering connection must be the first to be closed to make room for a new one.
func TestLingeringConnectionIsEvictedFirst(t *testing.T) {
	l := newManualLoop(t, nil)
	idle, _ := connectClient(t, l, defaultClientTimeouts, "")
	c, _ := connectClient(t, l, defaultClientTimeouts, "*1\r\n:5\r\n")
	runUntil(t, l, func() bool { return (c.state >= stateLingering) })
	l.evictClient()
	if !c.closed() || idle.ending() {
		t.Errorf("lingering connection closed: %v; idle connection ending: %v", c.closed(), idle.ending())
	}
}

// A slow client must have received its whole answer before its connection is closed.
func TestSlowClientReadsWholeAnswerBeforeClose(t *testing.T) {
	l := newManualLoop(t, nil)
	near, far := smallBufferPair(t)
	c := newClientOn(t, near)
	l.clients[c] = struct{}{}
	l.clientTimeouts = defaultClientTimeouts
	answer := redcon.AppendBulk(nil, bytes.Repeat([]byte("x"), 512<<10))
	c.pendingAnswers.Add(1)
	commandBatch{client: c, commands: []receivedCommand{{reply: answer}}, last: true}.apply(l)
	if !c.writerActive {
		t.Fatal("the whole answer was written at once")
	}
	got := make(chan int, 1)
	go func() {
		n, err := io.Copy(io.Discard, far)
		if err != nil {
			t.Error(err)
		}
		got <- int(n)
	}()
	runUntil(t, l, func() bool { return (c.state >= stateLingering) })
	if n := <-got; n != len(answer) {
		t.Errorf("the client got %d bytes, want %d", n, len(answer))
	}
}

// A stop directly after a configuration change must end the gateway, even if discovery does not answer at the new
// address.
func TestShutdownWhileDiscoveryMovesToSilentAddress(t *testing.T) {
	h := newHarness(t, longTarget, newBackend(t))
	silent := newBackend(t) // accepts connections and never answers
	h.discoveryAddrs <- mustAddr(silent.addr)
	h.stop()
	if err := <-h.done; err != nil {
		t.Error(err)
	}
}
