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
	// A request that is under way for less than this when its connection ends, with nothing owed before it, may have
	// crossed that end unread: "if that crosses a request it has not read, the client sends that request once more".
	crossingMost = 100 * time.Millisecond
	badClientDue = 3 * time.Second
	// A slow reader takes up to its receive buffer, some KB, in each interval: hundreds of KB a second.
	slowReadPause = 20 * time.Millisecond
)

// clients makes the requests of one run, in all the ways that clients act.
type clients struct {
	oracle   *oracle
	settings Profile
	addrs    []string // of the gateways
	rng      *lockedRand
	nextID   atomic.Uint64
	opened   atomic.Int64
	tasks    sync.WaitGroup
	mu       sync.Mutex
	idle     [][]*clientConn // by gateway
	usable   []bool          // the front sends new connections there
}

// lockedRand is a random source for many goroutines.
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

// between draws a duration of whole milliseconds.
func (l *lockedRand) between(least, most time.Duration) time.Duration {
	return least + time.Duration(l.intN(int((most-least)/time.Millisecond)+1))*time.Millisecond
}

// clientConn is a client's connection.
type clientConn struct {
	clients *clients
	gateway int
	conn    *net.TCPConn
	slow    bool // takes its answers slowly
	bad     bool // breaks the protocol
	mu      sync.Mutex
	waits   []*Request // in the order of the commands; nil stands for a command that is no request
	last    Moment     // of the last answer
	gone    bool
	over    bool // the gateway has ended it
	errored bool // it got an error about the protocol
	opened  Moment
	ended   chan struct{}
}

func (c *clients) dial(gateway int) (*clientConn, error) {
	return c.dialWith(gateway, net.Dialer{Timeout: clientDialTimeout})
}

// smallWindow makes a dialer whose connections have the smallest receive buffer. It has to be set before the connection
// comes up, as the window is agreed then.
func smallWindow() net.Dialer {
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
		return nil, errors.New("the front sends nothing there")
	}
	conn, err := dialer.Dial("tcp", c.addrs[gateway])
	if err != nil {
		return nil, fmt.Errorf("connecting to gateway %d: %w", gateway, err)
	}
	c.opened.Add(1)
	return &clientConn{clients: c, gateway: gateway, conn: conn.(*net.TCPConn), opened: Now(), ended: make(chan struct{})}, nil
}

// start begins to read answers.
func (cc *clientConn) start() {
	cc.clients.tasks.Go(func() {
		defer cc.clients.opened.Add(-1)
		cc.read()
	})
}

// newRequest makes a request with its command. More names and values may be added to the list.
func (c *clients) newRequest(gateway int, class string, extra string, body string) (*Request, []byte) {
	id := fmt.Sprintf("r%d", c.nextID.Add(1))
	// Clients measure their time on the way, so the shortest deadlines are well above that of the machine's pauses.
	deadline := c.rng.between(c.settings.Deadline/3, c.settings.Deadline)
	r := &Request{ID: id, Class: class, Gateway: gateway, Deadline: deadline}
	list := fmt.Sprintf("c=%s,t=basic,d=%d,units=1,spread=%d,first=0%s", class, deadline.Milliseconds(), c.settings.Gateways, extra)
	name := "Q.DO"
	if class == ClassSafe {
		name = "Q.ASK"
	}
	if class == ClassKeyed {
		list += ",k=key" + id
	}
	words := []string{name, fmt.Sprintf("%016x", 1+c.rng.intN(50)), id, list}
	if body != "" {
		words = append(words, body)
	}
	return r, appendCommand(nil, words...)
}

func appendCommand(b []byte, words ...string) []byte {
	b = redcon.AppendArray(b, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}

func (c *clients) drawClass() string {
	switch n := c.rng.intN(10); {
	case n < 5:
		return ClassSafe
	case n < 7:
		return ClassKeyed
	}
	return ClassUnsafe
}

// write sends commands in one go. All requests among them count as sent when the last byte is written.
func (cc *clientConn) write(b []byte, waits ...*Request) error {
	cc.mu.Lock()
	cc.waits = append(cc.waits, waits...)
	cc.mu.Unlock()
	for _, r := range waits {
		if r != nil {
			r.Bad, r.Opened = r.Bad || cc.bad, cc.opened
			cc.clients.oracle.request(r)
		}
	}
	before := Now()
	_, err := cc.conn.Write(b)
	cc.clients.oracle.change(func() {
		for _, r := range waits {
			if r != nil && err == nil {
				r.Sent = before // the time of the first byte: a deadline that counts from later is no excuse
			}
		}
	})
	return err
}

// read takes answers until the connection ends.
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
				cc.clients.oracle.violate(RuleWrongAnswer, "gateway %d sent what is no answer: %.60q", cc.gateway, in)
				return
			}
			if used == 0 {
				break
			}
			cc.answered(text, string(value))
			in = in[used:]
		}
		if err != nil {
			cc.end()
			return
		}
		if cc.slow {
			time.Sleep(slowReadPause)
		}
	}
}

func (cc *clientConn) answered(text, value string) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if strings.HasPrefix(text, "-ERR protocol error") {
		cc.errored = true
		return
	}
	if len(cc.waits) == 0 {
		cc.clients.oracle.violate(RuleWrongAnswer, "gateway %d answered %q to nothing", cc.gateway, text)
		return
	}
	r := cc.waits[0]
	cc.waits = cc.waits[1:]
	now, previous := Now(), cc.last
	cc.last = now
	if r == nil {
		return
	}
	cc.clients.oracle.change(func() {
		r.Answered, r.Previous, r.Value = now, previous, value
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

// end notes what becomes of the requests on a connection that ended.
func (cc *clientConn) end() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.gone {
		return
	}
	cc.over = true
	now := Now()
	cc.clients.oracle.change(func() {
		crossed, first := false, true
		for _, r := range cc.waits {
			if r == nil {
				continue
			}
			if first { // if this one has been there for longer, what is behind it has come to a gateway that reads
				crossed, first = r.Sent != 0 && now.Sub(r.Sent) < crossingMost, false
			}
			r.ConnEnded, r.Crossed = now, crossed
		}
	})
}

// leave closes the connection, or ends the sending on it only, unless the gateway has ended it before.
func (cc *clientConn) leave(half bool) {
	cc.mu.Lock()
	if cc.over {
		cc.mu.Unlock()
		return
	}
	cc.gone = true
	waits := cc.waits
	cc.mu.Unlock()
	if half {
		cc.conn.CloseWrite()
	} else {
		cc.conn.Close()
	}
	now := Now()
	cc.clients.oracle.change(func() {
		for _, r := range waits {
			if r != nil {
				r.ClientGone = now
			}
		}
	})
}

// idleNow reports whether all is answered.
func (cc *clientConn) idleNow() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.waits) == 0
}

// settled waits until all is answered or the connection has ended.
func (cc *clientConn) settled(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); {
		if cc.idleNow() {
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

// take returns an idle connection to a gateway, or a new one.
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

func (c *clients) put(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cc.gateway] = append(c.idle[cc.gateway], cc)
}

// answerWait is how long a client stays for its answers: an answer that comes later is found missing.
func (c *clients) answerWait() time.Duration { return c.settings.Deadline + 3*time.Second }

// exp draws from the exponential distribution with mean 1.
func (l *lockedRand) exp() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.ExpFloat64()
}

// closeIdle ends the connections that clients keep.
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
