package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/telemetry"
)

// shortTimeouts are short enough for a test to wait for them.
var shortTimeouts = clientTimeouts{command: 30 * time.Millisecond, idle: 30 * time.Millisecond}

// connectClient adds a connection with the given timeouts to the loop, after writing sent to it, and returns the
// client and the test's end of the connection.
func connectClient(t *testing.T, l *loop, timeouts clientTimeouts, sent string) (*client, net.Conn) {
	t.Helper()
	l.clientTimeouts = timeouts
	near, far := tcpPair(t)
	if _, err := io.WriteString(far, sent); err != nil {
		t.Fatal(err)
	}
	c := newClientOn(t, near)
	joinClient(l, c)
	return c, far
}

// Guards against connections that keep their descriptor while they send nothing, half a command, or nothing more.
// Without a timeout, hundreds of them held all descriptors for good.
func TestConnectionsWithoutRequestsTimeOut(t *testing.T) {
	for name, tc := range map[string]struct{ sent, want string }{
		"silent":       {"", ""},
		"half":         {"*1\r\n$4\r\nPI", "-ERR protocol error: the command did not end in time\r\n"},
		"idle":         {"*1\r\n$4\r\nPING\r\n", "+PONG\r\n"},
		"half, behind": {"*1\r\n$4\r\nPING\r\n*1\r\n", "+PONG\r\n-ERR protocol error: the command did not end in time\r\n"},
	} {
		l := newManualLoop(t, nil)
		c, far := connectClient(t, l, shortTimeouts, tc.sent)
		runUntil(t, l, func() bool { return c.closed() })
		if got := readAll(t, far); got != tc.want {
			t.Errorf("%s: got %q, want %q", name, got, tc.want)
		}
	}
}

// Guards against cutting off a client because the gateway is busy: while the reader waits until the loop takes its
// commands, the time for the next command does not run.
func TestTimeWaitingForTheLoopIsNotTheClients(t *testing.T) {
	cfg := testConfig(t, longTarget, nil)
	near, far := tcpPair(t)
	c := newClientOn(t, near)
	if _, err := io.WriteString(far, "*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI"); err != nil {
		t.Fatal(err)
	}
	var posted []commandBatch
	post := func(e event) {
		if batch, ok := e.(commandBatch); ok {
			posted = append(posted, batch)
		}
		if len(posted) == 1 { // the inbox is full
			if _, err := io.WriteString(far, "NG\r\n"); err != nil {
				t.Error(err)
			}
			time.Sleep(3 * shortTimeouts.command)
		}
		c.pendingAnswers.Store(0)
	}
	r := clientReader{client: c, cfg: &cfg, clock: newClock(), timeouts: shortTimeouts, metrics: telemetry.New(),
		memory: newMemoryBudgets(cfg.MemoryMB), post: post}
	r.run()
	for i, batch := range posted[:min(2, len(posted))] {
		if len(batch.commands) != 1 || string(batch.commands[0].reply) != "+PONG\r\n" {
			t.Errorf("batch %d: %d commands, the first is answered with %q", i, len(batch.commands), batch.commands[0].reply)
		}
	}
}

// Guards against a client that extends the command timeout by sending one byte at a time.
func TestSlowlySentCommandTimesOut(t *testing.T) {
	l := newManualLoop(t, nil)
	c, far := connectClient(t, l, shortTimeouts, "")
	go func() {
		for _, b := range []byte("*1\r\n$60000\r\n" + strings.Repeat("x", 60000)) {
			if _, err := far.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	runUntil(t, l, func() bool { return c.closed() })
}

// Guards against an idle timeout that closes a connection while its client waits for an answer.
func TestClientWithPendingAnswerIsNotIdle(t *testing.T) {
	l := newManualLoop(t, unreachableServers(t))
	c, _ := connectClient(t, l, shortTimeouts, rawRequest("id"))
	for len(c.slots) == 0 {
		applyPosted(l)
	}
	time.Sleep(4 * shortTimeouts.idle) // several idle timeouts pass
	for _, e := range l.inbox.take(nil) {
		if e, ok := e.(commandBatch); ok && e.last {
			t.Error("a client with a pending answer was disconnected")
		}
	}
}

// rawRequest returns an encoded Q.ASK request.
func rawRequest(id string) string {
	const list = "c=look,t=p,d=30000,units=1,spread=2,first=0"
	return fmt.Sprintf("*4\r\n$5\r\nQ.ASK\r\n$16\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", customer, len(id), id, len(list), list)
}

// Guards against evicting a connection with pending answers or one that was used recently: when a descriptor is
// needed, the idlest connection is drained.
func TestEvictionDrainsIdlestConnection(t *testing.T) {
	l := newManualLoop(t, unreachableServers(t))
	pending, _ := connectClient(t, l, defaultClientTimeouts, rawRequest("id"))
	for len(pending.slots) == 0 {
		applyPosted(l)
	}
	pending.lastActive = 0
	idlest, far := connectClient(t, l, defaultClientTimeouts, "")
	recent, _ := connectClient(t, l, defaultClientTimeouts, "")
	idlest.lastActive = recent.lastActive - time.Second
	l.evictClient()
	runUntil(t, l, func() bool { return idlest.closed() })
	if got := readAll(t, far); got != "" || pending.ending() || recent.ending() {
		t.Errorf("the idlest client got %q; ending: client with pending answer %v, recent client %v", got, pending.ending(), recent.ending())
	}
}

// Guards against losing a request that has arrived when its connection is drained: closing at once would drop it.
func TestDrainedConnectionAnswersReceivedRequest(t *testing.T) {
	l := newManualLoop(t, nil)
	near, far := tcpPair(t)
	if _, err := io.WriteString(far, "*1\r\n$4\r\nPING\r\n"); err != nil {
		t.Fatal(err)
	}
	c := newClientOn(t, near)
	for c.conn.Quiet() { // the kernel holds the request before the reader starts
		time.Sleep(time.Millisecond)
	}
	c.readState.advance(readUntilIdle)
	joinClient(l, c)
	l.drain(c)
	runUntil(t, l, func() bool { return c.closed() })
	if got := readAll(t, far); got != "+PONG\r\n" {
		t.Errorf("got %q", got)
	}
}

// Guards against values outside the settings. They would count towards the customer's demand, here and at peers,
// change the customer's set of gateways, or be rejected by a server and count against that server.
func TestValuesOutsideSettingsAreRejected(t *testing.T) {
	l := newManualLoop(t, unreachableServers(t))
	parse := func(customerID, id, list string) error {
		name := "Q.ASK"
		if strings.Contains(list, "c=book") {
			name = "Q.DO"
		}
		_, err := parseRequest(&l.cfg, name, [][]byte{[]byte(name), []byte(customerID), []byte(id), []byte(list)}, 0)
		return err
	}
	const good = "c=look,t=p,d=30000,units=8,spread=2,first=1"
	if err := parse("00000001ffffffff", "id", good); err != nil {
		t.Fatal(err)
	}
	if err := parse(customer, "id", "c=book,k=5c0f,"+good[7:]); err != nil {
		t.Fatal(err)
	}
	l.cfg.Settings.Decide.Classes[0].Deadline -= time.Millisecond / 2 // 29,999.5 ms, which clients round up
	if err := parse(customer, "id", good); err != nil {
		t.Errorf("d rounded up to the next millisecond is rejected: %v", err)
	}
	for _, customerID := range []string{"0000000200000000", "ffffffffffffffff", "000000000000000x", "0000000b4d65521", "+000000b4d655210"} {
		if parse(customerID, "id", good) == nil {
			t.Errorf("customer %q is accepted", customerID)
		}
	}
	for _, edit := range []string{
		"units=8|units=9", "units=8|units=0", "units=8|units=0.5", "units=8|units=-1", "units=8|units=1e0", "units=8|units=0x1",
		"units=8|units=inf", "units=8|units=", "units=8|units=NaN", "units=8|units=1,units=2", "units=8|units=99999999999999999999",
		"spread=2|spread=3", "spread=2|spread=0", "spread=2|spread=-1", "spread=2|spread=x", "spread=2|spread=18446744073709551618",
		"first=1|first=2", "first=1|first=-1", "first=1|first=+1", "first=1|first=", "d=30000|d=30001", "d=30000|d=0", "d=30000|d=-5",
		"d=30000|d=soon", "d=30000,|", "d=30000|d=1e3", "c=look|c=book", "c=look|c=none", "t=p|t=none", "t=p|t=p,t=p", "c=look|c=book,k=",
		"c=look|c=book,k=" + strings.Repeat("k", maxKeyBytes+1),
	} {
		from, to, _ := strings.Cut(edit, "|")
		if parse(customer, "id", strings.Replace(good, from, to, 1)) == nil {
			t.Errorf("%q in place of %q is accepted", to, from)
		}
	}
}

// Guards against mixing up the answers of two requests with one id. While the first is open, the second gets an
// error. Once the first has ended, the id can be used again.
func TestDuplicateOpenIDIsRejected(t *testing.T) {
	b := newBackend(t)
	r := newHarness(t, longTarget, b)
	first, second := r.dial(t), r.dial(t)
	first.sendLook("id")
	x := b.next(t)
	second.sendLook("id")
	if got := second.read(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("got %q, want an error", got)
	}
	x.answer(t, servedReply("v"))
	first.expect("$v")
	second.sendLook("id")
	b.next(t).answer(t, servedReply("w"))
	second.expect("$w")
}

// Guards against malformed input that keeps its connection open for as long as earlier requests are open. Those
// requests still get their answers, before the error.
func TestProtocolErrorDoesNotWaitForOpenRequests(t *testing.T) {
	l := newManualLoop(t, unreachableServers(t))
	c, far := connectClient(t, l, defaultClientTimeouts, rawRequest("id")+"*-1\r\n")
	for c.state == stateOpen {
		applyPosted(l)
	}
	if c.closed() || len(l.requests) != 1 {
		t.Fatal("the open request ended at once")
	}
	for _, a := range l.timers {
		a.at -= protocolErrorGrace
	}
	l.fireTimers()
	if got := readAll(t, far); !strings.HasPrefix(got, "-ERR failed\r\n-ERR protocol error") {
		t.Errorf("got %q, want a failure and the protocol error", got)
	}
	runUntil(t, l, func() bool { return c.closed() })
	if len(l.requests) != 0 {
		t.Error("the request is still open")
	}
}

// Guards against unbounded memory use by events: goroutines that post to a full inbox block, until the inbox is
// closed.
func TestInboxIsBounded(t *testing.T) {
	q := newInbox()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxInboxEvents {
			q.post(clientDisconnected{})
		}
	}()
	<-q.ready
	if n := len(q.take(nil)); n > maxInboxEvents {
		t.Errorf("got %d events at once, want at most %d", n, maxInboxEvents)
	}
	q.close()
	<-done
}

// Guards against timers that keep a request in memory after it has ended, for as long as its client would have
// waited.
func TestEndedRequestLeavesNoTimers(t *testing.T) {
	l := newManualLoop(t, unreachableServers(t))
	before := len(l.timers)
	r, _ := openRequest(t, l)
	pending := 0 // set by the decision engine; these refer to the request by its id and don't hold it in memory
	for _, a := range l.timers[before:] {
		if a != r.overdueTimer && a != r.attempts[0].deadlineTimer {
			pending++
		}
	}
	l.closeClient(r.client, closeLeft)
	l.processPending()
	if len(l.timers) != before+pending || len(l.requests) != 0 || len(l.openIDs) != 0 {
		t.Errorf("%d timers, want %d; %d requests, %d ids", len(l.timers), before+pending, len(l.requests), len(l.openIDs))
	}
}

// Guards against keeping removed servers forever, and against dropping one while a connection to it is open.
func TestRemovedServerIsForgotten(t *testing.T) {
	l := newManualLoop(t, unreachableServers(t))
	r, _ := openRequest(t, l)
	a := r.attempts[0]
	near, _ := tcpPair(t)
	dialDone{a, a.server.addr, near, nil}.apply(l)
	l.updateServers(decide.FleetFull, serverList{Version: 2, Full: true})
	if len(l.pool.servers) != 1 {
		t.Error("a server with an attempt in flight is forgotten")
	}
	l.pool.cancel(a)
	l.updateServers(decide.FleetDelta, serverList{Version: 3, Servers: []serverEntry{{ID: "never", State: "removed"}}})
	if len(l.pool.servers) != 0 {
		t.Errorf("%d servers are kept", len(l.pool.servers))
	}
}
