package decide

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// gatewayFleet simulates gateways whose messages are delayed, reordered and sometimes lost. The seed is fixed, so that
// runs are reproducible.
type gatewayFleet struct {
	t          *testing.T
	cfg        Config
	gateways   []*Gateway
	rnd        *rand.Rand
	now        time.Duration
	pending    []delivery         // events that the gateways are yet to get
	messagesTo []int              // number of messages sent to each gateway
	usedUnits  float64            // units of all requests sent to servers
	refused    int                // number of requests refused
	unitsByID  map[string]float64 // units of each request
	loss       float64            // chance that a message is lost
	down       map[int]bool       // gateways that get no events
}

// delivery is an event that a gateway gets at a later time.
type delivery struct {
	at time.Duration
	to int
	ev Event
}

// newGatewayFleet starts n gateways. edit may change their configuration; it may be nil.
func newGatewayFleet(t *testing.T, n int, edit func(*Config)) *gatewayFleet {
	t.Helper()
	f := &gatewayFleet{t: t, cfg: testConfig(), rnd: rand.New(rand.NewSource(5)), now: time.Hour,
		gateways: make([]*Gateway, n), messagesTo: make([]int, n), unitsByID: map[string]float64{}, loss: 0.05,
		down: map[int]bool{}}
	f.cfg.Gateways = n
	if edit != nil {
		edit(&f.cfg)
	}
	for i := range f.gateways {
		f.startGateway(i)
	}
	return f
}

// startGateway starts or restarts gateway i, which loses its state and all events on their way to it.
func (f *gatewayFleet) startGateway(i int) {
	cfg := f.cfg
	cfg.Rank = i
	g, err := New(cfg, f.rnd.Int63())
	if err != nil {
		f.t.Fatal(err)
	}
	f.gateways[i] = g
	f.pending = filterDeliveries(f.pending, func(entry delivery) bool { return entry.to != i })
	f.handle(i, FleetUpdate{Kind: FleetStale, Servers: []Server{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "a"}}})
}

// filterDeliveries returns the deliveries for which keep reports true.
func filterDeliveries(deliveries []delivery, keep func(delivery) bool) (out []delivery) {
	for _, entry := range deliveries {
		if keep(entry) {
			out = append(out, entry)
		}
	}
	return out
}

// handle hands an event to gateway i and carries out its actions. Servers answer every request after 30 ms.
func (f *gatewayFleet) handle(i int, ev Event) {
	for _, a := range f.gateways[i].Handle(f.now, ev) {
		switch a := a.(type) {
		case SendToPeer:
			f.messagesTo[a.To]++
			if f.rnd.Float64() >= f.loss && !f.down[a.To] {
				delay := time.Duration(2+f.rnd.Intn(16)) * ms
				f.pending = append(f.pending, delivery{at: f.now + delay, to: a.To, ev: PeerMessage{i, a.Text}})
			}
		case SetTimer:
			f.pending = append(f.pending, delivery{at: a.At, to: i, ev: TimerFired{a.Token}})
		case Send:
			f.usedUnits += f.unitsByID[a.ID]
			f.pending = append(f.pending, delivery{at: f.now + 30*ms, to: i, ev: AttemptEnded{ID: a.ID, Server: a.Server,
				Outcome: OK, Elapsed: 30 * ms, RequestDone: true}})
		case Refuse:
			f.refused++
		}
	}
}

// run advances the clock by d. At intervals of gap it submits a request at the gateway whose number pick returns.
func (f *gatewayFleet) run(d, gap time.Duration, plan string, units float64, pick func(n int) int) {
	for end, n := f.now+d, 0; f.now < end; n++ {
		if i := pick(n); !f.down[i] {
			id := fmt.Sprint(f.now, "-", n)
			f.unitsByID[id] = units
			f.handle(i, Request{ID: id, Class: "get", Plan: plan, Customer: "x", Units: units,
				Deadline: f.now + 2*time.Second, Spread: len(f.gateways)})
		}
		for next := f.now + gap; f.now < next; f.now += 4 * ms {
			var ready []delivery
			f.pending = filterDeliveries(f.pending, func(entry delivery) bool {
				if entry.at <= f.now {
					ready = append(ready, entry)
				}
				return entry.at > f.now
			})
			for _, entry := range ready {
				if !f.down[entry.to] {
					f.handle(entry.to, entry.ev)
				}
			}
		}
	}
}

// While traffic shifts between gateways, all of them together must admit no more than about rate and burst, in small
// and in large fleets. Of what is within the quota they must admit most.
func TestQuotaHoldsOverTheFleet(t *testing.T) {
	for _, n := range []int{3, 300} {
		for _, demand := range []float64{0.5, 4} { // as a multiple of the rate
			f := newGatewayFleet(t, n, nil)
			f.run(3*time.Second, 100*ms, "small", 0, func(int) int { return 0 })
			const rate, units, seconds = 3.0, 2.0, 24.0
			gap := time.Duration(units / (demand * rate) * float64(time.Second))
			for k := 0; k < 3; k++ { // the traffic is concentrated on a tenth of the gateways, then on another tenth
				few := max(1, n/10)
				f.run(8*time.Second, gap, "small", units, func(int) int { return (k*few + f.rnd.Intn(few)) % n })
			}
			upper := rate*seconds + 12 + 2*units
			lower := 0.8 * min(demand*rate*seconds, rate*seconds)
			if f.usedUnits > 1.15*upper || f.usedUnits < lower {
				t.Errorf("%d gateways, demand of %v times the rate: used %v units, want %v to %v", n, demand,
					f.usedUnits, lower, upper)
			}
		}
	}
}

// One customer asks for many times its quota at 300 gateways. Their messages to one another must stay within the
// message rate limit of each.
func TestPeerMessageRateLimitHolds(t *testing.T) {
	f := newGatewayFleet(t, 300, nil)
	f.run(12*time.Second, 4*ms, "small", 2, func(int) int { return f.rnd.Intn(300) })
	for i := range f.messagesTo {
		f.messagesTo[i] = 0
	}
	f.run(5*time.Second, 4*ms, "small", 2, func(int) int { return f.rnd.Intn(300) })
	for i, n := range f.messagesTo {
		if float64(n)/5 > f.cfg.PeerIntake {
			t.Errorf("gateway %d was sent %d messages in 5 s, want %v a second at most", i, n, f.cfg.PeerIntake)
		}
	}
}

// Restarts of most gateways must not make the sum over all gateways exceed the hard ceiling.
func TestHardCeilingHoldsOverTheFleet(t *testing.T) {
	for _, n := range []int{3, 300} {
		f := newGatewayFleet(t, n, nil)
		tokens, last, used := 60.0, f.now, 0.0
		for k := 0; k < 60; k++ {
			if k%10 == 5 {
				for i := range f.gateways {
					if f.rnd.Float64() < 0.9 {
						f.startGateway(i)
					}
				}
			}
			f.run(100*ms, 10*ms, "hard", 4, func(int) int { return f.rnd.Intn(n) })
			tokens = min(60, tokens+30*(f.now-last).Seconds()) - (f.usedUnits - used)
			if last, used = f.now, f.usedUnits; tokens < -6 {
				t.Fatalf("%d gateways: the tokens left under the ceiling fell to %v, want -6 at least", n, tokens)
			}
		}
		if f.usedUnits < 30 {
			t.Errorf("%d gateways: sent %v units in 6 s under a ceiling of 30 a second, want 30 or more", n, f.usedUnits)
		}
	}
}

// While both quota owners of a customer are down, each gateway has to decide by its own bucket and must not refuse most
// requests.
func TestRequestsAreAdmittedWithOwnersDown(t *testing.T) {
	f := newGatewayFleet(t, 300, nil)
	key := hashKey("x")
	for n := 0; n < ownersPerCustomer; n++ {
		f.down[f.gateways[0].owner(key, n)] = true
	}
	f.run(20*time.Second, 1300*ms, "small", 2, func(int) int { return f.rnd.Intn(300) })
	if f.usedUnits < 20 {
		t.Errorf("used %v of 60 units with both owners down, want 20 or more", f.usedUnits)
	}
	f.down = map[int]bool{}
	before := f.usedUnits
	f.run(20*time.Second, 1300*ms, "small", 2, func(int) int { return f.rnd.Intn(300) })
	if got := f.usedUnits - before; got < 24 {
		t.Errorf("used %v of 30 units asked for after the owners came back, want 24 or more", got)
	}
}

// Messages that are malformed, name an unknown plan or come to a gateway that is not the owner must change nothing. A
// repeated query must not be charged twice.
func TestBadOwnerMessageIsRejected(t *testing.T) {
	f := newGatewayFleet(t, 300, nil)
	key := hashKey("x")
	owner := f.gateways[f.gateways[0].owner(key, 0)]
	query := ownerMessage{kind: 'a', key: key, plan: 1, queryNo: 7, valueCount: 1, values: [4]float64{2}}
	other := query
	other.plan = 40
	for _, text := range []string{"", "a", query.text()[:11], query.text() + "!!", "Z" + query.text()[1:], other.text(),
		ownerMessage{kind: 'a', key: key + 1, plan: 1, valueCount: 1}.text(),
		ownerMessage{kind: 'r', key: key, valueCount: 4}.text(),
		ownerMessage{kind: 'a', key: key, plan: 1, valueCount: 1, values: [4]float64{-2}}.text()} {
		if actions := owner.Handle(f.now, PeerMessage{From: 299, Text: text}); len(actions) != 0 ||
			len(owner.customers) > 0 {
			t.Errorf("%q: got %#v, %d customers", text, actions, len(owner.customers))
		}
	}
	for _, from := range []int{-1, 300, owner.cfg.Rank} {
		if actions := owner.Handle(f.now, PeerMessage{From: from, Text: query.text()}); len(actions) != 0 {
			t.Errorf("from %d: got %#v", from, actions)
		}
	}
	first := owner.Handle(f.now, PeerMessage{From: 9, Text: query.text()})
	again := owner.Handle(f.now, PeerMessage{From: 9, Text: query.text()})
	if len(first) != 1 || len(again) != 1 || owner.customers[key].sharedLevel > initialLevel*12+2 {
		t.Errorf("the same query twice: got %#v and %#v, shared level %v", first, again, owner.customers[key].sharedLevel)
	}
}

// A quota owner enforces the limit on attempts in flight over all gateways. The report of an attempt's end frees one
// slot, also when it comes twice. If the report is lost, the slot becomes free when the attempt must have ended. An
// owner that restarts has lost its count and begins at 0.
func TestOwnerCountsAttemptsInFlight(t *testing.T) {
	f := newGatewayFleet(t, 300, nil)
	key := hashKey("x")
	rank := f.gateways[0].owner(key, 0)
	number := uint64(0)
	query := func() bool {
		number++
		w := ownerMessage{kind: 'a', key: key, plan: 3, queryNo: number, valueCount: 1, values: [4]float64{1}}
		responses := actionsOf[SendToPeer](f.gateways[rank].Handle(f.now,
			PeerMessage{From: (rank + 1) % 300, Text: w.text()}))
		if len(responses) != 1 {
			t.Fatalf("query %d: got %#v, want one response", number, responses)
		}
		response, ok := parseOwnerMessage(responses[0].Text)
		return ok && response.values[0] > 0
	}
	granted := func(n int) (ok int) {
		for range n {
			ok += boolToInt(query())
		}
		return ok
	}
	end := ownerMessage{kind: 'd', key: key, plan: 3, queryNo: 1, valueCount: 1}
	if n := granted(5); n != 3 {
		t.Errorf("granted %d attempts at once, want 3", n)
	}
	for range 2 { // the report of the same end twice
		f.gateways[rank].Handle(f.now, PeerMessage{From: (rank + 1) % 300, Text: end.text()})
	}
	if n := granted(5); n != 1 {
		t.Errorf("granted %d attempts after one ended, want 1", n)
	}
	f.now += time.Second
	if n := granted(5); n != 3 {
		t.Errorf("granted %d attempts after all reports of ends were lost, want 3", n)
	}
	f.startGateway(rank)
	if n := granted(5); n != 3 {
		t.Errorf("granted %d attempts after the owner restarted, want 3", n)
	}
}

// While both quota owners are silent, a request must still be answered before its client gives up.
func TestRequestIsAnsweredInTimeWithSilentOwners(t *testing.T) {
	g := newGatewayFleet(t, 300, nil).gateways[4]
	until := time.Hour + 30*ms
	actions := g.Handle(time.Hour, Request{ID: "q", Class: "get", Plan: "small", Customer: "x", Units: 2,
		Deadline: until, Spread: 300})
	for i := 0; i < 5; i++ {
		if timers := actionsOf[SetTimer](actions); len(timers) > 0 && timers[0].At <= until {
			actions = g.Handle(timers[0].At, TimerFired{timers[0].Token})
		}
		if len(actionsOf[Refuse](actions)) == 1 {
			return
		}
	}
	t.Errorf("no answer by the deadline: %#v", actions)
}

// When peers report that most answers are missed, a gateway has to admit fewer requests before it meets the overload
// itself. When they report answers again, it has to admit more.
func TestPeerReportsOfMissedAnswersLowerAdmission(t *testing.T) {
	f := newGatewayFleet(t, 300, nil)
	g := f.gateways[3]
	report := func(missed bool, n int) {
		for i := 0; i < n; i++ {
			v := observation{server: hashKey("s1") & serverKeyMask, relativeTime: 1, missed: missed}
			w := ownerMessage{kind: 'd', key: 1, plan: 0, valueCount: 1, observationCount: 1,
				observations: [observationsPerMessage]observation{v}}
			g.Handle(f.now, PeerMessage{From: 9, Text: w.text()})
		}
	}
	queried := func() (n int) {
		for i := 0; i < 100; i++ {
			id := fmt.Sprint(f.now, i)
			n += len(actionsOf[SendToPeer](g.Handle(f.now,
				Request{ID: id, Class: "get", Plan: "wide", Customer: id, Units: 1,
					Deadline: f.now + time.Second, Spread: 300})))
		}
		return n
	}
	report(true, 40)
	if n := queried(); n > 40 {
		t.Errorf("the owner was queried for %d of 100 requests after 40 missed answers, want 40 at most", n)
	}
	report(false, 120)
	if n := queried(); n < 90 {
		t.Errorf("the owner was queried for %d of 100 requests after 120 answers that came, want 90 or more", n)
	}
}

// When observations show that a server leaves one class of requests unanswered, the gateway must send it the other
// classes only.
func TestServerFailingOneClassDoesNotReceiveIt(t *testing.T) {
	h := newHarness(t, nil)
	for i := 0; i < 8; i++ {
		h.g.observe(h.g.servers["s1"], h.g.classes["pay"], 5, true, false)
	}
	h.g.admissionWindow = maxWindow
	got := map[string]int{}
	for i := 0; i < 30; i++ {
		for _, class := range []string{"pay", "get"} {
			id, s := h.mustSend(class, "wide")
			got[class+s.Server]++
			h.endAttempt(id, 0, s.Server, OK)
		}
	}
	if got["pays1"] > 0 {
		t.Errorf("sent %d requests of a class to a server that does not answer that class: %v", got["pays1"], got)
	}
}

// BenchmarkHandle measures one request with its owner query, the owner's response and the answer, in a fleet of 500
// gateways and 100 servers.
func BenchmarkHandle(b *testing.B) {
	cfg := testConfig()
	cfg.Gateways = 500
	g, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	var servers []Server
	for i := 0; i < 100; i++ {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "a"})
	}
	g.Handle(time.Second, FleetUpdate{Kind: FleetFull, Servers: servers})
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		now := time.Second + time.Duration(i)*ms
		id := fmt.Sprint(i)
		key := fmt.Sprint("c", i%2000)
		g.Handle(now, Request{ID: id, Class: "get", Plan: "wide", Customer: key, Units: 1,
			Deadline: now + time.Second, Spread: 200})
		for no, r := range g.queries {
			w := ownerMessage{kind: 'r', key: r.customer.key, queryNo: no, valueCount: 4, values: [4]float64{1}}
			g.Handle(now, PeerMessage{From: g.owner(r.customer.key, 0), Text: w.text()})
		}
		if r := g.requests[id]; r != nil && len(r.attempts) > 0 {
			g.Handle(now, AttemptEnded{ID: id, Server: r.attempts[0].server.ID, Outcome: OK, Elapsed: ms,
				RequestDone: true})
		}
	}
}
