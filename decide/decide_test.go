package decide

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig has a class for each effect and group that the tests need, and plans with a large quota, a small quota, a
// hard ceiling, and a limit on attempts in flight.
func testConfig() Config {
	return Config{Gateways: 3, Zone: "a", PeerIntake: 40, MaxUnits: 8, SettledLater: true,
		Classes: []Class{
			{Name: "get", Effect: Safe, Aim: time.Second, Deadline: 4 * time.Second, Worth: 1},
			{Name: "put", Effect: Keyed, Group: GroupCell, Window: 2 * time.Second, Aim: time.Second,
				Deadline: 4 * time.Second, Worth: 2},
			{Name: "putall", Effect: Keyed, Group: GroupAll, Window: 2 * time.Second, Aim: time.Second,
				Deadline: 4 * time.Second, Worth: 2},
			{Name: "pay", Effect: Unsafe, Aim: time.Second, Deadline: 4 * time.Second, Worth: 2}},
		Plans: []Plan{
			{Name: "wide", Rate: 1000, Burst: 3000, Price: 1},
			{Name: "small", Rate: 3, Burst: 12, Price: 1},
			{Name: "hard", Rate: 30, Burst: 60, CeilingRate: 30, CeilingBurst: 60, CeilingSlack: 6, Price: 1},
			{Name: "open", MaxOpen: 3, Price: 1}},
		Limits: Limits{MaxAttempts: 3, Cancel: true, Peers: true, RetryAfter: true, MaxRetryAfter: time.Second},
		Safety: Safety{AnswerSlack: 16 * ms, ColdFrom: 0.2, ColdFor: 10 * time.Second, FallMultiple: 2,
			FallWindow: time.Second}}
}

// harness hands events to one gateway, at times that the test sets.
type harness struct {
	t            *testing.T
	g            *Gateway
	now          time.Duration
	requestCount int
}

// newHarness returns a harness whose gateway has taken a list of servers: the given ones or, without any, two servers
// in one cell and one in another. edit may change the configuration; it may be nil.
func newHarness(t *testing.T, edit func(*Config), servers ...Server) *harness {
	t.Helper()
	cfg := testConfig()
	if edit != nil {
		edit(&cfg)
	}
	g, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	if servers == nil {
		servers = []Server{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "a"}, {ID: "s3", Zone: "a", Cell: 1}}
	}
	h := &harness{t: t, g: g, now: time.Hour}
	h.handle(FleetUpdate{Kind: FleetStale, Servers: servers})
	return h
}

// handle hands an event to the gateway and returns its actions.
func (h *harness) handle(ev Event) []Action { return h.g.Handle(h.now, ev) }

// request submits a request with a new ID and returns the ID and the gateway's actions.
func (h *harness) request(class, plan, customer string, units float64) (string, []Action) {
	h.requestCount++
	id := fmt.Sprint("q", h.requestCount)
	return id, h.handle(Request{ID: id, Class: class, Plan: plan, Customer: customer, Units: units,
		Deadline: h.now + 2*time.Second, Spread: 3})
}

// actionsOf returns the actions of type A, in order.
func actionsOf[A Action](actions []Action) (out []A) {
	for _, a := range actions {
		if x, ok := a.(A); ok {
			out = append(out, x)
		}
	}
	return out
}

// mustSend submits a request and fails the test unless the gateway sends it to one server.
func (h *harness) mustSend(class, plan string) (string, Send) {
	h.t.Helper()
	id, actions := h.request(class, plan, "c", 1)
	sends := actionsOf[Send](actions)
	if len(sends) != 1 {
		h.t.Fatalf("%s on %s: got %#v, want one Send", class, plan, actions)
	}
	return id, sends[0]
}

// serve submits a request, answers it at once if the gateway sends it, and reports whether the gateway did.
func (h *harness) serve(class, plan, customer string, units float64) bool {
	id, actions := h.request(class, plan, customer, units)
	sends := actionsOf[Send](actions)
	if len(sends) == 1 {
		h.endAttempt(id, 0, sends[0].Server, OK)
	}
	return len(sends) == 1
}

// endAttempt reports the end of an attempt. After the outcome OK the request is done.
func (h *harness) endAttempt(id string, number int, server string, outcome Outcome) []Action {
	return h.handle(AttemptEnded{ID: id, Attempt: number, Server: server, Outcome: outcome, Elapsed: 20 * ms,
		RequestDone: outcome == OK})
}

// A gateway must not admit more at once than its share of the token bucket, right after its start and later.
func TestBurstStaysWithinQuotaShare(t *testing.T) {
	h := newHarness(t, nil)
	admitted := 0
	for i := 0; i < 20; i++ {
		if h.serve("get", "small", "x", 1) {
			admitted++
		}
	}
	// The share is a third of the burst of 12, and half of that counts as used after a start. Of the request's own
	// units a third has to fit into the share.
	if admitted < 1 || admitted > 3 {
		t.Errorf("admitted %d requests at once after a start, want 1 to 3", admitted)
	}
	h.now += 10 * time.Second
	later := 0
	for i := 0; i < 20; i++ {
		if h.serve("get", "small", "x", 1) {
			later++
		}
	}
	if later <= admitted || later > 5 {
		t.Errorf("admitted %d requests at once after 10 s without any, want %d to 5", later, admitted+1)
	}
}

// The quota must be charged with the true units once they are known, with nothing for an attempt that was never sent,
// and in full for one that failed.
func TestSettlementChargesActualUnits(t *testing.T) {
	h := newHarness(t, nil)
	id, s := h.mustSend("get", "wide")
	c := h.g.customers[hashKey("c")]
	before := c.bucketLevel
	h.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Elapsed: ms, RequestDone: true, ActualUnits: 6})
	if got := c.bucketLevel - before; got != 5 {
		t.Errorf("settling a request of 1 unit at 6 units raised the level by %v, want 5", got)
	}
	id, s = h.mustSend("get", "wide")
	before = c.bucketLevel
	h.endAttempt(id, 0, s.Server, NotSent)
	if got := before - c.bucketLevel; got != 1 {
		t.Errorf("a moot attempt lowered the level by %v, want 1", got)
	}
	id, _ = h.mustSend("pay", "wide")
	before = c.bucketLevel
	h.endAttempt(id, 0, "s1", Error)
	if c.bucketLevel != before {
		t.Errorf("a failed attempt moved the level from %v to %v, want no change", before, c.bucketLevel)
	}
}

// testEntry encodes the usage of one customer for a broadcast message. The level is in digits of a message.
func testEntry(key string, plan, used, demand, level int) string {
	var b strings.Builder
	encode(&b, hashKey(key), 6)
	encode(&b, uint64(plan), 1)
	encode(&b, uint64(used), 2)
	encode(&b, uint64(demand), 2)
	encode(&b, uint64(level), 1)
	return b.String()
}

// testMessage encodes a broadcast message with entries from testEntry.
func testMessage(epoch, seq int, entries ...string) string {
	var b strings.Builder
	b.WriteString(msgVersion)
	encode(&b, uint64(epoch), 2)
	encode(&b, uint64(seq), 2)
	return b.String() + strings.Join(entries, "")
}

// A gateway's share of a quota has to follow its part of the demand. It must not fall below the even share, and has to
// return to it when the peers are silent.
func TestQuotaShareFollowsDemand(t *testing.T) {
	h := newHarness(t, nil)
	h.request("get", "wide", "x", 100)
	c := h.g.customers[hashKey("x")]
	h.handle(PeerMessage{From: 1, Text: testMessage(1, 1, testEntry("x", 0, 0, 0, 0))})
	h.handle(PeerMessage{From: 2, Text: testMessage(1, 1)})
	h.handle(PeerMessage{From: 1, Text: testMessage(1, 2, testEntry("x", 0, 0, 900, 0))})
	h.g.updateQuota(c)
	if math.Abs(c.share-1.0/3) > 1e-9 {
		t.Errorf("share is %v at a tenth of the demand, want the even share as the minimum", c.share)
	}
	h.request("get", "wide", "x", 2700)
	h.g.updateQuota(c)
	if c.share < 0.65 || c.share > 0.8 {
		t.Errorf("share is %v at three quarters of the demand, want about 0.73", c.share)
	}
	h.now += 2 * time.Second
	h.handle(TimerFired{heartbeatToken})
	h.g.updateQuota(c)
	if c.share != 1.0/3 {
		t.Errorf("share is %v while the peers are silent, want the even share", c.share)
	}
}

// Usage that peers report must count against the quota here, and must leak away over time.
func TestPeerUsageIsCharged(t *testing.T) {
	h := newHarness(t, nil)
	h.handle(PeerMessage{From: 1, Text: testMessage(1, 1, testEntry("x", 1, 0, 0, 0))})
	h.handle(PeerMessage{From: 2, Text: testMessage(1, 1)})
	_, actions := h.request("get", "small", "x", 1)
	if len(actionsOf[Send](actions)) != 1 {
		t.Fatalf("refused although all peers reported no usage: %#v", actions)
	}
	h.now += 100 * ms
	h.handle(PeerMessage{From: 1, Text: testMessage(1, 2, testEntry("x", 1, 12, 12, 0))})
	h.handle(PeerMessage{From: 2, Text: testMessage(1, 2)})
	if _, actions = h.request("get", "small", "x", 1); len(actionsOf[Send](actions)) != 0 {
		t.Errorf("sent although a peer reported that the whole burst is used")
	}
	h.now += 2 * time.Second // the peers are silent now, and the usage that they reported leaks away
	if _, actions = h.request("get", "small", "x", 1); len(actionsOf[Send](actions)) != 1 {
		t.Errorf("refused after two seconds of leaking: %#v", actions)
	}
}

// Messages that are duplicate, out of order, malformed or from an impossible sender must not change the usage. The
// totals of a restarted peer must be counted in full.
func TestBadPeerMessageDoesNotChangeUsage(t *testing.T) {
	h := newHarness(t, nil)
	h.handle(PeerMessage{From: 1, Text: testMessage(1, 5, testEntry("x", 1, 0, 0, 0))})
	h.handle(PeerMessage{From: 1, Text: testMessage(1, 6, testEntry("x", 1, 4, 4, 0))})
	c := h.g.customers[hashKey("x")]
	for _, e := range []PeerMessage{
		{From: 1, Text: testMessage(1, 6, testEntry("x", 1, 4, 4, 0))},  // duplicate
		{From: 1, Text: testMessage(1, 5, testEntry("x", 1, 0, 0, 0))},  // out of order
		{From: 0, Text: testMessage(1, 9, testEntry("x", 1, 9, 9, 0))},  // the gateway's own rank
		{From: 9, Text: testMessage(1, 9, testEntry("x", 1, 9, 9, 0))},  // no such gateway
		{From: -1, Text: testMessage(1, 9, testEntry("x", 1, 9, 9, 0))}, // negative rank
		{From: 1, Text: "Z" + testMessage(1, 9, testEntry("x", 1, 9, 9, 0))[1:]},
		{From: 1, Text: testMessage(1, 9, testEntry("x", 1, 9, 9, 0)) + "!"},
		{From: 1, Text: testMessage(1, 9) + "!!!!!!!!!!!!"},
		{From: 1, Text: ""},
	} {
		h.handle(e)
		if c.sharedLevel != 4 {
			t.Fatalf("after %#v the shared level is %v, want 4", e, c.sharedLevel)
		}
	}
	h.handle(PeerMessage{From: 1, Text: testMessage(1, 7, testEntry("y", 60, 9, 9, 0))}) // unknown plan
	// A restarted peer counts from 0 again, so nothing of its totals has been counted yet.
	h.handle(PeerMessage{From: 1, Text: testMessage(2, 1, testEntry("x", 1, 3, 3, 0))})
	if c.sharedLevel != 7 {
		t.Errorf("after the peer's restart the shared level is %v, want 7", c.sharedLevel)
	}
}

// A restarted gateway must take from its peers how much of a quota is used.
func TestRestartedGatewayTakesUsageFromPeers(t *testing.T) {
	h := newHarness(t, nil)
	h.handle(PeerMessage{From: 1, Text: testMessage(1, 40, testEntry("x", 1, 700, 800, 30))})
	h.handle(PeerMessage{From: 2, Text: testMessage(3, 50)})
	if _, actions := h.request("get", "small", "x", 1); len(actionsOf[Send](actions)) != 0 {
		t.Error("a restarted gateway sent a request although its peers reported that the burst is used up")
	}
}

// Messages to peers must stay within maxMessageLen bytes, and together they must report every customer once.
func TestPeerMessagesStayWithinMaxLength(t *testing.T) {
	h := newHarness(t, nil)
	for i := 0; i < 100; i++ {
		h.serve("get", "wide", fmt.Sprint("c", i), 1)
	}
	reported := map[int]int{}
	for i := 0; i < 20; i++ {
		h.now += 200 * ms
		for _, m := range actionsOf[SendToPeer](h.handle(TimerFired{heartbeatToken})) {
			if len(m.Text) > maxMessageLen {
				t.Fatalf("got a message of %d bytes, want %d at most", len(m.Text), maxMessageLen)
			}
			reported[m.To] += (len(m.Text) - msgHeaderLen) / msgEntryLen
		}
	}
	if reported[1] != 100 || reported[2] != 100 || reported[0] != 0 {
		t.Errorf("customers reported, by receiving gateway: %v, want 100 each for 1 and 2", reported)
	}
}

// The limit on attempts in flight must hold, and the end of an attempt must free its slot.
func TestMaxOpenLimitsAttemptsInFlight(t *testing.T) {
	h := newHarness(t, nil)
	h.mustSend("get", "open")
	if _, actions := h.request("get", "open", "c", 1); len(actionsOf[Refuse](actions)) != 1 {
		t.Errorf("a second attempt in flight at a third of a limit of 3: got %#v, want Refuse", actions)
	}
	h.endAttempt("q1", 0, "s1", OK)
	h.mustSend("get", "open")
}

// A gateway must never send more than its part of the hard ceiling, which has no tokens at the start.
func TestHardCeilingHolds(t *testing.T) {
	h := newHarness(t, nil)
	if _, actions := h.request("get", "hard", "x", 8); len(actionsOf[Send](actions)) != 0 {
		t.Fatal("sent at the start, when the ceiling must count as having no tokens")
	}
	sent, start := 0.0, h.now
	for ; h.now < start+20*time.Second; h.now += 50 * ms {
		id, actions := h.request("get", "hard", "x", 4)
		if s := actionsOf[Send](actions); len(s) == 1 {
			sent += 4
			h.endAttempt(id, 0, s[0].Server, OK)
		}
		if limit := 10*(h.now-start).Seconds() + 2; sent > limit+1e-6 {
			t.Fatalf("sent %v units within %v, want a third of the ceiling at most: %v", sent, h.now-start, limit)
		}
	}
	if sent < 100 {
		t.Errorf("sent %v units in 20 s, want 100 or more", sent)
	}
}

// A request whose attempt may have run must be neither repeated nor refused unless the effect of its class allows that.
// A refusal promises the client that trying again does no harm.
func TestRetriesAndRefusalsFollowEffectRules(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		again   bool // a further attempt is allowed
		refuse  bool // when no further attempt is made, a refusal is allowed
	}{
		{"get", Error, true, true}, {"get", TimedOut, true, true}, {"get", Full, true, true},
		{"put", Error, true, false}, {"put", Full, true, true}, {"put", Reset, true, false},
		{"putall", Error, true, true}, {"putall", NoConnection, true, true},
		{"pay", Error, false, false}, {"pay", TimedOut, false, false}, {"pay", Reset, false, false},
		{"pay", Cancelled, false, false}, {"pay", Full, true, true}, {"pay", NoConnection, true, true},
	} {
		h := newHarness(t, nil)
		id, s := h.mustSend(c.class, "wide")
		actions := h.endAttempt(id, 0, s.Server, c.outcome)
		further := actionsOf[Send](actions)
		if (len(further) == 1) != c.again {
			t.Errorf("%s after %v: got %#v, want a further attempt: %v", c.class, c.outcome, actions, c.again)
		}
		if len(further) == 1 && c.class == "put" && !c.outcome.NeverRan() &&
			(further[0].Server == "s3") != (s.Server == "s3") {
			t.Errorf("%s after %v: repeated at %s after %s, which is in another cell", c.class, c.outcome,
				further[0].Server, s.Server)
		}
		h.g.retryBudget = 0 // an empty retry budget forces the final answer
		for i := 1; len(further) == 1; i++ {
			actions = h.endAttempt(id, i, further[0].Server, c.outcome)
			further = actionsOf[Send](actions)
		}
		if len(actionsOf[Refuse](actions)) != boolToInt(c.refuse) ||
			len(actionsOf[Fail](actions)) != boolToInt(!c.refuse) {
			t.Errorf("%s after %v: final answer %#v, want a refusal: %v", c.class, c.outcome, actions, c.refuse)
		}
	}
}

// Servers drop repeats of a keyed request only within its window, so none may be sent later.
func TestKeyedRequestIsNotRetriedAfterWindow(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Classes[2].Aim, c.Classes[2].Window = 3*time.Second, time.Second })
	id, s := h.mustSend("putall", "wide")
	h.now += 1100 * ms
	if actions := h.endAttempt(id, 0, s.Server, Error); len(actionsOf[Send](actions)) != 0 {
		t.Errorf("repeated after the window in which servers drop repeats: %#v", actions)
	}
}

// A connection may come up late, when servers have ceased to drop a repeat of a keyed request. So the gateway tells its
// host until when a repeat may be written. Attempts that servers need not drop as a repeat, and requests that are
// safe to repeat, have no such limit.
func TestWriteBeforeKeepsKeyedRepeatsWithinWindow(t *testing.T) {
	for class, limited := range map[string]bool{"putall": true, "put": true, "get": false} {
		h := newHarness(t, func(c *Config) { c.Limits.Parallel = true })
		first := h.now
		id, s := h.mustSend(class, "wide")
		if s.WriteBefore != 0 {
			t.Errorf("%s: the first attempt must be written before %v, want no limit", class, s.WriteBefore)
		}
		h.now += 500 * ms
		repeats := actionsOf[Send](h.endAttempt(id, 0, s.Server, Error))
		want := time.Duration(0)
		if limited {
			want = first + 2*time.Second - targetMargin
		}
		if len(repeats) != 1 || repeats[0].WriteBefore != want {
			t.Errorf("%s: repeated as %+v, want it to be written before %v", class, repeats, want)
		}
	}
}

// A client leaves while its request waits for the quota owner's response, for the end of an attempt or for the timer of
// an overdue attempt. Whatever event follows, the gateway must not send the request again.
func TestRequestIsNotSentAfterClientLeft(t *testing.T) {
	for name, edit := range map[string]func(*Config){
		"attempt in flight":                         func(c *Config) { c.Limits.Parallel = true },
		"attempt in flight, cancelling not allowed": func(c *Config) { c.Limits.Parallel, c.Limits.Cancel = true, false },
		"owner query":                               func(c *Config) { c.Gateways, c.Rank = 300, 4 },
	} {
		h := newHarness(t, edit)
		id, actions := h.request("get", "wide", "x", 1)
		sent, queries := actionsOf[Send](actions), actionsOf[SendToPeer](actions)
		h.handle(ClientGone{id})
		var later []Action
		for _, a := range sent {
			later = append(later, h.endAttempt(id, 0, a.Server, NoConnection)...)
		}
		for _, a := range queries {
			response, ok := parseOwnerMessage(a.Text)
			if !ok {
				t.Fatalf("%s: malformed owner query %q", name, a.Text)
			}
			response.kind, response.valueCount, response.values = 'r', 4, [4]float64{1}
			later = append(later, h.handle(PeerMessage{From: a.To, Text: response.text()})...)
		}
		if len(sent)+len(queries) == 0 {
			t.Errorf("%s: the request waits for nothing: %#v", name, actions)
		}
		for _, a := range actionsOf[SetTimer](actions) {
			h.now = max(h.now, a.At)
			later = append(later, h.handle(TimerFired{a.Token})...)
		}
		later = append(later, h.handle(FleetUpdate{Kind: FleetDelta, Servers: []Server{{ID: "s4", Zone: "a"}}})...)
		if sends := actionsOf[Send](later); len(sends) > 0 {
			t.Errorf("%s: sent after its client left: %#v", name, sends)
		}
	}
}

// Without servers a request must be refused at once.
func TestRequestWithoutServersIsRefused(t *testing.T) {
	h := newHarness(t, nil, []Server{}...)
	h.handle(FleetUpdate{Kind: FleetFull})
	if _, actions := h.request("get", "wide", "c", 1); len(actionsOf[Refuse](actions)) != 1 {
		t.Errorf("without servers: got %#v, want Refuse", actions)
	}
}

// Draining and removed servers must not get requests, and a failed list call must not drop the list.
func TestDrainingAndRemovedServersGetNoRequests(t *testing.T) {
	h := newHarness(t, nil)
	h.handle(FleetUpdate{Kind: FleetDelta, Servers: []Server{{ID: "s1", State: Draining}}})
	h.handle(FleetUpdate{Kind: FleetDelta, Servers: []Server{{ID: "s2", State: Removed}}})
	for i := 0; i < 8; i++ {
		if _, s := h.mustSend("get", "wide"); s.Server != "s3" {
			t.Fatalf("sent to %s, want s3", s.Server)
		}
		h.endAttempt(fmt.Sprint("q", h.requestCount), 0, "s3", OK)
	}
	h.handle(FleetUpdate{Kind: FleetFull, Servers: []Server{{ID: "s2"}}})
	if _, s := h.mustSend("get", "wide"); s.Server != "s2" {
		t.Errorf("sent to %s, which is not in the full list, want s2", s.Server)
	}
	h.handle(FleetUpdate{Kind: FleetFailed})
	if _, actions := h.request("get", "wide", "c", 1); len(actionsOf[Send](actions)) != 1 {
		t.Errorf("not sent after a failed list call, which must not drop the former list: %#v", actions)
	}
}

// A server in slow start must not get more than its part of the traffic, and has to get a usual part afterwards.
func TestColdServerGetsLimitedTraffic(t *testing.T) {
	h := newHarness(t, nil)
	run := func(d time.Duration) map[string]int {
		counts := map[string]int{}
		for end := h.now + d; h.now < end; h.now += 20 * ms {
			id, s := h.mustSend("get", "wide")
			counts[s.Server]++
			h.now += 5 * ms
			h.endAttempt(id, 0, s.Server, OK)
		}
		return counts
	}
	run(10 * time.Second)
	h.handle(FleetUpdate{Kind: FleetDelta, Servers: []Server{{ID: "s1", Zone: "a", Started: h.now - ms}}})
	counts := run(time.Second)
	warm := float64(counts["s2"]+counts["s3"]) / 2
	if limit := coldBudgetFraction * 2 * 0.3 * warm * 1.2; float64(counts["s1"]) > limit+1 {
		t.Errorf("the cold server got %d requests in its first second, want %v at most", counts["s1"], limit)
	}
	run(10 * time.Second)
	if counts = run(2 * time.Second); counts["s1"] < counts["s2"]/2 {
		t.Errorf("after its slow start the server gets %d requests; by server: %v", counts["s1"], counts)
	}
}

// A server that fails all requests quickly must not attract traffic. When all servers fail alike, none may be left out.
func TestOutlierEjection(t *testing.T) {
	h := newHarness(t, nil)
	failed := 0
	for i := 0; i < 200; i++ {
		id, s := h.mustSend("get", "wide")
		h.now += 20 * ms
		if s.Server != "s1" {
			h.endAttempt(id, 0, s.Server, OK)
			continue
		}
		failed++
		for _, m := range actionsOf[Send](h.endAttempt(id, 0, "s1", Error)) {
			h.endAttempt(id, 1, m.Server, OK)
		}
	}
	if failed > 12 {
		t.Errorf("%d of 200 requests went to a server that fails all of them quickly", failed)
	}
	allFail := newHarness(t, nil)
	for i := 0; i < 100; i++ {
		id, actions := allFail.request("pay", "wide", "c", 1)
		allFail.now += 20 * ms
		if s := actionsOf[Send](actions); len(s) == 1 {
			allFail.endAttempt(id, 0, s[0].Server, Error)
		}
	}
	got := map[string]bool{}
	for i := 0; i < 60; i++ {
		if _, actions := allFail.request("pay", "wide", "c", 1); len(actionsOf[Send](actions)) == 1 {
			got[actionsOf[Send](actions)[0].Server] = true
			allFail.endAttempt(fmt.Sprint("q", allFail.requestCount), 0, actionsOf[Send](actions)[0].Server, Error)
		}
	}
	if len(got) < 3 {
		t.Errorf("with a fault that all servers share only %v get requests", got)
	}
}

// A server that never answers must be found out by its overdue attempts, before their timeouts.
func TestSilentServerIsDetectedByOverdueAttempts(t *testing.T) {
	h := newHarness(t, nil)
	lost := 0
	for i := 0; i < 200; i++ {
		id, s := h.mustSend("get", "wide")
		h.now += 30 * ms
		if s.Server != "s1" {
			h.endAttempt(id, 0, s.Server, OK)
		} else {
			lost++
		}
		for token, ref := range h.g.timers {
			if a := h.g.attempt(ref.requestID, ref.attempt); a != nil && h.now > a.sentAt+time.Second {
				h.handle(TimerFired{token})
			}
		}
	}
	if lost > 40 {
		t.Errorf("%d of 200 requests went to a server that never answers", lost)
	}
}

// What is known of a slow server must fade, or the server would never get a request again.
func TestSlownessFadesOverTime(t *testing.T) {
	h := newHarness(t, nil)
	s := h.g.serverList[0]
	for i := 0; i < 10; i++ {
		h.g.observeOwn(s, h.g.classes["get"], 3*time.Second, false, false)
	}
	slow := h.g.slowness(s)
	h.now += time.Minute
	h.handle(TimerFired{heartbeatToken})
	if got := h.g.slowness(s); slow < 1.3 || got > 1.1 {
		t.Errorf("slowness went from %v to %v in a minute without answers, want it to decay to about 1", slow, got)
	}
}

// Cancelled attempts must count as load for a while, as servers may still work on them.
func TestAbandonedAttemptsCountAsLoad(t *testing.T) {
	h := newHarness(t, nil)
	for range int(sparseOpenAllowance+minOpenPerServer) + 1 { // one above the limit, for 3 servers and 3 gateways
		id, actions := h.request("get", "wide", "c", 1)
		if s := actionsOf[Send](actions); len(s) == 1 {
			h.endAttempt(id, 0, s[0].Server, Cancelled)
		}
	}
	if _, actions := h.request("get", "wide", "c", 1); len(actionsOf[Refuse](actions)) != 1 {
		t.Errorf("sent although the servers are still busy with abandoned attempts: %#v", actions)
	}
	h.now += abandonedTTL + time.Second
	h.mustSend("get", "wide")
}

// Events with unknown classes, plans, ids or tokens, and outcomes that come twice, must have no effect but a refusal.
func TestInvalidEventIsRefusedOrIgnored(t *testing.T) {
	h := newHarness(t, nil)
	for _, e := range []Request{{ID: "a", Class: "none", Plan: "wide"}, {ID: "b", Class: "get", Plan: "none"}} {
		if actions := h.handle(e); len(actionsOf[Refuse](actions)) != 1 {
			t.Errorf("%#v: got %#v, want Refuse", e, actions)
		}
	}
	for _, e := range []Event{AttemptEnded{ID: "zz", Outcome: OK}, ClientGone{"zz"}, TimerFired{1 << 60},
		AnswerStarted{ID: "zz"}, ProbeEnded{Server: "zz"}, Counted{Name: 4}, AttemptEnded{ID: "zz", Attempt: -1}} {
		if actions := h.handle(e); len(actions) != 0 {
			t.Errorf("%#v: got %#v, want nothing", e, actions)
		}
	}
	id, s := h.mustSend("get", "wide")
	h.handle(ClientGone{id})
	if actions := h.endAttempt(id, 0, s.Server, TimedOut); len(actions) != 0 {
		t.Errorf("answered a request whose client has left: %#v", actions)
	}
	if actions := h.endAttempt(id, 0, s.Server, TimedOut); len(actions) != 0 {
		t.Errorf("acted on an outcome that was reported twice: %#v", actions)
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	for want, edit := range map[string]func(*Config){
		"Classes is empty":             func(c *Config) { c.Classes = nil },
		"Rank is 3":                    func(c *Config) { c.Rank = 3 },
		"Gateways is 0":                func(c *Config) { c.Gateways = 0 },
		"Plans[1].Rate is -1":          func(c *Config) { c.Plans[1].Rate = -1 },
		"Plans[2].CeilingBurst is NaN": func(c *Config) { c.Plans[2].CeilingBurst = math.NaN() },
		"Classes[0].Aim is 0s":         func(c *Config) { c.Classes[0].Aim = 0 },
		"Limits.MaxAttempts is 0":      func(c *Config) { c.Limits.MaxAttempts = 0 },
	} {
		cfg := testConfig()
		edit(&cfg)
		if _, err := New(cfg, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with %q", err, want)
		}
	}
}

// Guards against state outside the Gateway: two gateways that get the same random events must take the same actions,
// although another gateway runs between them.
func TestSameEventsGiveSameActions(t *testing.T) {
	one := runRandomEvents(t, 3)
	runRandomEvents(t, 4)
	if two := runRandomEvents(t, 3); !reflect.DeepEqual(one, two) {
		t.Error("the same events gave other actions")
	}
}

// Checks five invariants over long sequences of random valid events: the effects of classes, the limits on attempts,
// draining servers, the hard ceiling, and one final answer in time.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := int64(10); seed < 30; seed++ {
		runRandomEvents(t, seed)
	}
}

// trackedRequest is what runRandomEvents knows of a request. Its attempts are numbered from 0.
type trackedRequest struct {
	req        Request
	class      Class
	attempts   []Send
	sentAt     []time.Duration
	inFlight   map[int]bool
	mayHaveRun map[int]bool
	done       bool
}

// runRandomEvents simulates servers, clients, the list of servers and peers at random, and checks each action.
func runRandomEvents(t *testing.T, seed int64) (log []Action) {
	t.Helper()
	rnd := rand.New(rand.NewSource(seed))
	cfg := testConfig()
	cfg.Limits.Parallel = seed%2 == 0
	g, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	now, start := time.Duration(0), time.Duration(0)
	requests := map[string]*trackedRequest{}
	var order []string
	state := map[string]State{}
	cells := map[string]int{}
	var servers []Server
	for i := 0; i < 5; i++ {
		s := Server{ID: fmt.Sprint("s", i), Zone: "a", Cell: i % 2}
		servers, cells[s.ID] = append(servers, s), s.Cell
	}
	sentUnits := map[string]float64{}
	var handle func(ev Event)
	check := func(a Action) {
		switch a := a.(type) {
		case Send:
			r := requests[a.ID]
			if r == nil || r.done {
				t.Fatalf("seed %d: Send for finished request %s", seed, a.ID)
			}
			if state[a.Server] != Serving {
				t.Fatalf("seed %d: Send to %s, which is draining or removed", seed, a.Server)
			}
			if len(r.attempts) >= cfg.Limits.MaxAttempts || (!cfg.Limits.Parallel && len(r.inFlight) > 0) {
				t.Fatalf("seed %d: attempt %d with %d in flight", seed, len(r.attempts), len(r.inFlight))
			}
			for n := range r.attempts {
				if !r.mayHaveRun[n] || r.class.Effect == Safe {
					continue
				}
				if r.class.Effect == Unsafe || now-r.sentAt[n] > r.class.Window ||
					(r.class.Group == GroupCell && cells[a.Server] != cells[r.attempts[n].Server]) {
					t.Fatalf("seed %d: %s sent to %s after attempt %d may have run", seed, r.class.Name, a.Server, n)
				}
			}
			if len(r.attempts) == 0 && r.req.Plan == "hard" {
				sentUnits[r.req.Customer] += r.req.Units
				if limit := 10*(now-start).Seconds() + 2; sentUnits[r.req.Customer] > limit+1e-6 {
					t.Fatalf("seed %d: ceiling exceeded: sent %v units, want %v at most", seed,
						sentUnits[r.req.Customer], limit)
				}
			}
			n := len(r.attempts)
			r.attempts, r.sentAt = append(r.attempts, a), append(r.sentAt, now)
			r.inFlight[n], r.mayHaveRun[n] = true, true
		case Refuse:
			r := requests[a.ID]
			if r.done {
				t.Fatalf("seed %d: second final answer for %s", seed, a.ID)
			}
			for n := range r.attempts {
				if r.mayHaveRun[n] && (r.class.Effect == Unsafe ||
					(r.class.Effect == Keyed && r.class.Group != GroupAll)) {
					t.Fatalf("seed %d: refused %s after attempt %d may have run", seed, r.class.Name, n)
				}
			}
			r.done = true
		case Fail:
			if requests[a.ID].done {
				t.Fatalf("seed %d: second final answer for %s", seed, a.ID)
			}
			requests[a.ID].done = true
		}
	}
	handle = func(ev Event) {
		actions := g.Handle(now, ev)
		log = append(log, actions...)
		for _, a := range actions {
			check(a)
		}
	}
	handle(FleetUpdate{Kind: FleetStale, Servers: servers})
	end := func(id string, n int, o Outcome) {
		r := requests[id]
		delete(r.inFlight, n)
		if o.NeverRan() {
			r.mayHaveRun[n] = false
		}
		r.done = r.done || o == OK
		handle(AttemptEnded{ID: id, Attempt: n, Server: r.attempts[n].Server, Outcome: o, Elapsed: now - r.sentAt[n],
			RequestDone: r.done, ActualUnits: float64(1 + rnd.Intn(8))})
	}
	for i := 0; i < 3000; i++ {
		now += time.Duration(rnd.Intn(20)) * ms
		switch k := rnd.Intn(20); {
		case k < 9:
			c := cfg.Classes[rnd.Intn(len(cfg.Classes))]
			id := fmt.Sprint("q", i)
			q := Request{ID: id, Class: c.Name, Plan: cfg.Plans[rnd.Intn(len(cfg.Plans))].Name,
				Customer: fmt.Sprint("c", rnd.Intn(6)), Units: float64(1 + rnd.Intn(4)),
				Deadline: now + time.Duration(500+rnd.Intn(1000))*ms, Spread: 3}
			q.Customer += q.Plan
			requests[id] = &trackedRequest{req: q, class: c, inFlight: map[int]bool{}, mayHaveRun: map[int]bool{}}
			order = append(order, id)
			handle(q)
		case k < 11:
			s := &servers[rnd.Intn(len(servers))]
			s.State = State(rnd.Intn(3))
			if rnd.Intn(2) == 0 {
				s.State, s.Started = Serving, now
			}
			state[s.ID] = s.State
			handle(FleetUpdate{Kind: FleetDelta, Servers: []Server{*s}})
		case k < 12:
			handle(PeerMessage{From: 1 + rnd.Intn(2), Text: testMessage(rnd.Intn(2), rnd.Intn(4096),
				testEntry("c1hard", 2, rnd.Intn(4096), rnd.Intn(4096), rnd.Intn(64)))})
		case k < 13:
			handle(TimerFired{heartbeatToken})
		}
		for _, id := range order {
			r := requests[id]
			for n := 0; n < len(r.attempts); n++ {
				if !r.inFlight[n] {
					continue
				}
				if now >= r.sentAt[n]+r.attempts[n].Timeout {
					end(id, n, TimedOut)
				} else if rnd.Intn(12) == 0 {
					end(id, n, Outcome(1+rnd.Intn(7)))
				}
			}
			if !r.done && now > r.req.Deadline+cfg.Safety.AnswerSlack+20*ms {
				t.Fatalf("seed %d: no final answer for %s", seed, id)
			}
		}
		order = filterIDs(order, func(id string) bool { return !requests[id].done || len(requests[id].inFlight) > 0 })
	}
	return log
}

// filterIDs returns the ids for which want reports true.
func filterIDs(ids []string, want func(string) bool) (out []string) {
	for _, id := range ids {
		if want(id) {
			out = append(out, id)
		}
	}
	return out
}

// FuzzPeerMessage hands arbitrary text to the parser of peer messages. It must not panic, and no shared level may
// become negative.
func FuzzPeerMessage(f *testing.F) {
	f.Add(testMessage(1, 1, testEntry("x", 1, 5, 5, 5)))
	f.Add(testMessage(4095, 4095))
	f.Add("b")
	f.Add("a0102zzzz")
	f.Fuzz(func(t *testing.T, text string) {
		g, err := New(testConfig(), 1)
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(time.Second, PeerMessage{From: 1, Text: text})
		for _, c := range g.evictionQueue {
			if c.sharedLevel < 0 || math.IsNaN(c.sharedLevel) {
				t.Errorf("shared level is %v", c.sharedLevel)
			}
		}
	})
}

// While the peers are silent, the metered use of the customer decides this gateway's share.
func TestMeteredUseSetsShareWithoutPeerMessages(t *testing.T) {
	for metered, want := range map[int]float64{1 + 100: 0.9, 1 + 1000: 1.0 / 3, 0: 1.0 / 3} {
		h := newHarness(t, nil)
		id, s := h.mustSend("get", "wide")
		h.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Elapsed: ms, RequestDone: true, Metered: metered})
		c := h.g.customers[hashKey("c")]
		h.g.charge(c, 1800) // 900 units a second over the memory of rates, at a quota of 1000
		if h.g.updateQuota(c); math.Abs(c.share-want) > 0.01 {
			t.Errorf("metered %d: share is %v, want %v", metered, c.share, want)
		}
	}
}

// A few requests in flight at one gateway are chance, not overload. With one or two at each server from all gateways
// together, cheap work must not be shed. Once they amount to a queue at every server, it must be.
func TestFewOpenRequestsCauseNoShedding(t *testing.T) {
	var servers []Server
	for i := range 12 {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "a"})
	}
	h := newHarness(t, func(c *Config) {
		c.Gateways = 4
		c.Plans = append(c.Plans, Plan{Name: "cheap", Rate: 1000, Burst: 3000, Price: 0.1})
	}, servers...)
	for range 400 { // about ten answers a second, as at a small site
		h.now += 100 * ms
		h.serve("get", "wide", "x", 1)
	}
	shedsWith := func(open int) bool {
		for range open {
			h.request("get", "wide", "x", 1)
		}
		h.g.summarizeFleet()
		_, actions := h.request("get", "cheap", "y", 1)
		return len(actionsOf[Send](actions)) == 0
	}
	if shedsWith(6) { // 24 from all four gateways, at 12 servers
		t.Error("cheap work is shed with two requests per server")
	}
	if !shedsWith(60) {
		t.Error("cheap work is admitted with twenty requests per server")
	}
}

// A removed server has to be dropped once no attempt to it is in flight, or the tables grow with every release of the
// fleet. It has to stay while it would still be in slow start: when it comes back under its id, it must not get a new
// slow-start budget.
func TestRemovedServersAreDropped(t *testing.T) {
	h := newHarness(t, nil)
	id, s := h.mustSend("get", "wide")
	h.handle(FleetUpdate{Kind: FleetFull, Servers: []Server{{ID: "new", Zone: "a", Started: h.now}}})
	if len(h.g.servers) != 2 || len(h.g.serverList) != 2 || len(h.g.serversByKey) != 2 {
		t.Errorf("%d, %d and %d servers are known, want the new one and the one with an attempt in flight",
			len(h.g.servers), len(h.g.serverList), len(h.g.serversByKey))
	}
	h.endAttempt(id, 0, s.Server, OK)
	h.handle(FleetUpdate{Kind: FleetDelta, Servers: []Server{{ID: "new", State: Removed}, {ID: "never", State: Removed}}})
	if cold := h.g.servers["new"]; len(h.g.servers) != 1 || cold == nil || cold.State != Removed {
		t.Errorf("known servers are %v, want the one in slow start", h.g.servers)
	}
	h.now += h.g.cfg.Safety.ColdFor
	h.handle(TimerFired{Token: heartbeatToken})
	if len(h.g.servers)+len(h.g.serverList)+len(h.g.serversByKey) != 0 {
		t.Errorf("known servers are %v, want none", h.g.servers)
	}
}

// The list may report a removed server without its cell. The cell decides where a keyed request may be repeated, so the
// gateway has to keep the one that it knows.
func TestRemovedServerKeepsCell(t *testing.T) {
	h := newHarness(t, nil, Server{ID: "s", Zone: "a", Cell: 7})
	h.mustSend("put", "wide")
	h.handle(FleetUpdate{Kind: FleetDelta, Servers: []Server{{ID: "s", State: Removed}}})
	if s := h.g.servers["s"]; s.State != Removed || s.Cell != 7 || s.Zone != "a" {
		t.Errorf("the removed server is known as %+v", s.Server)
	}
}

// Customers that come once have to be dropped as fast as new ones arrive, but only once their state is that of a new
// customer.
func TestOneTimeCustomersAreEvicted(t *testing.T) {
	h := newHarness(t, nil)
	maxKept := 0
	for i := range 20000 { // 100 new ones a second
		h.now += 10 * ms
		h.serve("get", "wide", fmt.Sprint(i), 1)
		if i%10 == 0 {
			for _, p := range []int{1, 2} {
				h.g.peers[p].queue = nil // as if the peers had been sent all of it
			}
			for _, c := range h.g.evictionQueue {
				clear(c.queued)
			}
			h.handle(TimerFired{Token: heartbeatToken})
		}
		maxKept = max(maxKept, len(h.g.customers))
	}
	if maxKept > 2000 || len(h.g.evictionQueue) != len(h.g.customers) {
		t.Errorf("%d customers were kept, want those of a few seconds", maxKept)
	}
	h.serve("get", "small", "deep", 4)
	c := h.g.customers[hashKey("deep")]
	c.bucketLevel, c.sharedLevel = 1000, 1000 // too much to leak away in the time that follows
	h.now += 2 * customerIdleTTL
	clear(c.queued)
	if h.g.evictable(c) {
		t.Error("a customer whose usage has not leaked away would be dropped")
	}
}

// A peer that has dropped a customer counts from 0 again. Its lower totals must not be taken for usage given back.
func TestPeerCountResetDoesNotLowerUsage(t *testing.T) {
	h := newHarness(t, nil)
	h.handle(PeerMessage{From: 1, Text: testMessage(1, 1, testEntry("x", 0, 0, 0, 0))})
	h.handle(PeerMessage{From: 1, Text: testMessage(1, 2, testEntry("x", 0, 50, 50, 1))})
	h.now += customerIdleTTL
	h.serve("get", "wide", "x", 900)
	before := h.g.customers[hashKey("x")].sharedLevel
	h.handle(PeerMessage{From: 1, Text: testMessage(1, 3, testEntry("x", 0, 2, 2, 0))})
	if now := h.g.customers[hashKey("x")].sharedLevel; now < before {
		t.Errorf("the customer's shared level fell from %v to %v", before, now)
	}
}

// A client that the quota refuses is told when the quota has room for it. After a shorter time it would be refused
// again, and with a longer one it would wait without need.
func TestRetryAfterMatchesBucket(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Limits.MaxRetryAfter = time.Minute })
	h.now += time.Minute
	var actions []Action
	for len(actionsOf[Refuse](actions)) == 0 {
		id, a := h.request("get", "small", "x", 1)
		if actions = a; len(actionsOf[Send](actions)) > 0 {
			h.endAttempt(id, 0, actionsOf[Send](actions)[0].Server, OK)
		}
	}
	wait := actionsOf[Refuse](actions)[0].RetryAfter
	c := h.g.customers[hashKey("x")]
	demandBefore := c.demand
	for _, at := range []time.Duration{wait * 9 / 10, wait * 11 / 10} {
		then := *c
		h.g.now = h.now + at
		h.g.updateQuota(&then)
		if then.hasRoom(1) != (at > wait) {
			t.Errorf("the retry-after time is %v; room after %v: %v", wait, at, then.hasRoom(1))
		}
	}
	if c.demand != demandBefore || wait <= 0 {
		t.Errorf("the retry-after time is %v, want more than 0; or the check changed the demand", wait)
	}
}
