package gateway

import (
	"errors"
	"os"
	"time"

	"winghatch/internal/platform"
)

// writeStep is how often a write that waits for room looks at its limits. A connection's buffer takes bytes as soon as there
// is any room, but wakes a writer only when a third of it is free, which a slow reader may need many seconds for.
const writeStep = 100 * time.Millisecond

// writeLimit says when a write is given up. A limit of 0 does not bind.
type writeLimit struct {
	stalled time.Duration // the other end has taken nothing for so long
	total   time.Duration // since the write began
}

// writeAll writes all of b. It returns os.ErrDeadlineExceeded, perhaps wrapped, once a limit is passed.
func writeAll(conn link, b []byte, limit writeLimit) error {
	begun := time.Now()
	progress := begun
	for {
		by := time.Now().Add(writeStep)
		if end := begun.Add(limit.total); limit.total > 0 && end.Before(by) {
			by = end
		}
		if err := conn.SetWriteDeadline(by); err != nil {
			return err
		}
		n, err := conn.Write(b)
		b = b[n:]
		now := time.Now()
		if n > 0 {
			progress = now
		}
		switch {
		case len(b) == 0:
			return nil
		case err == nil:
		case platform.IsTransient(err):
			time.Sleep(transientPause)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		}
		if limit.total > 0 && now.Sub(begun) >= limit.total || limit.stalled > 0 && now.Sub(progress) >= limit.stalled {
			return os.ErrDeadlineExceeded
		}
	}
}
