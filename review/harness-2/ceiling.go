package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// ceilingStore is the store of a customer's hard ceiling, as the wire note defines it: it starts full, fills at the
// rate, holds no more than its depth, and each request takes its units when its first attempt is sent.
type ceilingStore struct {
	mu          sync.Mutex
	rate, depth float64
	level       float64
	lowest      float64
	at          time.Time
	seen        map[string]bool
	units       float64
}

func newCeilingStore(rate, depth float64) *ceilingStore {
	return &ceilingStore{rate: rate, depth: depth, level: depth, lowest: depth, at: time.Now(), seen: map[string]bool{}}
}

// take deducts the units of a request's first attempt and returns the level.
func (s *ceilingStore) take(id string, units float64) (level float64, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.level, s.at = min(s.depth, s.level+s.rate*now.Sub(s.at).Seconds()), now
	if s.seen[id] {
		return s.level, false
	}
	s.seen[id] = true
	s.level -= units
	s.units += units
	s.lowest = min(s.lowest, s.level)
	return s.level, true
}

// reached returns the lowest level so far and all units taken.
func (s *ceilingStore) reached() (lowest, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lowest, s.units
}

// The figures of the ceiling in the cases on it.
const (
	ceilingSlack     = 8.0
	ceilingSlackTime = 150 * time.Millisecond // the slack is wider by what the rate gives in this time
)

// serveUnderCeiling returns a card server's handler that takes the units of each request from a store.
func serveUnderCeiling(record *recorder, store *ceilingStore, work time.Duration) func(*cardServer, *serverConn, []string) {
	return func(s *cardServer, c *serverConn, words []string) {
		units, _ := strconv.ParseFloat(listValue(words[3], "units"), 64)
		level, first := store.take(words[2], units)
		record.printf("%s begins %s of customer %s, first attempt %v, %g units, store %.2f", s.entry.ID, words[2], words[1],
			first, units, level)
		time.Sleep(work)
		c.answer(servedAnswer("v:" + words[2]))
	}
}

// ceilingVerdict says whether the store fell further than the rule allows.
func ceilingVerdict(store *ceilingStore) verdict {
	lowest, units := store.reached()
	bound := -(ceilingSlack + store.rate*ceilingSlackTime.Seconds())
	return verdict{lowest < bound, fmt.Sprintf("the store of the ceiling fell to %.2f, the rule allows %.2f; %.0f units sent on",
		lowest, bound, units)}
}
