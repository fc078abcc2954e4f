package decide

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// Bounds that keep an execution short.
const (
	scriptMost = 2 << 10 // bytes of a script
	stepsMost  = 256
	strayTry   = 3      // the number of an attempt that no request comes to
	spare      = 5 * ms // a request is decided so long after its deadline at the latest, as the loop wants it
)

// script is the input of a target, read as choices. It never ends: behind its last byte come zeros.
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

// digits takes n bytes as digits of a message.
func (s *script) digits(n int) string {
	var b strings.Builder
	for range n {
		b.WriteByte(digits[s.next()&63])
	}
	return b.String()
}

// errand is a request as its host sees it.
type errand struct {
	Request
	class          Class
	tries          []*try
	out            int
	answered, gone bool
}

type try struct {
	of        *errand
	n         int
	server    Server
	over, ran bool
}

// due is a timer of the module, or the time-out of an attempt.
type due struct {
	at    time.Duration
	token uint64
	try   *try
}

// host drives a gateway as the loop does, by a script, and holds it to the rules.
type host struct {
	t       *testing.T
	cfg     Config
	g       *Gateway
	s       script
	now     time.Duration
	told    map[string]Server // as last told; what is gone is left out
	errands map[string]*errand
	open    []*errand // those not answered, or with something out
	timers  []due
	asked   []word // questions put to homes, the last ones
	words   int    // messages from peers
	said    PeerMessage
	n       int
}

func newHost(t *testing.T, b []byte) *host {
	h := &host{t: t, cfg: testConfig(), s: script(b[:min(len(b), scriptMost)]), now: time.Hour,
		told: map[string]Server{}, errands: map[string]*errand{}}
	mode := h.s.next()
	switch mode & 3 {
	case 1: // homes
		h.cfg.Gateways, h.cfg.PeerIntake, h.cfg.Rank = 4, 5, 1
	case 2: // alone
		h.cfg.Gateways = 1
	case 3: // without messages
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
	h.fleet(FleetStale, 0xff)
	return h
}

// serverOf is a server of a number, in a state by the bits of another; its place never changes.
func (h *host) serverOf(n, bits int) Server {
	s := Server{ID: fmt.Sprint("s", n), Zone: string(rune('a' + n&1)), Cell: n >> 1 & 1}
	switch bits & 7 {
	case 1:
		s.State = Draining
	case 2:
		s.State = Gone
	}
	if bits&8 != 0 {
		s.Started = h.now - time.Duration(bits>>4)*time.Second
	}
	return s
}

// fleet tells a list: the servers of the bits that are set.
func (h *host) fleet(kind FleetKind, bits int) {
	e := FleetUpdate{Kind: kind}
	for n := range 8 {
		if bits>>n&1 == 1 {
			e.Servers = append(e.Servers, h.serverOf(n, h.s.next()))
		}
	}
	if kind == FleetFailed {
		h.do(FleetUpdate{Kind: kind})
		return
	}
	if kind != FleetDelta {
		clear(h.told)
	}
	for _, s := range e.Servers {
		if delete(h.told, s.ID); s.State != Gone {
			h.told[s.ID] = s
		}
	}
	h.do(e)
}

func (h *host) do(ev Event) {
	for _, a := range h.g.Handle(h.now, ev) {
		h.perform(a)
	}
}

// final takes a final answer.
func (h *host) final(id string) {
	r := h.errands[id]
	if r == nil || r.answered || r.gone {
		h.t.Fatalf("%q: a final answer that is not owed: %+v", id, r)
	}
	r.answered = true
}

func (h *host) perform(a Action) {
	switch a := a.(type) {
	case Send:
		h.send(a)
	case Cancel:
		if r := h.errands[a.ID]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.tries) {
			h.t.Fatalf("%+v of an attempt that never was", a)
		}
	case Refuse:
		if a.RetryAfter < 0 || a.RetryAfter > h.cfg.Limits.MaxRetryAfter {
			h.t.Fatalf("%+v is beyond the limits", a)
		}
		if r := h.errands[a.ID]; r != nil && r.class.Effect == Unsafe &&
			slices.ContainsFunc(r.tries, func(x *try) bool { return x.ran }) {
			h.t.Fatalf("%q may have run and is refused", a.ID)
		}
		h.final(a.ID)
	case Fail:
		h.final(a.ID)
	case SetTimer:
		if a.At <= h.now {
			h.t.Fatalf("timer %d is due at once, at %v", a.Token, a.At-h.now)
		}
		h.timers = append(h.timers, due{at: a.At, token: a.Token})
	case Tell:
		h.tell(a)
	default:
		h.t.Fatalf("%#v is nothing that this host does", a)
	}
}

// send holds an attempt to the rules.
func (h *host) send(a Send) {
	r := h.errands[a.ID]
	if r == nil || r.answered || r.gone {
		h.t.Fatalf("%+v behind the end of its request", a)
	}
	s, listed := h.told[a.Server]
	if !listed || s.State != Serving {
		h.t.Fatalf("%+v to a server that is told as %+v", a, s)
	}
	if len(r.tries) >= h.cfg.Limits.MaxAttempts || (r.out > 0 && !h.cfg.Limits.Parallel) || a.Timeout <= 0 {
		h.t.Fatalf("%+v is beyond the limits: %d attempts, %d out", a, len(r.tries), r.out)
	}
	for _, x := range r.tries {
		same := r.class.Group == GroupAll || x.server.Cell == s.Cell
		if x.ran && (r.class.Effect == Unsafe || r.class.Effect == Keyed && !same) {
			h.t.Fatalf("%+v repeats what may have run at %+v", a, x.server)
		}
	}
	x := &try{of: r, n: len(r.tries), server: s, ran: true}
	r.tries = append(r.tries, x)
	r.out++
	h.timers = append(h.timers, due{at: h.now + a.Timeout, try: x})
}

// tell holds a message to its form and keeps questions.
func (h *host) tell(a Tell) {
	if !h.cfg.Limits.Peers || a.To < 0 || a.To >= h.cfg.Gateways || a.To == h.cfg.Rank || len(a.Text) > maxMessage {
		h.t.Fatalf("%+v can't be sent", a)
	}
	if h.g.mesh {
		if _, _, ok := parseHead(a.Text); !ok {
			h.t.Fatalf("%q is not understood", a.Text)
		}
		return
	}
	if _, _, ok := parseHead(a.Text); ok && a.Text[:1] == msgVersion {
		return
	}
	w, ok := parseWord(a.Text)
	if !ok || w.text() != a.Text {
		h.t.Fatalf("%q is not understood: %+v", a.Text, w)
	}
	if w.kind == 'a' {
		if h.asked = append(h.asked, w); len(h.asked) > 8 {
			h.asked = h.asked[1:]
		}
	}
}

// end tells how an attempt ended; twice is told as well. The bits tell true units, use, and a beginning before.
func (h *host) end(x *try, o Outcome, bits int) {
	if x.over {
		return
	}
	r := x.of
	if bits&64 != 0 {
		h.do(AnswerStarted{ID: r.ID, Server: x.server.ID, Attempt: x.n, Took: 10 * ms})
	}
	x.over, x.ran = true, !o.NeverRan()
	r.out--
	if o == OK && !r.gone {
		r.answered = true // the value has gone to the client
	}
	ev := AttemptEnded{ID: r.ID, Server: x.server.ID, Attempt: x.n, Outcome: o, Took: 20 * ms,
		Done: r.answered || r.gone, TrueUnits: float64(bits & 7)}
	if bits&128 != 0 {
		ev.Metered = 1 + bits&56*4 // percent
	}
	h.do(ev)
	h.do(ev)
}

// pass lets time go on. Late timers ring at its end only, as where the process stood still.
func (h *host) pass(d time.Duration, late bool) {
	to := h.now + d
	if late {
		h.now = to
	}
	for {
		first := -1
		for i, x := range h.timers {
			if x.at <= to && (first < 0 || x.at < h.timers[first].at) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		x := h.timers[first]
		h.timers = slices.Delete(h.timers, first, first+1)
		if h.now = max(h.now, x.at); x.try != nil {
			h.end(x.try, TimedOut, 0)
		} else {
			h.do(TimerFired{x.token})
		}
	}
	h.now = to
	h.look()
}

// look drops what is over, and holds the module to deadlines and to the bounds on what it keeps.
func (h *host) look() {
	attempts := 0
	h.open = slices.DeleteFunc(h.open, func(r *errand) bool {
		over := r.answered || r.gone
		if !over && h.now > r.Deadline+spare {
			h.t.Fatalf("%+v is open past its deadline", r)
		}
		if over && r.out == 0 && h.g.requests[r.ID] != nil {
			h.t.Fatalf("%+v is over and kept", r)
		}
		attempts += len(r.tries)
		return over && r.out == 0
	})
	if n := len(h.g.requests); n > len(h.open) || len(h.g.asks) > n || len(h.g.timers) > len(h.timers) {
		h.t.Fatalf("%d requests, %d questions, %d timers are kept, of %d open", n, len(h.g.asks), len(h.g.timers), len(h.open))
	}
	for _, c := range h.g.customers {
		if c.shut > h.now+waitMost || len(c.grants) > h.words+h.n {
			h.t.Fatalf("shut for %v, %d grants after %d words and %d requests", c.shut-h.now, len(c.grants), h.words, h.n)
		}
	}
}

func (h *host) request() {
	bits := h.s.next()
	h.n++
	r := &errand{class: h.cfg.Classes[bits&3]}
	r.Request = Request{ID: fmt.Sprint("q", h.n), Class: r.class.Name, Plan: h.cfg.Plans[bits>>2&3].Name,
		Customer: fmt.Sprint("c", bits>>4&3), Units: float64(1 + h.s.next()&7),
		Deadline: h.now + time.Duration(1+h.s.next())*16*ms}
	where := h.s.next()
	r.Spread, r.First = where&3%(h.cfg.Gateways+1), where>>2&3%h.cfg.Gateways
	h.errands[r.ID] = r
	h.open = append(h.open, r)
	h.do(r.Request)
	if c := h.g.customers[shortKey(r.Customer)]; c == nil || c.plan.Name != r.Plan {
		h.t.Fatalf("%+v is held to the plan of %+v", r.Request, c)
	}
}

// tryOf is one of the attempts that are out.
func (h *host) tryOf(n int) *try {
	var all []*try
	for _, r := range h.open {
		for _, x := range r.tries {
			if !x.over {
				all = append(all, x)
			}
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[n%len(all)]
}

// life is a step in the life of requests.
func (h *host) life(op int) {
	switch op {
	case 0:
		n := h.s.next()
		h.pass(time.Duration(n*n/64)*ms, n&1 == 1)
	case 1, 2:
		h.request()
	case 3:
		n := h.s.next()
		if x := h.tryOf(n >> 3); x != nil {
			h.end(x, OK+Outcome(n&7), h.s.next())
		}
	case 4:
		if n := h.s.next(); n >= 128 {
			h.stray(n)
		} else if len(h.open) > 0 {
			r := h.open[n%len(h.open)]
			r.gone = true
			h.do(ClientGone{r.ID})
		}
	case 5:
		n := h.s.next()
		h.fleet(FleetKind(n&3), 1<<(n>>2&7)|1<<(n>>5))
	}
	h.look()
}

// stray tells what a gateway can't use: of what it never heard of, what it has already, or what it never asked for.
func (h *host) stray(n int) {
	switch n >> 4 & 7 {
	case 0:
		if len(h.open) > 0 {
			h.do(h.open[n&15%len(h.open)].Request)
		}
	case 1, 2:
		h.n++
		r := &errand{Request: Request{ID: fmt.Sprint("q", h.n), Class: "get", Plan: "no such", Units: 1, Deadline: h.now + ms}}
		if n&1 == 1 {
			r.Class, r.Plan = "no such", "wide"
		}
		h.errands[r.ID], h.open = r, append(h.open, r)
		if h.do(r.Request); !r.answered {
			h.t.Fatalf("%+v is not refused at once", r.Request)
		}
	case 3:
		for _, at := range []int{strayTry + n&7, -1} {
			h.do(AttemptEnded{ID: fmt.Sprint("q", n&15), Server: "s1", Attempt: at, Outcome: OK, Done: true})
		}
	case 4:
		h.do(AnswerStarted{ID: fmt.Sprint("q", n&15), Server: "s9", Attempt: strayTry})
	case 5:
		h.do(ClientGone{fmt.Sprint("none", n)})
		h.do(TimerFired{uint64(1000000 + n)})
	case 6:
		h.do(ProbeEnded{Server: "s1", Outcome: OK, Report: Report{"queue": math.NaN()}})
		h.do(Counted{Name: uint64(n), Outcome: TimedOut})
	case 7:
		h.do(PeerMessage{From: 1 << 40, Text: "a00000111020"})
		h.do(PeerMessage{From: -n, Text: "c0000"})
	}
}

// say is a message of a peer, more or less like one that a gateway sends.
func (h *host) say(op int) {
	from := h.s.next()%(h.cfg.Gateways+2) - 1
	key := func() string { // of a customer that is known here, or of any
		n := h.s.next()
		if n >= 64 {
			return h.s.digits(6)
		}
		var b strings.Builder
		encode(&b, shortKey(fmt.Sprint("c", n&3)), 6)
		return b.String()
	}
	text := ""
	switch op {
	case 0:
		n := h.s.next()
		if text = h.said.Text; n < 192 {
			text = string(h.s.take(n))
		} else if n&1 == 1 { // it comes twice
			from = h.said.From
		}
	case 1: // what is used of customers
		var b strings.Builder
		epoch := h.s.next() & 1
		encodeHead(&b, epoch, h.words&4095)
		for range h.s.next() % 4 {
			b.WriteString(key() + h.s.digits(msgEntry-6))
		}
		text = b.String()
	case 2: // of a home, or to it
		n := h.s.next()
		text = "ard"[n%3:][:1] + key() + h.s.digits(3) + h.s.digits(2*(n>>2&3+1))
		if n>>4 == 0 {
			text += "." + h.s.digits(sightLen*(n>>2))
		} else if n>>4 < 4 { // of a server that is known here
			var b strings.Builder
			encode(&b, shortKey(fmt.Sprint("s", n>>2&7))&shortMask, 3)
			text += "." + b.String() + h.s.digits(1)
		}
	case 3: // the answer to a question
		n := h.s.next()
		if len(h.asked) == 0 {
			return
		}
		w := h.asked[n%len(h.asked)]
		w.kind, w.n, w.seen = 'r', 4, 0
		for i := range w.v {
			w.v[i] = float64(h.s.next()-n&128) / 2
		}
		w.v[0] = float64(n >> 6 & 1)
		text = w.text()
		if n>>4&3 != 3 {
			from = h.g.home(w.key, n>>4&1)
		}
	}
	h.words++
	waiting := len(h.g.asks)
	h.said = PeerMessage{From: from, Text: text}
	h.do(h.said)
	if w, ok := parseWord(text); ok && h.cfg.Gateways > 1 && len(h.g.asks) != waiting && from != h.g.home(w.key, 0) &&
		from != h.g.home(w.key, 1) {
		h.t.Fatalf("%q decided a request, from %d, which is no home", text, from)
	}
	h.look()
}

// rest lets all attempts, questions and timers run out, and then the customers and servers be forgotten.
func (h *host) rest() {
	h.pass(10*time.Second, false)
	if len(h.open) != 0 || len(h.g.requests) != 0 || len(h.g.asks) != 0 || len(h.g.timers) != 0 {
		h.t.Fatalf("%d requests, %d questions, %d timers are left", len(h.g.requests), len(h.g.asks), len(h.g.timers))
	}
	for id, r := range h.errands {
		if !r.answered && !r.gone {
			h.t.Fatalf("%q has had no answer", id)
		}
	}
	for _, v := range []float64{h.g.flow, h.g.budget, h.g.value, h.g.all.open, h.g.done.v, h.g.seen.v, h.g.askRate.v} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			h.t.Fatalf("%v among what is kept", v)
		}
	}
	for _, c := range h.g.customers {
		if v := c.level + c.whole + c.part + c.store + c.asksAll + c.wait; math.IsNaN(v) || math.IsInf(v, 0) || c.open != 0 {
			h.t.Fatalf("%+v is kept of a customer", c)
		}
	}
	h.do(FleetUpdate{Kind: FleetFull})
	// The slowest bucket, of 12 units at 3 a second and more by what words say, leaks by a third of that.
	for range 60 {
		h.pass(5*time.Second, true)
	}
	if n := len(h.g.customers); n != 0 || len(h.g.queue) != 0 || len(h.g.servers)+len(h.g.order)+len(h.g.shorts) != 0 {
		h.t.Fatalf("%d customers, %d servers are left", n, len(h.g.servers))
	}
	for i := range h.g.peers {
		if n := len(h.g.peers[i].queue); n != 0 {
			h.t.Fatalf("%d customers wait to be told", n)
		}
	}
}

// FuzzEvents: any sequence of events keeps the rules on answers, attempts and servers, and leaves nothing behind.
func FuzzEvents(f *testing.F) {
	life := []byte{1, 0, 2, 2, 255, 3, 0, 0, 0, 9, 3, 1, 1, 0, 40, 2, 3, 1, 60, 0, 3, 3, 3, 0, 120, 5, 36, 1, 1, 255, 1, 200, 3, 3, 0, 5, 4, 0}
	stray := []byte{4, 128, 4, 144, 4, 145, 4, 176, 4, 192, 4, 208, 4, 224, 4, 240}
	for mode := range 8 {
		f.Add(append([]byte{byte(mode), 0, 0, 0, 0, 0, 0, 0, 0}, life...))
		f.Add(append([]byte{byte(mode), 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 99, 0, 3, 0, 255}, stray...))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		h := newHost(t, b)
		for n := 0; n < stepsMost && len(h.s) > 0; n++ {
			if op := h.s.next() & 7; op < 6 {
				h.life(op)
			} else if op == 6 {
				h.say(3)
			} else {
				h.say(h.s.next() & 3)
			}
		}
		h.rest()
	})
}

// FuzzPeerMessages: words of peers, hostile ones too, break no rule on the requests among them, and what they create is
// forgotten within minutes of the last one.
func FuzzPeerMessages(f *testing.F) {
	key := script("0123456789abcdef")
	words := []byte{1, 1, 0, 2, 10, 10, 1, 1, 1, 1, 1, 1, 2, 2, 0, 0, 1, 1, 1, 2, 1, 2, 4, 1, 1, 5, 0, 1, 200, 3, 3, 66, 1, 2, 3, 4, 7, 20, 6, 0, 0}
	for mode := range 4 {
		f.Add(append([]byte{byte(mode), 0, 0, 0, 0, 0, 0, 0, 0}, words...))
		f.Add(append([]byte{byte(mode), 0, 0, 0, 0, 0, 0, 0, 0, 0, 2, 16}, key...))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		h := newHost(t, b)
		for n := 0; n < stepsMost && len(h.s) > 0; n++ {
			switch op := h.s.next() & 7; op {
			case 4:
				h.life(0)
			case 5:
				h.life(1)
			case 6:
				h.life(3)
			case 7:
				h.life(h.s.next() % 6)
			default:
				h.say(op)
			}
			if n := len(h.g.customers); n > 4*h.words+4 {
				t.Fatalf("%d customers after %d words", n, h.words)
			}
		}
		h.rest()
	})
}

// FuzzWords: what is read of a message is what it says: written again it is the same.
func FuzzWords(f *testing.F) {
	f.Add("a00000111020")
	f.Add("r0000011102000000000000.00010002")
	f.Add("c0011ABCDEF0112233")
	f.Fuzz(func(t *testing.T, text string) {
		text = text[:min(len(text), maxMessage)]
		if w, ok := parseWord(text); ok {
			again, ok := parseWord(w.text())
			if !ok || again.kind != w.kind || again.key != w.key || again.no != w.no || again.plan != w.plan || again.v != w.v ||
				again.seen != w.seen {
				t.Fatalf("%q: read as %+v and, written again, as %+v", text, w, again)
			}
			for i, v := range w.sights[:w.seen] {
				if got := again.sights[i]; got.server != v.server || got.class != v.class || got.missed != v.missed || got.failed != v.failed ||
					math.Abs(got.x-v.x) > 1e-9 {
					t.Fatalf("%q: sight %+v and, written again, %+v", text, v, got)
				}
				if v.server > shortMask || v.class > maxClass || v.x <= 0 || v.x > firstX*32 {
					t.Fatalf("%q: sight %+v is out of bounds", text, v)
				}
			}
			if w.key >= 1<<36 || w.plan > 63 || w.no > 4095 || w.n > len(w.v) || len(w.text()) > maxMessage {
				t.Fatalf("%q: %+v is out of bounds", text, w)
			}
		}
		epoch, seq, ok := parseHead(text)
		if !ok {
			return
		}
		var b strings.Builder
		encodeHead(&b, epoch, seq)
		for s := text[msgHead:]; s != ""; s = s[msgEntry:] {
			key, plan, used, asked, level := parseEntry(s[:msgEntry])
			if used > 4095 || asked > 4095 || plan > 63 || level < 0 || level > 63/levelSteps {
				t.Fatalf("%q: %d %d %d %v are out of bounds", text, plan, used, asked, level)
			}
			encode(&b, key, 6)
			encode(&b, uint64(plan), 1)
			encode(&b, uint64(used), 2)
			encode(&b, uint64(asked), 2)
			encode(&b, uint64(math.Round(level*levelSteps)), 1)
		}
		if b.String() != text {
			t.Fatalf("%q: written again %q", text, b.String())
		}
	})
}
