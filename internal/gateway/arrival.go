package gateway

import "time"

// arrivalStep merges arrivals: bytes that came within it of those before count as having come with them.
const arrivalStep = 5 * time.Millisecond

// arrivals keeps when the bytes of a connection's read buffer came. A deadline counts from a command's last byte, and a
// command may wait long before it is parsed: in the buffer while as many answers as allowed are owed, and in the kernel
// while the buffer is full. When bytes that waited in the kernel came is not known; they count from the last moment at
// which nothing waited there, which is never too late.
type arrivals struct {
	emptyAt time.Duration // the last moment at which the kernel was known to hold nothing
	known   bool          // it holds nothing as the next read begins
	marks   []arrivalMark // in the order of the bytes
}

// arrivalMark says that the bytes of the buffer before end, and behind the mark before it, came at a time.
type arrivalMark struct {
	end int
	at  time.Duration
}

// beforeRead notes whether anything waits in the kernel.
func (a *arrivals) beforeRead(now time.Duration, quiet bool) {
	a.known = quiet
	if quiet {
		a.emptyAt = now
	}
}

// afterRead notes that n bytes were read; the buffer now holds end bytes.
func (a *arrivals) afterRead(now time.Duration, n, end int) {
	if n == 0 {
		return
	}
	at := a.emptyAt
	if a.known { // so they came while the read waited
		at = now
	}
	if last := len(a.marks) - 1; last >= 0 {
		at = max(at, a.marks[last].at) // not before the bytes before them
		if at-a.marks[last].at < arrivalStep {
			a.marks[last].end = end
			return
		}
	}
	a.marks = append(a.marks, arrivalMark{end, at})
}

// of is when the byte before an offset of the buffer came.
func (a *arrivals) of(offset int) time.Duration {
	for _, m := range a.marks {
		if m.end >= offset {
			return m.at
		}
	}
	return a.emptyAt
}

// drop takes that the first n bytes of the buffer are gone.
func (a *arrivals) drop(n int) {
	kept := a.marks[:0]
	for _, m := range a.marks {
		if m.end -= n; m.end > 0 {
			kept = append(kept, m)
		}
	}
	a.marks = kept
}
