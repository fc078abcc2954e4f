package decide

import (
	"fmt"
	"testing"
	"time"
)

// 300 gateways get two and a half requests a second each. If each of them sent one request to a server that has just
// started, the server would fall over. All together they must send it some requests, but less than the rule on cold
// servers allows.
func TestColdServerLimitHoldsOverTheFleet(t *testing.T) {
	var servers []Server
	for i := 0; i < 20; i++ {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "a"})
	}
	cfg := testConfig()
	cfg.Limits.Peers = false // the quota plays no part here
	cfg.Gateways = 300
	cold, warm := 0, 0
	for i := 0; i < cfg.Gateways; i++ {
		cfg.Rank = i
		g, err := New(cfg, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(0, FleetUpdate{Kind: FleetFull, Servers: servers})
		for n := 0; n < 30; n++ {
			now := time.Duration(n+1) * 400 * ms
			g.Handle(now, TimerFired{heartbeatToken})
			if n == 25 {
				g.Handle(now, FleetUpdate{Kind: FleetDelta, Servers: []Server{{ID: "s0", Zone: "a", Started: now}}})
			}
			id := fmt.Sprint(n)
			for _, s := range actionsOf[Send](g.Handle(now, Request{ID: id, Class: "get", Plan: "wide", Customer: "x",
				Units: 1, Deadline: now + time.Second, Spread: 1})) {
				if n >= 25 && s.Server == "s0" {
					cold++
				} else if n >= 25 {
					warm++
				}
				g.Handle(now+50*ms, AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Elapsed: 50 * ms,
					RequestDone: true})
			}
		}
	}
	usual := float64(warm) / 19
	if limit := cfg.Safety.FallMultiple * 0.4 * usual; float64(cold) > limit || cold == 0 {
		t.Errorf("the cold server got %d requests in 2 s and a warm one %v, want some and %v at most", cold, usual, limit)
	}
}

// Where connections have a price, a gateway that sees few requests for its many servers must reuse idle connections
// instead of connecting to a new server each time. It must still leave servers that have become slow.
func TestIdleConnectionsAreReused(t *testing.T) {
	const requests, servers, kept = 300, 60, 10 * time.Second
	run := func(price float64) (made, slow int) {
		var list []Server
		for i := range servers {
			list = append(list, Server{ID: fmt.Sprint("s", i), Zone: "a"})
		}
		h := newHarness(t, func(c *Config) {
			c.Prices.Handshake, c.Limits.ConnKept = price, kept
			c.Limits.Peers = false // the quota plays no part here
		}, list...)
		used, gotSlow := map[string]time.Duration{}, map[string]bool{}
		for n := range requests {
			if h.now += 100 * ms; n == requests/3 {
				for id := range used {
					gotSlow[id] = true
				}
			}
			id, s := h.mustSend("get", "wide")
			if at, ok := used[s.Server]; !ok || h.now-at > kept {
				made++
			}
			used[s.Server] = h.now
			took := 50 * ms
			if gotSlow[s.Server] {
				took = 400 * ms
				slow += boolToInt(n >= requests/2)
			}
			h.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Elapsed: took, RequestDone: true})
		}
		return made, slow
	}
	free, _ := run(0)
	priced, slow := run(0.08)
	if priced*3 > free {
		t.Errorf("made %d connections where they have a price and %d where not, want a third of that at most", priced,
			free)
	}
	if slow > requests/10 {
		t.Errorf("%d of the last %d requests went to servers that had become slow", slow, requests/2)
	}
}
