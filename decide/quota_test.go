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

// The term on quotas: on a quiet day, what is let through beyond them costs at most excessMost more than under a
// policy that sees the true state late. Both costs are parts of the worth offered, which is what one gateway that
// saw all requests would let in. Late is lateBy: the pace of gateways that tell one another four times a second.
const (
	excessMost = 0.1
	lateBy     = 250 * ms
)

// tank is a store of a customer's units as the rules count it: it starts full, fills at the rate and holds the burst.
type tank struct {
	units, rate, burst float64
	at                 time.Duration
}

func newTank(p *Plan, at time.Duration) tank { return tank{p.Burst, p.Rate, p.Burst, at} }

func (s *tank) fill(now time.Duration) {
	s.units = min(s.burst, s.units+s.rate*max(0, now-s.at).Seconds())
	s.at = max(s.at, now)
}

// take reports whether units were there, and takes them if so.
func (s *tank) take(now time.Duration, units float64) bool {
	s.fill(now)
	if s.units < units {
		return false
	}
	s.units -= units
	return true
}

// ledger counts what one way of letting in costs.
type ledger struct{ inside, beyond float64 }

func (l *ledger) count(inside bool, worth, overCost float64) {
	if inside {
		l.inside += worth
	} else {
		l.beyond += worth * overCost
	}
}

// firm is a customer with its demand: a part of its rate, at times far more, spread unevenly over its gateways.
type firm struct {
	key           string
	plan          *Plan
	first, spread int
	use, spike    float64 // times the rate: always, and in spikes
	weights       []float64
	offered       tank // as one gateway that saw all requests would keep it
	sent          tank // by what the gateways sent on
	late          tank // by what the late policy sent on ...
	seen          tank // ... and as it sees that
	unseen        []sentLate
}

type sentLate struct {
	at    time.Duration
	units float64
}

// letLate is the policy that sees the true state late.
func (f *firm) letLate(now time.Duration, units float64) (sent, inside bool) {
	for len(f.unseen) > 0 && f.unseen[0].at <= now-lateBy {
		f.seen.take(f.unseen[0].at, f.unseen[0].units)
		f.unseen = f.unseen[1:]
	}
	if f.seen.fill(now - lateBy); f.seen.units < units {
		return false, false
	}
	f.unseen = append(f.unseen, sentLate{now, units})
	return true, f.late.take(now, units)
}

type moment struct {
	at time.Duration
	n  int // in the order in which they were made
	do func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].n < m[j].n
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	x := old[len(old)-1]
	*m = old[:len(old)-1]
	return x
}

// quietDay plays a fleet without trouble at the servers: late and lost messages, an intake that holds, gateways that
// are restarted, demand that is uneven and shifts.
type quietDay struct {
	t                *testing.T
	rnd              *rand.Rand
	cfg              Config
	now              time.Duration
	due              moments
	made             int
	gws              []*Gateway
	lives            []int
	intake           []int // messages that each gateway took in this second
	firms            []*firm
	asking           map[string]func() // what to count once a request is sent on
	offered          float64
	module, late, no ledger // no: every gateway grants the whole quota
}

func (d *quietDay) at(t time.Duration, do func()) {
	d.made++
	heap.Push(&d.due, moment{t, d.made, do})
}

func (d *quietDay) start(i int) {
	cfg := d.cfg
	cfg.Rank = i
	g, err := New(cfg, d.rnd.Int63())
	if err != nil {
		d.t.Fatal(err)
	}
	d.gws[i] = g
	d.lives[i]++
	var servers []Server
	for k := range 20 {
		servers = append(servers, Server{ID: fmt.Sprint("s", k), Zone: "a"})
	}
	d.handle(i, FleetUpdate{Kind: FleetStale, Servers: servers})
}

// later hands an event to a gateway, unless it was restarted meanwhile.
func (d *quietDay) later(at time.Duration, i int, ev Event) {
	life := d.lives[i]
	d.at(at, func() {
		if life == d.lives[i] {
			d.handle(i, ev)
		}
	})
}

func (d *quietDay) handle(i int, ev Event) {
	for _, a := range d.gws[i].Handle(d.now, ev) {
		switch a := a.(type) {
		case Tell:
			if d.rnd.Float64() < 0.055 {
				break
			}
			at := d.now + ms + time.Duration(d.rnd.Int63n(int64(20*ms)))
			d.at(at, func() {
				if d.intake[a.To]++; float64(d.intake[a.To]) <= d.cfg.PeerIntake {
					d.handle(a.To, PeerMessage{i, a.Text})
				}
			})
		case SetTimer:
			d.later(a.At, i, TimerFired{a.Token})
		case Send:
			if count := d.asking[a.ID]; count != nil {
				count()
				delete(d.asking, a.ID)
			}
			took := 50*ms + time.Duration(d.rnd.Int63n(int64(150*ms)))
			d.later(d.now+took, i, AttemptEnded{ID: a.ID, Server: a.Server, Outcome: OK, Took: took, Done: true})
		}
	}
}

// ask is one request of a firm, judged by the module, by the late policy and by none.
func (d *quietDay) ask(f *firm) {
	units := 1 + math.Floor(min(7, d.rnd.ExpFloat64()*2))
	p := f.plan
	worth := p.Price * units
	if f.offered.take(d.now, units) {
		d.offered += worth
	}
	if sent, inside := f.letLate(d.now, units); sent {
		d.late.count(inside, worth, p.OverCost)
	}
	d.no.count(false, worth, p.OverCost)
	pick, i := d.rnd.Float64(), 0
	for ; i < f.spread-1 && pick > f.weights[i]; i++ {
		pick -= f.weights[i]
	}
	id := fmt.Sprint(d.made)
	d.asking[id] = func() { d.module.count(f.sent.take(d.now, units), worth, p.OverCost) }
	d.handle((f.first+i)%len(d.gws), Request{ID: id, Class: "get", Plan: p.Name, Customer: f.key, Units: units,
		Deadline: d.now + 2*time.Second, Spread: f.spread, First: f.first})
}

// demand asks at random, more in spikes.
func (d *quietDay) demand(f *firm, spiking bool, until time.Duration) {
	use := f.use
	if spiking {
		use = max(use, f.spike)
	}
	d.at(d.now+time.Duration(d.rnd.ExpFloat64()*2.9/(use*f.plan.Rate)*float64(time.Second)), func() {
		if d.now > until {
			length := 11*time.Second + time.Duration(d.rnd.Int63n(int64(9*time.Second)))
			if spiking = !spiking && f.spike > 0; spiking {
				length = 1400*ms + time.Duration(d.rnd.Int63n(int64(3200*ms)))
			}
			until = d.now + length
		}
		d.ask(f)
		d.demand(f, spiking, until)
	})
}

// shift draws how a firm's requests are spread over its gateways, now and again after some seconds.
func (d *quietDay) shift(f *firm) {
	f.weights = make([]float64, f.spread)
	sum := 0.0
	for i := range f.weights {
		f.weights[i] = math.Exp(d.rnd.NormFloat64())
		sum += f.weights[i]
	}
	for i := range f.weights {
		f.weights[i] /= sum
	}
	d.at(d.now+8*time.Second+time.Duration(d.rnd.Int63n(int64(14*time.Second))), func() { d.shift(f) })
}

func playQuietDay(t *testing.T, n int, seed int64) *quietDay {
	d := &quietDay{t: t, rnd: rand.New(rand.NewSource(seed)), cfg: testConfig(), now: time.Hour, gws: make([]*Gateway, n),
		lives: make([]int, n), intake: make([]int, n), asking: map[string]func(){}}
	d.cfg.Gateways, d.cfg.PeerIntake = n, 100
	d.cfg.Plans = []Plan{{Name: "small", Rate: 2, Burst: 17.2, Price: 1.2, OverCost: 1.2},
		{Name: "large", Rate: 13, Burst: 32, Price: 1.6, OverCost: 1.2, CeilingRate: 27, CeilingBurst: 67, CeilingSlack: 8}}
	for i := range d.gws {
		d.start(i)
	}
	for i := range 48 {
		f := &firm{key: fmt.Sprintf("%016x", d.rnd.Int63n(1<<33)), plan: &d.cfg.Plans[b2i(i%4 == 0)]}
		f.first, f.spread = d.rnd.Intn(n), max(2, n/2+d.rnd.Intn(n/2+1))
		switch f.use = 0.15 + 0.28*d.rnd.Float64(); {
		case i%12 < 2: // use nearly all
			f.use = 0.85 + 0.15*d.rnd.Float64()
		case i%12 < 4: // ask for far more for long
			f.use = 1.8 + 3.2*d.rnd.Float64()
		case i%12 < 6: // ask for far more for moments
			f.spike = 3 + 4.8*d.rnd.Float64()
		}
		f.offered, f.sent = newTank(f.plan, d.now), newTank(f.plan, d.now)
		f.late, f.seen = f.sent, newTank(f.plan, d.now-lateBy)
		d.firms = append(d.firms, f)
		d.shift(f)
		d.demand(f, false, d.now+time.Duration(d.rnd.Int63n(int64(15*time.Second))))
	}
	var second, restarts func()
	second = func() { clear(d.intake); d.at(d.now+time.Second, second) }
	restarts = func() { // one in ten, every five seconds
		for i := range d.gws {
			if d.rnd.Float64() < 0.1 {
				d.start(i)
			}
		}
		d.at(d.now+5*time.Second, restarts)
	}
	d.at(d.now+time.Second, second)
	d.at(d.now+5*time.Second, restarts)
	for end := d.now + 40*time.Second; d.now < end; {
		m := heap.Pop(&d.due).(moment)
		d.now = m.at
		m.do()
	}
	return d
}

// TestQuotasHoldOverTheFleet holds the module to the term, for a few gateways that tell all to all and for fleets in
// which homes keep the quotas. It must not do so by refusing what is inside.
func TestQuotasHoldOverTheFleet(t *testing.T) {
	for _, n := range []int{4, 80, 300} {
		var costs []float64
		for seed := range int64(2) {
			d := playQuietDay(t, n, seed+1)
			module, late, no := d.module.beyond/d.offered, d.late.beyond/d.offered, d.no.beyond/d.offered
			costs = append(costs, module-late)
			t.Logf("%d gateways, seed %d: let in inside %.3f of what was offered; beyond it costs %.4f, late policy %.4f",
				n, seed+1, d.module.inside/d.offered, module, late)
			if module > excessMost { // stricter than the term: as if being late cost nothing
				t.Errorf("%d gateways, seed %d: what is let in beyond costs %.3f, want %.3f at most", n, seed+1, module, excessMost)
			}
			if d.module.inside < 0.75*d.offered {
				t.Errorf("%d gateways, seed %d: let in inside %.3f of what was offered, want 0.75", n, seed+1, d.module.inside/d.offered)
			}
			if no < late+3*excessMost {
				t.Errorf("%d gateways, seed %d: letting all in costs %.3f, the day tests nothing", n, seed+1, no)
			}
		}
		t.Logf("%d gateways: %.4f more than late at most", n, slices.Max(costs))
	}
}

// A settlement that comes twice counts once, and a home holds a customer to the plan that a question names, whatever was
// said of it before.
func TestWordsThatComeTwiceOrNameAnotherPlan(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways, cfg.PeerIntake, cfg.Limits.Peers = 300, 100, true
	g, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	key := uint64(300) // its home is gateway 0
	plan := len(cfg.Plans) - 1
	say := func(kind byte, plan int, no uint64, v float64) {
		g.Handle(time.Second, PeerMessage{From: 7, Text: word{kind: kind, key: key, plan: plan, no: no, n: 1, v: [4]float64{v}}.text()})
	}
	say('a', 0, 7, 1)
	c := g.customers[key]
	if c == nil || len(c.grants) != 1 {
		t.Fatal("the question was not answered")
	}
	before := c.whole
	say('d', 0, 7, 2)
	once := c.whole
	say('d', 0, 7, 2)
	if !c.grants[0].ok || once != before+2 || c.whole != once {
		t.Errorf("the bucket held %v, after a settlement %v, after the same again %v", before, once, c.whole)
	}
	say('a', plan, 8, 1)
	if plan == 0 || c.planNo != plan || c.plan != &g.cfg.Plans[plan] {
		t.Errorf("the customer is held to plan %d, want %d", c.planNo, plan)
	}
}
