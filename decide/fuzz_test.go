package decide

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// Limits that keep one run of a fuzz target short, and constants for the checks.
const (
	maxScriptBytes    = 2 << 10 // bytes of input that are used
	maxScriptSteps    = 256
	unknownAttempt    = 3      // an attempt number that no request reaches
	deadlineTolerance = 5 * ms // the final answer may be this late, as for the event loop
)

// script is the input of a fuzz target, read as a sequence of choices. After its last byte it yields zeros without end.
type script []byte

func (s *script) next() int {
	if len(*s) == 0 {
		return 0
	}
	b := (*s)[0]
	*s = (*s)[1:]
	return int(b)
}

func (s *script) take(n int) []byte {
	n = min(n, len(*s))
	b := (*s)[:n]
	*s = (*s)[n:]
	return b
}

// digits takes n bytes and returns them as n digits of a message.
func (s *script) digits(n int) string {
	var b strings.Builder
	for range n {
		b.WriteByte(digits[s.next()&63])
	}
	return b.String()
}

// hostRequest is a request as the host sees it.
type hostRequest struct {
	Request
	class                Class
	attempts             []*hostAttempt
	inFlight             int
	answered, clientGone bool
}

// hostAttempt is an attempt as the host sees it.
type hostAttempt struct {
	request           *hostRequest
	number            int
	server            Server
	ended, mayHaveRun bool
}

// hostTimer is a timer that the engine has set, or the timeout of an attempt.
type hostTimer struct {
	at      time.Duration
	token   uint64
	attempt *hostAttempt
}

// host drives one gateway as the event loop does. A script decides what happens, and the host checks each action.
type host struct {
	t            *testing.T
	cfg          Config
	g            *Gateway
	script       script
	now          time.Duration
	listed       map[string]Server // servers as last listed, without removed ones
	requests     map[string]*hostRequest
	open         []*hostRequest // requests without a final answer or with an attempt in flight
	timers       []hostTimer
	ownerQueries []ownerMessage // the last few queries to quota owners
	messageCount int            // messages from peers so far
	lastMessage  PeerMessage
	requestCount int
}

// newHost returns a host whose configuration depends on the first byte of the script. Its gateway gets a
// first list of eight servers, some of which may be draining or removed.
func newHost(t *testing.T, b []byte) *host {
	h := &host{t: t, cfg: testConfig(), script: script(b[:min(len(b), maxScriptBytes)]), now: time.Hour,
		listed: map[string]Server{}, requests: map[string]*hostRequest{}}
	mode := h.script.next()
	switch mode & 3 {
	case 1: // quota owners
		h.cfg.Gateways, h.cfg.PeerIntake, h.cfg.Rank = 4, 5, 1
	case 2: // a single gateway
		h.cfg.Gateways = 1
	case 3: // no messages between gateways
		h.cfg.Limits.Peers = false
	}
	h.cfg.Limits.Parallel = mode&4 != 0
	h.cfg.Limits.Cancel = mode&8 == 0
	if mode&16 != 0 {
		h.cfg.Prices.Handshake, h.cfg.Limits.ConnKept = 1, time.Second
	}
	h.cfg.Classes[0].Stream = mode&32 != 0
	g, err := New(h.cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	h.g = g
	h.updateFleet(FleetStale, 0xff)
	return h
}

// makeServer returns server number n. The bits decide its state and start time; its zone and cell never change.
func (h *host) makeServer(n, bits int) Server {
	s := Server{ID: fmt.Sprint("s", n), Zone: string(rune('a' + n&1)), Cell: n >> 1 & 1}
	switch bits & 7 {
	case 1:
		s.State = Draining
	case 2:
		s.State = Removed
	}
	if bits&8 != 0 {
		s.Started = h.now - time.Duration(bits>>4)*time.Second
	}
	return s
}

// updateFleet sends a list update with the servers whose bits are set.
func (h *host) updateFleet(kind FleetKind, bits int) {
	e := FleetUpdate{Kind: kind}
	for n := range 8 {
		if bits>>n&1 == 1 {
			e.Servers = append(e.Servers, h.makeServer(n, h.script.next()))
		}
	}
	if kind == FleetFailed {
		h.handle(FleetUpdate{Kind: kind})
		return
	}
	if kind != FleetDelta {
		clear(h.listed)
	}
	for _, s := range e.Servers {
		if delete(h.listed, s.ID); s.State != Removed {
			h.listed[s.ID] = s
		}
	}
	h.handle(e)
}

// handle hands an event to the gateway and carries out its actions.
func (h *host) handle(ev Event) {
	for _, a := range h.g.Handle(h.now, ev) {
		h.perform(a)
	}
}

// finalAnswer records the final answer to a request. There must be one only, and none after the client has left.
func (h *host) finalAnswer(id string) {
	r := h.requests[id]
	if r == nil || r.answered || r.clientGone {
		h.t.Fatalf("%q: unexpected final answer: %+v", id, r)
	}
	r.answered = true
}

// perform checks and carries out one action.
func (h *host) perform(a Action) {
	switch a := a.(type) {
	case Send:
		h.checkSend(a)
	case Cancel:
		if r := h.requests[a.ID]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
			h.t.Fatalf("%+v for an attempt that was never made", a)
		}
	case Refuse:
		if a.RetryAfter < 0 || a.RetryAfter > h.cfg.Limits.MaxRetryAfter {
			h.t.Fatalf("%+v: the retry-after time is out of range", a)
		}
		if r := h.requests[a.ID]; r != nil && r.class.Effect == Unsafe &&
			slices.ContainsFunc(r.attempts, func(attempt *hostAttempt) bool { return attempt.mayHaveRun }) {
			h.t.Fatalf("%q is refused although an attempt may have run", a.ID)
		}
		h.finalAnswer(a.ID)
	case Fail:
		h.finalAnswer(a.ID)
	case SetTimer:
		if a.At <= h.now {
			h.t.Fatalf("timer %d is not in the future: due %v from now", a.Token, a.At-h.now)
		}
		h.timers = append(h.timers, hostTimer{at: a.At, token: a.Token})
	case SendToPeer:
		h.checkMessage(a)
	default:
		h.t.Fatalf("unexpected action %#v", a)
	}
}

// checkSend checks a new attempt against the invariants and records it.
func (h *host) checkSend(a Send) {
	r := h.requests[a.ID]
	if r == nil || r.answered || r.clientGone {
		h.t.Fatalf("%+v after the end of its request", a)
	}
	s, listed := h.listed[a.Server]
	if !listed || s.State != Serving {
		h.t.Fatalf("%+v to a server that is listed as %+v", a, s)
	}
	if len(r.attempts) >= h.cfg.Limits.MaxAttempts || (r.inFlight > 0 && !h.cfg.Limits.Parallel) || a.Timeout <= 0 {
		h.t.Fatalf("%+v exceeds the limits: %d attempts, %d in flight", a, len(r.attempts), r.inFlight)
	}
	for _, attempt := range r.attempts {
		same := r.class.Group == GroupAll || attempt.server.Cell == s.Cell
		if attempt.mayHaveRun && (r.class.Effect == Unsafe || r.class.Effect == Keyed && !same) {
			h.t.Fatalf("%+v repeats an attempt that may have run at %+v", a, attempt.server)
		}
	}
	attempt := &hostAttempt{request: r, number: len(r.attempts), server: s, mayHaveRun: true}
	r.attempts = append(r.attempts, attempt)
	r.inFlight++
	h.timers = append(h.timers, hostTimer{at: h.now + a.Timeout, attempt: attempt})
}

// checkMessage checks the address and format of a message to a peer, and records owner queries.
func (h *host) checkMessage(a SendToPeer) {
	if !h.cfg.Limits.Peers || a.To < 0 || a.To >= h.cfg.Gateways || a.To == h.cfg.Rank || len(a.Text) > maxMessageLen {
		h.t.Fatalf("%+v has a wrong receiver or is too long", a)
	}
	if h.g.broadcasts {
		if _, _, ok := parseHeader(a.Text); !ok {
			h.t.Fatalf("%q can't be parsed", a.Text)
		}
		return
	}
	if _, _, ok := parseHeader(a.Text); ok && a.Text[:1] == msgVersion {
		return
	}
	w, ok := parseOwnerMessage(a.Text)
	if !ok || w.text() != a.Text {
		h.t.Fatalf("%q can't be parsed, or encodes to other text: %+v", a.Text, w)
	}
	if w.kind == 'a' {
		if h.ownerQueries = append(h.ownerQueries, w); len(h.ownerQueries) > 8 {
			h.ownerQueries = h.ownerQueries[1:]
		}
	}
}

// endAttempt reports the end of an attempt. It does so twice, as the second report must have no effect. The bits decide
// the true units, the metered use, and whether AnswerStarted comes first.
func (h *host) endAttempt(attempt *hostAttempt, outcome Outcome, bits int) {
	if attempt.ended {
		return
	}
	r := attempt.request
	if bits&64 != 0 {
		h.handle(AnswerStarted{ID: r.ID, Server: attempt.server.ID, Attempt: attempt.number, Elapsed: 10 * ms})
	}
	attempt.ended, attempt.mayHaveRun = true, !outcome.NeverRan()
	r.inFlight--
	if outcome == OK && !r.clientGone {
		r.answered = true // the answer has been sent to the client
	}
	ev := AttemptEnded{ID: r.ID, Server: attempt.server.ID, Attempt: attempt.number, Outcome: outcome, Elapsed: 20 * ms,
		RequestDone: r.answered || r.clientGone, ActualUnits: float64(bits & 7)}
	if bits&128 != 0 {
		ev.Metered = 1 + bits&56*4 // percent
	}
	h.handle(ev)
	h.handle(ev)
}

// advance moves the clock on by d and fires the timers that are due. If late is set, they all fire at the end, as after
// a pause of the process.
func (h *host) advance(d time.Duration, late bool) {
	to := h.now + d
	if late {
		h.now = to
	}
	for {
		earliest := -1
		for i, timer := range h.timers {
			if timer.at <= to && (earliest < 0 || timer.at < h.timers[earliest].at) {
				earliest = i
			}
		}
		if earliest < 0 {
			break
		}
		timer := h.timers[earliest]
		h.timers = slices.Delete(h.timers, earliest, earliest+1)
		if h.now = max(h.now, timer.at); timer.attempt != nil {
			h.endAttempt(timer.attempt, TimedOut, 0)
		} else {
			h.handle(TimerFired{timer.token})
		}
	}
	h.now = to
	h.checkState()
}

// checkState drops requests that are done. It checks deadlines and the limits on what the engine keeps.
func (h *host) checkState() {
	attempts := 0
	h.open = slices.DeleteFunc(h.open, func(r *hostRequest) bool {
		over := r.answered || r.clientGone
		if !over && h.now > r.Deadline+deadlineTolerance {
			h.t.Fatalf("%+v has no final answer after its deadline", r)
		}
		if over && r.inFlight == 0 && h.g.requests[r.ID] != nil {
			h.t.Fatalf("%+v is done, but the engine still keeps it", r)
		}
		attempts += len(r.attempts)
		return over && r.inFlight == 0
	})
	if n := len(h.g.requests); n > len(h.open) || len(h.g.queries) > n || len(h.g.timers) > len(h.timers) {
		h.t.Fatalf("the engine keeps %d requests, %d owner queries and %d timers for %d open requests", n,
			len(h.g.queries), len(h.g.timers), len(h.open))
	}
	for _, c := range h.g.customers {
		if c.throttledUntil > h.now+maxWait || len(c.ownerDecisions) > h.messageCount+h.requestCount {
			h.t.Fatalf("a customer is throttled for %v and has %d grants after %d messages and %d requests",
				c.throttledUntil-h.now, len(c.ownerDecisions), h.messageCount, h.requestCount)
		}
	}
}

// submitRequest submits a request as the script says, and checks that its customer is held to the plan that it names.
func (h *host) submitRequest() {
	bits := h.script.next()
	h.requestCount++
	r := &hostRequest{class: h.cfg.Classes[bits&3]}
	r.Request = Request{ID: fmt.Sprint("q", h.requestCount), Class: r.class.Name, Plan: h.cfg.Plans[bits>>2&3].Name,
		Customer: fmt.Sprint("c", bits>>4&3), Units: float64(1 + h.script.next()&7),
		Deadline: h.now + time.Duration(1+h.script.next())*16*ms}
	where := h.script.next()
	r.Spread, r.First = where&3%(h.cfg.Gateways+1), where>>2&3%h.cfg.Gateways
	h.requests[r.ID] = r
	h.open = append(h.open, r)
	h.handle(r.Request)
	if c := h.g.customers[hashKey(r.Customer)]; c == nil || c.plan.Name != r.Plan {
		h.t.Fatalf("%+v is not held to its plan: %+v", r.Request, c)
	}
}

// openAttempt returns one of the attempts in flight, or nil if there is none.
func (h *host) openAttempt(n int) *hostAttempt {
	var all []*hostAttempt
	for _, r := range h.open {
		for _, attempt := range r.attempts {
			if !attempt.ended {
				all = append(all, attempt)
			}
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[n%len(all)]
}

// requestStep advances the clock, submits a request, ends an attempt, lets a client leave or updates the list.
func (h *host) requestStep(op int) {
	switch op {
	case 0:
		n := h.script.next()
		h.advance(time.Duration(n*n/64)*ms, n&1 == 1)
	case 1, 2:
		h.submitRequest()
	case 3:
		n := h.script.next()
		if attempt := h.openAttempt(n >> 3); attempt != nil {
			h.endAttempt(attempt, OK+Outcome(n&7), h.script.next())
		}
	case 4:
		if n := h.script.next(); n >= 128 {
			h.strayEvent(n)
		} else if len(h.open) > 0 {
			r := h.open[n%len(h.open)]
			r.clientGone = true
			h.handle(ClientGone{r.ID})
		}
	case 5:
		n := h.script.next()
		h.updateFleet(FleetKind(n&3), 1<<(n>>2&7)|1<<(n>>5))
	}
	h.checkState()
}

// strayEvent sends an event that a gateway can't use: one with unknown names or ids, a duplicate, or a result that
// nobody requested.
func (h *host) strayEvent(n int) {
	switch n >> 4 & 7 {
	case 0:
		if len(h.open) > 0 {
			h.handle(h.open[n&15%len(h.open)].Request)
		}
	case 1, 2:
		h.requestCount++
		r := &hostRequest{Request: Request{ID: fmt.Sprint("q", h.requestCount), Class: "get", Plan: "no such",
			Units: 1, Deadline: h.now + ms}}
		if n&1 == 1 {
			r.Class, r.Plan = "no such", "wide"
		}
		h.requests[r.ID], h.open = r, append(h.open, r)
		if h.handle(r.Request); !r.answered {
			h.t.Fatalf("%+v names an unknown class or plan and is not refused at once", r.Request)
		}
	case 3:
		for _, at := range []int{unknownAttempt + n&7, -1} {
			h.handle(AttemptEnded{ID: fmt.Sprint("q", n&15), Server: "s1", Attempt: at, Outcome: OK, RequestDone: true})
		}
	case 4:
		h.handle(AnswerStarted{ID: fmt.Sprint("q", n&15), Server: "s9", Attempt: unknownAttempt})
	case 5:
		h.handle(ClientGone{fmt.Sprint("none", n)})
		h.handle(TimerFired{uint64(1000000 + n)})
	case 6:
		h.handle(ProbeEnded{Server: "s1", Outcome: OK, Report: Report{"queue": math.NaN()}})
		h.handle(Counted{Name: uint64(n), Outcome: TimedOut})
	case 7:
		h.handle(PeerMessage{From: 1 << 40, Text: "a00000111020"})
		h.handle(PeerMessage{From: -n, Text: "c0000"})
	}
}

// peerMessageStep sends a message from a peer, more or less like those that gateways send.
func (h *host) peerMessageStep(op int) {
	from := h.script.next()%(h.cfg.Gateways+2) - 1
	key := func() string { // the key of a customer that is known here, or any key
		n := h.script.next()
		if n >= 64 {
			return h.script.digits(6)
		}
		var b strings.Builder
		encode(&b, hashKey(fmt.Sprint("c", n&3)), 6)
		return b.String()
	}
	text := ""
	switch op {
	case 0:
		n := h.script.next()
		if text = h.lastMessage.Text; n < 192 {
			text = string(h.script.take(n))
		} else if n&1 == 1 { // an exact duplicate, from the same peer
			from = h.lastMessage.From
		}
	case 1: // a broadcast of usage
		var b strings.Builder
		epoch := h.script.next() & 1
		encodeHeader(&b, epoch, h.messageCount&4095)
		for range h.script.next() % 4 {
			b.WriteString(key() + h.script.digits(msgEntryLen-6))
		}
		text = b.String()
	case 2: // a message of an owner, or to an owner
		n := h.script.next()
		text = "ard"[n%3:][:1] + key() + h.script.digits(3) + h.script.digits(2*(n>>2&3+1))
		if n>>4 == 0 {
			text += "." + h.script.digits(observationLen*(n>>2))
		} else if n>>4 < 4 { // with an observation of a server that is known here
			var b strings.Builder
			encode(&b, hashKey(fmt.Sprint("s", n>>2&7))&serverKeyMask, 3)
			text += "." + b.String() + h.script.digits(1)
		}
	case 3: // a response to an owner query
		n := h.script.next()
		if len(h.ownerQueries) == 0 {
			return
		}
		w := h.ownerQueries[n%len(h.ownerQueries)]
		w.kind, w.valueCount, w.observationCount = 'r', 4, 0
		for i := range w.values {
			w.values[i] = float64(h.script.next()-n&128) / 2
		}
		w.values[0] = float64(n >> 6 & 1)
		text = w.text()
		if n>>4&3 != 3 {
			from = h.g.owner(w.key, n>>4&1)
		}
	}
	h.messageCount++
	waiting := len(h.g.queries)
	h.lastMessage = PeerMessage{From: from, Text: text}
	h.handle(h.lastMessage)
	if w, ok := parseOwnerMessage(text); ok && h.cfg.Gateways > 1 && len(h.g.queries) != waiting &&
		from != h.g.owner(w.key, 0) &&
		from != h.g.owner(w.key, 1) {
		h.t.Fatalf("%q from %d, which is no owner, decided a request", text, from)
	}
	h.checkState()
}

// runOut lets all attempts, owner queries and timers end, and then lets enough time pass for the engine to drop all
// customers and servers. Nothing may be left.
func (h *host) runOut() {
	h.advance(10*time.Second, false)
	if len(h.open) != 0 || len(h.g.requests) != 0 || len(h.g.queries) != 0 || len(h.g.timers) != 0 {
		h.t.Fatalf("%d requests, %d owner queries, %d timers are left", len(h.g.requests), len(h.g.queries),
			len(h.g.timers))
	}
	for id, r := range h.requests {
		if !r.answered && !r.clientGone {
			h.t.Fatalf("%q has no final answer", id)
		}
	}
	for _, v := range []float64{h.g.admissionWindow, h.g.retryBudget, h.g.typicalValue, h.g.summary.openWork,
		h.g.answerRate.value, h.g.observationRate.value, h.g.queryRate.value} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			h.t.Fatalf("the engine's state holds the value %v", v)
		}
	}
	for _, c := range h.g.customers {
		if v := c.bucketLevel + c.sharedLevel + c.share + c.ceilingTokens + c.totalDemand + c.ownerWait; math.IsNaN(v) ||
			math.IsInf(v, 0) || c.open != 0 {
			h.t.Fatalf("a customer has a value that is out of range, or open attempts: %+v", c)
		}
	}
	h.handle(FleetUpdate{Kind: FleetFull})
	// The slowest bucket holds 12 units, and more if messages say so. It leaks at a third of its rate of 3 a second.
	for range 60 {
		h.advance(5*time.Second, true)
	}
	if n := len(h.g.customers); n != 0 || len(h.g.evictionQueue) != 0 ||
		len(h.g.servers)+len(h.g.serverList)+len(h.g.serversByKey) != 0 {
		h.t.Fatalf("%d customers, %d servers are left", n, len(h.g.servers))
	}
	for i := range h.g.peers {
		if n := len(h.g.peers[i].queue); n != 0 {
			h.t.Fatalf("%d customers are still queued for a peer", n)
		}
	}
}

// FuzzEvents checks that any sequence of events keeps the invariants on answers, attempts and servers, and that no
// state is left at the end.
func FuzzEvents(f *testing.F) {
	requestSteps := []byte{1, 0, 2, 2, 255, 3, 0, 0, 0, 9, 3, 1, 1, 0, 40, 2, 3, 1, 60, 0, 3, 3, 3, 0, 120, 5, 36, 1,
		1, 255, 1, 200, 3, 3, 0, 5, 4, 0}
	strayEvents := []byte{4, 128, 4, 144, 4, 145, 4, 176, 4, 192, 4, 208, 4, 224, 4, 240}
	for mode := range 8 {
		f.Add(append([]byte{byte(mode), 0, 0, 0, 0, 0, 0, 0, 0}, requestSteps...))
		f.Add(append([]byte{byte(mode), 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 99, 0, 3, 0, 255}, strayEvents...))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		h := newHost(t, b)
		for n := 0; n < maxScriptSteps && len(h.script) > 0; n++ {
			if op := h.script.next() & 7; op < 6 {
				h.requestStep(op)
			} else if op == 6 {
				h.peerMessageStep(3)
			} else {
				h.peerMessageStep(h.script.next() & 3)
			}
		}
		h.runOut()
	})
}

// FuzzPeerMessages checks that messages from peers, hostile ones included, break no invariant on the requests among
// them. What the messages create must be dropped within minutes of the last one.
func FuzzPeerMessages(f *testing.F) {
	key := script("0123456789abcdef")
	messageSteps := []byte{1, 1, 0, 2, 10, 10, 1, 1, 1, 1, 1, 1, 2, 2, 0, 0, 1, 1, 1, 2, 1, 2, 4, 1, 1, 5, 0, 1, 200,
		3, 3, 66, 1, 2, 3, 4, 7, 20, 6, 0, 0}
	for mode := range 4 {
		f.Add(append([]byte{byte(mode), 0, 0, 0, 0, 0, 0, 0, 0}, messageSteps...))
		f.Add(append([]byte{byte(mode), 0, 0, 0, 0, 0, 0, 0, 0, 0, 2, 16}, key...))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		h := newHost(t, b)
		for n := 0; n < maxScriptSteps && len(h.script) > 0; n++ {
			switch op := h.script.next() & 7; op {
			case 4: // advance the clock
				h.requestStep(0)
			case 5: // submit a request
				h.requestStep(1)
			case 6: // end an attempt
				h.requestStep(3)
			case 7:
				h.requestStep(h.script.next() % 6)
			default:
				h.peerMessageStep(op)
			}
			if n := len(h.g.customers); n > 4*h.messageCount+4 {
				t.Fatalf("%d customers after %d messages", n, h.messageCount)
			}
		}
		h.runOut()
	})
}

// FuzzWords checks that a message that can be parsed has the same content after it is encoded and parsed again, and
// that the values parsed from it are within their bounds.
func FuzzWords(f *testing.F) {
	f.Add("a00000111020")
	f.Add("r0000011102000000000000.00010002")
	f.Add("c0011ABCDEF0112233")
	f.Fuzz(func(t *testing.T, text string) {
		text = text[:min(len(text), maxMessageLen)]
		if w, ok := parseOwnerMessage(text); ok {
			again, ok := parseOwnerMessage(w.text())
			if !ok || again.kind != w.kind || again.key != w.key || again.queryNo != w.queryNo ||
				again.plan != w.plan || again.values != w.values ||
				again.observationCount != w.observationCount {
				t.Fatalf("%q: parsed as %+v and, encoded again, as %+v", text, w, again)
			}
			for i, v := range w.observations[:w.observationCount] {
				if got := again.observations[i]; got.server != v.server || got.class != v.class ||
					got.missed != v.missed || got.failed != v.failed ||
					math.Abs(got.relativeTime-v.relativeTime) > 1e-9 {
					t.Fatalf("%q: observation %+v and, encoded again, %+v", text, v, got)
				}
				if v.server > serverKeyMask || v.class > maxObservedClass || v.relativeTime <= 0 ||
					v.relativeTime > minRelativeTime*32 {
					t.Fatalf("%q: observation %+v is out of bounds", text, v)
				}
			}
			if w.key >= 1<<36 || w.plan > 63 || w.queryNo > 4095 || w.valueCount > len(w.values) ||
				len(w.text()) > maxMessageLen {
				t.Fatalf("%q: %+v is out of bounds", text, w)
			}
		}
		epoch, seq, ok := parseHeader(text)
		if !ok {
			return
		}
		var b strings.Builder
		encodeHeader(&b, epoch, seq)
		for s := text[msgHeaderLen:]; s != ""; s = s[msgEntryLen:] {
			key, plan, used, demand, level := parseEntry(s[:msgEntryLen])
			if used > 4095 || demand > 4095 || plan > 63 || level < 0 || level > 63/levelSteps {
				t.Fatalf("%q: %d %d %d %v are out of bounds", text, plan, used, demand, level)
			}
			encode(&b, key, 6)
			encode(&b, uint64(plan), 1)
			encode(&b, uint64(used), 2)
			encode(&b, uint64(demand), 2)
			encode(&b, uint64(math.Round(level*levelSteps)), 1)
		}
		if b.String() != text {
			t.Fatalf("%q: encoded again as %q", text, b.String())
		}
	})
}
