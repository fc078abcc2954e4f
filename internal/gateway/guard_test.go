package gateway

import (
	"testing"
	"time"

	"winghatch/decide"
)

// The guard holds back what would break a rule, whoever asked for it, and counts it.
func TestGuardHoldsBackAttempts(t *testing.T) {
	window := 30 * time.Second
	for name, tc := range map[string]struct {
		broken rule // empty: the attempt may begin
		edit   func(l *loop, c *upConn, a *attempt)
	}{
		"usual":        {"", func(*loop, *upConn, *attempt) {}},
		"over":         {ruleAfterAnswer, func(_ *loop, _ *upConn, a *attempt) { a.over = true }},
		"answered":     {ruleAfterAnswer, func(_ *loop, _ *upConn, a *attempt) { a.req.done = true }},
		"client left":  {ruleClientGone, func(_ *loop, _ *upConn, a *attempt) { a.req.client.state = stateClosed }},
		"draining":     {ruleDrain, func(_ *loop, c *upConn, _ *attempt) { c.server.entry.State = decide.Draining }},
		"gone":         {ruleDrain, func(_ *loop, c *upConn, _ *attempt) { c.server.entry.State = decide.Gone }},
		"in use":       {ruleOrder, func(_ *loop, c *upConn, a *attempt) { c.att = a }},
		"too late":     {ruleDeadline, func(_ *loop, _ *upConn, a *attempt) { a.until = a.req.deadline + 1 }},
		"safe again":   {"", func(_ *loop, c *upConn, a *attempt) { again(a, c, decide.Reset, 0, 0) }},
		"keyed, cell":  {"", func(_ *loop, c *upConn, a *attempt) { keyed(a); again(a, c, decide.Reset, 0, 0) }},
		"keyed, other": {ruleRepeat, func(_ *loop, c *upConn, a *attempt) { keyed(a); again(a, c, decide.Reset, 1, 0) }},
		"keyed, never": {"", func(_ *loop, c *upConn, a *attempt) { keyed(a); again(a, c, decide.Full, 1, 0) }},
		"keyed, late":  {ruleRepeat, func(_ *loop, c *upConn, a *attempt) { keyed(a); again(a, c, decide.Reset, 0, window) }},
		"unsafe":       {ruleRepeat, func(l *loop, c *upConn, a *attempt) { unsafe(l, a); again(a, c, decide.TimedOut, 0, 0) }},
		"unsafe, never": {"", func(l *loop, c *upConn, a *attempt) {
			unsafe(l, a)
			again(a, c, decide.NoConnection, 0, 0)
		}},
	} {
		l := still(t, unreachable(t))
		r, _ := open(t, l)
		a := r.attempts[0]
		c := &upConn{server: a.server}
		tc.edit(l, c, a)
		if ok := l.guard.begin(l, c, a); ok != (tc.broken == "") {
			t.Errorf("%s: may begin %v", name, ok)
		}
		if want := uint64(b2i(tc.broken != "")); l.metrics.Violations.Of(string(tc.broken)) != want || l.metrics.Violations.Total() != want {
			t.Errorf("%s: counted %s", name, l.metrics.Summary())
		}
	}
}

// again puts an attempt with an outcome before a, at a server of another cell or so long ago.
func again(a *attempt, c *upConn, o decide.Outcome, cells int, ago time.Duration) {
	place := c.server.entry
	place.Cell += cells
	earlier := &attempt{req: a.req, over: true, outcome: o, place: place, at: a.at - ago}
	a.req.attempts, a.n = []*attempt{earlier, a}, 1
}

func keyed(a *attempt) { a.req.cmd.req.Class = "book" }

func unsafe(l *loop, a *attempt) {
	keyed(a)
	l.cfg.class("book").Effect = decide.Unsafe
}

// An attempt of which something may be on its way counts as one that may have run, until its end proves that it never did.
func TestMayHaveRun(t *testing.T) {
	for name, tc := range map[string]struct {
		a    attempt
		want bool
	}{
		"waits for a connection": {attempt{}, false},
		"written":                {attempt{conn: &upConn{}}, true},
		"answered":               {attempt{conn: &upConn{}, over: true, outcome: decide.OK}, true},
		"turned away":            {attempt{conn: &upConn{}, over: true, outcome: decide.Full}, false},
		"reset":                  {attempt{conn: &upConn{}, over: true, outcome: decide.Reset}, true},
	} {
		if got := tc.a.mayHaveRun(); got != tc.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A close with answers owed is counted, unless the client will not take them.
func TestGuardCountsClosesWithAnswersOwed(t *testing.T) {
	for reason, allowed := range map[closeReason]bool{closeLeft: true, closeBroken: true, closeStalled: true, closeMemory: true,
		closeDone: false, closeRoom: false, closeShutdown: false, closeFull: false} {
		l := still(t, nil)
		l.guard.closing(&client{slots: []*slot{{}}}, reason)
		if broken := l.metrics.Violations.Of(string(ruleOwedAnswer)) > 0; broken == allowed {
			t.Errorf("%s: counted as broken %v", reason, broken)
		}
		l.guard.closing(&client{}, reason)
		if l.metrics.Violations.Total() > 1 || l.metrics.ClientCloses.Of(string(reason)) != 2 {
			t.Errorf("%s: %s", reason, l.metrics.Summary())
		}
	}
}
