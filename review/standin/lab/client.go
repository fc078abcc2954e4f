package lab

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a request of a client and what became of it.
type Request struct {
	ID       string
	Class    string
	Command  []byte
	Wait     time.Duration // for the answer, from Sent on
	Sent     time.Time
	Written  atomic.Bool // all of its bytes
	Answered time.Time
	Reply    Reply
	Err      error // set if the connection ended without an answer
}

var lastID atomic.Uint64

// RandomWait draws the time of a try: 50 to 100 % of the time of its class.
func RandomWait() time.Duration { return time.Duration(2000+rand.IntN(2001)) * time.Millisecond }

// NewRequest creates a request of a random customer. body may be empty.
func NewRequest(class string, gateways int, wait time.Duration, body string) *Request {
	r := &Request{ID: fmt.Sprintf("%016x", 0x9b1f03aa00000000+lastID.Add(1)), Class: class, Wait: wait}
	name := "Q.ASK"
	if class == "redeem" {
		name = "Q.DO"
	}
	list := fmt.Sprintf("c=%s,t=basic,d=%d,units=1,spread=%d,first=0", class, wait.Milliseconds(), gateways)
	args := []string{name, fmt.Sprintf("%016x", 1+rand.IntN(4000)), r.ID, list}
	if body != "" {
		args = append(args, body)
	}
	r.Command = Command(args...)
	return r
}

// RandomClass draws one of the classes of the site.
func RandomClass() string { return []string{"balance-check", "redeem"}[rand.IntN(2)] }

// Conn is a client's connection to a gateway. Answers come in the order of the requests.
type Conn struct {
	conn     net.Conn
	finished func(*Request)
	done     chan struct{}

	mu      sync.Mutex
	pending []*Request
	err     error // why the connection has ended
}

// Dial connects to a gateway. finished is called with each request that is answered, or whose connection has ended.
func Dial(addr string, finished func(*Request)) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Conn{conn: conn, finished: finished, done: make(chan struct{})}
	go c.read()
	return c, nil
}

// Send writes requests at once. If the connection has already ended, it reports that for each of them.
func (c *Conn) Send(requests ...*Request) {
	var b []byte
	c.mu.Lock()
	for _, r := range requests {
		r.Sent = time.Now()
		b = append(b, r.Command...)
	}
	ended := c.err
	if ended == nil {
		c.pending = append(c.pending, requests...)
	}
	c.mu.Unlock()
	if ended != nil {
		for _, r := range requests {
			r.Err = ended
			c.finished(r)
		}
		return
	}
	if _, err := c.conn.Write(b); err != nil {
		return // the reader finds the connection ended
	}
	for _, r := range requests {
		r.Written.Store(true)
	}
}

func (c *Conn) read() {
	defer close(c.done)
	reader := bufio.NewReaderSize(c.conn, 16<<10)
	for {
		reply, err := ReadReply(reader)
		c.mu.Lock()
		pending := c.pending
		if c.err = err; err == nil && len(pending) > 0 {
			c.pending = pending[1:]
		}
		c.mu.Unlock()
		if err != nil {
			for _, r := range pending {
				r.Err = err
				c.finished(r)
			}
			return
		}
		if len(pending) > 0 {
			pending[0].Reply, pending[0].Answered = reply, time.Now()
			c.finished(pending[0])
		}
	}
}

// Close closes the connection and waits for its reader.
func (c *Conn) Close() {
	c.conn.Close()
	<-c.done
}

// ended reports whether the connection has ended.
func (c *Conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil
}

var errNoAnswer = errors.New("no answer 2 s after the client's time")

// Exchange sends one request on a connection to addr that is idle or new, and waits for its answer. A request that
// crosses the end of an idle connection is sent once more on a new one.
func (p *Pool) Exchange(r *Request) {
	for tries := 0; ; tries++ {
		c, reused, err := p.take(tries > 0)
		r.Err = err
		if err == nil {
			p.exchangeOn(c, r)
		}
		if r.Err == nil || !reused || tries > 0 {
			return
		}
	}
}

// Pool holds a client's idle connections to a gateway.
type Pool struct {
	Addr string

	mu   sync.Mutex
	idle []*pooled
}

type pooled struct {
	*Conn
	answers chan struct{}
}

// take returns an idle connection, or a new one if there is none or if fresh is set.
func (p *Pool) take(fresh bool) (c *pooled, reused bool, err error) {
	p.mu.Lock()
	for len(p.idle) > 0 && c == nil && !fresh {
		last := len(p.idle) - 1
		if c, p.idle = p.idle[last], p.idle[:last]; c.ended() {
			c = nil
		}
	}
	p.mu.Unlock()
	if c != nil {
		return c, true, nil
	}
	c = &pooled{answers: make(chan struct{}, 1)}
	c.Conn, err = Dial(p.Addr, func(*Request) { c.answers <- struct{}{} })
	return c, false, err
}

func (p *Pool) exchangeOn(c *pooled, r *Request) {
	c.Send(r)
	select {
	case <-c.answers:
	case <-time.After(r.Wait + 2*time.Second):
		c.Close()
		r.Err = errNoAnswer
	}
	if r.Err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// Front sends the usual requests to a gateway at random times, rate a second, until stop is closed. It waits for their
// answers and calls answered with each request.
func (l *Lab) Front(addr string, gateways int, rate float64, stop <-chan struct{}, answered func(*Request)) {
	pool := &Pool{Addr: addr}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		pause := min(time.Second, time.Duration(rand.ExpFloat64()/rate*float64(time.Second)))
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		tasks.Go(func() {
			r := NewRequest(RandomClass(), gateways, RandomWait(), "")
			l.Recordf("usual client: sends %s %s, waits %v", r.Class, r.ID, r.Wait)
			pool.Exchange(r)
			l.Recordf("usual client: %s: %s %q %v", r.ID, r.Reply.Kind, r.Reply.Value, r.Err)
			answered(r)
		})
	}
}

// Tally counts what became of requests.
type Tally struct {
	mu     sync.Mutex
	counts map[string]int
}

// Add counts a request.
func (t *Tally) Add(r *Request) {
	kind := r.Reply.Kind
	if r.Err != nil {
		kind = "unanswered"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[kind]++
}

// String returns the counts.
func (t *Tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}
