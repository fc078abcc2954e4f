package decide

import (
	"testing"
	"time"
)

// The wall clocks of machines may be off by seconds or by an hour. Whatever start time an observed change names, a server
// that is new, or that has started again, is in slow start for the whole of the time that the settings name.
func TestSlowStartGoesByObservation(t *testing.T) {
	const late = 500 * ms // between the start and the notification
	offsets := map[string]time.Duration{"right": 0, "10 s behind": -10 * time.Second, "10 s ahead": 10 * time.Second,
		"an hour behind": -time.Hour, "an hour ahead": time.Hour}
	for name, offset := range offsets {
		for what, id := range map[string]string{"new": "new", "restarted": "s1"} {
			r := newRig(t, nil, Server{ID: "s1", Zone: "a", Started: time.Hour - 30*time.Second}, Server{ID: "s2", Zone: "a"})
			r.do(FleetUpdate{Kind: FleetDelta})
			r.now += time.Minute
			r.do(FleetUpdate{Kind: FleetDelta, Servers: []Server{{ID: id, Zone: "a", Started: r.now - late + offset}}})
			s := r.g.servers[id]
			if left, want := s.coldUntil-r.now, r.g.cfg.Safety.ColdFor; left < want-late || left > want {
				t.Errorf("%s, clock %s: in slow start for %v, want %v", what, name, left, want)
			}
			r.do(FleetUpdate{Kind: FleetDelta, Servers: []Server{s.Server}})
			if until := s.coldUntil - r.now; until > r.g.cfg.Safety.ColdFor {
				t.Errorf("%s, clock %s: told again, in slow start for %v", what, name, until)
			}
		}
	}
}
