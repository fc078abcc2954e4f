package gateway

import "time"

// receiveMergeWindow is the window in which reads share a timestamp: bytes read within it after earlier ones count as
// received together with them.
const receiveMergeWindow = 5 * time.Millisecond

// receiveTimes records when the bytes in a connection's read buffer were received. The deadline of a request counts
// from the last byte of its command, and a command may wait long before it is parsed: in the buffer while the limit
// of pending answers is reached, and in the kernel while the buffer is full. It is not known when bytes that waited
// in the kernel were received. They count from the last moment at which the kernel was known to hold nothing, which
// is never later than their real time of receipt.
type receiveTimes struct {
	lastEmpty       time.Duration      // last time at which the kernel was known to hold no unread bytes
	emptyBeforeRead bool               // the kernel holds no unread bytes as the next read begins
	timestamps      []receiveTimestamp // in the order of the bytes, times never decreasing
}

// receiveTimestamp is the time of receipt of the buffered bytes before end that no earlier timestamp covers.
type receiveTimestamp struct {
	end int
	at  time.Duration
}

// beforeRead records whether the kernel holds no unread bytes as a read begins.
func (a *receiveTimes) beforeRead(now time.Duration, empty bool) {
	a.emptyBeforeRead = empty
	if empty {
		a.lastEmpty = now
	}
}

// afterRead records that n bytes were read and that the buffer now holds end bytes.
func (a *receiveTimes) afterRead(now time.Duration, n, end int) {
	if n == 0 {
		return
	}
	at := a.lastEmpty
	if a.emptyBeforeRead { // the bytes were received during the read
		at = now
	}
	if last := len(a.timestamps) - 1; last >= 0 {
		at = max(at, a.timestamps[last].at) // never earlier than the preceding bytes
		if at-a.timestamps[last].at < receiveMergeWindow {
			a.timestamps[last].end = end
			return
		}
	}
	a.timestamps = append(a.timestamps, receiveTimestamp{end, at})
}

// receivedAt returns when the byte before offset was received, or an earlier time if that is not known.
func (a *receiveTimes) receivedAt(offset int) time.Duration {
	for _, m := range a.timestamps {
		if m.end >= offset {
			return m.at
		}
	}
	return a.lastEmpty
}

// discard accounts for the removal of the first n bytes of the buffer.
func (a *receiveTimes) discard(n int) {
	kept := a.timestamps[:0]
	for _, m := range a.timestamps {
		if m.end -= n; m.end > 0 {
			kept = append(kept, m)
		}
	}
	a.timestamps = kept
}
