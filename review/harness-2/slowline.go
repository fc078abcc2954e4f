package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case with clients on slow lines at a planned restart.
const (
	lineClients     = 2
	lineCommands    = 600     // that each client sends at once
	lineBody        = 2 << 10 // bytes of the body of each command
	lineAnswer      = 60_000  // bytes of each value
	lineBytesPerMS  = 4000    // that a client's line carries
	lineDeadline    = 2 * time.Second
	lineStopAfter   = time.Second             // SIGTERM after the commands are sent
	lineKillAfter   = 3700 * time.Millisecond // SIGKILL after SIGTERM
	lineWrittenFor  = time.Second             // only requests written this long before the end of the connection count
	lineReadTimeout = 20 * time.Second
)

// slowLine is a connection that carries a limited number of bytes in each millisecond and is read without a pause.
type slowLine struct{ net.Conn }

func (s slowLine) Read(b []byte) (int, error) {
	const step = 5
	time.Sleep(step * time.Millisecond)
	return s.Conn.Read(b[:min(len(b), step*lineBytesPerMS)])
}

// stopSlowLines ends a gateway while clients receive long answers over slow lines.
func stopSlowLines(c *testCase) (verdict, error) {
	handle := func(s *cardServer, conn *serverConn, words []string) {
		c.record.printf("%s begins %s", s.entry.ID, words[2])
		time.Sleep(100 * time.Millisecond)
		conn.answer(servedAnswer(words[2] + strings.Repeat("v", lineAnswer)))
	}
	if err := c.startFleet(1, 20, defaultSettings(), handle); err != nil {
		return verdict{}, err
	}
	g := c.deployment.gateways[0]
	var wg sync.WaitGroup
	lost := make([]int, lineClients)
	for n := range lineClients {
		conn, err := dialGateway(g.listen)
		if err != nil {
			return verdict{}, err
		}
		wg.Go(func() { lost[n] = c.receiveSlowly(conn, n) })
	}
	time.Sleep(lineStopAfter)
	if c.trouble {
		g.signal(syscall.SIGTERM)
		select {
		case <-g.ended:
			c.record.printf("gateway n%d has ended", g.number)
		case <-time.After(lineKillAfter):
			g.signal(syscall.SIGKILL)
		}
	}
	wg.Wait()
	all := 0
	for _, n := range lost {
		all += n
	}
	return verdict{all > 0, fmt.Sprintf("%d of %d requests were never answered", all, lineClients*lineCommands)}, nil
}

// receiveSlowly sends many commands at once, reads the answers and returns how many requests were lost.
func (c *testCase) receiveSlowly(conn *clientConn, number int) int {
	defer conn.Close()
	written := make(chan []time.Time, 1)
	go func() { written <- c.sendCommands(conn, number) }()
	conn.SetReadDeadline(time.Now().Add(lineReadTimeout))
	r := bufio.NewReaderSize(slowLine{conn.Conn}, 1<<20)
	answered := 0
	var ended error
	for ; answered < lineCommands && ended == nil; answered++ {
		var answer reply
		if answer, ended = readReply(r); ended != nil {
			break
		}
		c.record.printf("client %d: l%d-%d %s", number, number, answered, answer.result())
	}
	at, lost := time.Now(), 0
	times := <-written
	for n := answered; n < len(times); n++ {
		if waited := at.Sub(times[n]); waited > lineWrittenFor && waited > lineDeadline {
			lost++
			c.record.printf("client %d: l%d-%d LOST %v after it was whole", number, number, n, waited.Round(time.Millisecond))
		}
	}
	c.record.printf("client %d: %d written, %d answered, end of the connection: %v", number, len(times), answered, ended)
	return lost
}

// sendCommands sends all commands at once and returns when each of them was written whole.
func (c *testCase) sendCommands(conn *clientConn, number int) []time.Time {
	body := strings.Repeat("b", lineBody)
	var times []time.Time
	for n := range lineCommands {
		q := request{command: "Q.DO", customer: fmt.Sprintf("%016x", 1+number*lineCommands+n), id: fmt.Sprintf("l%d-%d", number, n),
			class: classUnsafe, plan: planBasic, deadlineMS: int(lineDeadline.Milliseconds()), units: 1, spread: 1}
		if _, err := conn.Write(q.encode(body)); err != nil {
			break
		}
		times = append(times, time.Now())
	}
	return times
}
