package decide

import "time"

// Slow start of servers. A server that has just started bears only a part of its load, so gateways have to know of its
// start. What they observe is a change of the list of servers: a new id, or another start time or address of a known one.
// Start times are wall clock readings of other machines and may be off by seconds or by an hour, in either direction; what
// is observed is not. So slow start begins with the observation and goes by the monotonic clock, and a start time is
// compared with nothing but the one told before.
//
// One case is left to the wall clock. The first list that a process takes, be it that of its configuration or discovery's,
// tells what is there, and not since when: a server in it may have started a moment or a year ago. Only the start time
// says something of that, so the age that it tells is taken there, bounded to 0 on one side and to the end of slow start on
// the other. If this machine's clock is ahead of the server's by more than the length of slow start, a server that has just
// started passes for one that has long been there; nothing in a first list can tell the two apart. What differs from the
// first list is observed, also where it changed before this process began.

// observeStart takes that a server has started: its entry is new, or differs in its start time or address.
func (g *Gateway) observeStart(s *server, e Server, firstList bool) {
	age := time.Duration(0)
	if firstList {
		age = max(0, g.now-e.Started)
	}
	if e.Started == 0 { // "for long ago"
		age = g.cfg.Safety.ColdFor
	}
	if age >= g.cfg.Safety.ColdFor {
		return
	}
	s.coldUntil, s.phase, s.phaseAt = g.now-age+g.cfg.Safety.ColdFor, g.rng.Float64(), g.now
	s.slow, s.ripe, s.answers = 1, false, rate{}
	clear(s.miss)
}
