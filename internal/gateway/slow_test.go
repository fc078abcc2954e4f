package gateway

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"winghatch/decide"
)

// smallBufferPair returns a connected pair of sockets. The kernel's send buffer of near is small, so that large
// writes block.
func smallBufferPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	near, far = tcpPair(t)
	if err := near.(*net.TCPConn).SetWriteBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	return near, far
}

// nextEvent returns the next event that another goroutine posts.
func nextEvent(t *testing.T, l *loop) event {
	t.Helper()
	<-l.inbox.ready
	return l.inbox.take(nil)[0]
}

// applyPosted waits until other goroutines have posted events, and applies them.
func applyPosted(l *loop) {
	<-l.inbox.ready
	for _, e := range l.inbox.take(nil) {
		e.apply(l)
	}
}

// runUntil runs the loop, including its timers, until the condition holds.
func runUntil(t *testing.T, l *loop, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); {
		wait := time.Until(end)
		if wait < 0 {
			t.Fatal("the condition did not become true in time")
		}
		if len(l.timers) > 0 {
			wait = min(wait, max(0, l.timers[0].at-l.clock.now()))
		}
		select {
		case <-l.inbox.ready:
			for _, e := range l.inbox.take(nil) {
				e.apply(l)
				l.processPending()
			}
		case <-time.After(wait):
		}
		l.fireTimers()
	}
}

// newLargeRequest opens a request whose body is too large to be written at once. Its attempt has no connection yet.
func newLargeRequest(t *testing.T) (*loop, *attempt) {
	t.Helper()
	l := newManualLoop(t, unreachableServers(t))
	l.pool.dialTimeout = 0 // the attempt's own dial fails; the test supplies the connection
	r, _ := openRequest(t, l)
	if d := nextEvent(t, l).(dialDone); d.err == nil {
		t.Fatal("the dial did not fail")
	}
	r.cmd.args = append(r.cmd.args, bytes.Repeat([]byte("x"), 256<<10))
	return l, r.attempts[0]
}

// openLargeRequest opens such a request on a connection to a server with a small send buffer.
func openLargeRequest(t *testing.T) (*loop, *attempt, net.Conn) {
	t.Helper()
	l, a := newLargeRequest(t)
	near, far := smallBufferPair(t)
	dialDone{a, a.server.addr, near, nil}.apply(l)
	if a.conn == nil || !a.conn.writerActive || a.sent {
		t.Fatal("the request was written at once")
	}
	return l, a, far
}

// Guards against a large request that blocks the loop, or that counts as sent before its last byte is written.
func TestLargeRequestDoesNotBlockTheLoop(t *testing.T) {
	l, a, far := openLargeRequest(t)
	go io.Copy(io.Discard, far)
	for a.conn.writerActive {
		applyPosted(l)
	}
	if !a.sent || a.ended {
		t.Error("the attempt does not count as sent")
	}
}

// Guards against treating a partly written request as one that may have run. If the connection breaks before the last
// byte, the request never ran and may be refused.
func TestPartlyWrittenRequestNeverRan(t *testing.T) {
	l, a, far := openLargeRequest(t)
	far.Close()
	for !a.ended {
		applyPosted(l)
	}
	if e := l.pendingEvents[len(l.pendingEvents)-1].(decide.AttemptEnded); e.Outcome != decide.NoConnection {
		t.Errorf("the outcome is %v", e.Outcome)
	}
	if !a.conn.closed() || l.pool.connCount != 0 {
		t.Error("the connection is still open or counted")
	}
}

// Guards against a client that reads nothing: it must not block the loop, and its answers must not fill the memory.
func TestClientThatReadsNothingIsClosed(t *testing.T) {
	l := newManualLoop(t, nil)
	near, _ := smallBufferPair(t)
	c := newClientOn(t, near)
	l.clients[c] = struct{}{}
	answer := redcon.AppendBulk(nil, bytes.Repeat([]byte("x"), maxValueBytes))
	for n := 0; !c.closed(); n++ {
		if n*len(answer) > 64<<20 {
			t.Fatal("unread answers exceed 64 MB and the client is still open")
		}
		commandBatch{client: c, commands: []receivedCommand{{reply: answer}}}.apply(l)
	}
	if len(c.backlog) != 0 || len(l.clients) != 0 {
		t.Error("the client or its backlog is still held")
	}
}

// Guards against lost commands in a pipeline that is longer than the limit of pending answers.
func TestLongPipelineIsAnsweredCompletely(t *testing.T) {
	c := newHarness(t, longTarget, newBackend(t)).dial(t)
	const n = 5 * maxPendingAnswers
	go io.WriteString(c.conn, strings.Repeat("*1\r\n$4\r\nPING\r\n", n))
	for range n {
		c.expect("+PONG")
	}
}

// Guards against unbounded open requests: above the limit on their number or on the memory they hold, a request is
// refused at once.
func TestOpenRequestsAreBounded(t *testing.T) {
	for name, fill := range map[string]func(l *loop){
		"open": func(l *loop) { l.cfg.Settings.OpenCap = 1 },
		"held": func(l *loop) { l.memory.commands.tryReserve(int(l.memory.commands.limit) - l.memory.commands.inUse()) },
	} {
		l := newManualLoop(t, unreachableServers(t))
		openRequest(t, l)
		fill(l)
		before := l.memory.commands.inUse()
		c, far := connectClient(t, l, defaultClientTimeouts, rawRequest("id-2"))
		runUntil(t, l, func() bool { return l.metrics.Refusals.Total() > 0 })
		l.closeClient(c, closeLeft)
		if got := readAll(t, far); got != "-BUSY 1000\r\n" {
			t.Errorf("%s: got %q, want a refusal", name, got)
		}
		if after := l.memory.commands.inUse(); after != before {
			t.Errorf("%s: the refused request keeps %d bytes", name, after-before)
		}
	}
}

// Guards against running out of descriptors. Connections to clients and servers together stay within the limit, and a
// client above it is disconnected.
func TestDescriptorsAreBounded(t *testing.T) {
	l := newManualLoop(t, unreachableServers(t))
	for range l.cfg.Sockets - minSockets {
		c := &client{slots: []*slot{{}}} // has a pending answer, so it is not evicted
		l.clients[c] = struct{}{}
	}
	if room := l.pool.connLimit(); room+len(l.clients)+reservedSockets > l.cfg.Sockets || room < 1 {
		t.Errorf("room for %d connections to servers with %d clients", room, len(l.clients))
	}
	near, far := tcpPair(t)
	before := len(l.clients)
	joinClient(l, newClientOn(t, near))
	if got := readAll(t, far); got != "" || len(l.clients) != before {
		t.Errorf("the client got %q; %d clients are open, want %d", got, len(l.clients), before)
	}
}

// Guards against losing a command that has partly arrived when its connection is drained: it is read to its end and
// answered.
func TestDrainedConnectionFinishesItsCommand(t *testing.T) {
	l := newManualLoop(t, nil)
	near, far := tcpPair(t)
	c := newClientOn(t, near)
	if _, err := io.WriteString(far, "*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI"); err != nil {
		t.Fatal(err)
	}
	joinClient(l, c)
	applyPosted(l)
	l.drain(c)
	if _, err := io.WriteString(far, "NG\r\n"); err != nil {
		t.Fatal(err)
	}
	runUntil(t, l, func() bool { return c.closed() })
	if got := readAll(t, far); got != "+PONG\r\n+PONG\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// deadlineRecorder is a connection that records the latest deadline set on its writes.
type deadlineRecorder struct {
	streamConn
	deadline time.Time
}

func (c *deadlineRecorder) SetWriteDeadline(by time.Time) error {
	c.deadline = by
	return c.streamConn.SetWriteDeadline(by)
}

// Guards against a write deadline that stays set after a slow write: it would fail later writes, and their answers
// would be lost.
func TestWriteDeadlineEndsWithItsWrite(t *testing.T) {
	near, far := smallBufferPair(t)
	l, c := newManualLoop(t, nil), newClientOn(t, near)
	conn := &deadlineRecorder{streamConn: c.conn}
	c.conn = conn
	go io.Copy(io.Discard, far)
	ended := make(chan error, 1)
	c.writeRest(l, bytes.Repeat([]byte("x"), 64<<10), writeTimeouts{total: testTimeout}, func(err error) event {
		ended <- err
		return nil
	})
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if !conn.deadline.IsZero() {
		t.Errorf("the write deadline is still set, %v from now", time.Until(conn.deadline))
	}
}

// Guards against a request whose last byte is written long after its first. Its d would promise more time than the
// client has left, and the server might no longer recognize it as a repeat.
func TestSlowlyWrittenRequestIsGivenUp(t *testing.T) {
	l, a, far := openLargeRequest(t)
	started := time.Now()
	for !a.ended {
		applyPosted(l)
	}
	if e := l.pendingEvents[len(l.pendingEvents)-1].(decide.AttemptEnded); e.Outcome != decide.NoConnection || a.sent {
		t.Errorf("the outcome is %v", e.Outcome)
	}
	if took := time.Since(started); took < requestWriteTimeout-10*time.Millisecond {
		t.Errorf("the write was given up too early, after %v", took)
	}
	far.Close()
	now := l.clock.now()
	for name, tc := range map[string]struct{ deadline, sendBefore, want time.Duration }{
		"much time":       {time.Second, 0, requestWriteTimeout},
		"little time":     {time.Second / 50, 0, time.Second / 50},
		"a window's end":  {time.Second, time.Second / 40, time.Second / 40},
		"no time":         {-time.Second, 0, time.Millisecond},
		"a window passed": {time.Second, -time.Second, time.Millisecond},
	} {
		b := &attempt{deadline: now + tc.deadline}
		if tc.sendBefore != 0 {
			b.sendBefore = now + tc.sendBefore
		}
		if got := l.pool.requestWriteLimit(b); got > tc.want || got < time.Millisecond {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}

// Guards against dropping an answer that reaches the loop before the event that its request was written completely.
// The two events come from different goroutines.
func TestAnswerBeforeWriteCompletionIsKept(t *testing.T) {
	l, a, far := openLargeRequest(t)
	go io.Copy(io.Discard, far)
	var late []event
	for c := a.conn; !c.requestWritten.Load() || len(late) == 0; {
		late = append(late, nextEvent(t, l)) // the event that the request was written
	}
	if _, err := io.WriteString(far, servedReply("v")); err != nil {
		t.Fatal(err)
	}
	e, ok := nextEvent(t, l).(answerReceived)
	if !ok || !e.afterRequest {
		t.Fatalf("got %+v", e)
	}
	client := a.request.client
	e.apply(l)
	for _, e := range late {
		e.apply(l)
	}
	if got := l.metrics.Answers.Count(resultServed); got != 1 || a.outcome != decide.OK || len(client.slots) > 0 {
		t.Errorf("served %d, the attempt ended as %v", got, a.outcome)
	}
}
