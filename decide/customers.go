package decide

import (
	"slices"
	"time"
	"unsafe"
)

// The table of customers.
const (
	// A customer whose state equals that of a new one is evicted this long after its last use. By then its peers
	// have long stopped counting on from the totals that were sent for it: they do so for peerTotalsTTL only.
	customerIdleTTL = 10 * time.Second
	// Customers checked for eviction at each heartbeat: minSweep, plus all customers divided by sweepDivisor.
	minSweep     = 4
	sweepDivisor = 32
	// Customers that are checked for eviction when a new one comes and the table is full.
	roomSweep = 8
	// Bytes of a customer's entries in the map and in the eviction queue, and of its allocations' rounding.
	customerEntryBytes = 128
	// So many customers are known in any case: those of some seconds of a gateway's usual traffic.
	minCustomers = 4096
)

// customerLimit returns how many customers fit into so many bytes, or 0 for no limit.
func customerLimit(memory, peers int) int {
	if memory <= 0 {
		return 0
	}
	perPeer := int(unsafe.Sizeof(peerTotals{}) + unsafe.Sizeof(false))
	perCustomer := int(unsafe.Sizeof(customer{})) + customerEntryBytes + peers*perPeer
	return max(minCustomers, memory/perCustomer)
}

// customer returns the customer of that key. A new one gets the given plan. It returns nil if the customer is new and there
// is no room for it.
func (g *Gateway) customer(key uint64, planNo int) *customer {
	if c := g.customers[key]; c != nil {
		c.lastUsed = g.now
		return c
	}
	if !g.makeRoom() {
		return nil
	}
	p := &g.cfg.Plans[planNo]
	c := &customer{key: key, plan: p, planNo: planNo, spread: g.cfg.Gateways, updatedAt: g.started, lastUsed: g.now,
		peerTotals: make([]peerTotals, len(g.peers)), queued: make([]bool, len(g.peers))}
	c.share, c.meterFactor, c.totalDemandAt = 1/float64(c.spread), 1, -rateMemory
	if !g.broadcasts {
		c.sharedLevel = initialLevel * p.Burst
	}
	// The bucket leaks, and ceiling tokens accrue, since the start of the gateway.
	c.bucketLevel = c.share * initialLevel * p.Burst
	g.customers[key] = c
	g.evictionQueue = append(g.evictionQueue, c)
	return c
}

// setPlan switches a customer to the plan that its request names. It differs from the known one if the
// customer's plan has changed, or if an earlier message named another plan.
func (g *Gateway) setPlan(c *customer, planNo int) {
	if c.planNo == planNo {
		return
	}
	g.updateQuota(c)
	c.plan, c.planNo = &g.cfg.Plans[planNo], planNo
	c.bucketLevel, c.sharedLevel = min(c.bucketLevel, c.share*c.plan.Burst), min(c.sharedLevel, c.plan.Burst)
	c.ceilingTokens = min(c.ceilingTokens, c.plan.CeilingBurst*g.ceilingShare(c))
}

// makeRoom reports whether there is room for a new customer. If the table is full, it looks at a few customers for one that
// can be forgotten: with requests under ever new names most of them have only been refused.
func (g *Gateway) makeRoom() bool {
	if g.maxCustomers == 0 || len(g.customers) < g.maxCustomers {
		return true
	}
	for range min(roomSweep, len(g.evictionQueue)) {
		c := g.evictionQueue[0]
		g.evictionQueue = g.evictionQueue[1:]
		if g.evictable(c) || g.forgettable(c) {
			delete(g.customers, c.key)
			return true
		}
		g.evictionQueue = append(g.evictionQueue, c)
	}
	return false
}

// forgettable reports whether a customer may be forgotten before customerIdleTTL has passed: it has used nothing, and no
// totals of it have been sent to peers or received from them, which peers would count on from.
func (g *Gateway) forgettable(c *customer) bool {
	if !g.idle(c) || c.usedSum != 0 || c.demandSent != 0 {
		return false
	}
	if slices.ContainsFunc(c.peerTotals, func(t peerTotals) bool { return t.known }) {
		return false
	}
	if n := len(c.ownerDecisions); n > 0 {
		return g.now-c.ownerDecisions[n-1].decidedAt > ownerDecisionTTL && g.hasNewLevels(c)
	}
	return true
}

// evictIdleCustomers evicts customers whose state equals that of new ones. It checks a part of all customers at each
// heartbeat. Most customers may come only once, so it has to keep up with new ones however many there are.
func (g *Gateway) evictIdleCustomers() {
	for n := min(len(g.evictionQueue), minSweep+len(g.evictionQueue)/sweepDivisor); n > 0; n-- {
		c := g.evictionQueue[0]
		g.evictionQueue = g.evictionQueue[1:]
		if g.evictable(c) {
			delete(g.customers, c.key)
			continue
		}
		g.evictionQueue = append(g.evictionQueue, c)
	}
}

// evictable reports whether the state of a customer equals that of a customer who comes for the first time now: no
// attempts in flight, nothing to send to peers, empty buckets and all ceiling tokens available.
func (g *Gateway) evictable(c *customer) bool {
	return g.now-c.lastUsed >= customerIdleTTL && g.idle(c) && g.hasNewLevels(c)
}

// idle reports that nothing is under way for a customer: no request, no wait that an owner demanded, no message.
func (g *Gateway) idle(c *customer) bool {
	return c.open == 0 && c.requests == 0 && c.throttledUntil <= g.now && !slices.Contains(c.queued, true)
}

// hasNewLevels reports whether the buckets and ceiling tokens of a customer are those of a new one.
func (g *Gateway) hasNewLevels(c *customer) bool {
	g.updateQuota(c)
	return (c.plan.Rate == 0 || c.bucketLevel == 0 && c.sharedLevel == 0) &&
		(c.plan.CeilingRate == 0 || c.ceilingTokens >= c.plan.CeilingBurst*g.ceilingShare(c))
}
