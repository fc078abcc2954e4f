package decide

import (
	"testing"
	"time"
)

// The wall clocks of machines may be off by seconds or by an hour. When the gateway observes that a server is new or
// has restarted, slow start must last as long as the settings say, whatever start time the list names.
func TestSlowStartIgnoresClockOffset(t *testing.T) {
	const updateDelay = 500 * ms // between the start and the update that reports it
	offsets := map[string]time.Duration{"right": 0, "10 s behind": -10 * time.Second, "10 s ahead": 10 * time.Second,
		"an hour behind": -time.Hour, "an hour ahead": time.Hour}
	for name, offset := range offsets {
		for what, id := range map[string]string{"new": "new", "restarted": "s1"} {
			h := newHarness(t, nil, Server{ID: "s1", Zone: "a", Started: time.Hour - 30*time.Second},
				Server{ID: "s2", Zone: "a"})
			h.now += time.Minute
			h.handle(FleetUpdate{Kind: FleetDelta,
				Servers: []Server{{ID: id, Zone: "a", Started: h.now - updateDelay + offset}}})
			s := h.g.servers[id]
			if left, want := s.coldUntil-h.now, h.g.cfg.Safety.ColdFor; left < want-updateDelay || left > want {
				t.Errorf("%s server, clock %s: in slow start for %v, want %v", what, name, left, want)
			}
			h.handle(FleetUpdate{Kind: FleetDelta, Servers: []Server{s.Server}})
			if until := s.coldUntil - h.now; until > h.g.cfg.Safety.ColdFor {
				t.Errorf("%s server, clock %s: after the same entry came again, in slow start for %v", what, name, until)
			}
		}
	}
}

// In the first list that a process gets, only the start time tells how long a server has been running. The age of a
// server is computed from it and must be limited to between 0 and the length of slow start.
func TestFirstListBoundsServerAge(t *testing.T) {
	const coldFor = 10 * time.Second
	for name, tc := range map[string]struct{ ago, left time.Duration }{
		"1 s ago":                  {time.Second, coldFor - time.Second},
		"in the future":            {-time.Hour, coldFor},
		"long ago":                 {time.Hour, 0},
		"at the end of slow start": {coldFor, 0},
	} {
		for _, kind := range []FleetKind{FleetFull, FleetStale} {
			g, err := New(testConfig(), 7)
			if err != nil {
				t.Fatal(err)
			}
			now := 2 * time.Hour
			g.Handle(now, FleetUpdate{Kind: kind,
				Servers: []Server{{ID: "s", Zone: "a", Started: now - tc.ago}, {ID: "old", Zone: "a"}}})
			if left := max(0, g.servers["s"].coldUntil-now); left != tc.left || g.servers["old"].coldUntil > now {
				t.Errorf("started %s, list of kind %d: in slow start for %v, want %v", name, kind, left, tc.left)
			}
		}
	}
}

// A server that appears at another address has moved, so its process has just started.
func TestMovedServerEntersSlowStart(t *testing.T) {
	h := newHarness(t, nil, Server{ID: "s1", Zone: "a", Address: "10.0.0.1:1", Started: time.Minute},
		Server{ID: "s2", Zone: "a"})
	same := Server{ID: "s1", Zone: "a", Address: "10.0.0.1:1", Started: time.Minute}
	h.handle(FleetUpdate{Kind: FleetFull, Servers: []Server{same, {ID: "s2", Zone: "a"}}})
	if h.g.servers["s1"].coldUntil > h.now {
		t.Error("in slow start although nothing has changed")
	}
	moved := same
	moved.Address = "10.0.0.2:1"
	h.handle(FleetUpdate{Kind: FleetDelta, Servers: []Server{moved}})
	if left := h.g.servers["s1"].coldUntil - h.now; left != h.g.cfg.Safety.ColdFor {
		t.Errorf("in slow start for %v, want the whole of it", left)
	}
}
