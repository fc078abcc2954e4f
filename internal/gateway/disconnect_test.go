package gateway

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against working on the requests of a client that sends more than the limit of pending answers and then
// disconnects. Attempts that wait for a connection must not be sent, and commands that were not posted must not be
// started.
func TestDisconnectEndsPipelinedRequests(t *testing.T) {
	l := newManualLoop(t, unreachableServers(t))
	l.cfg.Settings.OpenCap = 0
	var batch strings.Builder
	const n = 4 * maxPendingAnswers
	for i := range n {
		batch.WriteString(rawRequest(fmt.Sprint("id-", i)))
	}
	c, far := connectClient(t, l, defaultClientTimeouts, batch.String())
	runUntil(t, l, func() bool { return len(c.slots) >= maxPendingAnswers })
	waiting := map[*attempt]bool{}
	for _, r := range l.requests {
		for _, a := range r.attempts {
			waiting[a] = true
		}
	}
	far.Close()
	runUntil(t, l, func() bool { return c.closed() })
	l.processPending()
	if len(waiting) == 0 || len(l.requests) > 0 || l.nextID >= n {
		t.Errorf("%d attempts were waiting; %d requests are open; %d of %d were started", len(waiting), len(l.requests), l.nextID, n)
	}
	for a := range waiting {
		if !a.ended {
			t.Errorf("attempt %d of request %s is still waiting", a.index, a.request.id)
		}
	}
}

// Guards against commands that are read ahead while too many answers are pending and are then never processed.
func TestCommandsReadAheadAreProcessed(t *testing.T) {
	b := newBackend(t)
	c := newHarness(t, longTarget, b).dial(t)
	const n = 3 * maxPendingAnswers
	go func() {
		for x := range b.got {
			if x.args != nil {
				x.answer(t, servedReply(x.args[idArg]))
			}
		}
	}()
	for i := range n {
		c.sendLook(fmt.Sprint("id-", i))
	}
	for i := range n {
		if got, want := c.read(), fmt.Sprint("$id-", i); got != want && !strings.HasPrefix(got, "-BUSY") {
			t.Fatalf("got %q, want %q or a refusal", got, want)
		}
	}
}
