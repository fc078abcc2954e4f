package decide

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// shuffledList returns a list of n servers in random order. A fifth of them started within the last 2 s.
func shuffledList(rnd *rand.Rand, n int, now time.Duration) []Server {
	var list []Server
	for i := range n {
		s := Server{ID: fmt.Sprint("s", i), Zone: "a", Cell: i % 7}
		if i%5 == 0 {
			s.Started = now - time.Duration(i%3)*time.Second
		}
		list = append(list, s)
	}
	rnd.Shuffle(n, func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list
}

// A gateway that takes many entries in one update must end up with the same servers, order and random choices as one
// that gets each entry in an update of its own. This also holds where an entry comes twice or is of a removed server.
func TestBulkUpdateEqualsSingleUpdates(t *testing.T) {
	now := time.Hour
	withDuplicates := func(list []Server, edit func(*Server)) []Server {
		for i := range len(list) / 3 {
			s := list[3*i]
			edit(&s)
			list = append(list, s)
		}
		return list
	}
	for _, test := range []struct {
		name  string
		known int // number of servers known before
		list  func([]Server) []Server
	}{
		{"empty", 0, func(l []Server) []Server { return nil }},
		{"one", 0, func(l []Server) []Server { return l[:1] }},
		{"new", 0, func(l []Server) []Server { return l }},
		{"half known", 100, func(l []Server) []Server { return l }},
		{"all known", 200, func(l []Server) []Server { return l }},
		{"sorted", 50, func(l []Server) []Server {
			slices.SortFunc(l, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
			return l
		}},
		{"twice", 50, func(l []Server) []Server { return withDuplicates(l, func(*Server) {}) }},
		{"twice, cold later", 50, func(l []Server) []Server {
			return withDuplicates(l, func(s *Server) { s.Started = now })
		}},
		{"twice, other cell", 0, func(l []Server) []Server { return withDuplicates(l, func(s *Server) { s.Cell = 9 }) }},
		{"twice, draining", 50, func(l []Server) []Server {
			return withDuplicates(l, func(s *Server) { s.State = Draining })
		}},
		{"twice, removed", 50, func(l []Server) []Server {
			return withDuplicates(l,
				func(s *Server) { s.State = Removed })
		}},
	} {
		rnd := rand.New(rand.NewSource(3))
		all := shuffledList(rnd, 200, now)
		list := test.list(slices.Clone(all))
		bulk, single := newHarness(t, nil, all[:test.known]...), newHarness(t, nil, all[:test.known]...)
		first := FleetUpdate{Kind: FleetDelta, Servers: []Server{{ID: "first"}}}
		for _, h := range []*harness{bulk, single} { // the first list is treated differently, see slowstart.go
			h.handle(first)
		}
		bulk.handle(FleetUpdate{Kind: FleetDelta, Servers: list})
		for _, s := range list {
			single.handle(FleetUpdate{Kind: FleetDelta, Servers: []Server{s}})
		}
		if !slices.IsSortedFunc(bulk.g.serverList, byID) {
			t.Errorf("%s: the servers are not ordered by id", test.name)
		}
		if !reflect.DeepEqual(bulk.g.serverList, single.g.serverList) ||
			!reflect.DeepEqual(bulk.g.servers, single.g.servers) ||
			!reflect.DeepEqual(bulk.g.serversByKey, single.g.serversByKey) {
			t.Errorf("%s: %d servers after one update, %d after an update for each entry, or their content differs",
				test.name, len(bulk.g.serverList), len(single.g.serverList))
		}
		if a, b := bulk.g.rng.Int63(), single.g.rng.Int63(); a != b {
			t.Errorf("%s: the random choices differ", test.name)
		}
		if len(bulk.g.serverList) != len(bulk.g.servers) {
			t.Errorf("%s: %d servers in the ordered list, %d in the map", test.name, len(bulk.g.serverList),
				len(bulk.g.servers))
		}
	}
}

// BenchmarkFullList measures how a gateway that knows no server takes a list in random order.
func BenchmarkFullList(b *testing.B) {
	for _, n := range []int{2000, 20000, 200000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := shuffledList(rand.New(rand.NewSource(3)), n, time.Hour)
			for range b.N {
				g, err := New(testConfig(), 7)
				if err != nil {
					b.Fatal(err)
				}
				g.Handle(time.Hour, FleetUpdate{Kind: FleetFull, Servers: list})
				if len(g.serverList) != n {
					b.Fatalf("got %d known servers, want %d", len(g.serverList), n)
				}
			}
		})
	}
}
