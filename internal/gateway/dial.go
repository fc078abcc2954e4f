package gateway

import (
	"context"
	"net"
	"time"

	"winghatch/decide"
	"winghatch/internal/platform"
)

// dial makes a connection for an attempt in a goroutine of its own, which posts how that ended.
func (p *pool) dial(a *attempt) {
	s, post, dial := a.server, p.l.in.post, p.l.dial
	s.conns++
	p.conns++
	within := min(p.dialFor, a.until-p.l.clock.now())
	addr := s.addr
	p.l.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(p.l.ctx, within)
		defer cancel()
		conn, err := dialPersistently(ctx, dial, addr)
		post(dialed{a, addr, conn, err})
	})
}

// dialed tells how the making of a connection ended.
type dialed struct {
	a    *attempt
	addr string
	conn net.Conn
	err  error
}

func (d dialed) apply(l *loop) { l.pool.dialed(d) }

// discard drops a connection that came up after the loop's end.
func (d dialed) discard(l *loop) {
	if d.err == nil {
		d.conn.Close()
	}
	l.pool.dropped(d.a.server)
}

// dialed looks again before the first byte: while the connection was made the attempt may have been called
// off or its request answered, its server may have been drained or moved, or the time for it may have passed.
// Without this a request would go out after its final answer, to a server that was told to be let alone, or to
// one that no longer knows it for a repeat.
func (p *pool) dialed(d dialed) {
	a, s := d.a, d.a.server
	var c *upConn
	if d.err == nil {
		if c, d.err = newUpConn(d.conn, s, p.l.clock.now()); d.err != nil {
			d.conn.Close()
		}
	}
	if d.err != nil {
		if platform.IsTransient(d.err) {
			p.l.metrics.SystemCallErrors.Inc(string(platform.CallConnect))
		}
		p.dropped(s)
		p.l.ended(a, dialOutcome(d.err))
		return
	}
	p.all[c] = struct{}{}
	p.l.tasks.Go(func() { c.read(p.l.in.post) })
	if s.entry.State != decide.Serving || s.addr != d.addr {
		p.close(c, serverReplaced)
		p.l.ended(a, decide.NoConnection)
		return
	}
	if a.over || a.req.done {
		p.l.ended(a, decide.Cancelled)
		p.park(c)
		return
	}
	if p.tooLate(a) {
		p.l.ended(a, decide.NoConnection)
		p.park(c)
		return
	}
	if !p.write(c, a) {
		p.l.ended(a, decide.NoConnection)
	}
}

// dialOutcome is how an attempt ends whose connection was not made. A server must not be held to be bad for what this
// machine lacks. Where there is no way to it, and not for a moment only, it is as good as down for this gateway.
func dialOutcome(err error) decide.Outcome {
	if platform.IsTransient(err) {
		return decide.Moot
	}
	return decide.NoConnection
}

// dialPersistently makes a connection, again after a short pause if the machine lacks something or a route is missing: either
// is often over in a moment.
func dialPersistently(ctx context.Context, dial dialer, addr string) (net.Conn, error) {
	for tries := 1; ; tries++ {
		conn, err := dial(ctx, addr)
		if err == nil || tries == dialTries || !platform.IsTransient(err) && !platform.IsUnreachable(err) {
			return conn, err
		}
		sleep(ctx, time.Duration(tries)*dialRetry)
		if ctx.Err() != nil {
			return nil, err // which says more than the context's
		}
	}
}
