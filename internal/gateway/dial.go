package gateway

import (
	"context"
	"net"
	"time"

	"winghatch/decide"
	"winghatch/internal/platform"
)

// dial opens a connection for an attempt in a separate goroutine, which posts the result as dialDone.
func (p *pool) dial(a *attempt) {
	s, post, dial := a.server, p.loop.inbox.post, p.loop.dial
	s.connCount++
	p.connCount++
	timeout := min(p.dialTimeout, a.deadline-p.loop.clock.now())
	addr := s.addr
	p.loop.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(p.loop.ctx, timeout)
		defer cancel()
		conn, err := dialWithRetry(ctx, dial, addr)
		post(dialDone{a, addr, conn, err})
	})
}

// dialDone reports the result of dialing a server.
type dialDone struct {
	attempt *attempt
	addr    string
	conn    net.Conn
	err     error
}

func (d dialDone) apply(l *loop) { l.pool.onDialDone(d) }

// discard closes a connection that was established after the loop had ended.
func (d dialDone) discard(l *loop) {
	if d.err == nil {
		d.conn.Close()
	}
	l.pool.connRemoved(d.attempt.server)
}

// onDialDone sends the attempt's request on the new connection, if that is still allowed. While the connection was
// being established, the attempt may have been cancelled or its request answered, its server may have been drained,
// moved or restarted, or its time may have run out. Without these checks a request could go out after its final answer, to a server
// that must get no more requests, or to one that no longer recognizes it as a retry.
func (p *pool) onDialDone(d dialDone) {
	a, s := d.attempt, d.attempt.server
	var c *upstreamConn
	if d.err == nil {
		if c, d.err = newUpstreamConn(d.conn, s, p.loop.clock.now()); d.err != nil {
			d.conn.Close()
		}
	}
	if d.err != nil {
		if platform.IsTransient(d.err) {
			p.loop.metrics.SystemCallErrors.Inc(string(platform.CallConnect))
		}
		p.connRemoved(s)
		p.loop.attemptEnded(a, dialOutcome(d.err))
		return
	}
	p.open[c] = struct{}{}
	reader := answerReader{conn: c, memory: &p.loop.memory.serverAnswers, post: p.loop.inbox.post}
	p.loop.tasks.Go(reader.run)
	restarted := s.entry.Started != a.serverAtStart.Started
	if s.entry.State != decide.Serving || s.addr != d.addr || restarted {
		p.close(c, serverCloseReplaced)
		p.loop.attemptEnded(a, decide.NoConnection)
		return
	}
	if a.ended || a.request.done {
		p.loop.attemptEnded(a, decide.Cancelled)
		p.putIdle(c)
		return
	}
	if p.tooLate(a) {
		p.loop.attemptEnded(a, decide.NoConnection)
		p.putIdle(c)
		return
	}
	if !p.sendRequest(c, a) {
		p.loop.attemptEnded(a, decide.NoConnection)
	}
}

// dialOutcome returns the outcome of an attempt whose connection could not be established. A server must not be blamed
// for a resource that this machine lacks. A server without a route, for longer than a moment, is as good as down for
// this gateway.
func dialOutcome(err error) decide.Outcome {
	if platform.IsTransient(err) {
		return decide.NotSent
	}
	return decide.NoConnection
}

// dialWithRetry opens a connection. If this machine lacks a resource or a route, it tries again after a short pause,
// because either condition is often over in a moment.
func dialWithRetry(ctx context.Context, dial dialer, addr string) (net.Conn, error) {
	for tries := 1; ; tries++ {
		conn, err := dial(ctx, addr)
		if err == nil || tries == maxDialTries || !platform.IsTransient(err) && !platform.IsUnreachable(err) {
			return conn, err
		}
		sleep(ctx, time.Duration(tries)*dialRetryDelay)
		if ctx.Err() != nil {
			return nil, err // more specific than the context's error
		}
	}
}
