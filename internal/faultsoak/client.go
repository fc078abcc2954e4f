package faultsoak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"
)

const (
	clientDialTimeout = 500 * time.Millisecond
	// If a gateway closes a connection less than this after a request was sent, with no answer pending before that
	// request, the gateway may have closed before it read the request. The client then sends the request once more.
	closeRaceWindow = 100 * time.Millisecond
	// A client that violates the protocol has to receive an error or a closed connection within this time.
	misbehavingClientTimeout = 3 * time.Second
	// A slow reader reads at most its receive buffer, some KB, per interval: hundreds of KB per second.
	slowReadPause = 20 * time.Millisecond
)

// clients sends the requests of one run and holds the pool of idle connections.
type clients struct {
	oracle    *oracle
	profile   Profile
	addrs     []string // by gateway
	rng       *lockedRand
	nextID    atomic.Uint64
	openConns atomic.Int64
	tasks     sync.WaitGroup
	mu        sync.Mutex
	idle      [][]*clientConn // by gateway
	usable    []bool          // by gateway: whether the load balancer sends new connections to it
}

// lockedRand is a random number generator that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (l *lockedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}

func (l *lockedRand) chance(p float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < p
}

// between draws a duration of whole milliseconds between the bounds, both inclusive.
func (l *lockedRand) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(l.intN(int((longest-shortest)/time.Millisecond)+1))*time.Millisecond
}

// clientConn is a client's connection to a gateway.
type clientConn struct {
	clients          *clients
	gateway          int
	conn             *net.TCPConn
	slowReader       bool // reads its answers slowly
	misbehaving      bool // violates the protocol
	mu               sync.Mutex
	pending          []*Request // unanswered commands in order; nil stands for a command that is not a request
	lastAnswer       Moment     // when the last answer arrived
	closedByClient   bool
	closedByGateway  bool // the gateway closed or reset the connection
	gotProtocolError bool // it received an error line about the protocol
	connOpened       Moment
	ended            chan struct{}
}

func (c *clients) dial(gateway int) (*clientConn, error) {
	return c.dialWith(gateway, net.Dialer{Timeout: clientDialTimeout})
}

// smallReceiveBufferDialer returns a dialer that requests a receive buffer of 4 KiB for its connections. The size has
// to be set before the connection is established, because the window is negotiated then.
func smallReceiveBufferDialer() net.Dialer {
	return net.Dialer{Timeout: clientDialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10)
		})
		return errors.Join(controlErr, err)
	}}
}

func (c *clients) dialWith(gateway int, dialer net.Dialer) (*clientConn, error) {
	c.mu.Lock()
	usable := c.usable[gateway]
	c.mu.Unlock()
	if !usable {
		return nil, errors.New("the load balancer sends no new connections to this gateway")
	}
	conn, err := dialer.Dial("tcp", c.addrs[gateway])
	if err != nil {
		return nil, fmt.Errorf("connecting to gateway %d: %w", gateway, err)
	}
	c.openConns.Add(1)
	return &clientConn{clients: c, gateway: gateway, conn: conn.(*net.TCPConn), connOpened: Now(), ended: make(chan struct{})}, nil
}

// start begins reading answers in the background.
func (cc *clientConn) start() {
	cc.clients.tasks.Go(func() {
		defer cc.clients.openConns.Add(-1)
		cc.read()
	})
}

// newRequest creates a request and encodes its command. extra is appended to the command's list argument, as
// ",name=value".
func (c *clients) newRequest(gateway int, class string, extra string, body string) (*Request, []byte) {
	id := fmt.Sprintf("r%d", c.nextID.Add(1))
	// Clients measure the time including transport, so the shortest deadlines are well above the scheduling pauses of
	// the machine.
	deadline := c.rng.between(c.profile.Deadline/3, c.profile.Deadline)
	r := &Request{ID: id, Class: class, Gateway: gateway, Deadline: deadline}
	list := fmt.Sprintf("c=%s,t=basic,d=%d,units=1,spread=%d,first=0%s", class, deadline.Milliseconds(), c.profile.Gateways, extra)
	name := "Q.DO"
	if class == ClassSafe {
		name = "Q.ASK"
	}
	if class == ClassKeyed {
		list += ",k=key" + id
	}
	args := []string{name, fmt.Sprintf("%016x", 1+c.rng.intN(50)), id, list}
	if body != "" {
		args = append(args, body)
	}
	return r, appendCommand(nil, args...)
}

// appendCommand appends a command, encoded as a RESP array of bulk strings.
func appendCommand(b []byte, args ...string) []byte {
	b = redcon.AppendArray(b, len(args))
	for _, arg := range args {
		b = redcon.AppendBulkString(b, arg)
	}
	return b
}

// drawClass draws a class: 50 % safe, 20 % keyed, 30 % unsafe.
func (c *clients) drawClass() string {
	switch n := c.rng.intN(10); {
	case n < 5:
		return ClassSafe
	case n < 7:
		return ClassKeyed
	}
	return ClassUnsafe
}

// write sends commands in one write. If it succeeds, all requests among them are recorded as sent at the time the write
// began.
func (cc *clientConn) write(b []byte, pending ...*Request) error {
	cc.mu.Lock()
	cc.pending = append(cc.pending, pending...)
	cc.mu.Unlock()
	for _, r := range pending {
		if r != nil {
			r.Misbehaving, r.ConnOpened = r.Misbehaving || cc.misbehaving, cc.connOpened
			cc.clients.oracle.addRequest(r)
		}
	}
	before := Now()
	_, err := cc.conn.Write(b)
	cc.clients.oracle.withLock(func() {
		for _, r := range pending {
			if r != nil && err == nil {
				// The deadline counts from the first byte. A gateway that counts it from a later time is not excused.
				r.Sent = before
			}
		}
	})
	return err
}

// read processes answers until the connection ends.
func (cc *clientConn) read() {
	defer close(cc.ended)
	defer cc.conn.Close()
	var in []byte
	buf := make([]byte, 20<<10)
	for {
		n, err := cc.conn.Read(buf)
		in = append(in, buf[:n]...)
		for {
			text, value, used, parseErr := parseReply(in)
			if parseErr != nil {
				cc.clients.oracle.recordViolation(RuleWrongAnswer, "gateway %d sent a malformed reply: %.60q", cc.gateway, in)
				return
			}
			if used == 0 {
				break
			}
			cc.handleReply(text, string(value))
			in = in[used:]
		}
		if err != nil {
			cc.connectionEnded()
			return
		}
		if cc.slowReader {
			time.Sleep(slowReadPause)
		}
	}
}

// handleReply records a reply for the oldest pending command. A protocol error belongs to no command.
func (cc *clientConn) handleReply(text, value string) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if strings.HasPrefix(text, "-ERR protocol error") {
		cc.gotProtocolError = true
		return
	}
	if len(cc.pending) == 0 {
		cc.clients.oracle.recordViolation(RuleWrongAnswer, "gateway %d sent %q although no command was pending", cc.gateway, text)
		return
	}
	r := cc.pending[0]
	cc.pending = cc.pending[1:]
	now, previous := Now(), cc.lastAnswer
	cc.lastAnswer = now
	if r == nil {
		return
	}
	cc.clients.oracle.withLock(func() {
		r.Answered, r.PreviousAnswer, r.Value = now, previous, value
		switch {
		case text[0] == '$':
			r.Kind = Served
		case strings.HasPrefix(text, "-BUSY"):
			r.Kind = Refused
		default:
			r.Kind = Failed
		}
	})
}

// connectionEnded records for all pending requests that the gateway ended the connection.
func (cc *clientConn) connectionEnded() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closedByClient {
		return
	}
	cc.closedByGateway = true
	now := Now()
	cc.clients.oracle.withLock(func() {
		raced, first := false, true
		for _, r := range cc.pending {
			if r == nil {
				continue
			}
			// If the first pending request was sent before the window, the gateway was reading from this connection. It
			// has then received the requests behind the first one too.
			if first {
				raced, first = r.Sent != 0 && now.Sub(r.Sent) < closeRaceWindow, false
			}
			r.ConnEnded, r.RacedClose = now, raced
		}
	})
}

// disconnect closes the connection, or only its sending side, unless the gateway has ended it already.
func (cc *clientConn) disconnect(sendingSideOnly bool) {
	cc.mu.Lock()
	if cc.closedByGateway {
		cc.mu.Unlock()
		return
	}
	cc.closedByClient = true
	pending := cc.pending
	cc.mu.Unlock()
	if sendingSideOnly {
		cc.conn.CloseWrite()
	} else {
		cc.conn.Close()
	}
	now := Now()
	cc.clients.oracle.withLock(func() {
		for _, r := range pending {
			if r != nil {
				r.ClientGone = now
			}
		}
	})
}

// allAnswered reports whether no command is pending.
func (cc *clientConn) allAnswered() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.pending) == 0
}

// awaitAnswers waits until all commands are answered or the connection has ended, and reports whether that happened
// within the timeout.
func (cc *clientConn) awaitAnswers(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if cc.allAnswered() {
			return true
		}
		select {
		case <-cc.ended:
			return true
		case <-time.After(5 * time.Millisecond):
		}
	}
	return false
}

// take returns an idle connection to a gateway from the pool, or a new one.
func (c *clients) take(gateway int) (*clientConn, error) {
	c.mu.Lock()
	for list := c.idle[gateway]; len(list) > 0; list = c.idle[gateway] {
		cc := list[len(list)-1]
		c.idle[gateway] = list[:len(list)-1]
		select {
		case <-cc.ended:
			continue
		default:
		}
		c.mu.Unlock()
		return cc, nil
	}
	c.mu.Unlock()
	cc, err := c.dial(gateway)
	if err == nil {
		cc.start()
	}
	return cc, err
}

// put returns a connection to the pool.
func (c *clients) put(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cc.gateway] = append(c.idle[cc.gateway], cc)
}

// answerTimeout is how long a client waits for its answers. An answer that has not come by then counts as missing.
func (c *clients) answerTimeout() time.Duration { return c.profile.Deadline + 3*time.Second }

// exp draws from the exponential distribution with mean 1.
func (l *lockedRand) exp() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.ExpFloat64()
}

// closeIdle closes all connections in the pool.
func (c *clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, list := range c.idle {
		for _, cc := range list {
			cc.conn.Close()
		}
		c.idle[i] = nil
	}
}
