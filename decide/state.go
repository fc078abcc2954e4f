// This file defines the state that a gateway keeps. decide.go says how it is used.

package decide

import (
	"math"
	"math/rand"
	"slices"
	"strings"
	"time"
)

// peer is what a gateway knows of another gateway in broadcast mode.
type peer struct {
	// When the last message came from the peer, and when the last one was sent to it.
	lastHeard time.Duration
	lastSent  time.Duration
	// Epoch and sequence number of the last message from the peer, and the sequence number of the last one sent to it.
	epoch   int
	seq     int
	sentSeq int
	// A message has come from the peer since this gateway started.
	known bool
	// The peer started later than this gateway, so all of its totals are new use.
	startedLater bool
	// Customers whose totals are to be sent to the peer.
	queue []*customer
}

// Gateway makes the decisions of one gateway. New returns one.
type Gateway struct {
	cfg Config
	rng *rand.Rand
	// Time of the latest event, and of the first one.
	now     time.Duration
	started time.Duration
	// The first event has been handled.
	initialized bool
	// Actions of the event that is being handled.
	actions []Action
	classes map[string]*class
	// Numbers of the plans by name.
	plans      map[string]int
	servers    map[string]*server
	serverList []*server // by ID
	requests   map[string]*request
	// Pending timers by token.
	timers       map[uint64]timerTarget
	nextToken    uint64
	customers    map[uint64]*customer
	maxCustomers int // 0: no limit
	// Customers in the order in which they are next checked for eviction.
	evictionQueue []*customer
	// Peers by number; empty in owner mode and where the gateway may not talk to peers.
	peers []peer
	// Random number that distinguishes this run of the gateway from earlier ones.
	epoch int
	// Retries that may still be made; each first attempt adds a part of one.
	retryBudget float64
	// Answers a second of all servers to this gateway.
	answerRate decayingRate
	// Shortest target latency of a class, in seconds.
	shortestTarget float64
	// Moving average of the value per unit of work of the requests.
	typicalValue float64

	// Broadcast mode: every gateway sends its totals to every other. Otherwise customers have owners.
	broadcasts bool
	// Requests that wait for an owner, by number of the query.
	queries     map[uint64]*request
	lastQueryNo uint64
	// Admission window: fraction of the requests that the servers can take. Above 1 they can take all.
	admissionWindow float64
	// Observations a second, of this gateway and reported by others.
	observationRate decayingRate
	// The last observations of this gateway, to be sent with its messages.
	recent recentObservations
	// Servers by their key in messages.
	serversByKey map[uint64]*server
	// Queries a second that this gateway receives as an owner.
	queryRate decayingRate
	// Moving average of the time until an owner responds.
	ownerRoundTrip time.Duration
	// Owners that did not answer, and until when they get no queries.
	silentUntil map[int]time.Duration
	summary     fleetSummary
}

type class struct {
	Class
	// Index of the class in the configuration.
	index int
	// Moving average of the seconds that an answer takes.
	usualTime float64
	// Number of answers to this gateway.
	answers float64
}

// peerTotals is what one peer last reported of a customer.
type peerTotals struct {
	// Totals have been received since the peer or this gateway started.
	known      bool
	receivedAt time.Duration
	// Totals of units used and units demanded. They are two digits each and wrap around.
	used   int
	demand int
	// Demand at the peer, in units a second.
	rate decayingRate
}

// customer is what a gateway knows of a customer. Levels are those of leaky buckets: use raises a level, the rate of
// the plan lowers it, and the bucket is full at the burst of the plan.
type customer struct {
	key    uint64
	plan   *Plan
	planNo int
	// The customer's requests come in through "spread" gateways, from number "first" on.
	first  int
	spread int
	// Time up to which updateQuota has brought the state, and time of the last request or message of the customer.
	updatedAt time.Duration
	lastUsed  time.Duration
	// Level of this gateway's bucket, and its share of the rate and the burst.
	bucketLevel float64
	share       float64
	// Level of the bucket that all gateways fill together, as far as this gateway knows.
	sharedLevel float64
	// bucketLevel has been corrected by what all peers had sent by this time.
	settledAt time.Duration
	// Units a second that are requested at this gateway, whether they are admitted or not.
	demand decayingRate

	// Totals of units used and units demanded, and the total of units demanded that was last sent to peers.
	usedSum    float64
	demandSum  float64
	demandSent float64

	// Units a second that are used through this gateway.
	useRate decayingRate
	// Units a second that the meter reported last, when it did, and the factor on the share that follows from its
	// reports.
	metered     float64
	meterFactor float64
	meteredAt   time.Duration
	// What each peer last reported, and whether the customer is in the queue for that peer.
	peerTotals []peerTotals
	queued     []bool
	// Attempts in flight, and requests that have not ended.
	open     int
	requests int
	// Units that this gateway may still send under the hard ceiling. They accrue at its share of the ceiling's rate.
	ceilingTokens float64

	// As an owner: units a second in queries from all gateways, whether they are granted or not.
	ownerDemand decayingRate
	// Units a second that are requested at all gateways, as the owner reported at totalDemandAt.
	totalDemand   float64
	totalDemandAt time.Duration
	// Requests are refused without a query until this time, as the owner demanded.
	throttledUntil time.Duration
	// As an owner: recent decisions on requests of the customer.
	ownerDecisions []ownerDecision
	// As an owner: seconds that refused customers should wait.
	ownerWait float64
}

// ownerDecision is the decision of an owner on one request of a gateway: a grant or a refusal.
type ownerDecision struct {
	from      int // number of the gateway
	queryNo   uint64
	decidedAt time.Duration
	granted   bool
	open      bool // an attempt is in flight
	// The end of the request has been reported. The report may come twice and must count once.
	settled bool
}

type server struct {
	Server
	// Moving averages: answer time as a multiple of the usual time of the class, and load.
	slowness float64
	avgLoad  float64
	// Time up to which the slowness has decayed.
	slownessAt time.Duration
	// Attempts in flight.
	inFlight int
	// When the attempts were sent that ended without an answer and that the server may still be working on.
	abandoned []time.Duration
	// By class: fraction of the requests left unanswered or failed, and when it was computed. Only missRate applies the
	// decay, which takes longer than that of other rates.
	missRates []decayingRate
	// Key of the server in messages.
	key     uint64
	answers decayingRate
	// Number of idle connections as far as outcomes of attempts tell, and when one last became idle.
	idleConns   int
	idleConnsAt time.Duration
	// Time of the last response: an answer or the beginning of one, an error or a full queue.
	lastResponse time.Duration
	// Slow-start tokens, see coldRate. tokenFraction is the accrued part of the next token at tokenFractionAt. The
	// last token accrued at tokenReadyAt, and tokenReady says that it has not been used.
	tokenFraction   float64
	tokenFractionAt time.Duration
	tokenReadyAt    time.Duration
	tokenReady      bool
	// End of slow start.
	coldUntil time.Duration
}

// fleetSummary sums up the servers. It is computed at each heartbeat and each change of the list, so that no request
// has to do it.
type fleetSummary struct {
	// Number of servers in state Serving, and the load of this gateway at them: attempts in flight and abandoned ones.
	servingCount float64
	openWork     float64
	// Number of these servers that are warm.
	warm int
	// Answers a second of the servers, and the sum of their capacities in units of a warm server.
	answers  float64
	capacity float64
}

type attempt struct {
	server     *server
	index      int // number of the attempt within its request, from 0
	sentAt     time.Duration
	ended      bool
	mayHaveRun bool
}

// timerTarget is what a timer was set for.
type timerTarget struct {
	requestID string
	attempt   int // -1: the query to an owner
	due       time.Duration
}

type request struct {
	Request
	class    *class
	customer *customer
	units    float64
	// An answer after this time is worthless.
	cutoff   time.Duration
	attempts []*attempt
	// Attempts in flight.
	inFlight int
	// A streamed answer has begun.
	streaming bool
	// The final answer has been given.
	finished bool
	queryNo  uint64 // number of the query to the owner
	// Number of turns that owners have had: queries sent, and queries skipped because the owner had not answered
	// before. Each owner gets two turns.
	ownerTurns   int
	firstQueryAt time.Duration
	// A query is open.
	awaitingOwner bool
	// Number of the owner that granted the request, or -1.
	grantedBy int
	// Units used beyond those granted; negative if fewer were used.
	extraUnits float64
	// Why the quota has no room, if it has none.
	reason Reason
}

const heartbeatToken = 1 // timer token of the heartbeat; tokens above it belong to attempts and owner queries

// emit adds an action to those that Handle returns.
func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// New returns a gateway that knows only its configuration. The seed determines its random choices.
func New(cfg Config, seed int64) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, rng: rand.New(rand.NewSource(seed)), classes: map[string]*class{},
		plans: map[string]int{}, servers: map[string]*server{}, requests: map[string]*request{},
		timers: map[uint64]timerTarget{}, nextToken: heartbeatToken + 1, customers: map[uint64]*customer{},
		queries: map[uint64]*request{}, serversByKey: map[uint64]*server{}, silentUntil: map[int]time.Duration{},
		ownerRoundTrip: initialRoundTrip, admissionWindow: 1, retryBudget: maxRetryBudget}
	if g.broadcasts = g.canBroadcast(); g.broadcasts && cfg.Limits.Peers {
		g.peers = make([]peer, cfg.Gateways)
	}
	g.maxCustomers = customerLimit(cfg.CustomerMemory, len(g.peers))
	for i, k := range cfg.Classes {
		g.classes[k.Name] = &class{index: i, Class: k, usualTime: initialUsualTimeFraction * k.Aim.Seconds()}
		if g.shortestTarget == 0 || k.Aim.Seconds() < g.shortestTarget {
			g.shortestTarget = k.Aim.Seconds()
		}
	}
	for i, p := range cfg.Plans {
		g.plans[p.Name] = i
	}
	g.epoch, g.lastQueryNo = g.rng.Intn(64*64), uint64(g.rng.Intn(4096))
	return g, nil
}

// setTimer sets a timer for an attempt of a request, or for its owner query if the number is -1.
func (g *Gateway) setTimer(id string, attempt int, at time.Duration) {
	g.timers[g.nextToken] = timerTarget{id, attempt, at}
	g.emit(SetTimer{at, g.nextToken})
	g.nextToken++
}

// decayingRate is a sum of units that decays exponentially with the time constant rateMemory. It is kept as units a
// second.
type decayingRate struct {
	value     float64
	updatedAt time.Duration
}

func (r *decayingRate) add(now time.Duration, units float64) {
	r.value = r.get(now) + units/rateMemory.Seconds()
	r.updatedAt = now
}

func (r *decayingRate) get(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.updatedAt).Seconds()/rateMemory.Seconds())
}

// servedBy reports whether requests of the customer may come in through the gateway of that number.
func (g *Gateway) servedBy(c *customer, rank int) bool {
	return (rank-c.first+g.cfg.Gateways)%g.cfg.Gateways < c.spread
}

// attempt returns an attempt of a request, or nil if there is none of that number.
func (g *Gateway) attempt(id string, n int) *attempt {
	if r := g.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		return r.attempts[n]
	}
	return nil
}

// server returns the server of that ID. A new one is appended to the list; insertSorted moves it to its
// place.
func (g *Gateway) server(id string) *server {
	if s := g.servers[id]; s != nil {
		return s
	}
	s := &server{slowness: 1, avgLoad: 0.5, missRates: make([]decayingRate, len(g.cfg.Classes)),
		key: hashKey(id) & serverKeyMask}
	g.serversByKey[s.key] = s
	g.servers[id] = s
	g.serverList = append(g.serverList, s)
	return s
}

func byID(a, b *server) int { return strings.Compare(a.ID, b.ID) }

// insertSorted moves the servers from number n on, which are new, to their places in the order of IDs. They are
// sorted first, and from the last one on, the servers behind each of them move up. So no server moves twice, however
// many are new.
func (g *Gateway) insertSorted(n int) {
	added := slices.Clone(g.serverList[n:])
	slices.SortFunc(added, byID)
	for k := len(added) - 1; k >= 0; k-- {
		at, _ := slices.BinarySearchFunc(g.serverList[:n], added[k], byID)
		copy(g.serverList[at+k+1:], g.serverList[at:n])
		g.serverList[at+k], n = added[k], at
	}
}

// ceilingShare returns the part of a customer's hard ceiling that this gateway holds. In owner mode each owner holds
// the same part, and the tokens of other gateways admit nothing.
func (g *Gateway) ceilingShare(c *customer) float64 {
	if !g.broadcasts {
		return 1.0 / ownersPerCustomer
	}
	return 1 / float64(c.spread)
}

// evictServers evicts servers that were removed from the list and have no attempts in flight. A cold one stays until
// it would be warm, so that its budget holds if it comes back. Whether a request may be repeated does not depend on
// this, as its attempts refer to their servers.
func (g *Gateway) evictServers() {
	g.serverList = slices.DeleteFunc(g.serverList, func(s *server) bool {
		if s.State != Removed || s.inFlight > 0 || s.coldUntil > g.now {
			return false
		}
		delete(g.servers, s.ID)
		if g.serversByKey[s.key] == s {
			delete(g.serversByKey, s.key)
		}
		return true
	})
}

// recentObservations are the last few observations of requests of this gateway.
type recentObservations struct {
	items [observationsPerMessage]observation
	count int
}

func (r *recentObservations) add(o observation) {
	if o.class > maxObservedClass {
		return // a message has no digit for it
	}
	copy(r.items[1:], r.items[:])
	r.items[0], r.count = o, min(r.count+1, observationsPerMessage)
}
