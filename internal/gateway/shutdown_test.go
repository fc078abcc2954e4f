package gateway

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// A connection that the listener took as it was closed is still counted: the gateway that ended without it would
// lose the request on it.
func TestStopWaitsForConnectionsInHand(t *testing.T) {
	l := still(t, nil)
	near, far := pair(t)
	c := clientOn(t, near)
	if _, err := io.WriteString(far, "*1\r\n$4\r\nPING\r\n"); err != nil {
		t.Fatal(err)
	}
	l.closing = true
	l.ahead <- struct{}{}
	go func() { // as the listener's goroutine ends
		l.in.post(joined{c})
		l.in.post(acceptEnded{})
	}()
	l.run()
	if got := text(t, far); got != "+PONG\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// What hangs at a server when the gateway is told to stop is failed before the platform kills the gateway, which
// is no later than its longest deadline allows.
func TestStopFailsWhatHangs(t *testing.T) {
	for name, tc := range map[string]struct{ longest, want time.Duration }{
		"short deadlines": {time.Second, 1500 * time.Millisecond},
		"long deadlines":  {time.Minute, 3500 * time.Millisecond},
		"none":            {0, 3500 * time.Millisecond},
	} {
		l := still(t, unreachable(t))
		c, far := connect(t, l, usualLimits, asked("id"))
		until(t, l, func() bool { return len(l.requests) > 0 })
		for i := range l.cfg.Settings.Decide.Classes {
			l.cfg.Settings.Decide.Classes[i].Deadline = tc.longest
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		before := l.clock.now()
		stop{ln}.apply(l)
		if by := l.stopBy - before; by < tc.want || by > l.clock.now()-before+tc.want {
			t.Errorf("%s: answers are due within %v, want %v", name, by, tc.want)
		}
		l.stopAll()
		l.drainTodo()
		until(t, l, func() bool { return c.closed() })
		if got := text(t, far); got != "-ERR failed\r\n" {
			t.Errorf("%s: the client got %q", name, got)
		}
		ln.Close()
	}
}

// A command whose end comes after the stop is answered by the time that the gateway has, however long its client
// would wait.
func TestCommandThatEndsAfterTheStop(t *testing.T) {
	l := still(t, unreachable(t))
	l.stopBy = l.clock.now() + long/3
	r, _ := open(t, l)
	if r.overdue.at > l.stopBy+overdueAfter {
		t.Errorf("the answer is due %v after the gateway's end", r.overdue.at-l.stopBy)
	}
}

// A client that leaves a connection that is to end takes its waiting request with it: it must not go out on a
// connection that comes up later.
func TestClientLeavesWhileItsConnectionEnds(t *testing.T) {
	l := still(t, unreachable(t))
	c, far := connect(t, l, usualLimits, asked("id"))
	until(t, l, func() bool { return len(l.requests) > 0 })
	var a *attempt
	for _, r := range l.requests {
		a = r.attempts[0]
	}
	l.drain(c)
	if _, err := io.WriteString(far, "*1\r\n$4\r\nPING\r\n"); err != nil {
		t.Fatal(err)
	}
	until(t, l, func() bool { return len(c.slots) == 2 }) // the reader has gone on
	far.Close()
	until(t, l, func() bool { return c.closed() })
	if !a.req.done {
		t.Fatal("the request is still open")
	}
	near, server := pair(t)
	dialed{a, a.server.addr, near, nil}.apply(l)
	l.pool.closeIdle(a.server)
	if got := text(t, server); got != "" {
		t.Errorf("the server got %q", got)
	}
}

// Commands that come behind an open request after the stop are answered as well, as long as their connection
// stays open, and the answers are with the client before it ends.
func TestPipelineDuringTheStop(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, long/6, b) // with so long an aim a second request seems worth sending on in the time that is left
	c := r.dial(t)
	c.look("id-1")
	x := b.next(t)
	idle := r.dial(t)
	idle.send("PING")
	idle.want("+PONG")
	r.stop()
	idle.want("EOF") // from here on connections without a request end
	c.send("PING")
	c.look("id-2")
	x.answer(t, served("1"))
	c.want("$1")
	c.want("+PONG")
	b.next(t).answer(t, served("2"))
	c.want("$2")
	c.want("EOF")
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}

// An answer is not destroyed by the reset that closing a connection with unread input brings: the gateway ends its
// sending and closes later.
func TestUnreadInputDoesNotDestroyTheAnswer(t *testing.T) {
	l := still(t, nil)
	c, far := connect(t, l, usualLimits, "*1\r\n$4\r\nPING\r\n*1\r\n:5\r\n"+strings.Repeat("x", 64<<10))
	until(t, l, func() bool { return (c.state >= stateLingering) })
	if c.closed() {
		t.Error("the connection was closed at once")
	}
	if got := text(t, far); !strings.HasPrefix(got, "+PONG\r\n-ERR protocol error") {
		t.Errorf("the client got %q", got)
	}
	until(t, l, func() bool { return c.closed() })
}

// One that lingers is the first to make room for a new connection.
func TestLingeringConnectionMakesRoom(t *testing.T) {
	l := still(t, nil)
	quiet, _ := connect(t, l, usualLimits, "")
	c, _ := connect(t, l, usualLimits, "*1\r\n:5\r\n")
	until(t, l, func() bool { return (c.state >= stateLingering) })
	l.evictClient()
	if !c.closed() || quiet.ending() {
		t.Errorf("closed: lingering %v; ending: quiet %v", c.closed(), quiet.ending())
	}
}

// A slow client has all of its answer before its connection ends.
func TestSlowClientHasItsAnswerBeforeTheEnd(t *testing.T) {
	l := still(t, nil)
	near, far := narrow(t)
	c := clientOn(t, near)
	l.clients[c] = struct{}{}
	l.limits = usualLimits
	answer := redcon.AppendBulk(nil, bytes.Repeat([]byte("x"), 512<<10))
	c.owed.Add(1)
	commands{c: c, got: []received{{reply: answer}}, last: true}.apply(l)
	if !c.busy {
		t.Fatal("the answer went at once")
	}
	got := make(chan int, 1)
	go func() {
		n, err := io.Copy(io.Discard, far)
		if err != nil {
			t.Error(err)
		}
		got <- int(n)
	}()
	until(t, l, func() bool { return (c.state >= stateLingering) })
	if n := <-got; n != len(answer) {
		t.Errorf("the client got %d bytes, want %d", n, len(answer))
	}
}

// A stop right behind a new configuration ends the gateway, though discovery is silent at the new address.
func TestStopWhileDiscoveryMoves(t *testing.T) {
	r := newRig(t, long, newBackend(t))
	silent := newBackend(t) // takes connections and says nothing
	r.moves <- mustAddr(silent.addr)
	r.stop()
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}
