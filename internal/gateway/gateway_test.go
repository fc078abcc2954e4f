package gateway

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

const longTarget = 30 * time.Second // a target latency that no test reaches

// A request must be forwarded as the client sent it, except that the deadline d is reduced to the remaining time.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	b := newBackend(t)
	c := newHarness(t, longTarget, b).dial(t)
	c.send("PING")
	c.expect("+PONG")
	c.sendBook("id-1")
	x := b.next(t)
	if got := strings.Join(append(x.args[:3:3], x.args[4]), " "); got != "Q.DO "+customer+" id-1 BODY" {
		t.Errorf("the server got %q", got)
	}
	before, rest, _ := strings.Cut(x.args[3], "d=")
	d, tail, _ := strings.Cut(rest, ",")
	if ms, err := strconv.Atoi(d); before != "c=book,t=p," || tail != "k=77,units=1,spread=2,first=0" ||
		err != nil || ms < 1 || ms >= 30000 {
		t.Errorf("the server got the list %q", x.args[3])
	}
	x.answer(t, servedReply("slot 4"))
	c.expect("$slot 4")
}

// Answers to pipelined commands must be sent in the order of the commands, even if a server answers a later one
// first.
func TestPipelinedAnswersKeepOrder(t *testing.T) {
	b := newBackend(t)
	c := newHarness(t, longTarget, b).dial(t)
	c.sendLook("one")
	first := b.next(t)
	c.sendLook("two")
	second := b.next(t)
	c.send("PING")
	second.answer(t, servedReply("2"))
	first.answer(t, servedReply("1"))
	c.expect("$1")
	c.expect("$2")
	c.expect("+PONG")
}

func TestInvalidCommandsGetErrors(t *testing.T) {
	b := newBackend(t)
	c := newHarness(t, longTarget, b).dial(t)
	for _, args := range [][]string{
		{"FLUSHALL"}, {""}, {"Q.ASK"}, {"Q.ASK", customer, "id", ""}, {"Q.ASK", "xyz", "id", "c=look,t=p,d=5"},
		{"Q.ASK", customer, "id", "c=look,t=p"}, {"Q.ASK", customer, "id", "c=look,t=p,d=x"},
		{"Q.ASK", customer, "id", "c=look,t=p,d=NaN"}, {"Q.ASK", customer, "id", "c=none,t=p,d=50"},
		{"Q.ASK", customer, "id", "c=look,t=none,d=50"}, {"Q.ASK", customer, "id", "c=book,t=p,d=50"},
		{"Q.DO", customer, "id", "c=look,t=p,d=50"}, {"Q.ASK", customer, "", "c=look,t=p,d=50"},
		{"Q.ASK", customer, "id", "c=look,t=p,d=50,units=-1"}, {"Q.ASK", customer, "id", "c=look,d=5,d=6,t=p"},
		{"Q.ASK", customer, "id", "c=look,t=p,d=50,first=9999999999"}, {"Q.ASK", customer, "id", "c=look,t=p,d=50", "x", "y"},
	} {
		c.send(args...)
		if got := c.read(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%q: got %q, want an error", args, got)
		}
	}
	c.sendLook("good") // the connection is still usable
	b.next(t).answer(t, servedReply("v"))
	c.expect("$v")
}

// Malformed framing and values over 64 KiB must get an error and a close, and must not cause a panic. The parsing
// library indexes out of range on negative lengths and on lengths near the largest integer.
func TestMalformedFramingClosesConnection(t *testing.T) {
	h := newHarness(t, longTarget, newBackend(t))
	for name, raw := range map[string]string{
		"inline": "PING\r\n", "no bulk": "*1\r\n:5\r\n", "count": "*x\r\n",
		"negative": "*1\r\n$-9999\r\n", "largest": "*1\r\n$9223372036854775807\r\n",
		"oversized": "*1\r\n$70000\r\n" + strings.Repeat("x", 70000),
	} {
		c := h.dial(t)
		c.sendRaw(raw)
		if got := c.read(); !strings.HasPrefix(got, "-ERR protocol error") {
			t.Errorf("%s: got %q, want a protocol error", name, got)
		}
		if got := c.read(); strings.HasPrefix(got, "-") || strings.HasPrefix(got, "+") {
			t.Errorf("%s: got %q, want the connection closed", name, got)
		}
	}
	c := h.dial(t)
	c.send("PING")
	c.expect("+PONG")
}

// A keyed request that may have run in one cell must not be sent to another cell. The client must get ERR failed and
// not BUSY, which would promise that the request did not run.
func TestKeyedRequestIsNotRepeatedInAnotherCell(t *testing.T) {
	a, b := newBackend(t), newBackend(t)
	c := newHarness(t, longTarget, a, b).dial(t)
	c.sendBook("id-1")
	other := make(chan *backend, 1)
	go func() {
		used, unused := a, b
		var x exchange
		select {
		case x = <-a.got:
		case x = <-b.got:
			used, unused = b, a
		}
		other <- unused
		for ; x.conn != nil; x = <-used.got {
			if x.args != nil {
				x.conn.Close()
			}
		}
	}()
	c.expect("-ERR failed")
	if o := <-other; len(o.got) > 0 {
		t.Errorf("the other cell got %q", (<-o.got).args)
	}
}

// A request that certainly did not run is refused, with a time after which the client may retry.
func TestRequestThatNeverRanIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close() // connections to it are refused
	for name, b := range map[string]*backend{"busy": newBackend(t), "refused": {addr: ln.Addr().String()}} {
		c := newHarness(t, longTarget, b).dial(t)
		c.sendBook("id-1")
		if name == "busy" {
			go func() {
				for x := range b.got {
					if x.args != nil {
						x.answer(t, "-BUSY\r\n")
					}
				}
			}()
		}
		if got := c.read(); !strings.HasPrefix(got, "-BUSY ") {
			t.Errorf("%s: got %q, want a refusal with a retry time", name, got)
		}
	}
}

// A safe request must be retried if its connection breaks after it was sent.
func TestSafeRequestIsRetried(t *testing.T) {
	a, b := newBackend(t), newBackend(t)
	c := newHarness(t, longTarget, a, b).dial(t)
	c.sendLook("id-1")
	for i := 0; ; i++ {
		var x exchange
		select {
		case x = <-a.got:
		case x = <-b.got:
		}
		switch {
		case x.args == nil: // the end of the broken connection
		case i == 0:
			x.conn.Close()
		default:
			x.answer(t, servedReply("again"))
			c.expect("$again")
			return
		}
	}
}

// A silent server must not delay a request past its deadline. The gateway closes the connection to end the attempt.
func TestSilentServerDoesNotDelayRequest(t *testing.T) {
	b := newBackend(t)
	c := newHarness(t, 300*time.Millisecond, b).dial(t)
	c.sendLook("id-1")
	b.next(t)
	if got := c.read(); !strings.HasPrefix(got, "-BUSY ") {
		t.Errorf("got %q, want a refusal", got)
	}
	for x := b.next(t); x.args != nil; x = b.next(t) {
		if x.args[2] != "id-1" {
			t.Errorf("the server got %q", x.args)
		}
	}
}

// If a client disconnects, its request must be cancelled, because nobody waits for the result.
func TestDisconnectedClientsRequestIsCancelled(t *testing.T) {
	b := newBackend(t)
	c := newHarness(t, longTarget, b).dial(t)
	c.sendLook("id-1")
	b.next(t)
	c.conn.Close()
	if x := b.next(t); x.args != nil {
		t.Errorf("the server got %q, want the connection closed", x.args)
	}
}

// A draining server must get no new request, not even on an idle connection.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	a := newBackend(t)
	h := newHarness(t, longTarget, a)
	c := h.dial(t)
	c.sendLook("id-1")
	x := a.next(t)
	x.answer(t, servedReply("v"))
	c.expect("$v")
	h.discovery.set(serverList{Version: 2, Full: true, Servers: entries("draining", a)})
	if x := a.next(t); x.args != nil { // the update was applied: the idle connection is closed
		t.Fatalf("the server got %q", x.args)
	}
	c.sendLook("id-2")
	if got := c.read(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q, want a refusal", got)
	}
	if len(a.got) > 0 {
		t.Errorf("the draining server got %q", (<-a.got).args)
	}
}

// A stopping gateway must accept connections for a short time, answer all requests that it has taken, and return
// without error.
func TestShutdownAnswersAllRequests(t *testing.T) {
	b := newBackend(t)
	// With such a long target, sending a request after the stop still seems worthwhile to the engine.
	h := newHarness(t, longTarget/3, b)
	c := h.dial(t)
	c.sendLook("id-1")
	x := b.next(t)
	h.stop()
	late := h.dial(t)
	late.sendLook("id-2")
	y := b.next(t)
	idle := h.dial(t)
	if got := idle.read(); got != "EOF" {
		t.Errorf("an idle connection got %q, want it closed", got)
	}
	x.answer(t, servedReply("1"))
	y.answer(t, servedReply("2"))
	c.expect("$1")
	late.expect("$2")
	c.expect("EOF")
	late.expect("EOF")
	if err := <-h.done; err != nil {
		t.Error(err)
	}
}
