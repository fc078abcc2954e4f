package faultsoak

import (
	"strings"
	"time"
)

// behaviour is one pattern of client traffic. act runs it once against a gateway and returns when the client is done.
type behaviour struct {
	name   string
	weight int
	act    func(c *clients, gateway int)
}

// behaviours lists the patterns that traffic draws from.
var behaviours = []behaviour{
	{"usual", 100, singleRequestClient},
	{"pipeline", 3, pipelineClient},
	{"leaver", 6, disconnectingClient},
	{"burst and go", 1, burstThenDisconnectClient},
	{"half a command", 1, truncatedCommandClient},
	{"garbage behind a request", 1, malformedCommandClient},
	{"large body", 3, largeBodyClient},
	{"slow writer", 2, slowWriterClient},
	{"idle", 2, idleClient},
	{"newcomer", 10, newConnectionClient},
}

// singleRequestClient sends one request on a pooled connection and returns the connection to the pool.
func singleRequestClient(c *clients, gateway int) {
	cc, err := c.take(gateway)
	if err != nil {
		return
	}
	r, b := c.newRequest(gateway, c.drawClass(), "", "")
	if cc.write(b, r) == nil && cc.awaitAnswers(c.answerTimeout()) {
		c.put(cc)
	}
}

// newConnectionClient sends one request on a new connection and then adds the connection to the pool.
func newConnectionClient(c *clients, gateway int) {
	cc, err := c.dial(gateway)
	if err != nil {
		return
	}
	cc.start()
	r, b := c.newRequest(gateway, c.drawClass(), "", "")
	if cc.write(b, r) == nil && cc.awaitAnswers(c.answerTimeout()) {
		c.put(cc)
	}
}

// pipelineClient sends many commands in one write. About 70 % of them are PING, the others are requests.
func pipelineClient(c *clients, gateway int) {
	cc, err := c.dial(gateway)
	if err != nil {
		return
	}
	cc.start()
	var b []byte
	var pending []*Request
	for range 30 + c.rng.intN(90) {
		if c.rng.chance(0.7) {
			b, pending = appendCommand(b, "PING"), append(pending, nil)
			continue
		}
		r, command := c.newRequest(gateway, c.drawClass(), "", "")
		b, pending = append(b, command...), append(pending, r)
	}
	if cc.write(b, pending...) == nil {
		cc.awaitAnswers(2 * c.answerTimeout())
	}
	cc.disconnect(false)
}

// disconnectingClient sends one request and closes the connection, or its sending side, up to 150 ms later.
func disconnectingClient(c *clients, gateway int) {
	cc, err := c.take(gateway)
	if err != nil {
		return
	}
	r, b := c.newRequest(gateway, c.drawClass(), "", "")
	if cc.write(b, r) != nil {
		return
	}
	time.Sleep(c.rng.between(0, 150*time.Millisecond))
	cc.disconnect(c.rng.chance(0.3))
}

// burstThenDisconnectClient sends many more requests than a gateway processes at once, and disconnects.
func burstThenDisconnectClient(c *clients, gateway int) {
	cc, err := c.dial(gateway)
	if err != nil {
		return
	}
	cc.start()
	var b []byte
	var pending []*Request
	for range 150 + c.rng.intN(600) {
		r, command := c.newRequest(gateway, c.drawClass(), ",note="+strings.Repeat("n", c.rng.intN(200)), "")
		b, pending = append(b, command...), append(pending, r)
	}
	if cc.write(b, pending...) == nil {
		time.Sleep(c.rng.between(0, 120*time.Millisecond))
	}
	cc.disconnect(c.rng.chance(0.6))
}

// truncatedCommandClient stops in the middle of a command and keeps the connection open.
func truncatedCommandClient(c *clients, gateway int) {
	cc, err := c.dial(gateway)
	if err != nil {
		return
	}
	cc.misbehaving = true
	cc.start()
	var b []byte
	var pending []*Request
	if c.rng.chance(0.5) { // a complete request precedes it and must be answered
		r, command := c.newRequest(gateway, c.drawClass(), "", "")
		b, pending = append(b, command...), append(pending, r)
	}
	_, truncated := c.newRequest(gateway, c.drawClass(), "", "")
	if cc.write(append(b, truncated[:len(truncated)/2]...), pending...) == nil {
		cc.expectErrorOrClose(misbehavingClientTimeout)
	}
	cc.disconnect(false)
}

// malformedCommandClient sends a request followed by bytes that violate the protocol.
func malformedCommandClient(c *clients, gateway int) {
	cc, err := c.dial(gateway)
	if err != nil {
		return
	}
	cc.misbehaving = true
	cc.start()
	r, b := c.newRequest(gateway, c.drawClass(), "", "")
	if cc.write(append(b, "*1\r\n$-7\r\n"...), r) == nil {
		cc.expectErrorOrClose(misbehavingClientTimeout)
	}
	cc.disconnect(false)
}

// expectErrorOrClose checks that a misbehaving client gets a protocol error or a closed connection within the timeout.
// Answers that are pending before the error are sent first, and the time spent waiting for them does not count.
func (cc *clientConn) expectErrorOrClose(timeout time.Duration) {
	begun := Now()
	timeLimit := time.After(timeout + cc.clients.answerTimeout())
	for {
		cc.mu.Lock()
		gotError, lastAnswer := cc.gotProtocolError, cc.lastAnswer
		cc.mu.Unlock()
		if late := Now().Sub(max(begun, lastAnswer)); !gotError && late > timeout+socketSlack+maxSchedulingDelay && cc.allAnswered() {
			cc.clients.oracle.recordViolation(RuleBadClient,
				"gateway %d sent a misbehaving client no error and did not close its connection for %v", cc.gateway, late)
			return
		}
		if gotError {
			return
		}
		select {
		case <-cc.ended:
			return
		case <-timeLimit:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// largeBodyClient sends one request with a body of 20 to 60 KiB.
func largeBodyClient(c *clients, gateway int) {
	cc, err := c.take(gateway)
	if err != nil {
		return
	}
	class := []string{ClassKeyed, ClassUnsafe}[c.rng.intN(2)]
	r, b := c.newRequest(gateway, class, "", strings.Repeat("B", 20<<10+c.rng.intN(40<<10)))
	if cc.write(b, r) == nil && cc.awaitAnswers(c.answerTimeout()) {
		c.put(cc)
	}
}

// slowWriterClient writes a command in pieces, within the time that a gateway allows for reading one command.
func slowWriterClient(c *clients, gateway int) {
	cc, err := c.dial(gateway)
	if err != nil {
		return
	}
	cc.start()
	r, b := c.newRequest(gateway, c.drawClass(), "", "")
	third := len(b) / 3
	for _, piece := range [][]byte{b[:third], b[third : 2*third]} {
		if _, err := cc.conn.Write(piece); err != nil {
			return
		}
		time.Sleep(c.rng.between(10*time.Millisecond, 600*time.Millisecond))
	}
	if cc.write(b[2*third:], r) == nil && cc.awaitAnswers(c.answerTimeout()) {
		c.put(cc)
	}
}

// idleClient connects, sends nothing and disconnects after up to 3 s.
func idleClient(c *clients, gateway int) {
	if cc, err := c.dial(gateway); err == nil {
		cc.start()
		time.Sleep(c.rng.between(0, 3*time.Second))
		cc.disconnect(false)
	}
}

// slowReaderClient requests large answers and reads them slowly but steadily.
func slowReaderClient(c *clients, gateway int) {
	cc, err := c.dialWith(gateway, smallReceiveBufferDialer())
	if err != nil {
		return
	}
	cc.slowReader = true
	cc.start()
	// Half of the clients send all requests without a pause.
	pause := time.Duration(c.rng.intN(2)*c.rng.intN(60)) * time.Millisecond
	for range 40 + c.rng.intN(24) {
		r, command := c.newRequest(gateway, ClassSafe, ",size=60000", "")
		r.SlowReader = true
		if cc.write(command, r) != nil {
			break
		}
		time.Sleep(pause)
	}
	cc.awaitAnswers(time.Minute)
	cc.disconnect(false)
}

// traffic starts client behaviours against one gateway at a mean rate, with exponentially distributed gaps, until the
// given time. The behaviours are drawn by weight.
func (c *clients) traffic(gateway int, rate float64, until time.Time) {
	total := 0
	for _, b := range behaviours {
		total += b.weight
	}
	for time.Now().Before(until) {
		time.Sleep(time.Duration(c.rng.exp() / rate * float64(time.Second)))
		n := c.rng.intN(total)
		for _, b := range behaviours {
			if n -= b.weight; n < 0 {
				c.tasks.Go(func() { b.act(c, gateway) })
				break
			}
		}
	}
}
