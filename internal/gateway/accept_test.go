package gateway

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"winghatch/internal/telemetry"
)

// Guards against a deadline that counts from too late a time. A connection counts from the earliest time at which it
// may have arrived. If nothing could be accepted for a while, that is the start of that period.
func TestQueuedConnectionCountsFromEarliestArrival(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	var q acceptQueue
	for _, step := range []struct {
		began, now, want int
	}{
		{0, 50, 50},     // accept blocked, so the connection is new
		{50, 51, 51},    // arrived right after it
		{60, 61, 61},    // the gateway was not paused
		{-1, 100, 0},    // an accept fails
		{-1, 110, 0},    // and fails again
		{500, 501, 100}, // waited in the queue, perhaps since the first failure
		{501, 501, 100},
		{501, 510, 510}, // accept blocked, so the queue was empty
		{510, 511, 511},
	} {
		if step.began < 0 {
			q.markPaused(at(step.now))
			continue
		}
		if got := q.earliestArrival(at(step.began), at(step.now)); !got.Equal(at(step.want)) {
			t.Errorf("accept from %d to %d ms: earliest arrival %v, want %d ms", step.began, step.now, got.Sub(at(0)), step.want)
		}
	}
}

// failingListener fails the given number of times, then returns its connections without blocking.
type failingListener struct {
	net.Listener
	failures int
	conns    []net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, syscall.ENFILE
	}
	if len(l.conns) == 0 {
		return nil, net.ErrClosed
	}
	conn := l.conns[0]
	l.conns = l.conns[1:]
	return conn, nil
}

// Guards against requests that get more time than their client has left: while Accept fails, clients connect and send
// requests, and their deadlines already run.
func TestAcceptFailureDoesNotExtendDeadline(t *testing.T) {
	const failures = 5
	near, _ := tcpPair(t)
	metrics := telemetry.New()
	var arrivedAt time.Time
	started := time.Now()
	acceptSlots := make(chan struct{}, 1)
	a := acceptor{ln: &failingListener{failures: failures, conns: []net.Conn{near}}, acceptSlots: acceptSlots, metrics: metrics,
		log: slog.New(slog.DiscardHandler), post: func(e event) {
			arrivedAt = e.(clientConnected).client.acceptedAt
			<-acceptSlots // the loop releases it as well
		}}
	a.run(context.Background())
	if waited := time.Since(started); waited < failures*acceptRetryDelay {
		t.Errorf("failed accepts were retried without the delay: %v in total", waited)
	}
	if held := arrivedAt.Sub(started); held >= failures*acceptRetryDelay {
		t.Errorf("the connection counts from %v after the first failure", held)
	}
	if n := metrics.SystemCallErrors.Count("accept"); n != failures {
		t.Errorf("%d failures were counted", n)
	}
}

// pausableListener fails to accept while it is paused. Connections then wait in the kernel's queue.
type pausableListener struct {
	*net.TCPListener
	paused atomic.Bool
}

func (l *pausableListener) Accept() (net.Conn, error) {
	if l.paused.Load() {
		return nil, syscall.ENFILE
	}
	return l.TCPListener.Accept()
}

// Guards against a stop that closes the listener over connections in the kernel's accept queue, which resets them.
// The required behaviour: "once a request's last byte is written to a connection that the gateway's machine accepted,
// the gateway has taken it".
func TestStopAcceptsQueuedConnections(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := &pausableListener{TCPListener: tcp.(*net.TCPListener)}
	b := newBackend(t)
	// the target latency is long enough for the request to be worth sending in the remaining time
	r := newHarnessOn(t, ln, longTarget/6, b)
	r.waitReady(t)
	ln.paused.Store(true)
	last := r.dial(t) // the Accept call that is already in progress returns this connection
	last.send("PING")
	last.expect("+PONG")
	r.stop()
	c := r.dial(t)
	c.sendLook("id")
	time.Sleep(acceptGrace + 100*time.Millisecond)
	ln.paused.Store(false)
	go func() {
		for x := range b.got {
			if x.args != nil {
				x.answer(t, servedReply("v"))
			}
		}
	}()
	c.expect("$v")
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}
