package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case with a slow discovery.
const (
	discoveryDelay = 300 * time.Millisecond // of each answer
	toldWithin     = 6 * time.Second        // a change counts as told this long after discovery had it
	drainGrace     = 300 * time.Millisecond // 250 ms, and 50 ms more for sockets
	drainObserved  = 10 * time.Second       // for which attempts are judged after that
)

// slowDiscovery lets a card server drain while discovery takes a while for each answer.
func slowDiscovery(c *testCase) (verdict, error) {
	var forbiddenFrom atomic.Int64 // Unix time in nanoseconds from which the draining server may get nothing new
	var all, late atomic.Int64
	const draining = 0
	handle := func(s *cardServer, conn *serverConn, words []string) {
		now := time.Now().UnixNano()
		all.Add(1)
		from := forbiddenFrom.Load()
		tooLate := s.number == draining && from > 0 && now > from
		if tooLate {
			late.Add(1)
		}
		c.record.printf("%s begins %s, too late: %v", s.entry.ID, words[2], tooLate)
		time.Sleep(60 * time.Millisecond)
		conn.answer(servedAnswer("v:" + words[2]))
	}
	if c.trouble {
		c.discoveryDelay = discoveryDelay
	}
	if err := c.startFleet(2, 10, defaultSettings(), handle); err != nil {
		return verdict{}, err
	}
	until := time.Now().Add(5*time.Second + toldWithin + drainObserved)
	var wg sync.WaitGroup
	var number atomic.Int64
	for _, g := range c.deployment.gateways {
		for n := range 6 {
			next := func() request {
				id := number.Add(1)
				return request{command: "Q.ASK", customer: fmt.Sprintf("%016x", id%100+1), id: fmt.Sprintf("r%d", id),
					class: classSafe, plan: planBasic, deadlineMS: 2000, units: 1, spread: 2}
			}
			wg.Go(func() { asker{g, c.record, time.Duration(200+10*n) * time.Millisecond, next}.run(until) })
		}
	}
	time.Sleep(5 * time.Second)
	c.record.printf("s-%d drains", draining)
	forbiddenFrom.Store(time.Now().Add(toldWithin + drainGrace).UnixNano())
	c.discovery.change(draining, "draining")
	wg.Wait()
	return verdict{late.Load() > 0, fmt.Sprintf("%d of %d attempts began at the draining card server later than %v after discovery had the change",
		late.Load(), all.Load(), toldWithin+drainGrace)}, nil
}
