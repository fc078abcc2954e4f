package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// Figures of the cases in which a client leaves.
const (
	leaveCommands = 900                     // sent at once
	leaveBody     = 2 << 10                 // bytes of each command's body
	leaveLimit    = 150 * time.Millisecond  // 100 ms, and 50 ms more for sockets
	leaveRounds   = 3                       // clients that leave, one after the other
	leaveSettle   = 1500 * time.Millisecond // after a client has left, until its attempts are judged
)

// arrivals records when the first attempt of each request began.
type arrivals struct {
	mu    sync.Mutex
	began map[string][]time.Time
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.began[id] = append(a.began[id], time.Now())
}

// after returns how many attempts of a round's requests began, how many of these began later than a time, and the
// latest of them.
func (a *arrivals) after(round int, limit time.Time) (all, late int, last time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, times := range a.began {
		if !strings.HasPrefix(id, fmt.Sprintf("r%d-", round)) {
			continue
		}
		for _, at := range times {
			all++
			if at.After(limit) {
				late++
			}
			if at.After(last) {
				last = at
			}
		}
	}
	return all, late, last
}

// sendAndLeave lets clients send many commands at once and close their connections.
func sendAndLeave(c *testCase) (verdict, error) {
	seen := &arrivals{began: map[string][]time.Time{}}
	handle := func(s *cardServer, conn *serverConn, words []string) {
		seen.add(words[2])
		c.record.printf("%s begins %s", s.entry.ID, words[2])
		time.Sleep(time.Duration(170+rand.IntN(80)) * time.Millisecond)
		conn.answer(servedAnswer("v:" + words[2]))
	}
	if err := c.startFleet(2, 14, defaultSettings(), handle); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	broken, text := false, []string{}
	for round := range leaveRounds {
		closedAt, err := c.sendMuch(round)
		if err != nil {
			return verdict{}, err
		}
		time.Sleep(leaveSettle)
		if !c.trouble {
			text = append(text, fmt.Sprintf("client %d read all %d answers", round, leaveCommands))
			continue
		}
		all, late, last := seen.after(round, closedAt.Add(leaveLimit))
		broken = broken || late > 0
		text = append(text, fmt.Sprintf("client %d: %d attempts, %d of them later than %v after its close, the last after %v",
			round, all, late, leaveLimit, last.Sub(closedAt).Round(time.Millisecond)))
	}
	return verdict{broken, strings.Join(text, "; ")}, nil
}

// sendMuch sends many commands at once and closes the connection. Without the disruption it reads all answers first.
func (c *testCase) sendMuch(round int) (closedAt time.Time, err error) {
	conn, err := dialGateway(c.deployment.gateways[0].listen)
	if err != nil {
		return time.Time{}, err
	}
	defer conn.Close()
	if err := conn.Conn.(*net.TCPConn).SetWriteBuffer(4 << 20); err != nil {
		return time.Time{}, err
	}
	var all []byte
	body := strings.Repeat("b", leaveBody)
	for n := range leaveCommands {
		q := request{command: "Q.DO", customer: fmt.Sprintf("%016x", round*leaveCommands+n+1), id: fmt.Sprintf("r%d-%d", round, n),
			class: classUnsafe, plan: planBasic, deadlineMS: 4000, units: 1, spread: 2}
		all = append(all, q.encode(body)...)
	}
	if !c.trouble {
		go conn.Write(all)
		return time.Now(), c.readAll(conn, round)
	}
	conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	n, err := conn.Write(all)
	conn.Close()
	closedAt = time.Now()
	c.record.printf("client %d wrote %d of %d bytes and closed its connection (%v)", round, n, len(all), err)
	return closedAt, nil
}

// readAll reads the answers to all commands of a round.
func (c *testCase) readAll(conn *clientConn, round int) error {
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for n := range leaveCommands {
		answer, err := readReply(conn.r)
		if err != nil {
			return fmt.Errorf("reading answer %d: %w", n, err)
		}
		c.record.printf("client %d: r%d-%d %s", round, round, n, answer.result())
	}
	return nil
}
