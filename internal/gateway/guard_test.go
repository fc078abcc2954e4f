package gateway

import (
	"testing"
	"time"

	"winghatch/decide"
)

// The guard must prevent and count each attempt that would violate an invariant, whatever part of the gateway started
// it.
func TestGuardPreventsInvalidAttempts(t *testing.T) {
	window := 30 * time.Second
	for name, tc := range map[string]struct {
		violated rule // empty: the attempt may start
		edit     func(l *loop, c *upstreamConn, a *attempt)
	}{
		"usual":        {"", func(*loop, *upstreamConn, *attempt) {}},
		"over":         {ruleAfterAnswer, func(_ *loop, _ *upstreamConn, a *attempt) { a.ended = true }},
		"answered":     {ruleAfterAnswer, func(_ *loop, _ *upstreamConn, a *attempt) { a.request.done = true }},
		"client left":  {ruleClientGone, func(_ *loop, _ *upstreamConn, a *attempt) { a.request.client.state = stateClosed }},
		"draining":     {ruleDrain, func(_ *loop, c *upstreamConn, _ *attempt) { c.server.entry.State = decide.Draining }},
		"gone":         {ruleDrain, func(_ *loop, c *upstreamConn, _ *attempt) { c.server.entry.State = decide.Removed }},
		"in use":       {ruleOrder, func(_ *loop, c *upstreamConn, a *attempt) { c.attempt = a }},
		"too late":     {ruleDeadline, func(_ *loop, _ *upstreamConn, a *attempt) { a.deadline = a.request.deadline + 1 }},
		"safe again":   {"", func(_ *loop, c *upstreamConn, a *attempt) { addEarlierAttempt(a, c, decide.Reset, 0, 0) }},
		"keyed, cell":  {"", func(_ *loop, c *upstreamConn, a *attempt) { makeKeyed(a); addEarlierAttempt(a, c, decide.Reset, 0, 0) }},
		"keyed, other": {ruleRepeat, func(_ *loop, c *upstreamConn, a *attempt) { makeKeyed(a); addEarlierAttempt(a, c, decide.Reset, 1, 0) }},
		"keyed, never": {"", func(_ *loop, c *upstreamConn, a *attempt) { makeKeyed(a); addEarlierAttempt(a, c, decide.Full, 1, 0) }},
		"keyed, late": {ruleRepeat, func(_ *loop, c *upstreamConn, a *attempt) {
			makeKeyed(a)
			addEarlierAttempt(a, c, decide.Reset, 0, window)
		}},
		"unsafe": {ruleRepeat, func(l *loop, c *upstreamConn, a *attempt) {
			makeUnsafe(l, a)
			addEarlierAttempt(a, c, decide.TimedOut, 0, 0)
		}},
		"unsafe, never": {"", func(l *loop, c *upstreamConn, a *attempt) {
			makeUnsafe(l, a)
			addEarlierAttempt(a, c, decide.NoConnection, 0, 0)
		}},
	} {
		l := newManualLoop(t, unreachableServers(t))
		r, _ := openRequest(t, l)
		a := r.attempts[0]
		c := &upstreamConn{server: a.server}
		tc.edit(l, c, a)
		if ok := l.guard.allowAttempt(l, c, a); ok != (tc.violated == "") {
			t.Errorf("%s: attempt allowed: %v", name, ok)
		}
		if want := uint64(boolToInt(tc.violated != "")); l.metrics.Violations.Count(string(tc.violated)) != want ||
			l.metrics.Violations.Total() != want {
			t.Errorf("%s: metrics are %s", name, l.metrics.Summary())
		}
	}
}

// addEarlierAttempt adds an attempt with an outcome that started some time before a. The cell number of its server is
// that of c's server plus cells.
func addEarlierAttempt(a *attempt, c *upstreamConn, outcome decide.Outcome, cells int, ago time.Duration) {
	entry := c.server.entry
	entry.Cell += cells
	earlier := &attempt{request: a.request, ended: true, outcome: outcome, serverAtStart: entry, started: a.started - ago}
	a.request.attempts, a.index = []*attempt{earlier, a}, 1
}

func makeKeyed(a *attempt) { a.request.cmd.request.Class = "book" }

func makeUnsafe(l *loop, a *attempt) {
	makeKeyed(a)
	l.cfg.class("book").Effect = decide.Unsafe
}

// An attempt that may have been sent must count as one that may have run, until its outcome proves that it never did.
func TestSentAttemptCountsAsMayHaveRun(t *testing.T) {
	for name, tc := range map[string]struct {
		a    attempt
		want bool
	}{
		"waits for a connection": {attempt{}, false},
		"written":                {attempt{conn: &upstreamConn{}}, true},
		"answered":               {attempt{conn: &upstreamConn{}, ended: true, outcome: decide.OK}, true},
		"turned away":            {attempt{conn: &upstreamConn{}, ended: true, outcome: decide.Full}, false},
		"reset":                  {attempt{conn: &upstreamConn{}, ended: true, outcome: decide.Reset}, true},
	} {
		if got := tc.a.mayHaveRun(); got != tc.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A close that loses pending answers must be counted as a violation, unless the client will not read them.
func TestGuardCountsClosesWithPendingAnswers(t *testing.T) {
	for reason, allowed := range map[closeReason]bool{closeLeft: true, closeBroken: true, closeStalled: true,
		closeMemory: true, closeDone: false, closeEvicted: false, closeShutdown: false, closeFull: false} {
		l := newManualLoop(t, nil)
		l.guard.recordClose(&client{slots: []*slot{{}}}, reason)
		if counted := l.metrics.Violations.Count(string(ruleOwedAnswer)) > 0; counted == allowed {
			t.Errorf("%s: counted as a violation: %v", reason, counted)
		}
		l.guard.recordClose(&client{}, reason)
		if l.metrics.Violations.Total() > 1 || l.metrics.ClientCloses.Count(string(reason)) != 2 {
			t.Errorf("%s: %s", reason, l.metrics.Summary())
		}
	}
}
