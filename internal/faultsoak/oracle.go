package faultsoak

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// Rule is the name of a rule that the oracle checks. It appears in reports.
type Rule string

// The rules, each with the requirement of the protocol specification that it enforces.
const (
	// A gateway has accepted a request once the request's last byte is written to a connection that the gateway's
	// machine accepted. A request that was read and whose connection is closed without an answer is lost.
	RuleLost Rule = "lost"
	// An answer up to 0.5 s after the deadline only earns nothing. With a later answer, or none, the request is lost.
	RuleLate Rule = "late"
	// A request is also lost if it is served with a value that no card server produced for it.
	RuleWrongAnswer Rule = "wrong answer"
	// Unsafe requests: a further attempt, or a BUSY answer, is permitted only if the outcome of each earlier attempt
	// proves that it never executed. Keyed requests: a further attempt is also permitted to a card server of the same
	// group within the deduplication window (WindowNs).
	RuleRepeat Rule = "repeat"
	// Unsafe and keyed requests: a BUSY answer is permitted only under the condition that RuleRepeat states for it.
	RuleRefusal Rule = "refusal"
	// A gateway must not send an attempt to a card server later than DrainGraceNs after it was informed that the server
	// drains.
	RuleDrain Rule = "drain"
	// No attempt, first or further, may begin more than 0.1 s after the client closed its connection.
	RuleClientGone Rule = "client gone"
	// The remaining time that an attempt states to its card server is at most the client's remaining time plus 0.15 s
	// of slack.
	RuleDeadline Rule = "deadline"
	// A card server in slow start fails if it receives more than N + 2*sqrt(N) + 2 requests in a window, or more than
	// N + 3*sqrt(N) + 3 if N is below 30. judgeIncarnation computes N.
	RuleSlowStart Rule = "slow start"
	// A gateway must not send an attempt for a request that it has already answered.
	RuleAfterAnswer Rule = "after the answer"
	// A gateway must never crash, and must always start.
	RuleCrash Rule = "crash"
	// A gateway must be ready within 30 s.
	RuleReady Rule = "ready"
	// A client that reads something in each interval counts as alive, so its connection must not be closed.
	RuleSlowClient Rule = "slow client"
	// A client that violates the protocol receives an error or a closed connection within 3 s.
	RuleBadClient Rule = "bad client"
	// 4 s after SIGHUP a gateway is taken to know what discovery at the newly configured address reports.
	RuleReload Rule = "reload"
	// A gateway's own run-time checks must find no violation, and it must not panic.
	RuleInvariant Rule = "invariant"
)

// Time allowances of the checks.
const (
	// The limits in the settings are those of the simulator. With real sockets the specification extends each by 50 ms.
	socketSlack = 50 * time.Millisecond
	// A gateway may be delayed by up to 0.15 s between reading its clock and writing to a socket. Deadlines and windows
	// allow for that.
	maxSchedulingDelay = 150 * time.Millisecond
	// Allowance for delays of the fault proxy and of this machine's scheduler, which are no part of the specification.
	// proxy.go defines the pauses between fragments.
	harnessSlack = 40 * time.Millisecond
	// After a pause, a card server needs up to this long to read the requests that had arrived meanwhile.
	pauseSettleTime = 100 * time.Millisecond

	// The allowances stated at RuleLate, RuleClientGone and RuleDeadline.
	lateSlack       = 500 * time.Millisecond
	clientGoneSlack = 100 * time.Millisecond
	deadlineSlack   = 150 * time.Millisecond
)

// Violation is a violation of a rule.
type Violation struct {
	Rule Rule
	At   Moment
	Text string
}

// AnswerKind says how a request ended for its client.
type AnswerKind int

// The kinds of answers.
const (
	NoAnswer AnswerKind = iota
	Served
	Refused
	Failed
)

// Request is a request as its client observed it. Times are 0 until the event has occurred.
type Request struct {
	ID             string
	Class          string
	Gateway        int
	Misbehaving    bool   // its client violates the protocol: it must be answered, but any kind of answer is allowed
	SlowReader     bool   // its client reads slowly but steadily, so the time of the answer says nothing of the gateway
	ConnOpened     Moment // when its connection was established
	Sent           Moment
	Deadline       time.Duration
	PreviousAnswer Moment // when the preceding answer on its connection arrived; 0: there was none
	Answered       Moment
	Kind           AnswerKind
	Value          string
	ClientGone     Moment // when its client closed the connection
	ConnEnded      Moment // when the gateway ended the connection without an answer
	RacedClose     bool   // the gateway may have closed before reading it; the client would repeat it elsewhere
}

// attempt is a command that a card server received. The embedded Event is its arrival.
type attempt struct {
	Event
	outcome Event
}

// attemptKey identifies an attempt across all processes.
type attemptKey struct {
	server      string
	incarnation int
	number      uint64
}

// notification is an entry that discovery sent to a gateway.
type notification struct {
	at        Moment
	state     string
	startedMS int64
}

// serverIncarnation is one process of a card server.
type serverIncarnation struct {
	begun      Moment
	startedMS  int64
	clockWrong bool // its machine's wall clock is wrong
}

// oracle collects the observations of processes and clients, and checks them against the rules at the end of a run.
type oracle struct {
	profile          Profile
	mu               sync.Mutex
	requests         map[string]*Request
	requestsInOrder  []*Request
	attempts         map[string][]*attempt // by request
	byKey            map[attemptKey]*attempt
	notifications    map[int]map[string][]notification    // by gateway and server
	incarnations     map[string]map[int]serverIncarnation // by server and number of the incarnation
	outages          map[int][]outage                     // by gateway
	gatewayStarts    map[int][]gatewayStart               // by gateway
	reloads          []reload
	pauses           map[string][]pause       // by server
	discoveryQueries map[int][]discoveryQuery // by gateway
	violations       []Violation
	closed           bool // the run is over: processes that exit now were stopped by it
}

// outage is a period without a running gateway process for which the gateway is not responsible.
type outage struct {
	begun, ended Moment
	exemptUntil  Moment // unanswered requests sent up to this moment are exempt
	// SIGKILL without notice. This also exempts unanswered requests on connections established before, because the dead
	// process cannot read them.
	outright bool
}

// gatewayStart is the start of a gateway process.
type gatewayStart struct {
	at         Moment
	clockWrong bool // its machine's wall clock is wrong
}

// pause is a period in which a card server's process was stopped. The arrival times of requests that it reads
// afterwards are not known.
type pause struct{ begun, ended Moment }

// reload is a SIGHUP after a change of the discovery address in a gateway's configuration.
type reload struct {
	gateway, address int
	at               Moment // when the signal was sent or, if later, when the file was complete
	until            Moment // end of the observed period in which the process ran with this address
}

// discoveryQuery is a call from a gateway to one of its discovery addresses.
type discoveryQuery struct {
	address int
	at      Moment
}

func newOracle(profile Profile) *oracle {
	return &oracle{profile: profile, requests: map[string]*Request{}, attempts: map[string][]*attempt{},
		byKey: map[attemptKey]*attempt{}, notifications: map[int]map[string][]notification{}, incarnations: map[string]map[int]serverIncarnation{},
		outages: map[int][]outage{}, gatewayStarts: map[int][]gatewayStart{}, discoveryQueries: map[int][]discoveryQuery{}, pauses: map[string][]pause{}}
}

// handleEvent records an event reported by a stand-in.
func (o *oracle) handleEvent(e Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := attemptKey{e.Server, e.Incarnation, e.Attempt}
	switch e.Type {
	case EventArrival:
		a := &attempt{Event: e}
		o.attempts[e.Request] = append(o.attempts[e.Request], a)
		o.byKey[key] = a
	case EventAttemptEnd:
		if a := o.byKey[key]; a != nil {
			a.outcome = e
		}
	case EventQueried:
		o.discoveryQueries[e.Gateway] = append(o.discoveryQueries[e.Gateway], discoveryQuery{e.Address, e.At})
	case EventNotified:
		if o.notifications[e.Gateway] == nil {
			o.notifications[e.Gateway] = map[string][]notification{}
		}
		o.notifications[e.Gateway][e.Server] = append(o.notifications[e.Gateway][e.Server], notification{e.At, e.State, e.StartedMS})
	}
}

// recordIncarnation records the start of a card server's process.
func (o *oracle) recordIncarnation(server string, number int, started serverIncarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.incarnations[server] == nil {
		o.incarnations[server] = map[int]serverIncarnation{}
	}
	o.incarnations[server][number] = started
}

// addRequest records a request. It has to be called before the request's last byte is written.
func (o *oracle) addRequest(r *Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[r.ID] = r
	o.requestsInOrder = append(o.requestsInOrder, r)
}

// withLock runs update under the oracle's lock, for changes of requests and of the oracle's fields.
func (o *oracle) withLock(update func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	update()
}

// recordViolation records a violation at the current time. The caller must not hold the lock.
func (o *oracle) recordViolation(rule Rule, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation(rule, Now(), format, args...)
}

// addViolation records a violation. The caller holds the lock.
func (o *oracle) addViolation(rule Rule, at Moment, format string, args ...any) {
	o.violations = append(o.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// judge checks everything that was recorded, and returns all violations in order of time.
func (o *oracle) judge() []Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.requestsInOrder {
		o.judgeAnswer(r)
		o.judgeAttempts(r)
	}
	o.judgeSlowStart()
	o.judgeReloads()
	slices.SortFunc(o.violations, func(a, b Violation) int { return int(a.At - b.At) })
	return o.violations
}

// judgeAnswer checks the answer of one request, or that its absence is excused.
func (o *oracle) judgeAnswer(r *Request) {
	excused := r.ClientGone != 0 || r.RacedClose || r.Sent == 0 || o.excusedByOutage(r)
	switch {
	case r.Kind == NoAnswer && r.SlowReader && !excused:
		o.addViolation(RuleSlowClient, max(r.Sent, r.ConnEnded), "%s of gateway %d: a client that read steadily got no answer",
			r.ID, r.Gateway)
	case r.Kind == NoAnswer && r.ConnEnded != 0 && !excused:
		o.addViolation(RuleLost, r.ConnEnded, "%s (%s) of gateway %d: the connection ended without an answer %v after the request was sent",
			r.ID, r.Class, r.Gateway, r.ConnEnded.Sub(r.Sent))
	case r.Kind == NoAnswer && !excused:
		o.addViolation(RuleLost, r.Sent, "%s (%s) of gateway %d was never answered", r.ID, r.Class, r.Gateway)
	case r.Kind == Served && !strings.HasPrefix(r.Value, "v:"+r.ID+":") && !r.Misbehaving:
		o.addViolation(RuleWrongAnswer, r.Answered, "%s was served a value that no card server made for it: %.60q", r.ID, r.Value)
	}
	// The time that a request waits for the answers before it on its connection does not count.
	due := max(r.Sent, r.PreviousAnswer).Add(r.Deadline + lateSlack + socketSlack)
	if r.Kind != NoAnswer && r.Answered > due && !excused && !r.SlowReader {
		o.addViolation(RuleLate, r.Answered, "%s (%s) of gateway %d was answered %v after its deadline", r.ID, r.Class, r.Gateway,
			r.Answered.Sub(due)+lateSlack)
	}
	if r.Kind == Refused && r.Class != ClassSafe && slices.ContainsFunc(o.attempts[r.ID], mayHaveRun) {
		o.addViolation(RuleRefusal, r.Answered, "%s (%s) was refused although an attempt may have run", r.ID, r.Class)
	}
}

// mayHaveRun reports whether an attempt may have run, which is so unless its card server reported that it never ran.
func mayHaveRun(a *attempt) bool { return !a.outcome.NeverRan }

// judgeAttempts checks all attempts of one request.
func (o *oracle) judgeAttempts(r *Request) {
	attempts := o.attempts[r.ID]
	slices.SortFunc(attempts, func(a, b *attempt) int { return int(a.At - b.At) })
	for i, a := range attempts {
		o.judgeRepeat(r, a, attempts[:i])
		if o.paused(a) {
			continue // its arrival time is not known
		}
		if r.ClientGone != 0 && a.At > r.ClientGone.Add(clientGoneSlack+socketSlack+harnessSlack) {
			o.addViolation(RuleClientGone, a.At, "%s (%s) of gateway %d: attempt at %s %v after the client closed its connection",
				r.ID, r.Class, r.Gateway, a.Server, a.At.Sub(r.ClientGone))
		}
		if r.Answered != 0 && a.First > r.Answered.Add(socketSlack+harnessSlack) {
			o.addViolation(RuleAfterAnswer, a.At, "%s (%s): attempt at %s %v after the request was answered", r.ID, r.Class, a.Server,
				a.First.Sub(r.Answered))
		}
		left := r.Sent.Add(r.Deadline).Sub(a.At)
		stated := time.Duration(a.RemainingMS * float64(time.Millisecond))
		if r.Sent != 0 && stated > left+deadlineSlack+socketSlack {
			o.addViolation(RuleDeadline, a.At, "%s (%s) of gateway %d: attempt at %s stated %v of remaining time, but %v were left",
				r.ID, r.Class, r.Gateway, a.Server, stated, left)
		}
		o.judgeDrain(r, a)
	}
}

// paused reports whether an attempt was read by a card server that was paused or had just been resumed.
func (o *oracle) paused(a *attempt) bool {
	return slices.ContainsFunc(o.pauses[a.Server], func(p pause) bool {
		return a.At >= p.begun && a.At <= p.ended.Add(pauseSettleTime)
	})
}

// judgeRepeat checks that an attempt is permitted after the earlier attempts of its request.
func (o *oracle) judgeRepeat(r *Request, a *attempt, earlier []*attempt) {
	if r.Class == ClassSafe {
		return
	}
	for _, e := range earlier {
		window := o.profile.DedupWindow + socketSlack + maxSchedulingDelay
		switch {
		case !mayHaveRun(e):
		case r.Class == ClassUnsafe:
			o.addViolation(RuleRepeat, a.At, "%s is unsafe and was sent to %s and %v later to %s",
				r.ID, e.Server, a.At.Sub(e.At), a.Server)
		case o.profile.Cells[e.Server] != o.profile.Cells[a.Server]:
			o.addViolation(RuleRepeat, a.At, "%s may be repeated only in the cell of %s and was sent to %s",
				r.ID, e.Server, a.Server)
		case a.At.Sub(e.At) > window && !o.paused(a):
			o.addViolation(RuleRepeat, a.At, "%s was sent to %s, may be repeated for %v and was sent again after %v", r.ID, e.Server,
				o.profile.DedupWindow, a.At.Sub(e.At))
		}
	}
}

// judgeDrain checks an attempt against the server's state in the last notification before the attempt's first byte
// arrived.
func (o *oracle) judgeDrain(r *Request, a *attempt) {
	var state string
	var since Moment
	for _, n := range o.notifications[r.Gateway][a.Server] {
		if n.at > a.First {
			break
		}
		if n.state != state {
			state, since = n.state, n.at
		}
	}
	if state == "" || state == "up" {
		return
	}
	if late := a.First.Sub(since); late > o.profile.DrainGrace+socketSlack+harnessSlack {
		o.addViolation(RuleDrain, a.At, "%s of gateway %d was sent to %s %v after discovery reported the server as %s",
			r.ID, r.Gateway, a.Server, late, state)
	}
}

// judgeSlowStart checks the number of requests that each restarted card server received while it was in slow start.
func (o *oracle) judgeSlowStart() {
	type incarnationKey struct {
		server      string
		incarnation int
	}
	arrived := map[incarnationKey][]*attempt{}
	for _, list := range o.attempts {
		for _, a := range list {
			key := incarnationKey{a.Server, a.Incarnation}
			arrived[key] = append(arrived[key], a)
		}
	}
	for key, list := range arrived {
		started, restarted := o.incarnations[key.server][key.incarnation]
		if !restarted || key.incarnation == 0 {
			continue
		}
		slices.SortFunc(list, func(a, b *attempt) int { return int(a.At - b.At) })
		o.judgeIncarnation(key.server, started, list)
	}
}

// judgeIncarnation checks one process of a card server. In slow start its capacity rises linearly from ColdFrom of
// ServerRate to ServerRate within ColdFor. N is FallMultiple times the requests that it can serve in FallWindow at the
// capacity of the moment. A window violates the rule if it holds more requests than the bound and more than two thirds
// of them came from gateways that knew of the start.
func (o *oracle) judgeIncarnation(server string, incarnation serverIncarnation, arrivals []*attempt) {
	s := o.profile
	for from, to := 0, 0; to < len(arrivals); to++ {
		if o.paused(arrivals[to]) {
			from = to // requests read after a pause would count as if they had arrived at once
			continue
		}
		for arrivals[to].At.Sub(arrivals[from].At) > s.FallWindow {
			from++
		}
		age := arrivals[to].At.Sub(incarnation.begun)
		if age > s.ColdFor {
			return
		}
		capacity := s.ServerRate * (s.ColdFrom + (1-s.ColdFrom)*age.Seconds()/s.ColdFor.Seconds())
		n := s.FallMultiple * capacity * s.FallWindow.Seconds()
		bound := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			bound = n + 3*math.Sqrt(n) + 3
		}
		received, informed, byGateway := float64(to-from+1), 0, make([]int, s.Gateways)
		for _, a := range arrivals[from : to+1] {
			informed += o.knewOfStart(a, server, incarnation)
			if r := o.requests[a.Request]; r != nil {
				byGateway[r.Gateway]++
			}
		}
		if received > bound && float64(informed) > received*2/3 {
			o.addViolation(RuleSlowStart, arrivals[to].At,
				"%s received %.0f requests in %v, %v after its start, with a bound of %.1f (%d from gateways that knew of the start; by gateway: %d)",
				server, received, s.FallWindow, age, bound, informed, byGateway)
			return
		}
	}
}

// knewOfStart returns 1 if the gateway of an attempt knew of its server's start, else 0. A gateway process that began
// after the server's start sees no change of the list. Only the start time in its first list shows that the server has
// restarted, and that is useless if one of the two wall clocks is wrong. Wall clocks may be stepped forward or back, by
// seconds or by an hour. The specification does not grant this exemption; see docs/questions.md.
func (o *oracle) knewOfStart(a *attempt, server string, incarnation serverIncarnation) int {
	r := o.requests[a.Request]
	if r == nil {
		return 0
	}
	for _, s := range o.gatewayStarts[r.Gateway] {
		if s.at <= a.First && s.at > incarnation.begun && (s.clockWrong || incarnation.clockWrong) {
			return 0
		}
	}
	for _, n := range o.notifications[r.Gateway][server] {
		if n.startedMS == incarnation.startedMS && n.at <= a.First {
			return 1
		}
	}
	return 0
}

// excusedByOutage reports whether a request without an answer is excused because its gateway was killed. That holds for
// a kill without notice, which may happen at any time. It also holds for the SIGKILL that ends a planned restart,
// unless the request was sent more than 0.7 s after SIGTERM.
func (o *oracle) excusedByOutage(r *Request) bool {
	for _, down := range o.outages[r.Gateway] {
		if r.Kind != NoAnswer || r.ConnEnded < down.begun {
			continue
		}
		if r.Sent <= down.exemptUntil || down.outright && r.ConnOpened <= down.begun {
			return true
		}
	}
	return false
}

// reloadLimit is the time after a reload within which a gateway has to call the new discovery address.
const reloadLimit = 4 * time.Second

// judgeReloads checks that after a reload gateways call discovery at the address in the new configuration.
func (o *oracle) judgeReloads() {
	for _, r := range o.reloads {
		due := r.at.Add(reloadLimit)
		if due > r.until {
			continue
		}
		called := slices.ContainsFunc(o.discoveryQueries[r.gateway], func(query discoveryQuery) bool {
			return query.address == r.address && query.at >= r.at.Add(-time.Second) && query.at <= due
		})
		if !called {
			o.addViolation(RuleReload, due, "gateway %d did not call discovery at address %d within %v of its reload",
				r.gateway, r.address, reloadLimit)
		}
	}
}

// close marks the run as over. Processes that exit afterwards are not recorded as crashes.
func (o *oracle) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}

func (o *oracle) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}
