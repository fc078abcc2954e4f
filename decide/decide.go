// This file holds all decisions and all tuning constants of the package. api.go defines the interface,
// state.go the state of a gateway and codec.go the encoding of messages between gateways. The sections follow
// in this order: constants; events; quota; exchange between peers; quota owners; choice and health of
// servers; attempts and deadlines; safety rules.
//
// A customer's quota holds over all gateways together. They keep it in one of two modes. In broadcast mode
// every gateway sends its totals to every other, and each gateway admits requests by its own bucket, which
// has a share of the rate and the burst. In owner mode, which is used where the message rate limit is too low
// for that, one gateway, the customer's owner, keeps the bucket for all gateways, and the others query it for
// each request.

package decide

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Quota.
const (
	// Time constant with which all rates decay. It is long compared with the gaps between requests and short
	// compared with shifts of traffic.
	rateMemory = 2 * time.Second
	// Fraction of a gateway's even share of the rate that is added to its measured demand, so that the shares
	// of gateways with rare requests stay steady.
	demandPrior = 0.05
	// Level of a bucket after a start, as a fraction of the burst: earlier use is unknown.
	initialLevel = 0.5
	// Once a peer has been silent for this long, the totals from peers no longer correct the buckets.
	peerTimeout = 1 * time.Second
	// The meter reports late. Totals older than this are ignored.
	meterTTL = 3 * time.Second
	// Each meter report multiplies the correction factor on the share by meterIncrease, up to a factor of 1.
	// While the metered total exceeds the rate, the report also multiplies it by meterDecrease.
	meterIncrease = 1.02
	meterDecrease = 0.95
	// Totals of a peer that are older than this are not counted on from.
	peerTotalsTTL = 5 * time.Second
	// Fraction of the slack of a hard ceiling that is used. The rest covers rounding.
	slackFraction = 0.9
	// Messages from other gateways raise the level of a bucket up to this many bursts, so that it drains in a
	// bounded time.
	maxLevelBursts = 4.0
)

// Exchange between peers.
const (
	// Fraction of the configured message rate limit (Config.PeerIntake) that all peers together use.
	messageRateFraction = 0.8
	// Demand that has not been sent to the peers yet is sent once it exceeds this fraction of the burst.
	demandStep = 0.25
	// An idle gateway still sends each peer a message this often, to show that it is alive.
	idleHeartbeat = 400 * time.Millisecond
	// Shortest interval between two heartbeats, however high the message rate limit is.
	minHeartbeatInterval = time.Millisecond
)

// Quota owners. They are used where the message rate limit is too low for broadcasts.
const (
	// Messages a second between any two gateways. Where the message rate limit allows less, customers have
	// owners.
	minBroadcastRate = 2.0
	// Owners of a customer. The second one is the standby for a first one that does not answer.
	ownersPerCustomer = 2
	// Fraction of the message rate limit that is meant for queries to owners. Above it, refused customers
	// have to wait longer.
	queryRateFraction = 0.4
	// Round trip to an owner that is assumed until one has been measured.
	initialRoundTrip = 30 * time.Millisecond
	// A query times out after queryTimeoutFactor times the usual round trip plus queryTimeoutMargin. The
	// margin covers one or two turns of the event loop on either side.
	queryTimeoutFactor = 2.0
	queryTimeoutMargin = 12 * time.Millisecond
	// An owner that left two queries unanswered gets no further queries for this long.
	ownerBackoff = 1 * time.Second
	// An owner remembers its decisions for this long.
	ownerDecisionTTL = 3 * time.Second
	// A grant under a hard ceiling has to be used within this time. The slack of the ceiling covers the
	// delay.
	maxGrantAge = 100 * time.Millisecond
	// Longest time that a refused customer is told to wait.
	maxWait = 30 * time.Second
	// Seconds that refused customers have to wait, at least, while queries exceed their fraction of the
	// message rate limit. With each further refusal the wait is multiplied by waitIncrease; with each other
	// decision it is multiplied by waitDecrease.
	minWait      = 0.1
	waitIncrease = 1.15
	waitDecrease = 0.9
	// Interval of the heartbeat in owner mode.
	maintenanceInterval = 100 * time.Millisecond
)

// Servers.
const (
	// Gain of the moving average of a class's answer time, its usual time. It is low because all servers are
	// compared with that time.
	usualTimeGain = 0.03
	// Gain of the moving average of a server's slowness: its answer time as a multiple of the usual time. A
	// few answers are enough to tell.
	slownessGain = 0.2
	// Usual time of a class before any answer, as a fraction of its target latency (Class.Aim).
	initialUsualTimeFraction = 0.2
	// Shortest time constant with which slowness decays towards 1. It decays so that servers that are not
	// used get another try.
	minHealthMemory = 2 * time.Second
	// Factor on the estimate of a server in another zone.
	crossZoneFactor = 1.03
	// Factor on the estimate of a server without an idle connection, where connections have a price
	// (Prices.Handshake).
	newConnFactor = 2.5
	// Fraction of the budget of a cold server that is used when its requests come evenly over time. The
	// derivation is at coldRate.
	coldBudgetFraction = 0.5
	// Largest fraction of the budget of a cold server that may arrive within one FallWindow.
	coldWindowFraction = 0.75
	// Requests per FallWindow that all gateways together may send to a cold server in any case.
	coldMinRequests = 0.5
	// The slowness of a server is remembered for the time in which it gives this many answers, but for no
	// longer than maxHealthMemory, in seconds.
	memoryAnswers   = 4.0
	maxHealthMemory = 20.0
	// The miss rate of a class at a server is remembered for this many times as long as its slowness.
	missMemoryFactor = 2.0
	// Gain of the moving average of a miss rate: the fraction of a class's requests that a server leaves
	// unanswered or fails.
	missGain = 0.25
	// Observations that a message of the owner protocol carries. With twice as many the admission window
	// reacted to chance.
	observationsPerMessage = 3
	// A server whose miss rate is at most this much above the lowest one counts as equal to the best.
	missTolerance = 0.2
	// Usable servers that are considered for one request, starting at a random place in the list.
	maxCandidates = 64
)

// Attempts.
const (
	// An abandoned attempt, which the server may still be working on, counts as load for no longer than this.
	abandonedTTL = 1500 * time.Millisecond
	// Fraction of the shortest target latency. Work in flight is capped at what the servers answer in that
	// time; see overload.
	openWorkFraction = 0.7
	// The cap on work in flight is at least this many attempts per server, over all gateways: so many can
	// coincide by chance.
	minOpenPerServer = 8.0
	// Subtracted from the target latency, as the answer has to be back at the client within it.
	targetMargin = 6 * time.Millisecond
	// An attempt is overdue after overdueFactor times its estimate, but no earlier than after minOverdue.
	overdueFactor = 4.0
	minOverdue    = 150 * time.Millisecond
	// Retries per first attempt: each first attempt adds this to the retry budget, up to a budget of
	// maxRetryBudget.
	retryBudgetRatio = 0.05
	maxRetryBudget   = 10.0
	// Attempts in flight that never count as overload where traffic is sparse: a single one says nothing
	// there.
	sparseOpenAllowance = 4.0
	// Fraction of the cap on work in flight above which the least valuable requests are shed.
	shedThreshold = 0.25
	// Each unanswered request, observed here or reported by a peer, multiplies the admission window by
	// windowDecrease, and each answered one by windowIncrease. The window stays the same where one request of
	// six is unanswered. It limits admission only as far as traffic is sparse.
	windowDecrease = 0.85
	windowIncrease = 1.03
	// Smallest admission window. It lets in enough to find out that an overload is over.
	minWindow = 0.08
	// Largest admission window. Above 1 nothing is shed; the room above it absorbs chance.
	maxWindow = 2.2
	// A request is hopeless if its estimate exceeds this fraction of the time left.
	maxEstimateFraction = 0.8

	// Advice to the client on when to retry, where no bucket determines it.
	defaultRetryAfter = 200 * time.Millisecond
)

// Handle processes one event at the time now and returns the actions to carry out, in order.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.actions = nil
	g.now = max(now, g.now)
	if !g.initialized {
		g.initialized, g.started = true, g.now
		g.emit(SetTimer{g.now + g.heartbeatInterval(), heartbeatToken})
	}
	switch e := ev.(type) {
	case FleetUpdate:
		g.onFleetUpdate(e)
	case Request:
		g.onRequest(e)
	case AnswerStarted:
		if a := g.attempt(e.ID, e.Attempt); a != nil {
			g.requests[e.ID].streaming = true
			a.server.lastResponse = g.now
		}
	case AttemptEnded:
		g.onAttemptEnded(e)
	case ClientGone:
		g.finish(g.requests[e.ID])
	case TimerFired:
		g.onTimer(e.Token)
	case PeerMessage:
		g.onPeerMessage(e)
	}
	return g.actions
}

// onTimer runs a heartbeat, or handles the timer of an owner query or of an attempt.
func (g *Gateway) onTimer(token uint64) {
	if token == heartbeatToken {
		g.heartbeat()
		return
	}
	target, ok := g.timers[token]
	delete(g.timers, token)
	if r := g.requests[target.requestID]; ok && target.attempt < 0 && r != nil && r.awaitingOwner {
		g.ownerTimedOut(r, target.due)
	} else if a := g.attempt(target.requestID, target.attempt); ok && a != nil && !a.ended {
		g.onOverdue(r, a)
	}
}

// ---- Quota.

// updateQuota brings a customer's buckets, ceiling tokens and share up to the current time.
//
// The share is this gateway's part of the demand of all gateways, and never less than an even share. In owner
// mode the total demand is the one that the owner reported, if that was within rateMemory. In broadcast mode
// it is the sum of what the peers reported. Where it is not known, as with a silent peer, the share follows
// the meter, or is even where the meter reports nothing.
func (g *Gateway) updateQuota(c *customer) {
	elapsed := (g.now - c.updatedAt).Seconds()
	c.updatedAt = g.now
	c.bucketLevel = max(0, c.bucketLevel-c.share*c.plan.Rate*elapsed)
	c.sharedLevel = max(0, c.sharedLevel-c.plan.Rate*elapsed)
	evenShare, ceilingShare := 1/float64(c.spread), g.ceilingShare(c)
	c.ceilingTokens = min(c.ceilingTokens+c.plan.CeilingRate*ceilingShare*elapsed,
		c.plan.CeilingBurst*ceilingShare)
	ownDemand := c.demand.get(g.now) + demandPrior*c.plan.Rate*evenShare
	if !g.broadcasts && g.now-c.totalDemandAt < rateMemory {
		c.share = min(1, max(evenShare, ownDemand/max(ownDemand, c.totalDemand)))
		return
	}
	allDemand := ownDemand
	oldestHeard := g.now
	for i := range g.peers {
		if i != g.cfg.Rank && g.servedBy(c, i) {
			allDemand += c.peerTotals[i].rate.get(g.now) + demandPrior*c.plan.Rate*evenShare
			if oldestHeard = min(oldestHeard, g.peers[i].lastHeard); !g.peers[i].known {
				oldestHeard = g.now - peerTimeout
			}
		}
	}
	c.share = evenShare
	if g.now-oldestHeard >= peerTimeout || allDemand == 0 || (len(g.peers) == 0 && c.spread > 1) {
		if c.metered > 0 && g.now-c.meteredAt < meterTTL {
			c.share = max(evenShare, min(1, c.meterFactor*c.useRate.get(g.now)/c.metered))
		}
		return
	}
	c.share = max(evenShare, ownDemand/allDemand)
	if c.spread > 1 && oldestHeard > c.settledAt {
		// If the total demand exceeds the rate, all gateways compete for the units that leak out. Each then
		// keeps to its own share, and its level may only be raised.
		if c.settledAt = oldestHeard; allDemand <= c.plan.Rate {
			c.bucketLevel = 0
		}
		c.bucketLevel = max(c.bucketLevel, c.share*c.sharedLevel)
	}
}

// admit records the demand of a request and reports whether this gateway's part of the quota has room. It is
// used in broadcast mode.
func (g *Gateway) admit(c *customer, r *request) bool {
	g.updateQuota(c)
	c.demand.add(g.now, r.units)
	if c.demandSum += r.units; c.demandSum-c.demandSent > demandStep*c.plan.Burst {
		c.demandSent = c.demandSum
		// Charged units are queued at once (see charge), demand only in steps.
		g.queueForPeers(c, 0, len(g.peers))
	}
	// A hard ceiling has room if this gateway's share of the ceiling tokens, of which there are none at a
	// start, and an even share of the slack cover the units.
	return c.hasRoom(r.units) && (c.plan.CeilingRate == 0 ||
		c.ceilingTokens+slackFraction*c.plan.CeilingSlack/float64(c.spread) >= r.units)
}

// hasRoom reports whether this gateway's bucket and its share of the cap on attempts in flight have room for
// so many units. The share of the cap is rounded up, so that no gateway is left without any.
func (c *customer) hasRoom(units float64) bool {
	return (c.plan.Rate == 0 || c.bucketLevel+c.share*units <= c.share*c.plan.Burst) &&
		(c.plan.MaxOpen == 0 || float64(c.open) < math.Ceil(c.share*float64(c.plan.MaxOpen)))
}

// timeUntilRoom returns how long it takes until the quota has room for so many units. The client is advised
// to wait for that time.
func (g *Gateway) timeUntilRoom(c *customer, units float64) time.Duration {
	wait := (c.throttledUntil - g.now).Seconds()
	if plan := c.plan; plan.Rate > 0 {
		wait = max(wait, (c.bucketLevel+c.share*(units-plan.Burst))/(c.share*plan.Rate))
	}
	if plan := c.plan; plan.CeilingRate > 0 {
		slack := slackFraction * plan.CeilingSlack / float64(c.spread)
		wait = max(wait, (units-slack-c.ceilingTokens)/(plan.CeilingRate*g.ceilingShare(c)))
	}
	if wait <= 0 { // only the cap on attempts in flight has no room, and it does not depend on time
		return defaultRetryAfter
	}
	return time.Duration(min(wait, maxWait.Seconds()) * float64(time.Second))
}

// observeMeter records the metered use of a customer that an answer reports. It determines the share while
// peers are silent. percent is 1 + the use in percent of the rate.
func (g *Gateway) observeMeter(c *customer, percent int) {
	c.metered, c.meteredAt = float64(percent-1)/100*c.plan.Rate, g.now
	c.meterFactor = min(1, c.meterFactor*meterIncrease)
	if c.metered > c.plan.Rate {
		c.meterFactor *= meterDecrease
	}
}

// charge counts units as used, or returns them if negative, and queues the new totals for the peers.
func (g *Gateway) charge(c *customer, units float64) {
	c.bucketLevel += units
	if g.broadcasts {
		c.sharedLevel += units
	}
	c.usedSum += units
	c.useRate.add(g.now, units)
	g.queueForPeers(c, 0, len(g.peers))
}

// addPeerUse adds units that other gateways used to the shared level, up to maxLevelBursts bursts.
func (c *customer) addPeerUse(units float64) {
	c.sharedLevel = max(0, min(c.sharedLevel+units, maxLevelBursts*c.plan.Burst))
}

// ---- Exchange between peers.

// canBroadcast reports whether the message rate limit lets every gateway send to every other often enough.
// Without peers nothing is sent, and the limit does not matter.
func (g *Gateway) canBroadcast() bool {
	return !g.cfg.Limits.Peers ||
		messageRateFraction*g.cfg.PeerIntake >= minBroadcastRate*float64(g.cfg.Gateways-1)
}

// heartbeatInterval returns the interval between two heartbeats. In broadcast mode it is as short as the
// message rate limit allows, and at most a second.
func (g *Gateway) heartbeatInterval() time.Duration {
	if !g.broadcasts {
		return maintenanceInterval
	}
	perSecond := messageRateFraction * g.cfg.PeerIntake / float64(max(1, g.cfg.Gateways-1))
	return max(minHeartbeatInterval, time.Duration(float64(time.Second)/max(perSecond, 1)))
}

// queueForPeers queues the totals of a customer for the gateways with numbers from "from" to below "to" that
// may receive the customer's requests.
func (g *Gateway) queueForPeers(c *customer, from, to int) {
	for i := from; i < to; i++ {
		if i != g.cfg.Rank && g.servedBy(c, i) && !c.queued[i] {
			c.queued[i] = true
			g.peers[i].queue = append(g.peers[i].queue, c)
		}
	}
}

// heartbeat sends each peer what is queued for it, sums up the servers and evicts idle customers. It sets the
// timer of the next heartbeat.
func (g *Gateway) heartbeat() {
	g.emit(SetTimer{g.now + g.heartbeatInterval(), heartbeatToken})
	for i := range g.peers {
		p := &g.peers[i]
		if i == g.cfg.Rank || (len(p.queue) == 0 && g.now-p.lastSent < idleHeartbeat) {
			continue
		}
		p.lastSent, p.sentSeq = g.now, (p.sentSeq+1)%4096
		g.emit(SendToPeer{i, g.nextMessage(i, p)})
	}
	g.summarizeFleet()
	g.evictIdleCustomers()
}

// nextMessage returns a message to a peer with as many of the customers queued for it as fit.
func (g *Gateway) nextMessage(to int, p *peer) string {
	var b strings.Builder
	encodeHeader(&b, g.epoch, p.sentSeq)
	count := min(len(p.queue), (maxMessageLen-msgHeaderLen)/msgEntryLen)
	for _, c := range p.queue[:count] {
		c.queued[to] = false
		c.lastUsed = g.now
		g.updateQuota(c)
		c.encode(&b)
	}
	p.queue = slices.Delete(p.queue, 0, count)
	return b.String()
}

// onPeerMessage processes a message of a peer. In owner mode it is one of the owner protocol. Broadcast
// messages carry running totals, so lost and repeated ones do no harm. The sequence number reveals late
// messages, and the epoch a restart of the peer.
func (g *Gateway) onPeerMessage(e PeerMessage) {
	epoch, seq, ok := parseHeader(e.Text)
	other := e.From >= 0 && e.From < g.cfg.Gateways && e.From != g.cfg.Rank
	if other && !g.broadcasts {
		g.onOwnerMessage(e.From, e.Text)
	}
	if !ok || !other || len(g.peers) == 0 {
		return
	}
	p := &g.peers[e.From]
	if p.known && p.epoch == epoch && wrappedDiff(p.seq, seq) <= 0 {
		return
	}
	if !p.known || p.epoch != epoch {
		g.resetPeer(e.From, p)
	}
	p.epoch, p.seq, p.known, p.lastHeard = epoch, seq, true, g.now
	for s := e.Text[msgHeaderLen:]; s != ""; s = s[msgEntryLen:] {
		g.applyEntry(e.From, p, s[:msgEntryLen])
	}
}

// resetPeer handles the first message of a peer, or the first one after its restart. The totals of the peer
// start anew, and all customers are queued for it.
func (g *Gateway) resetPeer(from int, p *peer) {
	p.startedLater = p.known
	for _, c := range g.evictionQueue {
		c.peerTotals[from].known = false
		g.queueForPeers(c, from, from+1)
	}
}

// applyEntry adds what an entry of a peer's message reports of a customer. The differences from the previous
// totals count. The first totals after a gap are the base for the next ones, and of these first ones only the
// level counts, if it is above the known one. After a restart of the peer its totals count from 0.
func (g *Gateway) applyEntry(from int, p *peer, entry string) {
	customerKey, planNo, used, demand, level := parseEntry(entry)
	if planNo >= len(g.cfg.Plans) {
		return
	}
	c := g.customer(customerKey, planNo)
	if c == nil {
		return // like a lost message
	}
	g.updateQuota(c)
	totals := &c.peerTotals[from]
	switch {
	case !totals.known && p.startedLater:
		totals.used, totals.demand = 0, 0
	case !totals.known || g.now-totals.receivedAt > peerTotalsTTL:
		// The peer may have evicted the customer since, and count from 0 again.
		totals.used, totals.demand = used, demand
		c.sharedLevel = max(c.sharedLevel, level*c.plan.Burst)
	}
	totals.known, totals.receivedAt = true, g.now
	c.addPeerUse(wrappedDiff(totals.used, used))
	totals.rate.add(g.now, max(0, wrappedDiff(totals.demand, demand)))
	totals.used, totals.demand = used, demand
}

// ---- Quota owners. Where the message rate limit is too low for broadcasts, a gateway's share of a burst is
// less than one request, and its last message from a peer is older than the time that a bucket covers. There
// the owner of a customer keeps the bucket for all gateways. A request waits for the owner's response, which
// takes a few turns of the event loop. Only without a response does this gateway's own bucket decide.

// owner returns the number of the customer's nth owner, the gateway that keeps the customer's bucket. All
// gateways compute the same one.
func (g *Gateway) owner(key uint64, n int) int {
	first := int(key % uint64(g.cfg.Gateways))
	if n == 0 {
		return first
	}
	return (first + 1 + int(key>>18%uint64(g.cfg.Gateways-1))) % g.cfg.Gateways
}

// queryOwner gets the decision of the customer's owner on a request. Each owner is queried twice, as messages
// may be lost. An owner that did not answer is skipped for a while. Without any response this gateway's own
// bucket decides, but nothing is admitted under a hard ceiling.
func (g *Gateway) queryOwner(r *request) {
	c := r.customer
	for ; r.ownerTurns < 2*ownersPerCustomer && g.now < r.cutoff; r.ownerTurns++ {
		owner := g.owner(c.key, r.ownerTurns/2)
		if owner == g.cfg.Rank {
			ok, _ := g.decideAsOwner(c, owner, r.queryNo, r.units)
			r.grantedBy = owner
			g.decide(r, ok)
			return
		}
		if g.silentUntil[owner] > g.now {
			continue
		}
		r.ownerTurns++
		if r.awaitingOwner = true; r.firstQueryAt == 0 {
			r.firstQueryAt = g.now
		}
		g.queries[r.queryNo] = r
		g.sendOwnerMessage(owner, 'a', c, r.queryNo, r.units)
		g.setTimer(r.ID, -1,
			min(r.cutoff,
				g.now+queryTimeoutMargin+time.Duration(queryTimeoutFactor*float64(g.ownerRoundTrip))))
		return
	}
	r.awaitingOwner = false
	g.updateQuota(c)
	g.decide(r, c.plan.CeilingRate == 0 && c.hasRoom(r.units))
}

// ownerTimedOut handles a query that was not answered in time. A gateway that was itself delayed waits a
// little longer: the response may be among the events that it has yet to process.
func (g *Gateway) ownerTimedOut(r *request, due time.Duration) {
	if g.now-due > queryTimeoutMargin && g.now < r.cutoff {
		g.setTimer(r.ID, -1, min(r.cutoff, g.now+queryTimeoutMargin))
		return
	}
	if r.ownerTurns%2 == 0 {
		g.silentUntil[g.owner(r.customer.key, r.ownerTurns/2-1)] = g.now + ownerBackoff
	}
	delete(g.queries, r.queryNo)
	g.queryOwner(r)
}

// decideAsOwner decides on a request as the customer's owner, by the bucket for all gateways, and returns how
// many seconds refused customers should wait. It enforces the rate, the cap on attempts in flight and the
// hard ceiling. A query that arrives twice gets the same decision and counts once.
func (g *Gateway) decideAsOwner(c *customer, from int, queryNo uint64,
	units float64) (ok bool, wait float64) {
	g.updateQuota(c)
	inFlight := 0
	for i := range c.ownerDecisions {
		decision := &c.ownerDecisions[i]
		if decision.from == from && decision.queryNo == queryNo {
			return decision.granted, c.ownerWait
		}
		decision.open = decision.open && (g.now-decision.decidedAt).Seconds() < g.shortestTarget
		inFlight += boolToInt(decision.open)
	}
	c.ownerDecisions = slices.DeleteFunc(c.ownerDecisions,
		func(d ownerDecision) bool { return g.now-d.decidedAt > ownerDecisionTTL })
	c.ownerDemand.add(g.now, units)
	ok = (c.plan.Rate == 0 || c.sharedLevel+units <= c.plan.Burst) &&
		(c.plan.MaxOpen == 0 || inFlight < c.plan.MaxOpen) &&
		(c.plan.CeilingRate == 0 || c.ceilingTokens >= units)
	if ok {
		c.sharedLevel += units
		c.ceilingTokens -= units
	}
	if !ok && g.queryRate.get(g.now) > queryRateFraction*g.cfg.PeerIntake {
		c.ownerWait = min(maxWait.Seconds(), max(c.ownerWait, minWait)*waitIncrease)
	} else {
		c.ownerWait *= waitDecrease
	}
	c.ownerDecisions = append(c.ownerDecisions, ownerDecision{from: from, queryNo: queryNo,
		decidedAt: g.now, granted: ok, open: ok && c.plan.MaxOpen > 0})
	return ok, c.ownerWait
}

// settleWithOwner reports the end of a request to the owner that granted it: the units used beyond those
// granted, and that its attempt has ended.
func (g *Gateway) settleWithOwner(r *request, extraUnits float64) {
	if r.grantedBy < 0 || (extraUnits == 0 && r.customer.plan.MaxOpen == 0) {
		return
	}
	if r.grantedBy == g.cfg.Rank {
		g.settleGrant(r.customer, g.cfg.Rank, r.queryNo, extraUnits)
	} else {
		g.sendOwnerMessage(r.grantedBy, 'd', r.customer, r.queryNo, extraUnits)
	}
}

// settleGrant applies, as an owner, the report of the end of a request that it has granted. A second report
// of the same request has no effect.
func (g *Gateway) settleGrant(c *customer, from int, queryNo uint64, extraUnits float64) {
	for i := range c.ownerDecisions {
		if d := &c.ownerDecisions[i]; d.from == from && d.queryNo == queryNo && d.granted && !d.settled {
			g.updateQuota(c)
			c.addPeerUse(extraUnits)
			d.open, d.settled = false, true
		}
	}
}

// onOwnerMessage processes a message of the owner protocol. Messages that are malformed, name an unknown plan
// or go to a gateway that does not own the customer are dropped.
func (g *Gateway) onOwnerMessage(from int, text string) {
	msg, ok := parseOwnerMessage(text)
	if !ok || msg.plan >= len(g.cfg.Plans) {
		return
	}
	for _, seen := range msg.observations[:msg.observationCount] {
		if s := g.serversByKey[seen.server]; s != nil && seen.class < len(g.cfg.Classes) {
			g.observe(s, g.classes[g.cfg.Classes[seen.class].Name],
				seen.relativeTime, seen.missed, seen.failed)
		}
	}
	delete(g.silentUntil, from)
	isOwner := g.owner(msg.key, 0) == g.cfg.Rank || g.owner(msg.key, 1) == g.cfg.Rank
	switch {
	case msg.kind == 'a' && msg.valueCount == 1 && msg.values[0] >= 0 && isOwner:
		g.queryRate.add(g.now, 1)
		c := g.customer(msg.key, msg.plan)
		if c == nil {
			return // like a lost message
		}
		g.setPlan(c, msg.plan)
		ok, wait := g.decideAsOwner(c, from, msg.queryNo, msg.values[0])
		g.sendOwnerMessage(from, 'r', c, msg.queryNo,
			float64(boolToInt(ok)), c.sharedLevel, c.ownerDemand.get(g.now), wait)
	case msg.kind == 'd' && msg.valueCount == 1 && isOwner:
		if c := g.customers[msg.key]; c != nil {
			c.lastUsed = g.now
			g.settleGrant(c, from, msg.queryNo, msg.values[0])
		}
	case msg.kind == 'r' && msg.valueCount == 4:
		g.onOwnerResponse(from, msg)
	}
}

// onOwnerResponse applies the response of an owner: it sets the share and the level of this gateway's bucket
// and admits or refuses the request. A response that comes from another gateway, or that belongs to no open
// query, is dropped.
func (g *Gateway) onOwnerResponse(from int, msg ownerMessage) {
	r := g.queries[msg.queryNo]
	if r == nil || r.customer.key != msg.key || (from != g.owner(msg.key, 0) && from != g.owner(msg.key, 1)) {
		return
	}
	ok, sharedLevel := msg.values[0] > 0, msg.values[1]
	delete(g.queries, msg.queryNo)
	if r.ownerTurns == 1 {
		g.ownerRoundTrip += time.Duration(0.1 * float64(g.now-r.firstQueryAt-g.ownerRoundTrip))
	}
	r.awaitingOwner = false
	c := r.customer
	ok = ok && (c.plan.CeilingRate == 0 || g.now-r.firstQueryAt <= maxGrantAge)
	c.totalDemand, c.totalDemandAt = msg.values[2], g.now
	g.updateQuota(c)
	c.bucketLevel = c.share * sharedLevel
	if ok {
		r.grantedBy = from
	} else {
		r.reason = ReasonOwner
		untilRoom := min(1, (sharedLevel+r.units-c.plan.Burst)/max(c.plan.Rate, 1e-9))
		c.throttledUntil = g.now +
			time.Duration(min(maxWait.Seconds(), max(msg.values[3], untilRoom))*float64(time.Second))
	}
	g.decide(r, ok)
}

// ---- Choice and health of servers.

// onFleetUpdate applies a change of the list of servers. If no server is known, it is the first list of the
// process.
func (g *Gateway) onFleetUpdate(e FleetUpdate) {
	if e.Kind == FleetFailed {
		return
	}
	listed, firstNew := map[string]bool{}, len(g.serverList)
	for _, s := range e.Servers {
		listed[s.ID] = true
		g.updateServer(s, firstNew == 0)
	}
	g.insertSorted(firstNew)
	if e.Kind != FleetDelta {
		for _, s := range g.serverList {
			if !listed[s.ID] {
				s.State = Removed
			}
		}
	}
	g.summarizeFleet()
}

// updateServer applies one entry of the list of servers.
func (g *Gateway) updateServer(e Server, firstList bool) {
	// A removed entry may omit cell and zone: the known ones stay, as mayRepeatAt depends on them.
	if e.State == Removed {
		if s := g.servers[e.ID]; s != nil {
			s.State = Removed
		}
		return
	}
	_, known := g.servers[e.ID]
	s := g.server(e.ID)
	if !known || e.Started != s.Started || e.Address != s.Address {
		g.observeStart(s, e, firstList)
	}
	s.Server = e
}

// estimate returns the time in seconds that the server should take to answer a request of the class. It is
// the usual time of the class, times the slowness of the server, times its load compared with its average
// load.
func (g *Gateway) estimate(s *server, k *class) float64 {
	return k.usualTime * g.slowness(s) * (1 + g.load(s)) / (1 + s.avgLoad)
}

// slowness returns the answer time of a server as a multiple of the usual time. It decays towards 1 with the
// time since the last observation.
func (g *Gateway) slowness(s *server) float64 {
	return 1 + (s.slowness-1)*math.Exp(-(g.now-s.slownessAt).Seconds()/g.healthMemory())
}

// healthMemory returns the time constant, in seconds, with which observations of a server decay. It is longer
// where answers of a server are rare.
func (g *Gateway) healthMemory() float64 {
	return min(maxHealthMemory,
		max(minHealthMemory.Seconds(),
			memoryAnswers*g.summary.servingCount/max(g.observationRate.get(g.now), 1e-3)))
}

// missRate returns the fraction of a class's requests that a server leaves unanswered or fails. It decays
// with time.
func (g *Gateway) missRate(s *server, k *class) float64 {
	m := &s.missRates[k.index]
	return m.value * math.Exp(-(g.now-m.updatedAt).Seconds()/(missMemoryFactor*g.healthMemory()))
}

// observe records how a request of a class fared at a server, at this gateway or at one that reported it.
// relativeTime is its time as a multiple of the usual time of the class. missed means that the request was
// not answered or failed, failed that it failed.
//
// It protects against servers that are slow for one class, or fail it, and serve the others well. It is meant
// to catch the effects of a server's age, a bad disk or a lost dependency too, whichever gateway meets them
// first. It could harm a server that received only costly requests.
func (g *Gateway) observe(s *server, k *class, relativeTime float64, missed, failed bool) {
	g.observationRate.add(g.now, 1)
	missRate, target := g.missRate(s, k), 0.0
	if missed {
		target = 1
	}
	s.missRates[k.index] = decayingRate{missRate + missGain*(1+g.sparseTraffic())*(target-missRate), g.now}
	if missed && !failed {
		g.admissionWindow = max(minWindow, g.admissionWindow*windowDecrease)
	} else if !missed {
		g.admissionWindow = min(maxWindow, g.admissionWindow*windowIncrease)
	}
	s.slowness, s.slownessAt = g.slowness(s), g.now
	if !missed || relativeTime > s.slowness {
		s.slowness += slownessGain * (min(relativeTime, 20) - s.slowness)
	}
}

// observeOwn records how a request of this gateway fared and keeps the observation for the next messages to
// others.
func (g *Gateway) observeOwn(s *server, k *class, took time.Duration, missed, failed bool) {
	relativeTime := took.Seconds() / max(k.usualTime, 1e-6)
	g.observe(s, k, relativeTime, missed, failed)
	g.recent.add(observation{s.key, k.index, relativeTime, missed, failed})
	if !missed {
		k.answers++
		k.usualTime += max(usualTimeGain, 1/k.answers) * (took.Seconds() - k.usualTime)
	}
}

// load returns the load of this gateway at the server: attempts in flight and abandoned ones. An overloaded
// server works on requests that have timed out, while few attempts to it are in flight. Without the abandoned
// attempts the overload would sustain itself. Where a server drops such requests, its first later answer
// clears them (see observeOutcome), so counting them costs little.
func (g *Gateway) load(s *server) float64 {
	for len(s.abandoned) > 0 && g.now-s.abandoned[0] > abandonedTTL {
		s.abandoned = s.abandoned[1:]
		g.summary.openWork--
	}
	return float64(s.inFlight + len(s.abandoned))
}

// coldRate returns the rate, in requests a second, at which this gateway accrues slow-start tokens for a cold
// server. Each token allows one request to that server. The rate guards the rule that gateways must not make
// a starting server fall over.
//
// The bound: a server falls over if it gets more than N + 2 sqrt(N) + 2 requests of mean work from all
// gateways within one FallWindow. N is FallMultiple x its present capacity x FallWindow.
//
// The mean: the capacity is estimated from the answers that came. They are fewer than the servers can give,
// overloaded or not. So the rates of all gateways add up to at most u N tokens per FallWindow, where u is the
// result of coldBudgetUse. This holds however uneven the traffic of the gateways is.
//
// The variance: a token accrues whenever a fractional count passes a whole number. The count begins at a
// random fraction, and sending does not change it. In a time in which x tokens accrue on average, one gateway
// therefore gets x rounded down or up. The mean is x and the variance is less than x. No gateway depends on
// another, or on tokens it had before a restart.
//
// The margin: tokens expire after coldTokenTTL. A request sent within a window uses a token that accrued in
// that window or in the coldTokenTTL before it. Summed over the gateways, however many there are, these are
// coldWindowFraction x N tokens on average, with a standard deviation below the square root of that. From
// there to the bound it is 3.9 standard deviations or more for any N (3.1 where the costs of requests vary
// from 0.5 to 2.5). This is the case in which all gateways save their tokens and then spend them at once, as
// when the warm servers are overloaded. If tokens are spent evenly over time, the server gets u N requests
// per window.
//
// The remaining quarter of N is for slow machines: at full load, one machine of speed 0.64 among others of
// 0.9 on average gets 1.05 N at worst, and 0.70 N if tokens are spent evenly. Alternatively it is for a third
// of the requests waiting up to 1.5 windows for a connection, which is N/4 at worst.
//
// coldMinRequests per window are added to this, as nothing is known of the capacity while no server answers.
// They are covered by the constant 2 of the bound.
func (g *Gateway) coldRate(s *server) float64 {
	safety, answersPerCapacity := g.cfg.Safety,
		g.summary.answers/g.observedFraction()/max(g.summary.capacity, 1e-9)
	return g.coldBudgetUse()*safety.FallMultiple*g.capacity(s)*answersPerCapacity +
		coldMinRequests/safety.FallWindow.Seconds()/float64(g.cfg.Gateways)
}

// coldBudgetUse returns the fraction of the budget of a cold server that is used. Where spreadsEvenly holds,
// it is no more than what a warm server of the same capacity gets.
func (g *Gateway) coldBudgetUse() float64 {
	if g.spreadsEvenly() {
		return min(coldBudgetFraction, 1/g.cfg.Safety.FallMultiple)
	}
	return coldBudgetFraction
}

// spreadsEvenly reports whether a cold server that has a token gets a request without being compared with
// other servers. This is so where the gateway sees too few answers to compare servers. By chance alone it
// would seldom choose the cold server while the token is valid.
func (g *Gateway) spreadsEvenly() bool { return g.summary.warm > 0 && g.sparseTraffic() == 1 }

// coldTokenTTL returns for how many seconds a slow-start token may be used after it has accrued.
func (g *Gateway) coldTokenTTL() float64 {
	return (coldWindowFraction/g.coldBudgetUse() - 1) * g.cfg.Safety.FallWindow.Seconds()
}

// capacity returns the present capacity of a server as a fraction of its warm capacity. According to the
// settings it rises evenly from ColdFrom to 1 over ColdFor.
func (g *Gateway) capacity(s *server) float64 {
	if s.coldUntil <= g.now {
		return 1
	}
	start, elapsed := g.cfg.Safety.ColdFrom, 1-(s.coldUntil-g.now).Seconds()/g.cfg.Safety.ColdFor.Seconds()
	return start + (1-start)*max(0, elapsed)
}

// summarizeFleet evicts removed servers and computes the sums over the others.
func (g *Gateway) summarizeFleet() {
	g.evictServers()
	summary := fleetSummary{}
	for _, s := range g.serverList {
		if s.State != Serving {
			continue
		}
		summary.servingCount++
		summary.openWork += g.load(s)
		summary.capacity += g.capacity(s)
		summary.answers += s.answers.get(g.now)
		summary.warm += boolToInt(s.coldUntil <= g.now)
	}
	g.summary = summary
}

// coldBlocked accrues the slow-start tokens of a server up to the current time and reports whether the server
// is cold and has no token that may still be used.
func (g *Gateway) coldBlocked(s *server) bool {
	if s.coldUntil <= g.now {
		return false
	}
	rate := g.coldRate(s)
	s.tokenFraction += rate * (g.now - s.tokenFractionAt).Seconds()
	s.tokenFractionAt = g.now
	if s.tokenFraction >= 1 {
		s.tokenFraction -= math.Floor(s.tokenFraction)
		s.tokenReady, s.tokenReadyAt = true, g.now-time.Duration(s.tokenFraction/rate*float64(time.Second))
	}
	return !s.tokenReady || (g.now-s.tokenReadyAt).Seconds() > g.coldTokenTTL()
}

// usable reports whether health and the safety rules allow the request to go to the server.
func (g *Gateway) usable(s *server, r *request) bool {
	return s.State == Serving && !g.coldBlocked(s) && g.mayRepeatAt(r, s)
}

// choose returns the server with the lowest estimate for a request, and that estimate. last is the server
// whose attempt failed before, if any.
//
// Where answers of each server are too rare to know its load, it takes the better one of two random
// candidates whose miss rates are close to the lowest one found. Otherwise all gateways would converge on the
// same few servers.
//
// Where connections have a price as well, it takes candidates to which a connection is idle, and one other.
// Otherwise a gateway of a large fleet would come to each server so seldom that it would make a connection
// for every third request and learn little about any server.
//
// A cold server that has a slow-start token comes first where spreadsEvenly says so.
func (g *Gateway) choose(r *request, last *server) (*server, float64) {
	var candidates [maxCandidates]*server
	best, n, lowestMiss, cost := (*server)(nil), 0, 1.0, 0.0
	for i, from := 0, g.rng.Intn(max(1, len(g.serverList))); i < len(g.serverList) && n < maxCandidates; i++ {
		s := g.serverList[(from+i)%len(g.serverList)]
		if !g.usable(s, r) {
			continue
		}
		if s.coldUntil > g.now && last == nil && g.spreadsEvenly() &&
			g.missRate(s, r.class) <= missTolerance {
			if cost = g.estimate(s, r.class); cost < maxEstimateFraction*(r.cutoff-g.now).Seconds() {
				return s, cost
			}
		}
		candidates[n] = s
		n++
		lowestMiss = min(lowestMiss, g.missRate(s, r.class))
	}
	// How many candidates may still be compared, and how many of them may have no idle connection.
	remaining, remainingNew := n, n
	if g.sparseTraffic() == 1 {
		if remaining = 2; g.cfg.Prices.Handshake > 0 {
			remainingNew = 1
		}
	}
	for _, s := range candidates[:n] {
		miss := g.missRate(s, r.class)
		if miss > lowestMiss+missTolerance || remaining == 0 {
			continue
		}
		if !g.hasIdleConn(s) {
			if remainingNew == 0 {
				continue
			}
			remainingNew--
		}
		remaining--
		candidateCost := g.estimate(s, r.class) / max(0.2, 1-miss) * (1 + 0.02*g.rng.Float64())
		if s.Zone != g.cfg.Zone {
			candidateCost *= crossZoneFactor
		}
		if s == last {
			candidateCost *= 3
		}
		if g.cfg.Prices.Handshake > 0 && !g.hasIdleConn(s) {
			candidateCost *= newConnFactor
		}
		if best == nil || candidateCost < cost {
			best, cost = s, candidateCost
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, g.estimate(best, r.class)
}

// hasIdleConn reports whether an idle connection to the server is likely to exist.
func (g *Gateway) hasIdleConn(s *server) bool {
	return s.idleConns > 0 && g.now-s.idleConnsAt < g.cfg.Limits.ConnKept
}

// sparseTraffic returns 1 where this gateway gets fewer answers within rateMemory than there are servers.
// With more answers it falls towards 0.
func (g *Gateway) sparseTraffic() float64 {
	return min(1, g.summary.servingCount/max(g.answerRate.get(g.now)*rateMemory.Seconds(), 1))
}

// ---- Attempts and deadlines.

// onRequest starts a request: it refuses it, sends it on, or queries the owner of the customer.
func (g *Gateway) onRequest(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	k, planNo, ok := g.classes[e.Class], 0, false
	if planNo, ok = g.plans[e.Plan]; k == nil || !ok {
		g.emit(Refuse{ID: e.ID, Reason: ReasonUnknown})
		return
	}
	c := g.customer(hashKey(e.Customer), planNo)
	if c == nil {
		g.refuse(e.ID, ReasonCustomers, defaultRetryAfter)
		return
	}
	r := &request{Request: e, class: k, units: max(0, e.Units), cutoff: e.Deadline}
	// An answer after the target latency earns nothing, so the request ends with it.
	if k.LateWorth == 0 && !k.Stream && k.AimStretch == 0 {
		r.cutoff = min(e.Deadline, g.now+max(0, k.Aim-targetMargin))
	}
	g.setPlan(c, planNo)
	if e.Spread > 0 && e.Spread <= g.cfg.Gateways && (c.spread != e.Spread || c.first != e.First) {
		c.first, c.spread = e.First%g.cfg.Gateways, e.Spread
		c.ceilingTokens = min(c.ceilingTokens, c.plan.CeilingBurst/float64(c.spread))
	}
	r.customer, r.grantedBy, r.reason = c, -1, ReasonQuota
	c.requests++
	g.requests[e.ID] = r
	switch {
	case g.broadcasts:
		g.decide(r, g.admit(c, r))
	case c.throttledUntil > g.now: // the owner would refuse it again
		c.demand.add(g.now, r.units)
		r.reason = ReasonThrottled
		g.decide(r, false)
	case g.shouldShed(r):
		c.demand.add(g.now, r.units)
		r.reason = ReasonShed
		g.decide(r, false)
	default:
		c.demand.add(g.now, r.units)
		g.lastQueryNo = g.lastQueryNo%4095 + 1
		r.queryNo = g.lastQueryNo
		g.queryOwner(r)
	}
}

// decide sends a request on if the quota has room and the servers can answer it in time, and refuses it
// otherwise.
func (g *Gateway) decide(r *request, room bool) {
	s, cost := (*server)(nil), 0.0
	if room {
		s, cost = g.choose(r, nil)
	}
	reason := Reason("")
	switch {
	case !room:
		reason = r.reason
	case s == nil:
		reason = ReasonNoServer
	case cost > maxEstimateFraction*(r.cutoff-g.now).Seconds():
		reason = ReasonNoTime
	case g.broadcasts && g.shouldShed(r):
		reason = ReasonShed
	}
	if reason != "" {
		r.extraUnits = -r.units // none of the units that an owner granted were used
		retryAfter := defaultRetryAfter
		if !room {
			retryAfter = g.timeUntilRoom(r.customer, r.units)
		}
		g.refuse(r.ID, reason, retryAfter)
		g.finish(r)
		return
	}
	r.customer.ceilingTokens -= r.units
	g.charge(r.customer, r.units)
	g.retryBudget = min(maxRetryBudget, g.retryBudget+retryBudgetRatio)
	g.send(r, s)
}

// observedFraction returns the fraction of the memory of a rate that falls after the start. Rates begin at 0,
// so they are divided by it.
func (g *Gateway) observedFraction() float64 {
	return 1 - math.Exp(-max(g.now-g.started, time.Second/4).Seconds()/rateMemory.Seconds())
}

// overload returns the work in flight as a fraction of its cap. By Little's law, work in flight equals the
// answers a second times the time that they take. The cap is the rate of answers that come times the time
// that they should take. It limits the wait whatever the servers can do, and it falls when they are
// overloaded. A few attempts are always allowed, to find out that an overload is over.
func (g *Gateway) overload() float64 {
	serverCount := g.summary.servingCount
	limit := g.answerRate.get(g.now) / g.observedFraction() * openWorkFraction * g.shortestTarget
	return max(0, g.summary.openWork-sparseOpenAllowance*g.sparseTraffic()) /
		max(limit, minOpenPerServer*serverCount/float64(g.cfg.Gateways))
}

// shouldShed reports whether a request is shed because the expected wait is too long for its value. Requests
// of at least the usual value per unit of work are shed once the work in flight exceeds its cap. Less
// valuable ones are shed earlier, the least valuable above shedThreshold of the cap. Where traffic is sparse,
// requests outside the admission window are shed as well: at random, and the less valuable the more often.
func (g *Gateway) shouldShed(r *request) bool {
	value := r.class.Worth * r.customer.plan.Price * r.units / max(r.class.usualTime, 1e-6)
	g.typicalValue += 0.01 * (value - g.typicalValue)
	threshold := shedThreshold + (1-shedThreshold)*min(1, value/max(g.typicalValue, 1e-9))
	return g.overload() > threshold ||
		g.rng.Float64() > math.Pow(g.admissionWindow, g.sparseTraffic()*g.sparseTraffic()*(1+1/threshold)/2)
}

// refuse refuses a request, with advice on when to retry if that is allowed.
func (g *Gateway) refuse(id string, reason Reason, retryAfter time.Duration) {
	a := Refuse{ID: id, Reason: reason}
	if g.cfg.Limits.RetryAfter {
		a.RetryAfter = min(g.cfg.Limits.MaxRetryAfter, retryAfter)
	}
	g.emit(a)
}

// send starts an attempt, and a timer for when it will be overdue.
func (g *Gateway) send(r *request, s *server) {
	a := &attempt{server: s, index: len(r.attempts), sentAt: g.now, mayHaveRun: true}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	r.customer.open++
	s.avgLoad += 0.05 * (g.load(s) - s.avgLoad)
	s.tokenReady = false
	overdueAfter := max(minOverdue, time.Duration(overdueFactor*g.estimate(s, r.class)*float64(time.Second)))
	s.inFlight++
	if !g.hasIdleConn(s) {
		s.idleConns = 0
	}
	s.idleConns = max(0, s.idleConns-1)
	g.summary.openWork++
	g.emit(Send{r.ID, s.ID, max(r.cutoff-g.now, time.Millisecond), r.repeatDeadline()})
	if g.now+overdueAfter < r.cutoff {
		g.setTimer(r.ID, a.index, g.now+overdueAfter)
	}
}

// onOverdue handles an attempt that should have been answered by now. If the server has answered others since
// it was sent, the request is merely costly. Otherwise the server may not be responding.
func (g *Gateway) onOverdue(r *request, a *attempt) {
	s := a.server
	// Counted as failed, which does not shrink the admission window: the answer may still come.
	g.observeOwn(s, r.class, g.now-a.sentAt, true, true)
	if s.lastResponse > a.sentAt {
		return
	}
	if r.finished || r.streaming || g.retryBudget < 1 || r.class.Effect == Unsafe {
		return
	}
	if !g.cfg.Limits.Parallel {
		if g.cfg.Limits.Cancel {
			g.emit(Cancel{r.ID, a.index}) // the end of the attempt, as Cancelled, triggers the next one
		}
		return
	}
	g.retry(r, s)
}

// retry sends a further attempt if the safety rules, the retry budget and the time left allow one.
func (g *Gateway) retry(r *request, last *server) bool {
	if g.retryBudget < 1 || len(r.attempts) >= g.cfg.Limits.MaxAttempts ||
		(r.inFlight > 0 && !g.cfg.Limits.Parallel) {
		return false
	}
	s, cost := g.choose(r, last)
	if s == nil || cost > (r.cutoff-g.now).Seconds() || (r.inFlight > 0 && s == last) {
		return false
	}
	g.retryBudget--
	g.send(r, s)
	return true
}

// onAttemptEnded handles the end of an attempt: it makes a further attempt or gives the final answer, unless
// another attempt is in flight or the request is finished.
func (g *Gateway) onAttemptEnded(e AttemptEnded) {
	r, a := g.requests[e.ID], g.attempt(e.ID, e.Attempt)
	if a == nil || a.ended {
		return
	}
	a.ended = true
	a.mayHaveRun = !e.Outcome.NeverRan()
	r.inFlight--
	a.server.inFlight--
	g.summary.openWork--
	r.customer.open--
	g.observeOutcome(r, a, e)
	if e.ActualUnits > 0 && g.cfg.SettledLater {
		g.charge(r.customer, e.ActualUnits-r.units)
		r.extraUnits += e.ActualUnits - r.units
		r.units = e.ActualUnits
	}
	if e.Metered > 0 {
		g.observeMeter(r.customer, e.Metered)
	}
	if e.RequestDone {
		g.finish(r)
	}
	if r.finished {
		g.forget(r)
		return
	}
	if e.Outcome == NotSent && len(r.attempts) == 1 {
		g.charge(r.customer, -r.units) // nothing was sent, so no quota was used
		r.customer.ceilingTokens += r.units
		r.extraUnits = -r.units
	}
	if r.inFlight > 0 || (e.Outcome != NotSent && g.retry(r, a.server)) {
		return
	}
	g.giveUp(r)
}

// observeOutcome records what the outcome of an attempt says about its server.
func (g *Gateway) observeOutcome(r *request, a *attempt, e AttemptEnded) {
	s := a.server
	if e.Outcome <= Full { // the server answered: its connection is idle again; other outcomes close it
		s.idleConns, s.idleConnsAt = s.idleConns+1, g.now
	}
	switch e.Outcome {
	case OK:
		s.lastResponse = g.now
		g.answerRate.add(g.now, 1)
		s.answers.add(g.now, 1)
		before := len(s.abandoned)
		s.abandoned = slices.DeleteFunc(s.abandoned, func(at time.Duration) bool { return at < a.sentAt })
		g.summary.openWork -= float64(before - len(s.abandoned))
		g.observeOwn(s, r.class, e.Elapsed, false, false)
	case Error:
		g.observeOwn(s, r.class, e.Elapsed, true, true)
		s.lastResponse = g.now
	case Full:
		g.observeOwn(s, r.class, e.Elapsed, true, false) // a full queue is a sign of overload as well
		s.lastResponse = g.now
	case NoConnection, Reset:
		g.observeOwn(s, r.class, e.Elapsed, true, true)
	case TimedOut, Cancelled:
		if e.Outcome == TimedOut {
			g.observeOwn(s, r.class, e.Elapsed, true, false)
		}
		s.abandoned = append(s.abandoned, a.sentAt)
		g.summary.openWork++
	}
}

// ---- Safety rules.

// mayRepeatAt guards the rule on effects. It reports whether the request may be sent to the server, given
// those of its attempts that may have run.
func (g *Gateway) mayRepeatAt(r *request, s *server) bool {
	for _, a := range r.attempts {
		if r.class.Effect == Safe || !a.mayHaveRun {
			continue
		}
		dropped := r.class.SameGroup(s.Server, a.server.Server) &&
			g.now-a.sentAt < r.class.Window-targetMargin
		if r.class.Effect == Unsafe || !dropped {
			return false
		}
	}
	return true
}

// repeatDeadline returns the time from which servers no longer drop a repeat of the request, or 0 if there is
// no such limit. A connection may become ready only after that time, although there was enough time when the
// server was chosen.
func (r *request) repeatDeadline() (deadline time.Duration) {
	for _, a := range r.attempts[:len(r.attempts)-1] {
		end := a.sentAt + r.class.Window - targetMargin
		if r.class.Effect == Keyed && a.mayHaveRun && (deadline == 0 || end < deadline) {
			deadline = end
		}
	}
	return deadline
}

// giveUp gives the final answer after the last attempt: a refusal where it may be promised that trying again
// does no harm, otherwise a failure.
func (g *Gateway) giveUp(r *request) {
	mayRun := func(a *attempt) bool { return a.mayHaveRun }
	refusable := r.class.Effect == Safe || !slices.ContainsFunc(r.attempts, mayRun) ||
		(r.class.Effect == Keyed && r.class.Group == GroupAll)
	if refusable && r.inFlight == 0 {
		g.refuse(r.ID, ReasonAttempts, defaultRetryAfter)
	} else {
		g.emit(Fail{r.ID, ReasonAttempts})
	}
	g.finish(r)
}

// finish ends a request and cancels its attempts that are still in flight.
func (g *Gateway) finish(r *request) {
	if r == nil {
		return
	}
	r.finished, r.awaitingOwner = true, false
	delete(g.queries, r.queryNo)
	for _, a := range r.attempts {
		if !a.ended && g.cfg.Limits.Cancel && !r.streaming {
			g.emit(Cancel{r.ID, a.index})
		}
	}
	g.forget(r)
}

// forget drops a finished request once none of its attempts is in flight, and settles it with the owner.
func (g *Gateway) forget(r *request) {
	if r.finished && r.inFlight == 0 && g.requests[r.ID] != nil {
		g.settleWithOwner(r, r.extraUnits)
		delete(g.requests, r.ID)
		r.customer.requests--
	}
}
