//go:build !race

package gateway

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Regression tests for the random search of TestCrossings: each sequence of steps failed before, either when the search
// found it or when a fix was reverted.
func TestCrossingsRegressions(t *testing.T) {
	allDraining := []action{{actServerUpdate, 0, 0}, {actServerUpdate, 1, 0}, {actServerUpdate, 2, 0}, {actServerUpdate, 3, 0}}
	type regression struct {
		name  string
		s     scenario
		steps []action
	}
	all := []regression{
		{"more commands than may be pending, then SIGTERM", scenario{2, 256, 1000, 1, 1, 1000}, []action{{actConnect, 0, 1}, {actSend, 4, 195}}},
		{"more commands than may be pending and are read ahead, after SIGTERM", scenario{2, 112, 1000, 0, 0, 1000},
			[]action{{actConnect, 0, 1}, {actSend, 0, 255}, {actStop, 0, 1}, {actSend, 6, 182}}},
		{"more commands than may be pending from a slow but steady reader, then SIGTERM", scenario{2, 256, 1000, 1, 1, 1000},
			[]action{{actConnect, 0, 1}, {actSend, 0, 131}, {actSlowRead, 0, 0}}},
		{"commands of a client that turns out to be slow are read during the shutdown", scenario{2, 256, 1000, 1, 1, 1000},
			[]action{{actConnect, 0, 1}, {actSend, 0, 128}, {actSend, 7, 171}, {actSlowRead, 0, 0}}},
		{"the rest of a command waits behind pending answers", scenario{2, 256, 1000, 1, 1, 20},
			[]action{{actConnect, 0, 0}, {actSend, 0, 213}}},
		{"the client closes behind unread data", scenario{30, 256, 1000, 1, 1, 1000},
			[]action{{actConnect, 0, 17}, {actSend, 3, 241}, {actSend, 0, 254}, {actClose, 0, 1}}},
		{"answers after a slow write", scenario{2, 256, 8, 1, 1, 1000},
			[]action{{actConnect, 0, 1}, {actSend, 1, 212}, {actWait, 0, 7}, {actConnect, 5, 66}, {actSend, 0, 137}}},
		{"the client leaves after malformed input", scenario{30, 256, 8, 1, 1, 20},
			[]action{{actConnect, 6, 26}, {actSend, 7, 7}, {actWait, 0, 173}, {actDialMode, 1, 12}, {actPauseLoop, 0, 204}, {actAnswer, 5, 4},
				{actStall, 6, 30}, {actDialMode, 2, 1}, {actSend, 6, 19}, {actAnswer, 2, 1}, {actReset, 2, 5}, {actGarbage, 6, 15},
				{actAnswerAll, 5, 162}, {actAnswerAll, 6, 5}, {actSend, 7, 1}, {actPartial, 5, 3}, {actClose, 0, 0}, {actSend, 1, 97}}},
		{"many clients connect while connections to servers are open", scenario{30, 112, 1000, 1, 1, 1000},
			[]action{{actConnect, 6, 5}, {actSend, 1, 139}, {actSend, 2, 255}, {actWait, 0, 37}, {actConnect, 1, 59}, {actConnect, 4, 166},
				{actConnect, 4, 5}, {actConnect, 2, 229}, {actConnect, 7, 30}}},
	}
	for n := range 40 { // with all servers draining every request is refused; otherwise some are started
		rest := []action{{actConnect, 0, 0}, {actPauseLoop, 0, 0}, {actSend, 0, 200}, {actBreakOnWrite, 0, n}, {actResumeLoop, 0, 0}}
		for i, first := range [][]action{allDraining, nil, {{actConnect, 0, 0}, {actSend, 0, 255}}} {
			all = append(all, regression{fmt.Sprintf("%d, the connection breaks in write %d of a batch", i, n+1),
				scenario{2, 256, 8, 1, 1, 1000}, slices.Concat(first, rest)})
		}
	}
	for _, f := range all {
		if failure := runScenario(t, f.s, f.steps); failure != "" {
			t.Errorf("%s: %s", f.name, failure)
		}
	}
}

// Many clients that connect and send nothing must not exhaust the descriptors: enough stay free for discovery and
// peers, an active client can still connect, and its requests reach the servers.
func TestIdleCrowdLeavesDescriptorsForOthers(t *testing.T) {
	const sockets, activeClients = 256, 5
	synctest.Test(t, func(t *testing.T) {
		x, err := newSimulation(scenario{2, sockets, 1000, 1, 1, 1000})
		if err != nil {
			t.Fatal(err)
		}
		for range 22 { // less than a second in all, so none of them exceeds the idle timeout
			x.perform(action{actConnect, 7, 6})
			x.wait(20 * time.Millisecond)
		}
		if n := len(x.clients); n < 2*clientSockets(sockets) {
			t.Errorf("only %d idle clients", n)
		}
		for i := range activeClients {
			x.perform(action{actConnect, 0, 0})
			x.perform(action{actSend, 0, 4 * i})
			for s := range x.servers {
				x.perform(action{actAnswerAll, s, 0})
			}
			c := x.clients[len(x.clients)-1]
			if c.closed || len(c.pending) > 0 {
				t.Errorf("active client %d: disconnected %v, %d answers are missing; %d clients in the table, %d bytes sent, %d read",
					i, c.closed, len(c.pending), len(x.loop.clients), c.written, c.near.bytesRead())
			}
		}
		for id, a := range x.requests {
			if len(a.arrivals) == 0 {
				t.Errorf("request %s reached no server", id)
			}
		}
		if x.maxFDs > sockets-reservedSockets {
			t.Errorf("%d of %d descriptors were in use, %d are reserved", x.maxFDs, sockets, reservedSockets)
		}
		if x.finish(); len(x.failures) > 0 {
			t.Error(x.failures[0])
		}
	})
}

// An accepted connection holds its element of acceptSlots until the loop has counted or closed it. Otherwise the
// acceptor could accept one more meanwhile, and the descriptors would exceed their limit.
func TestBacklogSlotHeldUntilConnectionIsCounted(t *testing.T) {
	for name, sockets := range map[string]int{"closed for lack of descriptors": minSockets, "counted": 4 * minSockets} {
		l := newManualLoop(t, nil)
		l.cfg.Sockets = sockets
		near, _ := newMemPipe(1 << 10)
		held := -1
		near.onClose = func() { held = len(l.acceptSlots) }
		c, err := newClient(near)
		if err != nil {
			t.Fatal(err)
		}
		joinClient(l, c)
		counted := len(l.clients) == 1
		if counted == (sockets == minSockets) || !counted && held != 1 || len(l.acceptSlots) != 0 {
			t.Errorf("%s: counted %v, %d slots held when it was closed, %d afterwards", name, counted, held, len(l.acceptSlots))
		}
	}
}
