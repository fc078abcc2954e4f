package decide

import "time"

// Slow start of servers. A server that has just started can take only part of its load, so gateways have to know when
// it started. They observe changes of the list of servers: a new ID, or another start time or address of a known one.
// Start times are readings of the wall clocks of other machines. These may be wrong by seconds or by an hour, in
// either direction, while the observation itself is certain. So slow start begins with the observation and follows
// the monotonic clock. A start time is only compared with the previous start time of the same server.
//
// One case depends on the wall clock. The first list that a process receives, from its configuration or from
// discovery, says which servers exist but not since when: a server in it may have started a moment or a year ago.
// Only its start time tells how old it is. So the age is computed from the start time there, and bounded to between 0
// and the length of slow start. If the clock of this machine is ahead of the server's by more than the length of slow
// start, a server that has just started is taken for one that has long been running. Nothing in a first list can tell
// the two apart. Any difference from the first list is observed as a start, also if the change happened before this
// process began.

// observeStart begins the slow start of a server whose entry is new, or differs in its start time or address.
func (g *Gateway) observeStart(s *server, e Server, firstList bool) {
	age := time.Duration(0)
	if firstList {
		age = max(0, g.now-e.Started)
	}
	if e.Started == 0 { // 0 means long ago
		age = g.cfg.Safety.ColdFor
	}
	if age >= g.cfg.Safety.ColdFor {
		return
	}
	s.coldUntil, s.tokenFraction, s.tokenFractionAt = g.now-age+g.cfg.Safety.ColdFor, g.rng.Float64(), g.now
	s.slowness, s.tokenReady, s.answers = 1, false, decayingRate{}
	clear(s.missRates)
}
