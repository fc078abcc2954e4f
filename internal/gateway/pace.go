package gateway

import "time"

const (
	slowCheckInterval = 50 * time.Millisecond
	slowChecks        = 2  // a client that is behind at so many checks in a row is slow
	paceChecks        = 20 // a slow client that does not keep pace at so many checks is too slow
	// Room for the refusals of the commands that one read can bring, in bytes: some hundreds of short lines.
	refusalReserve = 10 << 10
)

// pace is the start of a measurement of how fast a client accepts its answers.
type pace struct {
	since     time.Duration // 0 before the first measurement
	delivered int64         // bytes that the client had by then
}

// answerSizes counts answers and their bytes.
type answerSizes struct{ count, bytes int64 }

func (a *answerSizes) add(size int) {
	a.count++
	a.bytes += int64(size)
}

// mean returns the mean size, rounded up, or 0 without answers.
func (a *answerSizes) mean() int64 {
	if a.count == 0 {
		return 0
	}
	return (a.bytes + a.count - 1) / a.count
}

// delivered returns how many bytes of answers the client's machine has acknowledged.
func (c *client) delivered() int64 { return c.bytesWritten.Load() - int64(c.conn.Unsent()) }

// measurePace begins to measure a client's pace when a write is blocked after n bytes. A measurement that has begun goes on
// if the client had not received everything before that write.
func (c *client) measurePace(now time.Duration, n int) {
	if c.behind.since == 0 || c.conn.Unsent() <= n {
		c.behind = pace{since: now, delivered: c.delivered()}
	}
}

// outstanding estimates how many bytes of answers the client has yet to receive. Answers that are not known yet count as
// long as the client's answers so far in the mean.
func (c *client) outstanding() int64 {
	n := c.answers.bytes - c.delivered()
	for _, s := range c.slots {
		if s.ready {
			n += int64(len(s.reply))
		} else {
			n += c.answers.mean()
		}
	}
	return n
}

// accepting reports whether a client of a process that is to end takes its answers: all of them at once, or fast enough.
func (c *client) accepting() bool {
	return c.keepsPace.Load() || !c.slow.Load() && !c.writeBlocked.Load()
}

// updatePace decides whether a client that is behind keeps pace: whether it would have all answers before the process is
// killed, and the refusals of further commands, if it went on as it did since it is behind. From such a client, all
// commands are read and refused.
func (l *loop) updatePace(c *client) {
	if c.readState.load() < readRefuseExcess || !c.writeBlocked.Load() {
		return
	}
	elapsed := (l.clock.now() - c.behind.since).Seconds()
	left := (l.stopDeadline - l.clock.now()).Seconds()
	accepted := float64(c.delivered() - c.behind.delivered)
	c.keepsPace.Store(accepted*left >= float64(c.outstanding()+refusalReserve)*elapsed)
}

// watchPace follows the pace of a slow client while the process is to end, for the given number of further checks. Bytes
// are acknowledged in bursts, so one check alone may find too few of them. If the client does not keep pace at any check,
// it is too slow, and nothing more is read from it.
func (l *loop) watchPace(c *client, checks int) {
	l.updatePace(c)
	if checks == 0 && !c.keepsPace.Load() {
		c.tooSlow.Store(true)
	}
	l.wakeReader(c)
	if checks > 0 && !c.keepsPace.Load() {
		l.scheduleWhileOpen(&c.connection, slowCheckInterval, func() { l.watchPace(c, checks-1) })
	}
}

// checkSlow marks a client as slow if it is behind with its answers at the given number of further checks, which are
// slowCheckInterval apart, without having accepted everything in between. With one check alone, a delay of this
// gateway would count against the client.
func (l *loop) checkSlow(c *client, checks int) {
	if checks == 0 {
		l.markSlow(c)
		return
	}
	caughtUp := c.caughtUp
	l.scheduleWhileOpen(&c.connection, slowCheckInterval, func() {
		if c.writeBlocked.Load() && c.caughtUp == caughtUp {
			l.checkSlow(c, checks-1)
		}
	})
}

// clearIfCaughtUp notes that a client has accepted everything after it was behind. A client that is slow while the process
// ends stays marked slow, so new commands are read from it only if it kept pace. Otherwise its reader, which has paused,
// goes on.
func (l *loop) clearIfCaughtUp(c *client) {
	if c.writerActive || c.closed() {
		return
	}
	l.updatePace(c)
	c.caughtUp++
	c.writeBlocked.Store(false)
	if c.readState.load() < readRefuseExcess {
		c.slow.Store(false)
		return
	}
	l.wakeReader(c)
}

// markSlow marks a client as slow. If the process is to end, its commands are then read only if it keeps pace.
func (l *loop) markSlow(c *client) {
	c.slow.Store(true)
	if c.readState.load() >= readRefuseExcess {
		l.watchPace(c, paceChecks)
	}
}
