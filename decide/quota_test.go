package decide

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// The requirement on quotas: in a fleet whose servers have no trouble, the cost of the requests admitted beyond the
// quotas is at most maxExcessCost higher than under a reference policy. The reference policy sees the true state with a
// delay of observationDelay, which is the interval of gateways that notify one another four times a second. Both costs
// are parts of the worth offered, which is the worth of the requests that one gateway would admit if it saw all of
// them.
const (
	maxExcessCost    = 0.1
	observationDelay = 250 * ms
)

// quotaBucket is the token bucket of a customer as the rules define it. It starts full, refills at the rate and holds
// at most the burst.
type quotaBucket struct {
	units, rate, burst float64
	at                 time.Duration
}

func newQuotaBucket(p *Plan, at time.Duration) quotaBucket {
	return quotaBucket{p.Burst, p.Rate, p.Burst, at}
}

// fill brings the bucket up to now.
func (b *quotaBucket) fill(now time.Duration) {
	b.units = min(b.burst, b.units+b.rate*max(0, now-b.at).Seconds())
	b.at = max(b.at, now)
}

// take removes units if the bucket holds as many, and reports whether it did.
func (b *quotaBucket) take(now time.Duration, units float64) bool {
	b.fill(now)
	if b.units < units {
		return false
	}
	b.units -= units
	return true
}

// policyTotals adds up the worth of what one policy admits within the quota, and the cost of what it admits beyond.
type policyTotals struct{ withinQuota, beyondQuota float64 }

// count adds a request of the given worth.
func (p *policyTotals) count(inside bool, worth, overCost float64) {
	if inside {
		p.withinQuota += worth
	} else {
		p.beyondQuota += worth * overCost
	}
}

// simCustomer is a customer and its demand. The demand is a part of the customer's rate, at times far more than the
// rate, and comes in at its gateways unevenly.
type simCustomer struct {
	key                 string
	plan                *Plan
	first, spread       int         // number of its first gateway, and how many gateways it uses
	baseLoad, spikeLoad float64     // demand as a multiple of the rate: normally, and in spikes
	weights             []float64   // part of its requests at each of its gateways
	offered             quotaBucket // the bucket that one gateway would keep if it saw all requests
	sent                quotaBucket // the bucket charged with what the gateways sent
	reference           quotaBucket // the bucket charged with what the reference policy sent
	referenceView       quotaBucket // that bucket as the reference policy sees it, with its delay
	notYetSeen          []referenceSend
}

// referenceSend is a request that the reference policy sent and does not see yet.
type referenceSend struct {
	at    time.Duration
	units float64
}

// admitByReference is the reference policy, which sees the true state with a delay. It reports whether it sends the
// request, and whether that is within the quota.
func (c *simCustomer) admitByReference(now time.Duration, units float64) (sent, inside bool) {
	for len(c.notYetSeen) > 0 && c.notYetSeen[0].at <= now-observationDelay {
		c.referenceView.take(c.notYetSeen[0].at, c.notYetSeen[0].units)
		c.notYetSeen = c.notYetSeen[1:]
	}
	if c.referenceView.fill(now - observationDelay); c.referenceView.units < units {
		return false, false
	}
	c.notYetSeen = append(c.notYetSeen, referenceSend{now, units})
	return true, c.reference.take(now, units)
}

// simEvent is a function that runs at a time.
type simEvent struct {
	at       time.Duration
	sequence int // keeps the order of events at the same time
	do       func()
}

// simEventQueue is a heap of events, the earliest first.
type simEventQueue []simEvent

func (q simEventQueue) Len() int { return len(q) }
func (q simEventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q simEventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// quotaSimulation simulates a fleet whose servers have no trouble. Messages between gateways are delayed or lost, each
// gateway enforces its message rate limit, gateways restart, and demand is uneven and shifts.
type quotaSimulation struct {
	t                            *testing.T
	rnd                          *rand.Rand
	cfg                          Config
	now                          time.Duration
	events                       simEventQueue // what is yet to happen
	eventCount                   int           // events scheduled so far, to keep the order of those at the same time
	gateways                     []*Gateway
	incarnations                 []int // number of starts of each gateway; events for a former incarnation are dropped
	messagesReceived             []int // messages that each gateway received in this second
	customers                    []*simCustomer
	onSend                       map[string]func() // by request ID: counts the request once it is sent
	offered                      float64           // worth that one gateway would admit if it saw all requests
	engine, reference, unlimited policyTotals      // unlimited admits all and counts all as beyond the quota
}

// schedule makes do run at time t.
func (s *quotaSimulation) schedule(t time.Duration, do func()) {
	s.eventCount++
	heap.Push(&s.events, simEvent{t, s.eventCount, do})
}

// startGateway starts or restarts gateway i, which loses its state.
func (s *quotaSimulation) startGateway(i int) {
	cfg := s.cfg
	cfg.Rank = i
	g, err := New(cfg, s.rnd.Int63())
	if err != nil {
		s.t.Fatal(err)
	}
	s.gateways[i] = g
	s.incarnations[i]++
	var servers []Server
	for k := range 20 {
		servers = append(servers, Server{ID: fmt.Sprint("s", k), Zone: "a"})
	}
	s.handle(i, FleetUpdate{Kind: FleetStale, Servers: servers})
}

// handleAt hands an event to a gateway at a later time, unless the gateway has been restarted by then.
func (s *quotaSimulation) handleAt(at time.Duration, i int, ev Event) {
	incarnation := s.incarnations[i]
	s.schedule(at, func() {
		if incarnation == s.incarnations[i] {
			s.handle(i, ev)
		}
	})
}

// handle hands an event to gateway i and carries out its actions.
func (s *quotaSimulation) handle(i int, ev Event) {
	for _, a := range s.gateways[i].Handle(s.now, ev) {
		switch a := a.(type) {
		case SendToPeer:
			if s.rnd.Float64() < 0.055 {
				break
			}
			at := s.now + ms + time.Duration(s.rnd.Int63n(int64(20*ms)))
			s.schedule(at, func() {
				if s.messagesReceived[a.To]++; float64(s.messagesReceived[a.To]) <= s.cfg.PeerIntake {
					s.handle(a.To, PeerMessage{i, a.Text})
				}
			})
		case SetTimer:
			s.handleAt(a.At, i, TimerFired{a.Token})
		case Send:
			if count := s.onSend[a.ID]; count != nil {
				count()
				delete(s.onSend, a.ID)
			}
			elapsed := 50*ms + time.Duration(s.rnd.Int63n(int64(150*ms)))
			s.handleAt(s.now+elapsed, i, AttemptEnded{ID: a.ID, Server: a.Server, Outcome: OK, Elapsed: elapsed,
				RequestDone: true})
		}
	}
}

// request submits one request of a customer, and counts what the engine, the reference policy and a policy without
// limits admit.
func (s *quotaSimulation) request(c *simCustomer) {
	units := 1 + math.Floor(min(7, s.rnd.ExpFloat64()*2))
	p := c.plan
	worth := p.Price * units
	if c.offered.take(s.now, units) {
		s.offered += worth
	}
	if sent, inside := c.admitByReference(s.now, units); sent {
		s.reference.count(inside, worth, p.OverCost)
	}
	s.unlimited.count(false, worth, p.OverCost)
	pick, i := s.rnd.Float64(), 0
	for ; i < c.spread-1 && pick > c.weights[i]; i++ {
		pick -= c.weights[i]
	}
	id := fmt.Sprint(s.eventCount)
	s.onSend[id] = func() { s.engine.count(c.sent.take(s.now, units), worth, p.OverCost) }
	s.handle((c.first+i)%len(s.gateways), Request{ID: id, Class: "get", Plan: p.Name, Customer: c.key, Units: units,
		Deadline: s.now + 2*time.Second, Spread: c.spread, First: c.first})
}

// scheduleDemand schedules the customer's next request at a random time, sooner during a spike.
func (s *quotaSimulation) scheduleDemand(c *simCustomer, spiking bool, until time.Duration) {
	load := c.baseLoad
	if spiking {
		load = max(load, c.spikeLoad)
	}
	s.schedule(s.now+time.Duration(s.rnd.ExpFloat64()*2.9/(load*c.plan.Rate)*float64(time.Second)), func() {
		if s.now > until {
			length := 11*time.Second + time.Duration(s.rnd.Int63n(int64(9*time.Second)))
			if spiking = !spiking && c.spikeLoad > 0; spiking {
				length = 1400*ms + time.Duration(s.rnd.Int63n(int64(3200*ms)))
			}
			until = s.now + length
		}
		s.request(c)
		s.scheduleDemand(c, spiking, until)
	})
}

// shiftWeights draws how a customer's requests are distributed over its gateways, now and again every 8 to 22 s.
func (s *quotaSimulation) shiftWeights(c *simCustomer) {
	c.weights = make([]float64, c.spread)
	sum := 0.0
	for i := range c.weights {
		c.weights[i] = math.Exp(s.rnd.NormFloat64())
		sum += c.weights[i]
	}
	for i := range c.weights {
		c.weights[i] /= sum
	}
	s.schedule(s.now+8*time.Second+time.Duration(s.rnd.Int63n(int64(14*time.Second))), func() { s.shiftWeights(c) })
}

// runQuotaSimulation simulates 40 s of a fleet of n gateways.
func runQuotaSimulation(t *testing.T, n int, seed int64) *quotaSimulation {
	s := &quotaSimulation{t: t, rnd: rand.New(rand.NewSource(seed)), cfg: testConfig(), now: time.Hour,
		gateways: make([]*Gateway, n), incarnations: make([]int, n), messagesReceived: make([]int, n),
		onSend: map[string]func(){}}
	s.cfg.Gateways, s.cfg.PeerIntake = n, 100
	s.cfg.Plans = []Plan{{Name: "small", Rate: 2, Burst: 17.2, Price: 1.2, OverCost: 1.2},
		{Name: "large", Rate: 13, Burst: 32, Price: 1.6, OverCost: 1.2, CeilingRate: 27, CeilingBurst: 67,
			CeilingSlack: 8}}
	for i := range s.gateways {
		s.startGateway(i)
	}
	for i := range 48 {
		c := &simCustomer{key: fmt.Sprintf("%016x", s.rnd.Int63n(1<<33)), plan: &s.cfg.Plans[boolToInt(i%4 == 0)]}
		c.first, c.spread = s.rnd.Intn(n), max(2, n/2+s.rnd.Intn(n/2+1))
		switch c.baseLoad = 0.15 + 0.28*s.rnd.Float64(); {
		case i%12 < 2: // use nearly all of the quota
			c.baseLoad = 0.85 + 0.15*s.rnd.Float64()
		case i%12 < 4: // ask for far more all the time
			c.baseLoad = 1.8 + 3.2*s.rnd.Float64()
		case i%12 < 6: // ask for far more in spikes
			c.spikeLoad = 3 + 4.8*s.rnd.Float64()
		}
		c.offered, c.sent = newQuotaBucket(c.plan, s.now), newQuotaBucket(c.plan, s.now)
		c.reference, c.referenceView = c.sent, newQuotaBucket(c.plan, s.now-observationDelay)
		s.customers = append(s.customers, c)
		s.shiftWeights(c)
		s.scheduleDemand(c, false, s.now+time.Duration(s.rnd.Int63n(int64(15*time.Second))))
	}
	var resetMessageCounts, restarts func()
	resetMessageCounts = func() { clear(s.messagesReceived); s.schedule(s.now+time.Second, resetMessageCounts) }
	restarts = func() { // restarts each gateway with a chance of one in ten, every 5 s
		for i := range s.gateways {
			if s.rnd.Float64() < 0.1 {
				s.startGateway(i)
			}
		}
		s.schedule(s.now+5*time.Second, restarts)
	}
	s.schedule(s.now+time.Second, resetMessageCounts)
	s.schedule(s.now+5*time.Second, restarts)
	for end := s.now + 40*time.Second; s.now < end; {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.do()
	}
	return s
}

// Checks the requirement on quotas, for a few gateways in broadcast mode and for fleets in which quota owners keep the
// quotas. The gateways must not meet it by refusing what is within the quota.
func TestExcessCostIsLimited(t *testing.T) {
	for _, n := range []int{4, 80, 300} {
		var costs []float64
		for seed := range int64(2) {
			s := runQuotaSimulation(t, n, seed+1)
			engine, reference, unlimited := s.engine.beyondQuota/s.offered, s.reference.beyondQuota/s.offered,
				s.unlimited.beyondQuota/s.offered
			costs = append(costs, engine-reference)
			t.Logf("%d gateways, seed %d: admitted within quota %.3f of the worth offered; excess costs %.4f, reference %.4f",
				n, seed+1, s.engine.withinQuota/s.offered, engine, reference)
			if engine > maxExcessCost { // stricter than the requirement: as if the reference policy had no cost
				t.Errorf("%d gateways, seed %d: excess costs %.3f, want %.3f at most", n, seed+1,
					engine, maxExcessCost)
			}
			if s.engine.withinQuota < 0.75*s.offered {
				t.Errorf("%d gateways, seed %d: admitted within quota %.3f of the worth offered, want 0.75 or more", n,
					seed+1,
					s.engine.withinQuota/s.offered)
			}
			if unlimited < reference+3*maxExcessCost {
				t.Errorf("%d gateways, seed %d: admitting everything costs only %.3f, so nothing is tested", n, seed+1,
					unlimited)
			}
		}
		t.Logf("%d gateways: cost at most %.4f above the reference policy", n, slices.Max(costs))
	}
}

// A settlement that comes twice must count once. An owner must apply the plan that the latest query names, whatever
// plan earlier messages named.
func TestSettlementCountsOnceAndLatestPlanApplies(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways, cfg.PeerIntake, cfg.Limits.Peers = 300, 100, true
	g, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	key := uint64(300) // its owner is gateway 0
	plan := len(cfg.Plans) - 1
	send := func(kind byte, plan int, no uint64, v float64) {
		g.Handle(time.Second, PeerMessage{From: 7,
			Text: ownerMessage{kind: kind, key: key, plan: plan, queryNo: no, valueCount: 1,
				values: [4]float64{v}}.text()})
	}
	send('a', 0, 7, 1)
	c := g.customers[key]
	if c == nil || len(c.ownerDecisions) != 1 {
		t.Fatal("the owner query left no record of its answer")
	}
	before := c.sharedLevel
	send('d', 0, 7, 2)
	once := c.sharedLevel
	send('d', 0, 7, 2)
	if !c.ownerDecisions[0].granted || once != before+2 || c.sharedLevel != once {
		t.Errorf("shared level: %v before a settlement, %v after it, %v after the same again", before, once,
			c.sharedLevel)
	}
	send('a', plan, 8, 1)
	if plan == 0 || c.planNo != plan || c.plan != &g.cfg.Plans[plan] {
		t.Errorf("the customer has plan %d, want %d", c.planNo, plan)
	}
}
