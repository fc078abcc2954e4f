package gateway

import (
	"fmt"
	"strings"
	"testing"
)

// A client that sends more than may be owed at once and goes takes all of it with it: what waits for a connection
// must not go out, and what was not handed on yet must not be begun.
func TestClientThatSendsMuchAndGoes(t *testing.T) {
	l := still(t, unreachable(t))
	l.cfg.Settings.OpenCap = 0
	var batch strings.Builder
	const n = 4 * owedMost
	for i := range n {
		batch.WriteString(asked(fmt.Sprint("id-", i)))
	}
	c, far := connect(t, l, usualLimits, batch.String())
	until(t, l, func() bool { return len(c.slots) >= owedMost })
	waiting := map[*attempt]bool{}
	for _, r := range l.requests {
		for _, a := range r.attempts {
			waiting[a] = true
		}
	}
	far.Close()
	until(t, l, func() bool { return c.closed() })
	l.drainTodo()
	if len(waiting) == 0 || len(l.requests) > 0 || l.nextID >= n {
		t.Errorf("%d attempts waited; %d requests are open, %d of %d were begun", len(waiting), len(l.requests), l.nextID, n)
	}
	for a := range waiting {
		if !a.over {
			t.Errorf("attempt %d of %s still waits", a.n, a.req.id)
		}
	}
}

// What was read ahead while too many answers were owed is answered once they are given.
func TestReadAheadIsHandedOn(t *testing.T) {
	b := newBackend(t)
	c := newRig(t, long, b).dial(t)
	const n = 3 * owedMost
	go func() {
		for x := range b.got {
			if x.args != nil {
				x.answer(t, served(x.args[idArg]))
			}
		}
	}()
	for i := range n {
		c.look(fmt.Sprint("id-", i))
	}
	for i := range n {
		if got, want := c.read(), fmt.Sprint("$id-", i); got != want && !strings.HasPrefix(got, "-BUSY") {
			t.Fatalf("got %q, want %q or a refusal", got, want)
		}
	}
}
