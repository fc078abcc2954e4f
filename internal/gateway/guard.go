package gateway

import (
	"log/slog"

	"winghatch/decide"
	"winghatch/internal/telemetry"
)

// rule names an invariant of the gateway, as in the protocol.
type rule string

// The invariants. A violation is prevented as well as counted, so that a fault elsewhere in the gateway fails a
// request instead of breaking an invariant.
const (
	ruleOneAnswer   rule = "one_answer"   // a request gets exactly one final answer
	ruleOwedAnswer  rule = "owed_answer"  // the gateway does not close a connection while answers are pending on it
	ruleAfterAnswer rule = "after_answer" // no attempt starts after the final answer
	ruleClientGone  rule = "client_gone"  // no attempt starts after the client has left
	ruleDrain       rule = "drain"        // no attempt starts at a server that is draining or removed
	ruleRepeat      rule = "repeat"       // what may have run is repeated only where and while that is harmless
	ruleDeadline    rule = "deadline"     // an attempt passes on no more time than the client has left
	ruleOrder       rule = "order"        // a connection to a server carries one attempt at a time
	ruleStart       rule = "start"        // no request is taken before discovery answered or the wait for it ended
	ruleBookkeeping rule = "bookkeeping"  // counts never fall below 0
)

// guard checks attempts, answers and closes against the invariants. It does so independently of how the decision
// engine keeps them, and counts each violation that it prevents.
type guard struct {
	log     *slog.Logger
	metrics *telemetry.Metrics
}

// reportViolation counts and logs a violation of an invariant.
func (g guard) reportViolation(r rule, args ...any) {
	g.metrics.Violations.Inc(string(r))
	g.log.Error("invariant violated", append([]any{"rule", string(r)}, args...)...)
}

// allowAttempt reports whether an attempt may start on a connection now. It is called immediately before the first
// byte is written.
func (g guard) allowAttempt(l *loop, c *upstreamConn, a *attempt) bool {
	r, violated := a.request, rule("")
	switch {
	case a.ended || r.done:
		violated = ruleAfterAnswer
	case r.client.closed():
		violated = ruleClientGone
	case c.server.entry.State != decide.Serving:
		violated = ruleDrain
	case c.attempt != nil:
		violated = ruleOrder
	case a.deadline > r.deadline:
		violated = ruleDeadline
	case !mayRepeat(l, a, c.server):
		violated = ruleRepeat
	default:
		return true
	}
	g.reportViolation(violated, "request", r.id, "client_id", r.cmd.id, "class", r.cmd.request.Class,
		"server", c.server.id, "attempt", a.index)
	return false
}

// mayRepeat reports whether an attempt may be sent to a server, given the earlier attempts that may have run.
func mayRepeat(l *loop, a *attempt, s *upstream) bool {
	class := l.cfg.class(a.request.cmd.request.Class)
	if class == nil || class.Effect == decide.Safe {
		return true
	}
	for _, earlier := range a.request.attempts[:a.index] {
		if !earlier.mayHaveRun() {
			continue
		}
		if class.Effect == decide.Unsafe || !class.SameGroup(earlier.serverAtStart, s.entry) ||
			l.clock.now()-earlier.started >= class.Window {
			return false
		}
	}
	return true
}

// mayHaveRun reports whether an attempt may have had an effect, or may still have one.
func (a *attempt) mayHaveRun() bool {
	if a.ended {
		return !a.outcome.NeverRan()
	}
	return a.conn != nil
}

// allowAnswer reports whether a request may get its final answer.
func (g guard) allowAnswer(s *slot, r *request) bool {
	if !s.ready {
		return true
	}
	g.reportViolation(ruleOneAnswer, "request", r.id)
	return false
}

// closeReason is the reason why a client's connection was closed.
type closeReason string

// The close reasons. When the client itself is the cause, no answer is owed. closeMemory enforces a memory limit and
// is the only other reason that may lose answers.
const (
	closeLeft     closeReason = "client_left"
	closeBroken   closeReason = "broken"
	closeStalled  closeReason = "stalled"  // the client read nothing for too long
	closeMemory   closeReason = "memory"   // the client's unread answers exceeded the memory limit for them
	closeDone     closeReason = "done"     // all answers were sent and have arrived
	closeEvicted  closeReason = "room"     // a newer connection needed the descriptor
	closeShutdown closeReason = "shutdown" // the final deadline of a shutdown
	closeFull     closeReason = "full"     // no descriptor was free; nothing was read from the connection
)

// mayLosePendingAnswers reports whether a close for this reason may leave answers pending, because the client will
// not read them.
func (r closeReason) mayLosePendingAnswers() bool {
	switch r {
	case closeLeft, closeBroken, closeStalled, closeMemory:
		return true
	}
	return false
}

// recordClose counts the close of a client's connection. It reports a violation if answers are still pending and the
// reason for the close must not lose any.
func (g guard) recordClose(c *client, reason closeReason) {
	g.metrics.ClientCloses.Inc(string(reason))
	if pending := len(c.slots) + c.backlogAnswers + c.writingAnswers; pending > 0 && !reason.mayLosePendingAnswers() {
		g.reportViolation(ruleOwedAnswer, "reason", string(reason), "owed", pending)
	}
}
