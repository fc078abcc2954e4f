package gateway

import (
	"log/slog"

	"winghatch/decide"
	"winghatch/internal/telemetry"
)

// rule names an invariant of the gateway, as it stands in the protocol.
type rule string

// The invariants. What each forbids is prevented as well as counted, so that a fault elsewhere costs a request and not a
// broken rule.
const (
	ruleOneAnswer   rule = "one_answer"   // a request gets its final answer once
	ruleOwedAnswer  rule = "owed_answer"  // a connection is not closed by the gateway while answers are owed on it
	ruleAfterAnswer rule = "after_answer" // no attempt begins after the final answer
	ruleClientGone  rule = "client_gone"  // no attempt begins once the client has left
	ruleDrain       rule = "drain"        // no attempt begins at a server that drains or is gone
	ruleRepeat      rule = "repeat"       // what may have run is repeated only where and while that does no harm
	ruleDeadline    rule = "deadline"     // an attempt tells no more time than the client has left
	ruleOrder       rule = "order"        // a connection to a server carries one attempt at a time
	ruleStart       rule = "start"        // no request is taken before discovery was heard, or waited for
	ruleBookkeeping rule = "bookkeeping"  // counts never fall below 0
)

// guard is where attempts, answers and closes pass. It knows the rules by themselves, not how the decision module keeps
// them, and counts what it has to hold back.
type guard struct {
	log     *slog.Logger
	metrics *telemetry.Metrics
}

// broken counts and logs a violation.
func (g guard) broken(r rule, args ...any) {
	g.metrics.Violations.Inc(string(r))
	g.log.Error("invariant violated", append([]any{"rule", string(r)}, args...)...)
}

// begin reports whether an attempt may begin on a connection now. It is asked right before the first byte.
func (g guard) begin(l *loop, c *upConn, a *attempt) bool {
	r, broken := a.req, rule("")
	switch {
	case a.over || r.done:
		broken = ruleAfterAnswer
	case r.client.closed():
		broken = ruleClientGone
	case c.server.entry.State != decide.Serving:
		broken = ruleDrain
	case c.att != nil:
		broken = ruleOrder
	case a.until > r.deadline:
		broken = ruleDeadline
	case !mayRepeat(l, a, c.server):
		broken = ruleRepeat
	default:
		return true
	}
	g.broken(broken, "request", r.id, "client_id", r.cmd.id(), "class", r.cmd.req.Class, "server", c.server.id, "attempt", a.n)
	return false
}

// mayRepeat reports whether a server may get an attempt, given the earlier attempts that may have run.
func mayRepeat(l *loop, a *attempt, s *upstream) bool {
	class := l.cfg.class(a.req.cmd.req.Class)
	if class == nil || class.Effect == decide.Safe {
		return true
	}
	for _, earlier := range a.req.attempts[:a.n] {
		if !earlier.mayHaveRun() {
			continue
		}
		if class.Effect == decide.Unsafe || !class.SameGroup(earlier.place, s.entry) || l.clock.now()-earlier.at >= class.Window {
			return false
		}
	}
	return true
}

// mayHaveRun reports whether an attempt may have had an effect, or may yet.
func (a *attempt) mayHaveRun() bool {
	if a.over {
		return !a.outcome.NeverRan()
	}
	return a.conn != nil
}

// answer reports whether a request may get its final answer.
func (g guard) answer(s *slot, r *request) bool {
	if !s.ready {
		return true
	}
	g.broken(ruleOneAnswer, "request", r.id)
	return false
}

// closeReason says why a connection of a client was closed.
type closeReason string

// The reasons. The client's own leave nothing owed; memory is a bound that may cost answers, and says so.
const (
	closeLeft     closeReason = "client_left"
	closeBroken   closeReason = "broken"
	closeStalled  closeReason = "stalled"  // it took nothing for too long
	closeMemory   closeReason = "memory"   // answers that it left unread filled their share of memory
	closeDone     closeReason = "done"     // all was answered and has arrived
	closeRoom     closeReason = "room"     // a newer connection needed its descriptor
	closeShutdown closeReason = "shutdown" // the last moment of a shutdown
	closeFull     closeReason = "full"     // there was no descriptor for it: it was not read
)

// ownsAnswers reports whether a close for the reason may leave answers owed: the client will not take them.
func (r closeReason) ownsAnswers() bool {
	switch r {
	case closeLeft, closeBroken, closeStalled, closeMemory:
		return true
	}
	return false
}

// closing checks and counts that a connection of a client is closed.
func (g guard) closing(c *client, reason closeReason) {
	g.metrics.ClientCloses.Inc(string(reason))
	if owed := len(c.slots) + c.waiting + c.writing; owed > 0 && !reason.ownsAnswers() {
		g.broken(ruleOwedAnswer, "reason", string(reason), "owed", owed)
	}
}
