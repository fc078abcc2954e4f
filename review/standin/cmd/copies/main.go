// Command copies is case 2: a second copy of an answer comes some milliseconds late, and another client gets it.
package main

import (
	"bufio"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cherryhook-review/lab"
)

const (
	seconds   = 40
	rate      = 140.0 // requests a second for each gateway
	copyShare = 4     // one of so many answers is sent twice
	// A second copy comes this late: "some milliseconds".
	shortest = 2 * time.Millisecond
	longest  = 16 * time.Millisecond
	// From one hall to the other it takes 0.7 to 1.3 ms.
	betweenHalls = 1300 * time.Microsecond
)

func main() {
	l := lab.New()
	var copies atomic.Int64
	_, entries := l.StartCardServers(10, func(i int, s *lab.CardServer) {
		s.Answer = func(conn net.Conn, r *bufio.Reader, a lab.Attempt) error { return answer(l, &copies, conn, r, a) }
		if s.Entry.Zone != "hall-a" { // where the gateways are
			s.Entry.Addr = l.DelayingProxy(s.Entry.Addr, betweenHalls)
		}
	})
	fleet := l.StartFleet(2, lab.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, l.StartAgent(entries))
	var usual lab.Tally
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, g := range fleet.Gateways {
		clients.Go(func() {
			l.Front(g.Addr, 2, rate, stop, func(r *lab.Request) {
				usual.Add(r)
				judge(l, r)
			})
		})
	}
	time.Sleep(seconds * time.Second)
	close(stop)
	clients.Wait()
	l.Recordf("requests: %s; second copies: %d", &usual, copies.Load())
	l.Finish()
}

// judge checks that a served request got the value that a card server made for it.
func judge(l *lab.Lab, r *lab.Request) {
	if r.Err == nil && r.Reply.Kind == "served" && !strings.HasPrefix(r.Reply.Value, "value for "+r.ID+" by ") {
		l.Broken("%s %s was served %q", r.Class, r.ID, r.Reply.Value)
	}
}

// answer writes the answer to an attempt. Of some answers a second copy follows, unless another request has come on the
// connection by then.
func answer(l *lab.Lab, copies *atomic.Int64, conn net.Conn, r *bufio.Reader, a lab.Attempt) error {
	b := lab.Served(a.Value())
	if _, err := conn.Write(b); err != nil || !l.Trouble || rand.IntN(copyShare) > 0 {
		return err
	}
	late := shortest + rand.N(longest-shortest)
	conn.SetReadDeadline(time.Now().Add(late))
	_, err := r.Peek(1)
	conn.SetReadDeadline(time.Time{})
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err // something else waits on the connection, or it has ended
	}
	copies.Add(1)
	l.Recordf("%s: second copy of the answer to %s, %v after the first", a.Server.Entry.ID, a.ID, late)
	_, err = conn.Write(b)
	return err
}
