package gateway

import (
	"io"
	"testing"
	"time"

	"winghatch/decide"
)

// A server's close that has come before the send is seen: the request goes out on another connection, and the
// first carries nothing of it.
func TestPeersCloseBeforeTheSend(t *testing.T) {
	l := still(t, unreachable(t))
	a, _, far := attempted(t, l)
	c := a.conn
	answered{c: c, answer: answer{decide.OK, []byte("$1\r\nv\r\n"), true}}.apply(l)
	if _, err := io.ReadAtLeast(far, make([]byte, 1<<10), 1); err != nil {
		t.Fatal(err)
	}
	c.used -= quiescenceTime // it has reusable
	far.Close()
	for c.conn.Quiet() { // until the close has come
		time.Sleep(time.Millisecond)
	}
	second := &attempt{req: &request{id: "second", cmd: a.req.cmd}, server: a.server, until: l.clock.now() + long}
	l.pool.start(second)
	if second.conn != nil || second.over || !c.closed() || len(a.server.idle) > 0 {
		t.Errorf("on the old connection: %v, ended: %v, old one closed: %v", second.conn == c, second.over, c.closed())
	}
}

// A reset after the last byte leaves open whether the request ran; the server's end of it does so as well.
func TestResetAfterTheLastByte(t *testing.T) {
	l := still(t, unreachable(t))
	a, _, server := attempted(t, l)
	if !a.whole {
		t.Fatal("the request was not written")
	}
	server.Close()
	for !a.over {
		step(l)
	}
	if o := outcome(t, l); o != decide.Reset {
		t.Errorf("the outcome is %v, want a reset", o)
	}
}

// A time-out and an answer that cross give one end and one final answer, whichever is handled first, and the
// connection with an answer on its way is not used again.
func TestTimeOutCrossesTheAnswer(t *testing.T) {
	value := answer{decide.OK, []byte("$1\r\nv\r\n"), true}
	for name, tc := range map[string]struct {
		timeOutFirst bool
		want         string
		idle         int
	}{"answer first": {false, "$1\r\nv\r\n", 1}, "time-out first": {true, "", 0}} {
		l := still(t, unreachable(t))
		a, client, _ := attempted(t, l)
		r, c := a.req, a.conn
		if tc.timeOutFirst {
			l.pool.expire(a)
			answered{c: c, answer: value}.apply(l)
		} else {
			answered{c: c, answer: value}.apply(l)
			l.pool.expire(a)
		}
		ends := 0
		for _, ev := range l.todo {
			if e, ok := ev.(decide.AttemptEnded); ok && e.ID == r.id {
				ends++
			}
		}
		idle := len(a.server.idle)
		l.closeClient(r.client, closeLeft)
		if got := text(t, client); got != tc.want || ends != 1 || idle != tc.idle {
			t.Errorf("%s: the client got %q, %d ends were told, %d connections are idle; want %q, 1, %d",
				name, got, ends, idle, tc.want, tc.idle)
		}
	}
}
