package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"winghatch/decide"
	"winghatch/internal/platform"
	"winghatch/internal/telemetry"
)

// request is a client's request. It is kept until its final answer is given and none of its attempts is in flight.
type request struct {
	id           string // assigned by the gateway, for the decision engine; ids chosen by clients may repeat
	client       *client
	slot         *slot
	cmd          *command
	reserved     int // bytes reserved for its command
	attempts     []*attempt
	deadline     time.Duration // for the final answer; no attempt is given a later one
	startedAt    time.Duration
	overdueTimer *timer
	inFlight     int // attempts that have not ended
	done         bool
}

// messenger sends messages to other gateways, which are addressed by their rank.
type messenger interface {
	send(to int, text string) error
}

// dialer connects to a server.
type dialer func(ctx context.Context, addr string) (net.Conn, error)

// loop owns the decision engine and all mutable state of the gateway. Only its own goroutine accesses it.
type loop struct {
	cfg               Config
	log               *slog.Logger
	debugEnabled      bool // debug logging is on: each request and connection is logged
	metrics           *telemetry.Metrics
	guard             guard
	clock             clock
	engine            *decide.Gateway
	inbox             *inbox
	peers             messenger // nil if messages to peers are not allowed
	dial              dialer
	timers            timerHeap
	pendingEvents     []decide.Event
	requests          map[string]*request
	openIDs           map[string]struct{} // client-chosen ids of the requests whose answers are pending
	spentIDs          spentIDs
	addresses         addressTable
	nextID            uint64
	pool              pool
	clients           map[*client]struct{}
	clientTimeouts    clientTimeouts
	acceptSlots       chan struct{} // one token for each connection that is awaited, or accepted and not counted yet
	memory            *memoryBudgets
	unsentBytes       int           // bytes in answers that clients have not read yet
	stopDeadline      time.Duration // when the last answers are due after a stop request; 0 before that
	closing           bool          // the listener is closed, and so is each connection once no answer is pending
	acceptingRequests bool          // discovery has answered, or the wait for it has ended, so requests may be taken
	acceptDone        bool          // all connections that the listener accepted have been counted
	restarts          int
	tasks             sync.WaitGroup     // goroutines of connections
	ctx               context.Context    // cancelled when the loop ends
	cancel            context.CancelFunc // cancels ctx
}

// Results of requests, and the reasons for refusals and failures that the decision engine does not decide on.
const (
	resultServed    = "served"
	resultRefused   = "refused"
	resultFailed    = "failed"
	resultAbandoned = "abandoned" // the client left

	reasonStopping    = "stopping"
	reasonMemory      = "memory"
	reasonOpenCap     = "open_cap"
	reasonSameID      = "same_id"
	reasonUnseen      = "unseen" // the client may have left unnoticed
	reasonPanic       = "panic"
	reasonOverdue     = "overdue"
	reasonClientFault = "client_fault" // the client sent malformed input
)

const (
	// Answers are sent this long before the client stops waiting. The margin covers the network delay in both
	// directions: the client's clock starts when it sends the request.
	deadlineMargin = 10 * time.Millisecond
	// A request that the engine leaves open this long past its deadline is failed.
	overdueGrace = 5 * time.Millisecond
)

func newLoop(cfg Config, log *slog.Logger) (*loop, error) {
	l := &loop{cfg: cfg, log: log, clock: newClock(), inbox: newInbox(), requests: map[string]*request{},
		openIDs: map[string]struct{}{}, clients: map[*client]struct{}{}, clientTimeouts: defaultClientTimeouts,
		acceptSlots: make(chan struct{}, acceptBacklog), memory: newMemoryBudgets(cfg.MemoryMB), spentIDs: newSpentIDs(cfg.MemoryMB << 20 / spentIDMemoryDivisor), addresses: newAddressTable(), dial: platform.DialTCP, metrics: telemetry.New()}
	l.debugEnabled = log.Enabled(context.Background(), slog.LevelDebug)
	l.guard = guard{log: log, metrics: l.metrics}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.pool = newPool(l, cfg)
	if err := l.startEngine(); err != nil {
		return nil, err
	}
	l.updateServers(decide.FleetStale, cfg.Known)
	l.processPending()
	return l, nil
}

// startEngine creates the decision engine. After a restart it gets another random seed.
func (l *loop) startEngine() error {
	cfg := l.cfg.Settings.Decide
	cfg.CustomerMemory = l.cfg.MemoryMB << 20 / customerMemoryDivisor
	engine, err := decide.New(cfg, l.cfg.Seed+int64(l.restarts))
	if err != nil {
		return fmt.Errorf("starting the decision engine: %w", err)
	}
	l.engine = engine
	return nil
}

// run handles events until the gateway has stopped and no answer is pending.
func (l *loop) run() {
	wakeup := time.NewTimer(time.Hour)
	defer wakeup.Stop()
	var batch []event
	for !l.finished() {
		if len(l.timers) > 0 {
			wakeup.Reset(l.timers[0].at - l.clock.now())
		} else {
			wakeup.Reset(time.Hour)
		}
		select {
		case <-l.inbox.ready:
			batch = l.inbox.take(batch)
			l.metrics.InboxEvents.Set(len(batch))
			for i, e := range batch {
				batch[i] = nil // lets the garbage collector free the event
				e.apply(l)
				l.processPending()
			}
		case <-wakeup.C:
		}
		l.fireTimers()
		l.updateGauges()
	}
}

// updateGauges sets the gauges to the current values.
func (l *loop) updateGauges() {
	l.metrics.OpenRequests.Set(len(l.requests))
	l.metrics.ClientConnections.Set(len(l.clients))
	l.metrics.ServerConnections.Set(l.pool.connCount)
	l.metrics.UnsentBytes.Set(l.unsentBytes)
	l.metrics.CommandBytes.Set(l.memory.commands.inUse())
	l.metrics.HeldAnswerBytes.Set(l.memory.heldAnswers.inUse())
	if l.unsentBytes < 0 || l.memory.commands.inUse() < 0 || l.memory.heldAnswers.inUse() < 0 || l.pool.connCount < 0 {
		l.guard.reportViolation(ruleBookkeeping, "unsent", l.unsentBytes, "commands", l.memory.commands.inUse(),
			"held", l.memory.heldAnswers.inUse(),
			"server_connections", l.pool.connCount)
	}
}

// shutdown ends the remaining attempts, whose results nobody waits for, closes all connections to servers, and
// returns when the goroutines of connections have ended. It must be called after run has returned, when no client is
// connected.
func (l *loop) shutdown() {
	l.cancel()
	for _, r := range l.requests {
		if !r.done {
			l.guard.reportViolation(ruleOwedAnswer, "request", r.id, "reason", "end of the process")
		}
		for _, a := range r.attempts {
			l.pool.abandon(a, decide.Cancelled)
		}
	}
	for c := range l.pool.open {
		l.pool.close(c, serverCloseShutdown)
	}
	l.inbox.close()
	l.tasks.Wait()
	for _, e := range l.inbox.take(nil) {
		switch e := e.(type) {
		case dialDone:
			e.discard(l)
		case commandBatch:
			l.discardCommands(e.commands)
		case requestWriteDone:
			e.releaseMemory(l)
		case answerReceived:
			l.memory.serverAnswers.release(e.reserved)
		}
	}
}

// enqueue queues an event for the engine. Events that result from an action are handled after the actions before it
// have been performed.
func (l *loop) enqueue(ev decide.Event) { l.pendingEvents = append(l.pendingEvents, ev) }

// processPending passes the queued events to the engine and performs the resulting actions, until none is left.
func (l *loop) processPending() {
	for i := 0; i < len(l.pendingEvents); i++ {
		if l.pendingEvents[i] == nil {
			continue // removed by a restart of the engine
		}
		for _, a := range l.handle(l.pendingEvents[i]) {
			l.perform(a)
		}
	}
	clear(l.pendingEvents)
	l.pendingEvents = l.pendingEvents[:0]
}

// handle passes an event to the engine. If the engine panics, every open request is answered with an error and the
// gateway continues with a new engine. Without this, a single faulty event would lose all open requests.
func (l *loop) handle(ev decide.Event) (actions []decide.Action) {
	engine := l.engine
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("decision engine panicked", "panic", p, "stack", string(debug.Stack()))
			l.restart(engine)
		}
	}()
	return engine.Handle(l.clock.now(), ev)
}

// restart replaces an engine that has panicked, and fails all open requests.
func (l *loop) restart(failed *decide.Gateway) {
	if l.engine != failed {
		return
	}
	l.restarts++
	if err := l.startEngine(); err != nil {
		// Unexpected, because the same settings were accepted at the start.
		l.log.Error("restarting the decision engine failed", "err", err)
		return
	}
	for _, r := range l.requests {
		l.metrics.Failures.Inc(reasonPanic)
		l.answer(r, resultFailed, reasonPanic, redcon.AppendError(nil, "ERR internal error"))
		for _, a := range r.attempts {
			l.pool.cancel(a)
		}
	}
	clear(l.pendingEvents) // these events refer to the state of the old engine
	l.enqueue(decide.FleetUpdate{Kind: decide.FleetFull, Servers: l.pool.currentServers()})
}

// perform carries out an action of the engine.
func (l *loop) perform(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		l.startAttempt(a)
	case decide.Cancel:
		if r := l.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			l.pool.cancel(r.attempts[a.Attempt])
		}
	case decide.Refuse:
		if r := l.requests[a.ID]; r != nil {
			l.metrics.Refusals.Inc(string(a.Reason))
			l.answer(r, resultRefused, string(a.Reason), busyReply(a.RetryAfter))
		}
	case decide.Fail:
		if r := l.requests[a.ID]; r != nil {
			l.metrics.Failures.Inc(string(a.Reason))
			l.answer(r, resultFailed, string(a.Reason), redcon.AppendError(nil, "ERR failed"))
		}
	case decide.SetTimer:
		engine := l.engine
		l.schedule(a.At, func() {
			if engine == l.engine { // otherwise the timer was set before a restart of the engine
				l.enqueue(decide.TimerFired{Token: a.Token})
			}
		})
	case decide.SendToPeer:
		if l.peers == nil {
			return
		}
		if err := l.peers.send(a.To, a.Text); err != nil {
			l.log.Debug("message to peer not sent", "err", err) // handled like a lost message
		}
	case decide.Log:
		l.log.Info(a.Text)
	default:
		l.log.Error("unsupported action of the decision engine", "action", fmt.Sprintf("%T", a))
	}
}

// busyReply is the refusal of a request. If after is positive, the client may retry after that time, rounded up to
// milliseconds.
func busyReply(after time.Duration) []byte {
	if after <= 0 {
		return redcon.AppendError(nil, "BUSY")
	}
	ms := (after + time.Millisecond - 1) / time.Millisecond
	return redcon.AppendError(nil, "BUSY "+strconv.FormatInt(int64(ms), 10))
}

// acceptRequest takes a request that has been read completely.
func (l *loop) acceptRequest(c *client, s *slot, received receivedCommand) {
	cmd := received.cmd
	if reason := l.rejectReason(); reason != "" {
		l.memory.commands.release(received.reserved)
		l.refuse(c, s, reason)
		l.flush(c)
		return
	}
	if l.idInUse(cmd.id) { // two requests with the same id must never receive each other's answers
		l.metrics.Answers.Inc(resultFailed)
		l.metrics.Failures.Inc(reasonSameID)
		l.memory.commands.release(received.reserved)
		l.reply(c, s, redcon.AppendError(nil, "ERR this id is in use"))
		l.flush(c)
		return
	}
	l.nextID++
	r := &request{id: strconv.FormatUint(l.nextID, 36), client: c, slot: s, cmd: cmd, reserved: received.reserved}
	s.request = r
	l.requests[r.id] = r
	l.openIDs[cmd.id] = struct{}{}
	deadline := cmd.receivedAt + min(cmd.timeout, cmd.maxTimeout) - deadlineMargin
	if l.stopDeadline > 0 {
		deadline = min(deadline, l.stopDeadline)
	}
	r.overdueTimer = l.schedule(deadline+overdueGrace, func() { l.failOverdue(r) })
	r.deadline, r.startedAt = deadline, l.clock.now()
	if l.debugEnabled {
		l.log.Debug("request accepted", "request", r.id, "client_id", cmd.id, "connection", c.id, "class", cmd.request.Class,
			"left", deadline-r.startedAt, "waited", r.startedAt-cmd.receivedAt)
	}
	ev := cmd.request
	ev.ID, ev.Deadline = r.id, deadline
	l.enqueue(ev)
}

// refuse refuses a request that the decision engine has not seen.
func (l *loop) refuse(c *client, s *slot, reason string) {
	l.metrics.Answers.Inc(resultRefused)
	l.metrics.Refusals.Inc(reason)
	l.reply(c, s, busyReply(l.cfg.Settings.Decide.Limits.MaxRetryAfter))
}

// rejectReason returns the reason why this gateway can't take a request at all, or "".
func (l *loop) rejectReason() string {
	open := l.cfg.Settings.OpenCap
	switch {
	case l.stopDeadline > 0 && l.clock.now() >= l.stopDeadline: // no time is left to send it to a server
		return reasonStopping
	case open > 0 && len(l.requests) >= open:
		return reasonOpenCap
	}
	return ""
}

// failOverdue fails a request that the engine has not ended in time. In every case the client must get its one answer
// before it stops waiting.
func (l *loop) failOverdue(r *request) {
	if r.done {
		return
	}
	l.log.Error("request left open past its deadline", "class", r.cmd.request.Class, "attempts", len(r.attempts))
	l.fail(r, reasonOverdue)
}

// fail ends a request without a decision of the engine.
func (l *loop) fail(r *request, reason string) {
	l.metrics.Failures.Inc(reason)
	l.answer(r, resultFailed, reason, redcon.AppendError(nil, "ERR failed"))
	l.enqueue(decide.ClientGone{ID: r.id})
}

// answer gives a request its final answer, unless it already has one.
func (l *loop) answer(r *request, result, reason string, reply []byte) {
	if r.done {
		return
	}
	s := r.slot
	l.finishRequest(r, result, reason)
	if !l.guard.allowAnswer(s, r) {
		return
	}
	l.reply(r.client, s, reply)
	l.flush(r.client)
}

// abandon ends a request whose client has disconnected.
func (l *loop) abandon(r *request) {
	if r.done {
		return
	}
	l.finishRequest(r, resultAbandoned, "")
	l.enqueue(decide.ClientGone{ID: r.id})
}

// finishRequest records the result of a request and releases what it held.
func (l *loop) finishRequest(r *request, result, reason string) {
	l.metrics.Answers.Inc(result)
	if l.debugEnabled {
		l.log.Debug("request ended", "request", r.id, "client_id", r.cmd.id, "result", result, "reason", reason,
			"attempts", len(r.attempts), "out", r.inFlight, "took", l.clock.now()-r.startedAt)
	}
	r.done = true
	r.slot.request = nil
	l.memory.commands.release(r.reserved)
	r.cmd.dropArgs() // attempts may stay in flight for long, and no other one may start
	l.closeID(r)
	l.cancelTimer(r.overdueTimer)
	l.forgetIfFinished(r)
}

// forgetIfFinished removes a request that is done and has no attempt in flight.
func (l *loop) forgetIfFinished(r *request) {
	if r.done && r.inFlight == 0 {
		delete(l.requests, r.id)
	}
}

// startAttempt starts an attempt that the engine has decided on.
func (l *loop) startAttempt(s decide.Send) {
	r := l.requests[s.ID]
	if r == nil {
		return
	}
	now := l.clock.now()
	a := &attempt{request: r, index: len(r.attempts), started: now, deadline: min(now+s.Timeout, r.deadline),
		sendBefore: s.WriteBefore, server: l.pool.servers[s.Server]}
	if a.server != nil {
		a.serverAtStart = a.server.entry
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if a.index > 0 {
		l.metrics.FurtherAttempts.Inc(l.cfg.class(r.cmd.request.Class).Effect.String())
	}
	if l.debugEnabled {
		l.log.Debug("attempt started", "request", r.id, "attempt", a.index, "server", s.Server, "left", a.deadline-now)
	}
	if r.done || a.deadline <= now { // this gateway was delayed, and no time is left
		l.attemptEnded(a, decide.NotSent)
		return
	}
	a.deadlineTimer = l.schedule(a.deadline, func() { l.pool.expire(a) })
	l.pool.start(a)
}

// attemptEnded reports the outcome of an attempt to the engine.
func (l *loop) attemptEnded(a *attempt, o decide.Outcome) {
	if a.ended {
		return
	}
	a.ended, a.outcome = true, o
	l.metrics.Attempts.Inc(o.String())
	if l.debugEnabled {
		l.log.Debug("attempt ended", "request", a.request.id, "attempt", a.index, "outcome", o.String(),
			"took", l.clock.now()-a.started)
	}
	l.cancelTimer(a.deadlineTimer)
	r := a.request
	r.inFlight--
	ev := decide.AttemptEnded{ID: r.id, Attempt: a.index, Outcome: o, Elapsed: l.clock.now() - a.started, RequestDone: r.done}
	if a.server != nil {
		ev.Server = a.server.id
	}
	l.enqueue(ev)
	l.forgetIfFinished(r)
}

// deliverValue answers a request with a server's value and ends the attempt. If the value has to wait for earlier answers
// on its connection and there is no memory for it, the request has failed.
func (l *loop) deliverValue(a *attempt, value []byte) {
	r := a.request
	switch {
	case r.done:
	case l.mayHold(r.client, r.slot, value):
		l.answer(r, resultServed, "", value)
	default:
		l.metrics.Failures.Inc(reasonMemory)
		l.answer(r, resultFailed, reasonMemory, redcon.AppendError(nil, "ERR failed"))
	}
	l.attemptEnded(a, decide.OK)
}

// updateServers applies a list of servers from discovery or from the configuration.
func (l *loop) updateServers(kind decide.FleetKind, list serverList) {
	u := decide.FleetUpdate{Kind: kind, Version: list.Version}
	listed := map[string]bool{}
	entries := l.addresses.apply(list.Servers, kind != decide.FleetDelta)
	for i := range entries {
		s := entries[i].decideServer()
		listed[s.ID] = true
		u.Servers = append(u.Servers, s)
		l.pool.update(s, entries[i].Addr)
	}
	if kind != decide.FleetDelta {
		l.pool.removeUnlisted(listed)
	}
	l.enqueue(u)
}
