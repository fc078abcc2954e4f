package gateway

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"winghatch/internal/platform"
)

// writeCheckInterval is how often a blocked write checks its timeouts. The kernel accepts bytes as soon as the
// connection's buffer has any room, but wakes a writer only when a third of it is free. With a slow reader that may
// take many seconds.
const writeCheckInterval = 100 * time.Millisecond

// writeTimeouts says when a write is given up. A timeout of 0 has no effect.
type writeTimeouts struct {
	stall time.Duration // time in which the peer has accepted no bytes
	total time.Duration // time since the write began
}

// writeAll writes all of b and adds what was written to written. When a timeout expires it returns
// os.ErrDeadlineExceeded, possibly wrapped.
func writeAll(conn streamConn, b []byte, timeouts writeTimeouts, written *atomic.Int64) error {
	started := time.Now()
	progress := started
	for {
		deadline := time.Now().Add(writeCheckInterval)
		if totalEnd := started.Add(timeouts.total); timeouts.total > 0 && totalEnd.Before(deadline) {
			deadline = totalEnd
		}
		if err := conn.SetWriteDeadline(deadline); err != nil {
			return err
		}
		n, err := conn.Write(b)
		b = b[n:]
		written.Add(int64(n))
		now := time.Now()
		if n > 0 {
			progress = now
		}
		switch {
		case len(b) == 0:
			return nil
		case err == nil:
		case platform.IsTransient(err):
			time.Sleep(transientRetryDelay)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		}
		if timeouts.total > 0 && now.Sub(started) >= timeouts.total || timeouts.stall > 0 && now.Sub(progress) >= timeouts.stall {
			return os.ErrDeadlineExceeded
		}
	}
}
