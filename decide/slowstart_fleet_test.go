package decide

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"strconv"
	"testing"
	"time"
)

// The fleet of the slow-start simulation. Its servers have figures as on the stated sites, but are fewer and smaller.
const (
	rampServers         = 12
	rampServerSpeed     = 24.0                    // requests of mean work a second of the reference machine when warm
	rampBaseLatency     = 20 * time.Millisecond   // time of an answer in addition to the queued work
	rampMaxQueueDelay   = 400 * time.Millisecond  // a server rejects a request that would wait longer
	rampMaxConnectDelay = 1500 * time.Millisecond // a delayed connection comes up within this, as on the stated days
	rampStart           = 4 * time.Second         // when servers start; before, the gateways learn about the warm ones
	rampDuration        = 7 * time.Second         // how much is simulated of the 10 s that slow start takes
	rampMaxListDelay    = 3 * time.Second         // a gateway is notified of a start within this
)

// rampScenario is what happens while servers start. Its times count from rampStart.
type rampScenario struct {
	name            string
	starting        int           // how many of the rampServers servers start at rampStart
	rejoin          bool          // they have served before, under the same id
	restartEvery    time.Duration // they restart at this interval
	stalledPart     float64       // part of the warm servers that stalls
	stallAt         time.Duration // when they stall
	stallDuration   time.Duration // how long they stall
	burstFactor     float64       // multiple of the demand during a burst
	burstAt         time.Duration // start of the burst, which takes 3 s
	gatewayRestarts bool          // a third of the gateways restart within 3 s of stallAt
	delayedLists    bool          // each gateway is notified of changes at a time of its own, within rampMaxListDelay
	delayedConns    bool          // a third of the new connections are delayed by up to rampMaxConnectDelay
	drain           bool          // half of the starting servers drain after 4 s and serve again after 6 s
	minShare        float64       // minimum for the result of startingShare
}

// rampFleet simulates gateways and servers on one virtual clock.
type rampFleet struct {
	rampScenario
	cfg               Config
	rnd               *rand.Rand
	now               time.Duration
	events            rampEventQueue // what is yet to happen
	eventCount        int            // events scheduled so far, to keep the order of those at the same time
	gateways          []*Gateway
	incarnations      []int     // number of starts of each gateway; events for a former incarnation are dropped
	cumulativeWeights []float64 // running sums of the gateways' weights, to pick a gateway at random
	servers           []*rampServer
	byName            map[string]*rampServer
	requests          map[string]*rampRequest // all requests, by ID
	requestCount      int                     // requests submitted so far, for their IDs
	served            int                     // requests answered
	sentWork          [2]float64              // work sent to warm servers [0] and to starting ones [1] since rampStart
	possibleWork      [2]float64              // work that these servers were able to do in that time
}

// rampServer is a server with a queue. While it starts, its speed grows as the settings say.
type rampServer struct {
	Server
	index        int
	speed        float64            // requests of mean work a second when warm
	freeAt       time.Duration      // when its queue will be empty
	down         bool               // it has stopped and accepts no connection
	notifiedAt   []time.Duration    // when each gateway was notified of the last start
	lastNoticeAt []time.Duration    // when each gateway gets the latest update; none overtakes another
	idleConns    []int              // idle connections of each gateway
	starts       []*rampIncarnation // its incarnations; none for a warm server
}

// rampIncarnation is a server from one start to the next, with the requests that arrived at it.
type rampIncarnation struct {
	from     time.Duration
	arrivals []rampArrival
}

// rampArrival is a request that arrived at a server.
type rampArrival struct {
	at       time.Duration
	work     float64
	notified bool // whether the sender had been notified of the server's start
}

// rampRequest is a request of a client, with the gateway that got it.
type rampRequest struct {
	gateway, incarnation, retries int
	work                          float64
	deadline                      time.Duration // when the client gives up
	ended                         []bool        // by attempt
}

// rampEvent is a function that runs at a time. Events of the same time run in the order of sequence.
type rampEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

// rampEventQueue is a heap of events, the earliest first.
type rampEventQueue []rampEvent

func (q rampEventQueue) Len() int { return len(q) }
func (q rampEventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].sequence < q[k].sequence
}
func (q rampEventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *rampEventQueue) Push(x any)   { *q = append(*q, x.(rampEvent)) }
func (q *rampEventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// schedule makes do run at a time.
func (f *rampFleet) schedule(at time.Duration, do func()) {
	f.eventCount++
	heap.Push(&f.events, rampEvent{at, f.eventCount, do})
}

// randomDelay returns a random duration below d.
func (f *rampFleet) randomDelay(d time.Duration) time.Duration {
	return time.Duration(f.rnd.Int63n(int64(d)))
}

// runRamp simulates a fleet of n gateways in a scenario, with a load of 0.5 to 0.9 of what the servers can do.
func runRamp(t *testing.T, n int, seed int64, scenario rampScenario) *rampFleet {
	f := &rampFleet{rampScenario: scenario, cfg: testConfig(), rnd: rand.New(rand.NewSource(seed)),
		requests: map[string]*rampRequest{}, byName: map[string]*rampServer{}, gateways: make([]*Gateway, n),
		incarnations: make([]int, n)}
	f.cfg.Gateways = n
	f.cfg.Limits.Peers = false // the quota plays no part here
	f.cfg.Limits.ConnKept = 10 * time.Second
	f.cfg.Prices.Handshake = 0.08
	f.cfg.Plans[0].Rate, f.cfg.Plans[0].Burst = 1e6, 1e6
	f.cfg.Safety.FallMultiple, f.cfg.Safety.ColdFrom = 4, 0.18+0.2*f.rnd.Float64()
	totalSpeed := 0.0
	for i := range rampServers {
		s := &rampServer{Server: Server{ID: fmt.Sprint("s", i), Zone: "a"}, index: i,
			notifiedAt: make([]time.Duration, n), lastNoticeAt: make([]time.Duration, n), idleConns: make([]int, n)}
		if s.speed = rampServerSpeed * (0.85 + 0.25*f.rnd.Float64()); i%4 == 0 {
			s.speed = rampServerSpeed * (0.64 + 0.22*f.rnd.Float64())
		}
		totalSpeed += s.speed
		f.servers = append(f.servers, s)
		f.byName[s.ID] = s
	}
	for _, s := range f.servers[:f.starting] {
		totalSpeed -= 0.4 * s.speed // the part that is usually missing while they start
	}
	sum := 0.0
	for range n {
		sum += math.Exp(0.8 * f.rnd.NormFloat64())
		f.cumulativeWeights = append(f.cumulativeWeights, sum)
	}
	for i, s := range f.servers[:f.starting] {
		s.State = Serving
		if !f.rejoin {
			s.State = Removed
		} else {
			f.schedule(rampStart-time.Second, func() { s.down = true })
		}
		last := rampStart
		f.schedule(rampStart, func() { f.startServer(s) })
		for f.restartEvery > 0 && last+f.restartEvery < rampStart+rampDuration {
			last += f.restartEvery
			f.schedule(last, func() { f.startServer(s) })
		}
		if f.drain && i%2 == 0 {
			f.schedule(rampStart+4*time.Second, func() { s.State = Draining; f.announce(s) })
			f.schedule(rampStart+6*time.Second, func() { s.State = Serving; f.announce(s) })
		}
	}
	for i := range f.gateways {
		f.startGateway(t, i)
		if f.gatewayRestarts && i%3 == 0 {
			f.schedule(rampStart+f.stallAt+f.randomDelay(3*time.Second), func() { f.startGateway(t, i) })
		}
	}
	if f.stalledPart > 0 {
		f.schedule(rampStart+f.stallAt, func() {
			for _, s := range f.servers[f.starting:] {
				if f.rnd.Float64() < f.stalledPart {
					s.freeAt = max(s.freeAt, f.now) + f.stallDuration
				}
			}
		})
	}
	f.generateLoad(totalSpeed * (0.5 + 0.4*f.rnd.Float64()))
	for end := rampStart + rampDuration; len(f.events) > 0 && f.events[0].at < end; {
		next := heap.Pop(&f.events).(rampEvent)
		f.now = next.at
		next.do()
	}
	for _, s := range f.servers {
		if k := boolToInt(s.index < f.starting); k == 0 {
			f.possibleWork[k] += s.speed * rampDuration.Seconds()
		} else {
			for i, incarnation := range s.starts {
				to := f.now
				if i+1 < len(s.starts) {
					to = s.starts[i+1].from
				}
				f.possibleWork[k] += s.speed * (f.capacityPart(incarnation, incarnation.from) +
					f.capacityPart(incarnation, to)) / 2 * (to - incarnation.from).Seconds()
			}
		}
	}
	return f
}

// startGateway starts or restarts gateway i, which gets the current list at once.
func (f *rampFleet) startGateway(t *testing.T, i int) {
	cfg := f.cfg
	cfg.Rank = i
	g, err := New(cfg, f.rnd.Int63())
	if err != nil {
		t.Fatal(err)
	}
	f.gateways[i] = g
	f.incarnations[i]++
	var list []Server
	for _, s := range f.servers {
		s.notifiedAt[i], s.idleConns[i] = f.now, 0
		list = append(list, s.Server)
	}
	f.handle(i, FleetUpdate{Kind: FleetFull, Servers: list})
}

// startServer starts or restarts a server. Each gateway is notified at a time of its own.
func (f *rampFleet) startServer(s *rampServer) {
	s.State, s.Started, s.freeAt, s.down = Serving, f.now, f.now, false
	s.starts = append(s.starts, &rampIncarnation{from: f.now})
	for i := range s.notifiedAt {
		s.notifiedAt[i], s.idleConns[i] = math.MaxInt64, 0
	}
	f.announce(s)
}

// announce sends the current entry of a server to each gateway.
func (f *rampFleet) announce(s *rampServer) {
	e := s.Server
	for i := range f.gateways {
		if s.lastNoticeAt[i] = max(s.lastNoticeAt[i], f.now); f.delayedLists {
			s.lastNoticeAt[i] = max(s.lastNoticeAt[i], f.now+f.randomDelay(rampMaxListDelay))
		}
		incarnation := f.incarnations[i]
		f.schedule(s.lastNoticeAt[i], func() {
			if incarnation == f.incarnations[i] {
				if s.Started == e.Started {
					s.notifiedAt[i] = min(s.notifiedAt[i], f.now)
				}
				f.handle(i, FleetUpdate{Kind: FleetDelta, Servers: []Server{e}})
			}
		})
	}
}

// generateLoad submits requestsPerSecond requests a second at random times, at gateways of uneven weight.
func (f *rampFleet) generateLoad(requestsPerSecond float64) {
	var next func()
	next = func() {
		rate, since := requestsPerSecond, f.now-rampStart
		if f.burstFactor > 0 && since >= f.burstAt && since < f.burstAt+3*time.Second {
			rate *= f.burstFactor
		}
		f.schedule(f.now+time.Duration(f.rnd.ExpFloat64()/rate*float64(time.Second)), next)
		f.request(0)
	}
	next()
}

// request submits a request at a random gateway. retries counts the submissions of the same request before.
func (f *rampFleet) request(retries int) {
	i, draw := 0, f.rnd.Float64()*f.cumulativeWeights[len(f.cumulativeWeights)-1]
	for f.cumulativeWeights[i] < draw {
		i++
	}
	f.requestCount++
	id := strconv.Itoa(f.requestCount)
	r := &rampRequest{gateway: i, incarnation: f.incarnations[i], retries: retries, deadline: f.now + 2*time.Second,
		work: 1}
	if draw := f.rnd.Float64(); draw < 0.6 {
		r.work = 0.5
	} else if draw < 0.8 {
		r.work = 2.5 // the mean is 1
	}
	f.requests[id] = r
	f.handle(i, Request{ID: id, Class: "get", Plan: "wide", Customer: "x", Units: 1, Deadline: r.deadline, Spread: 1})
}

// handle hands an event to gateway i and carries out its actions.
func (f *rampFleet) handle(i int, ev Event) {
	incarnation := f.incarnations[i]
	for _, a := range f.gateways[i].Handle(f.now, ev) {
		switch a := a.(type) {
		case SetTimer:
			f.schedule(a.At, func() {
				if incarnation == f.incarnations[i] {
					f.handle(i, TimerFired{a.Token})
				}
			})
		case Send:
			f.send(i, a)
		case Cancel:
			f.scheduleEnd(a.ID, a.Attempt, "", Cancelled, 0)
		case Refuse:
			f.retryByClient(a.ID)
		case Fail:
			f.retryByClient(a.ID)
		}
	}
}

// retryByClient submits the request once more, as its client does after a refusal or a failure.
func (f *rampFleet) retryByClient(id string) {
	if r := f.requests[id]; r != nil && r.retries < 1 {
		f.schedule(f.now+200*ms+f.randomDelay(200*ms), func() { f.request(r.retries + 1) })
	}
}

// scheduleEnd reports the end of an attempt after a delay, unless it has ended by then or its gateway has restarted.
func (f *rampFleet) scheduleEnd(id string, number int, server string, outcome Outcome, delay time.Duration) {
	r, sentAt := f.requests[id], f.now
	f.schedule(f.now+delay, func() {
		if r.incarnation != f.incarnations[r.gateway] || r.ended[number] {
			return
		}
		if r.ended[number] = true; outcome == OK {
			f.served++
		}
		if outcome == OK || outcome == Full {
			f.byName[server].idleConns[r.gateway]++
		}
		f.handle(r.gateway, AttemptEnded{ID: id, Attempt: number, Server: server, Outcome: outcome,
			Elapsed: f.now - sentAt, RequestDone: outcome == OK})
	})
}

// send simulates an attempt: its connection, the server's queue and the answer. The timeout of the attempt runs
// meanwhile.
func (f *rampFleet) send(i int, a Send) {
	s, r := f.byName[a.Server], f.requests[a.ID]
	number := len(r.ended)
	r.ended = append(r.ended, false)
	f.scheduleEnd(a.ID, number, a.Server, TimedOut, a.Timeout)
	delay := time.Duration(0)
	if s.idleConns[i]--; s.idleConns[i] < 0 {
		if s.idleConns[i] = 0; f.delayedConns && f.rnd.Intn(3) == 0 {
			delay = f.randomDelay(rampMaxConnectDelay)
		}
	}
	notified := s.notifiedAt[i] <= f.now
	f.schedule(f.now+delay, func() {
		if r.ended[number] || s.down {
			f.scheduleEnd(a.ID, number, a.Server, NoConnection, ms)
			return
		}
		f.recordArrival(s, r, notified)
		if s.freeAt-f.now > rampMaxQueueDelay {
			f.scheduleEnd(a.ID, number, a.Server, Full, ms)
			return
		}
		speed := s.speed
		if incarnation := s.currentIncarnation(); incarnation != nil {
			speed *= f.capacityPart(incarnation, f.now)
		}
		s.freeAt = max(s.freeAt, f.now) + time.Duration(r.work/speed*float64(time.Second))
		f.scheduleEnd(a.ID, number, a.Server, OK, s.freeAt-f.now+rampBaseLatency)
	})
}

// currentIncarnation returns the latest incarnation of a starting server, or nil for a warm one.
func (s *rampServer) currentIncarnation() *rampIncarnation {
	if len(s.starts) == 0 {
		return nil
	}
	return s.starts[len(s.starts)-1]
}

// capacityPart returns the part of its warm capacity that a server has at a time.
func (f *rampFleet) capacityPart(incarnation *rampIncarnation, at time.Duration) float64 {
	age := max(0, at-incarnation.from).Seconds() / f.cfg.Safety.ColdFor.Seconds()
	return f.cfg.Safety.ColdFrom + (1-f.cfg.Safety.ColdFrom)*min(1, age)
}

// recordArrival counts a request that has reached a server.
func (f *rampFleet) recordArrival(s *rampServer, r *rampRequest, notified bool) {
	if f.now < rampStart {
		return
	}
	f.sentWork[boolToInt(s.index < f.starting)] += r.work
	if incarnation := s.currentIncarnation(); incarnation != nil {
		incarnation.arrivals = append(incarnation.arrivals, rampArrival{f.now, r.work, notified})
	}
}

// worstOverload returns the largest ratio of the work that arrived at a starting server in any window of FallWindow to
// the work that the server can take. Only windows count in which over two thirds of the work came from gateways that
// had been notified of the start.
func (f *rampFleet) worstOverload() (worst float64) {
	p := f.cfg.Safety
	for _, s := range f.servers {
		for _, incarnation := range s.starts {
			sum, notified, first := 0.0, 0.0, 0
			for _, arrival := range incarnation.arrivals {
				sum += arrival.work
				notified += arrival.work * float64(boolToInt(arrival.notified))
				for ; incarnation.arrivals[first].at <= arrival.at-p.FallWindow; first++ {
					sum -= incarnation.arrivals[first].work
					notified -= incarnation.arrivals[first].work *
						float64(boolToInt(incarnation.arrivals[first].notified))
				}
				capacity := p.FallMultiple * f.capacityPart(incarnation, arrival.at-p.FallWindow/2) *
					s.speed * p.FallWindow.Seconds()
				if notified > sum*2/3 {
					worst = max(worst, sum/(capacity+2*math.Sqrt(capacity)+2))
				}
			}
		}
	}
	return worst
}

// startingShare returns the utilization of starting servers as a multiple of that of warm ones, or 0 if no work was
// sent to warm ones.
func (f *rampFleet) startingShare() float64 {
	if f.sentWork[0] == 0 {
		return 0
	}
	return f.sentWork[1] / f.possibleWork[1] / (f.sentWork[0] / f.possibleWork[0])
}

// In fleets of any size and under any disturbance, starting servers must get less work than makes them fall over, but a
// useful share. The share relates to the capacity that they have at the time, and to the load of warm servers.
func TestStartingServersGetUsefulShareWithoutOverload(t *testing.T) {
	const sec = time.Second
	scenarios := []rampScenario{
		{name: "no disturbance", starting: 2, minShare: 0.25},
		{name: "half the servers join", starting: 6, delayedLists: true, gatewayRestarts: true, delayedConns: true,
			stallAt: 3 * sec, minShare: 0.1},
		{name: "stall and burst", starting: 2, stalledPart: 0.8, stallAt: 5 * sec, stallDuration: 2 * sec,
			burstFactor: 3, burstAt: 5 * sec, minShare: 0.2},
		{name: "late burst", starting: 2, burstFactor: 4, burstAt: 5500 * ms, minShare: 0.2},
		{name: "zone returns", starting: 4, rejoin: true, delayedLists: true, burstFactor: 2, burstAt: sec,
			gatewayRestarts: true, minShare: 0.2},
		{name: "repeated restarts", starting: 3, rejoin: true, restartEvery: 3 * sec, drain: true, delayedLists: true,
			stalledPart: 0.4, stallAt: 5 * sec, stallDuration: sec, minShare: 0.2},
		{name: "all servers start", starting: rampServers, gatewayRestarts: true, stallAt: 2 * sec},
	}
	for _, fleet := range []struct{ gateways, firstSeed, seeds int }{{2, 0, 2}, {6, 0, 1}, {20, 0, 1}, {30, 0, 1},
		{80, 22, 1}, {300, 8, 1}} {
		highest := 0.0
		for _, scenario := range scenarios {
			worst, share, served := 0.0, 0.0, 0
			for i := range fleet.seeds {
				f := runRamp(t, fleet.gateways, int64(fleet.firstSeed+i), scenario)
				worst = max(worst, f.worstOverload())
				share += f.startingShare() / float64(fleet.seeds)
				served += f.served
			}
			highest = max(highest, worst)
			t.Logf("%d gateways, %s: %.2f of what a starting server can take, share %.2f, %d served", fleet.gateways,
				scenario.name, worst, share, served)
			if worst > 1 {
				t.Errorf("%d gateways, %s: %.2f of what a starting server can take, want 1 at most", fleet.gateways,
					scenario.name, worst)
			}
			if share < scenario.minShare || served == 0 {
				t.Errorf("%d gateways, %s: share %.2f, %d served, want a share of %v or more and some served",
					fleet.gateways, scenario.name, share, served, scenario.minShare)
			}
		}
		t.Logf("%d gateways: at most %.2f of what a starting server can take", fleet.gateways, highest)
	}
}

// A server drains during some seconds of its slow start, so that gateways can send it nothing. If each gateway kept one
// slow-start token until the server serves again, all of them together would send it more than it can take at once.
// What they may send it at once must be no more than it can take.
func TestSlowStartTokensAreNotHoarded(t *testing.T) {
	const servers, requestsPerSecond, drainTime = 12, 300, 6 * time.Second
	for _, n := range []int{2, 6, 20, 30, 80, 300} {
		cfg := testConfig()
		cfg.Limits.Peers, cfg.Gateways = false, n // the quota plays no part here
		var list []Server
		for i := range servers {
			list = append(list, Server{ID: fmt.Sprint("s", i), Zone: "a"})
		}
		got := 0
		for rank := range n {
			cfg.Rank = rank
			g, err := New(cfg, int64(rank))
			if err != nil {
				t.Fatal(err)
			}
			g.Handle(0, FleetUpdate{Kind: FleetFull, Servers: list})
			now, ids := time.Duration(0), 0
			run := func(until time.Duration) {
				for ; now < until; now += time.Duration(n) * time.Second / requestsPerSecond {
					ids++
					id := strconv.Itoa(ids)
					for _, s := range actionsOf[Send](g.Handle(now,
						Request{ID: id, Class: "get", Plan: "wide", Customer: "x", Units: 1,
							Deadline: now + time.Second, Spread: 1})) {
						g.Handle(now, AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Elapsed: 50 * ms,
							RequestDone: true})
					}
				}
			}
			run(8 * time.Second)
			fresh := Server{ID: "new", Zone: "a", State: Draining, Started: now}
			g.Handle(now, FleetUpdate{Kind: FleetDelta, Servers: []Server{fresh}})
			run(now + drainTime)
			fresh.State = Serving
			g.Handle(now, FleetUpdate{Kind: FleetDelta, Servers: []Server{fresh}})
			got += boolToInt(!g.coldBlocked(g.servers["new"]))
		}
		p := cfg.Safety
		capacity := p.FallMultiple * (p.ColdFrom + (1-p.ColdFrom)*drainTime.Seconds()/p.ColdFor.Seconds()) *
			requestsPerSecond / servers
		if limit := capacity + 2*math.Sqrt(capacity) + 2; float64(got) > limit || got == 0 {
			t.Errorf("%d of %d gateways may send to the server at once, want some and %.0f at most", got, n, limit)
		}
	}
}

// The rate of requests to a cold server follows from the answers of warm ones. It must not grow by attempts that
// reached no server or were not answered successfully, nor by answers that a server gave before it restarted.
func TestColdRateCountsOnlySuccessfulAnswers(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome Outcome
		restart bool // all servers restart
		grows   bool
	}{
		{"answered", OK, false, true}, {"failed", Error, false, false}, {"queue full", Full, false, false},
		{"timed out", TimedOut, false, false}, {"no connection", NoConnection, false, false},
		{"reset", Reset, false, false}, {"cancelled", Cancelled, false, false}, {"moot", NotSent, false, false},
		{"restarted", OK, true, false},
	} {
		h := newHarness(t, nil)
		for range 100 {
			h.now += 20 * ms
			id, actions := h.request("get", "wide", "c", 1)
			for n := 0; n < len(actionsOf[Send](actions)); n++ {
				actions = append(actions, h.endAttempt(id, n, actionsOf[Send](actions)[n].Server, test.outcome)...)
			}
		}
		update := []Server{{ID: "new", Zone: "a", Started: h.now}}
		if test.restart {
			for _, s := range h.g.serverList {
				update = append(update, Server{ID: s.ID, Zone: "a", Started: h.now})
			}
		}
		h.handle(FleetUpdate{Kind: FleetDelta, Servers: update})
		minRate := coldMinRequests / h.g.cfg.Safety.FallWindow.Seconds() / float64(h.g.cfg.Gateways)
		if rate := h.g.coldRate(h.g.servers["new"]); (rate > 2*minRate) != test.grows || rate < minRate {
			t.Errorf("%s: %v requests a second to a cold server, with a minimum of %v", test.name, rate, minRate)
		}
	}
}
