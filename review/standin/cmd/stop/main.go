// Command stop is case 3: a planned restart while card servers hang, and a client has sent many commands at once.
package main

import (
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cherryhook-review/lab"
)

const (
	servers = 12
	hanging = 5 // "a quarter to a half"
	rate    = 60.0
	// Clients that send many commands at once, one after the other from shortly before SIGTERM on, and each once more on
	// the same connection.
	pipelines   = 24
	firstBurst  = 140
	secondBurst = 20
	bodySize    = 8 << 10
	quiet       = 4 * time.Second
	beforeStop  = 100 * time.Millisecond // from the first one to SIGTERM
	between     = 20 * time.Millisecond
	secondAfter = time.Second
	// SIGKILL comes no sooner than the longest deadline (counted as 3 s) and 0.7 s after SIGTERM.
	untilKill = 3700 * time.Millisecond
	// What SIGKILL finds unanswered is lost only if it came later than this after SIGTERM.
	excusedAtKill = 700 * time.Millisecond
	// A request that was sent this shortly before the end of its connection may have crossed it.
	mayHaveCrossed = time.Second
)

func main() {
	l := lab.New()
	var hang atomic.Bool
	_, entries := l.StartCardServers(servers, func(i int, s *lab.CardServer) {
		s.Arrival = func(lab.Attempt) bool { return i >= hanging || !hang.Load() }
	})
	fleet := l.StartFleet(2, lab.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, l.StartAgent(entries))
	stopped, other := fleet.Gateways[0], fleet.Gateways[1]
	var usual, bursts lab.Tally
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, g := range fleet.Gateways {
		clients.Go(func() { l.Front(g.Addr, 2, rate, stop, usual.Add) })
	}
	time.Sleep(quiet)
	hang.Store(l.Trouble)
	l.Recordf("card servers that hang: %v of %d: %v", hanging, servers, l.Trouble)
	c := &client{lab: l, tally: &bursts, other: &lab.Pool{Addr: other.Addr}}
	conns := c.connect(stopped.Addr)
	var platform sync.WaitGroup
	platform.Go(func() {
		time.Sleep(beforeStop)
		if l.Trouble {
			c.plannedRestart(stopped)
		}
	})
	c.sendOnAll(conns, firstBurst)
	time.Sleep(secondAfter)
	c.sendOnAll(conns, secondBurst)
	c.finished.Wait()
	platform.Wait()
	close(stop)
	clients.Wait()
	l.Recordf("usual clients: %s; clients that send many commands at once: %s", &usual, &bursts)
	l.Finish()
}

// plannedRestart is the platform: it ends a gateway and starts it again.
func (c *client) plannedRestart(g *lab.Gateway) {
	c.lab.Recordf("SIGTERM")
	terminated := time.Now()
	g.Signal(syscall.SIGTERM)
	select {
	case <-g.Ended():
	case <-time.After(untilKill):
		c.lab.Recordf("SIGKILL")
		c.excusedUntil.Store(terminated.Add(excusedAtKill).UnixNano())
		g.Kill()
	}
	g.Start()
	if err := g.AwaitReady(30 * time.Second); err != nil {
		c.lab.NotRun("the gateway after its restart: %v", err)
	}
}

// client sends many commands at once.
type client struct {
	lab      *lab.Lab
	tally    *lab.Tally
	other    *lab.Pool // to the other gateway
	finished sync.WaitGroup
	// After SIGKILL: requests that were sent up to this time, in Unix nanoseconds, are excused.
	excusedUntil atomic.Int64
}

func (c *client) connect(addr string) []*lab.Conn {
	conns := make([]*lab.Conn, pipelines)
	for i := range conns {
		var err error
		if conns[i], err = lab.Dial(addr, c.finish); err != nil {
			c.lab.NotRun("connecting to the gateway: %v", err)
		}
	}
	return conns
}

// sendOnAll sends n requests at once on each connection.
func (c *client) sendOnAll(conns []*lab.Conn, n int) {
	for i, conn := range conns {
		requests := make([]*lab.Request, n)
		for k := range requests {
			requests[k] = lab.NewRequest(lab.RandomClass(), 2, lab.RandomWait(), strings.Repeat("x", bodySize))
		}
		c.finished.Add(n)
		c.lab.Recordf("connection %d: %s to %s at once", i, requests[0].ID, requests[n-1].ID)
		conn.Send(requests...)
		time.Sleep(between)
	}
}

// finish handles the answer to a request, or the end of its connection. A client whose time is not over yet sends the
// request once more through the other gateway.
func (c *client) finish(r *lab.Request) {
	took := time.Since(r.Sent)
	c.lab.Recordf("%s %s: %s %v, %v after it was sent, of %v", r.Class, r.ID, r.Reply.Kind, r.Err, took, r.Wait)
	excused := took < mayHaveCrossed || !r.Written.Load() || r.Sent.UnixNano() <= c.excusedUntil.Load()
	if r.Err == nil || excused {
		c.tally.Add(r)
		c.finished.Done()
		return
	}
	go func() {
		defer c.finished.Done()
		if left := r.Wait - took; left > 0 {
			again := lab.NewRequest(r.Class, 2, left, strings.Repeat("x", bodySize))
			c.other.Exchange(again)
			c.lab.Recordf("%s was sent once more as %s: %s %v", r.ID, again.ID, again.Reply.Kind, again.Err)
			c.tally.Add(again)
			return
		}
		c.tally.Add(r)
		c.lab.Broken("%s %s got no answer: the gateway ended its connection %v after it was sent, its time was %v",
			r.Class, r.ID, took, r.Wait)
	}()
}
