package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case with clients that stop in the middle of a request.
const (
	starveMemoryMB   = 64
	starveBadClients = 120
	starveBody       = 16 << 10 // bytes of the body of each usual request
	starveAnnounced  = 60 << 10 // bytes of the body that a bad client announces, and sends a part of
	starveSent       = 8 << 10
	starveDeadline   = 2 * time.Second
	starveGrace      = 550 * time.Millisecond // half a second after a request's time, and 50 ms more for sockets
	starveFor        = 30 * time.Second
)

// stopMidRequest lets bad clients stop in the middle of a long request and stay, while usual clients send long requests.
func stopMidRequest(c *testCase) (verdict, error) {
	handle := func(s *cardServer, conn *serverConn, words []string) {
		c.record.printf("%s begins %s", s.entry.ID, words[2])
		time.Sleep(100 * time.Millisecond)
		conn.answer(servedAnswer("v:" + words[2]))
	}
	c.memoryMB = starveMemoryMB
	if err := c.startFleet(1, 10, defaultSettings(), handle); err != nil {
		return verdict{}, err
	}
	until := time.Now().Add(starveFor)
	var wg sync.WaitGroup
	if c.trouble {
		for n := range starveBadClients {
			wg.Go(func() { c.stopInTheMiddle(n, until) })
		}
		time.Sleep(time.Second)
	}
	var asked, lost atomic.Int64
	for n := range 4 {
		wg.Go(func() { c.askLong(n, until, &asked, &lost) })
	}
	wg.Wait()
	return verdict{lost.Load() > 0, fmt.Sprintf("%d of %d requests of usual clients had no answer %v after their time",
		lost.Load(), asked.Load(), starveGrace)}, nil
}

// stopInTheMiddle sends a part of a request, waits for the end of the connection, and does the same again.
func (c *testCase) stopInTheMiddle(number int, until time.Time) {
	q := request{command: "Q.ASK", customer: fmt.Sprintf("%016x", 1000+number), id: fmt.Sprintf("bad%d", number),
		class: classSafe, plan: planBasic, deadlineMS: 4000, units: 1, spread: 1}
	whole := q.encode(strings.Repeat("b", starveAnnounced))
	for time.Now().Before(until) {
		conn, err := dialGateway(c.deployment.gateways[0].listen)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		began := time.Now()
		conn.Write(whole[:starveSent])
		conn.SetReadDeadline(until)
		answer, err := readReply(conn.r)
		c.record.printf("bad client %d: %q (%v) after %v", number, answer.line, err, time.Since(began).Round(time.Millisecond))
		conn.Close()
	}
}

// askLong sends one long request after the other, each on a connection of its own.
func (c *testCase) askLong(number int, until time.Time, asked, lost *atomic.Int64) {
	for n := 0; time.Now().Add(starveDeadline + starveGrace).Before(until); n++ {
		q := request{command: "Q.ASK", customer: fmt.Sprintf("%016x", 1+n%20), id: fmt.Sprintf("r%d-%d", number, n),
			class: classSafe, plan: planBasic, deadlineMS: int(starveDeadline.Milliseconds()), units: 1, spread: 1}
		conn, err := dialGateway(c.deployment.gateways[0].listen)
		if err != nil {
			c.record.printf("client: no connection: %v", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		began := time.Now()
		answer, err := conn.ask(q.encode(strings.Repeat("b", starveBody)), starveDeadline+starveGrace)
		conn.Close()
		asked.Add(1)
		if err != nil {
			lost.Add(1)
			c.record.printf("client: %s LOST after %v: %v", q.id, time.Since(began).Round(time.Millisecond), err)
			continue
		}
		c.record.printf("client: %s %s after %v", q.id, answer.result(), time.Since(began).Round(time.Millisecond))
		time.Sleep(100 * time.Millisecond)
	}
}
