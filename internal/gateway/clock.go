package gateway

import (
	"time"

	"winghatch/internal/platform"
)

// clock returns the time since the Unix epoch. It reads the wall clock once, because servers' start times are given
// in wall-clock time, and uses the monotonic clock from then on, so it never runs backwards.
type clock struct {
	start time.Time
	epoch time.Duration
}

func newClock() clock {
	return clock{time.Now(), time.Duration(platform.Now().UnixNano())}
}

func (c clock) now() time.Duration { return c.epoch + time.Since(c.start) }

// at converts t, which must have a monotonic clock reading, to the time of this clock.
func (c clock) at(t time.Time) time.Duration { return c.epoch + t.Sub(c.start) }
