package faultsoak

import (
	"strings"
	"time"
)

// behaviour is one way in which clients act. It returns when the client has what it wants.
type behaviour struct {
	name   string
	weight int
	act    func(c *clients, gateway int)
}

var behaviours = []behaviour{
	{"usual", 100, usualClient},
	{"pipeline", 3, pipelineClient},
	{"leaver", 6, leavingClient},
	{"burst and go", 1, burstAndGoClient},
	{"half a command", 1, halfCommandClient},
	{"garbage behind a request", 1, garbageClient},
	{"large body", 3, largeBodyClient},
	{"slow writer", 2, slowWriterClient},
	{"idle", 2, idleClient},
	{"newcomer", 10, newcomerClient},
}

func usualClient(c *clients, gateway int) {
	cc, err := c.take(gateway)
	if err != nil {
		return
	}
	r, b := c.newRequest(gateway, c.drawClass(), "", "")
	if cc.write(b, r) == nil && cc.settled(c.answerWait()) {
		c.put(cc)
	}
}

// newcomerClient asks once, on a connection of its own.
func newcomerClient(c *clients, gateway int) {
	cc, err := c.dial(gateway)
	if err != nil {
		return
	}
	cc.start()
	r, b := c.newRequest(gateway, c.drawClass(), "", "")
	if cc.write(b, r) == nil && cc.settled(c.answerWait()) {
		c.put(cc)
	}
}

// pipelineClient sends many commands at once, some of them no requests.
func pipelineClient(c *clients, gateway int) {
	cc, err := c.dial(gateway)
	if err != nil {
		return
	}
	cc.start()
	var b []byte
	var waits []*Request
	for range 30 + c.rng.intN(90) {
		if c.rng.chance(0.7) {
			b, waits = appendCommand(b, "PING"), append(waits, nil)
			continue
		}
		r, command := c.newRequest(gateway, c.drawClass(), "", "")
		b, waits = append(b, command...), append(waits, r)
	}
	if cc.write(b, waits...) == nil {
		cc.settled(2 * c.answerWait())
	}
	cc.leave(false)
}

func leavingClient(c *clients, gateway int) {
	cc, err := c.take(gateway)
	if err != nil {
		return
	}
	r, b := c.newRequest(gateway, c.drawClass(), "", "")
	if cc.write(b, r) != nil {
		return
	}
	time.Sleep(c.rng.between(0, 150*time.Millisecond))
	cc.leave(c.rng.chance(0.3))
}

// burstAndGoClient sends much more than is worked on at once, and goes.
func burstAndGoClient(c *clients, gateway int) {
	cc, err := c.dial(gateway)
	if err != nil {
		return
	}
	cc.start()
	var b []byte
	var waits []*Request
	for range 150 + c.rng.intN(600) {
		r, command := c.newRequest(gateway, c.drawClass(), ",note="+strings.Repeat("n", c.rng.intN(200)), "")
		b, waits = append(b, command...), append(waits, r)
	}
	if cc.write(b, waits...) == nil {
		time.Sleep(c.rng.between(0, 120*time.Millisecond))
	}
	cc.leave(c.rng.chance(0.6))
}

// halfCommandClient stops in the middle of a command and stays.
func halfCommandClient(c *clients, gateway int) {
	cc, err := c.dial(gateway)
	if err != nil {
		return
	}
	cc.bad = true
	cc.start()
	var b []byte
	var waits []*Request
	if c.rng.chance(0.5) { // a whole request stands before it, and is owed its answer
		r, command := c.newRequest(gateway, c.drawClass(), "", "")
		b, waits = append(b, command...), append(waits, r)
	}
	_, half := c.newRequest(gateway, c.drawClass(), "", "")
	if cc.write(append(b, half[:len(half)/2]...), waits...) == nil {
		cc.dueWithin(badClientDue)
	}
	cc.leave(false)
}

// garbageClient sends a request, and behind it what can't be read.
func garbageClient(c *clients, gateway int) {
	cc, err := c.dial(gateway)
	if err != nil {
		return
	}
	cc.bad = true
	cc.start()
	r, b := c.newRequest(gateway, c.drawClass(), "", "")
	if cc.write(append(b, "*1\r\n$-7\r\n"...), r) == nil {
		cc.dueWithin(badClientDue)
	}
	cc.leave(false)
}

// dueWithin checks that a bad client gets its error or its close in time. Answers owed before the error come first, and
// "the time spent waiting for those before one does not count".
func (cc *clientConn) dueWithin(within time.Duration) {
	begun := Now()
	limit := time.After(within + cc.clients.answerWait())
	for {
		cc.mu.Lock()
		errored, last := cc.errored, cc.last
		cc.mu.Unlock()
		if late := Now().Sub(max(begun, last)); !errored && late > within+socketSlack+heldUp && cc.idleNow() {
			cc.clients.oracle.violate(RuleBadClient, "gateway %d left a bad client without error or close for %v", cc.gateway, late)
			return
		}
		if errored {
			return
		}
		select {
		case <-cc.ended:
			return
		case <-limit:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func largeBodyClient(c *clients, gateway int) {
	cc, err := c.take(gateway)
	if err != nil {
		return
	}
	class := []string{ClassKeyed, ClassUnsafe}[c.rng.intN(2)]
	r, b := c.newRequest(gateway, class, "", strings.Repeat("B", 20<<10+c.rng.intN(40<<10)))
	if cc.write(b, r) == nil && cc.settled(c.answerWait()) {
		c.put(cc)
	}
}

// slowWriterClient writes a command in pieces, within the time that a gateway gives for it.
func slowWriterClient(c *clients, gateway int) {
	cc, err := c.dial(gateway)
	if err != nil {
		return
	}
	cc.start()
	r, b := c.newRequest(gateway, c.drawClass(), "", "")
	cut := len(b) / 3
	for _, piece := range [][]byte{b[:cut], b[cut : 2*cut]} {
		if _, err := cc.conn.Write(piece); err != nil {
			return
		}
		time.Sleep(c.rng.between(10*time.Millisecond, 600*time.Millisecond))
	}
	if cc.write(b[2*cut:], r) == nil && cc.settled(c.answerWait()) {
		c.put(cc)
	}
}

func idleClient(c *clients, gateway int) {
	if cc, err := c.dial(gateway); err == nil {
		cc.start()
		time.Sleep(c.rng.between(0, 3*time.Second))
		cc.leave(false)
	}
}

// slowReaderClient asks for much and takes it slowly, but steadily.
func slowReaderClient(c *clients, gateway int) {
	cc, err := c.dialWith(gateway, smallWindow())
	if err != nil {
		return
	}
	cc.slow = true
	cc.start()
	pause := time.Duration(c.rng.intN(2)*c.rng.intN(60)) * time.Millisecond // half of them ask for all at once
	for range 40 + c.rng.intN(24) {
		r, command := c.newRequest(gateway, ClassSafe, ",size=60000", "")
		r.Slow = true
		if cc.write(command, r) != nil {
			break
		}
		time.Sleep(pause)
	}
	cc.settled(time.Minute)
	cc.leave(false)
}

// traffic makes requests to one gateway at a mean rate until the time is over.
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
