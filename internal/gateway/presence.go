package gateway

import (
	"errors"
	"sync/atomic"
	"time"
)

const (
	// No attempt starts for a client that has not been seen for this long. It may begin at most 100 ms after the client
	// has gone, and of that the delays of acknowledgements (40 ms) and of looking take a part.
	maxUnseenTime = 50 * time.Millisecond
	// How often to look for an unseen client whose commands could be processed.
	unseenCheckInterval = 5 * time.Millisecond
	// How long commands wait for a sign of an unseen client. Then they are refused, so that its end of stream can arrive,
	// and a client that stays does not wait for answers that hang.
	maxUnseenPause = 250 * time.Millisecond
	// A client that has not been seen for this long, though only its acknowledgements are missing, has vanished.
	vanishedTime = 30 * time.Second
)

// presence tells until when a client is known to be connected. The end of a connection arrives behind everything that the
// client has sent. While the kernel's buffers hold more than is read, the end can't arrive, so the connection looks open
// however long ago its client has left. There are two other signs: the kernel holds no unread bytes, so the end would
// have been noticed; and the client's machine acknowledges bytes, as it does for an open connection only.
//
// The reader looks for the signs, and the loop asks for them before it starts an attempt.
type presence struct {
	// the clock's time since when the client may have left unnoticed; 0 if it can't have
	unseenSince atomic.Int64
}

// seen reports whether the client is known to have been connected a short time ago.
func (p *presence) seen(now time.Duration) bool {
	since := time.Duration(p.unseenSince.Load())
	return since == 0 || now-since <= maxUnseenTime
}

// markSeen records that the client was connected at a time, and has not been seen since.
func (p *presence) markSeen(at time.Duration) { p.unseenSince.Store(int64(at)) }

// markVisible records that the end of the client's connection would be noticed.
func (p *presence) markVisible() { p.unseenSince.Store(0) }

// markHidden records that the end of the client's connection would not be noticed from now on.
func (p *presence) markHidden(now time.Duration) { p.unseenSince.CompareAndSwap(0, int64(now)) }

// peek records whether anything is unread in the kernel, including the client's end of stream, and what that tells about
// the client's presence.
func (r *clientReader) peek() {
	lastPeek := r.peekedAt
	r.peekedAt, r.kernelEmpty = r.clock.now(), r.client.conn.Quiet()
	if r.kernelEmpty {
		r.client.presence.markVisible()
		return
	}
	delivered := r.client.delivered()
	if delivered > r.delivered && lastPeek > 0 {
		r.client.presence.markSeen(lastPeek) // the acknowledgement came since then
	} else {
		r.client.presence.markHidden(r.peekedAt)
	}
	r.delivered = delivered
}

// errClientVanished means that a client's machine no longer acknowledges anything.
var errClientVanished = errors.New("the client acknowledges nothing")

// checkVanished returns errClientVanished once that holds.
func (r *clientReader) checkVanished() error {
	since := time.Duration(r.client.presence.unseenSince.Load())
	if since > 0 && r.clock.now()-since >= vanishedTime && r.client.pendingAnswers.Load() == 0 && r.client.conn.Unsent() > 0 {
		return errClientVanished
	}
	return nil
}

// clientUnseen reports whether the client may have left unnoticed. If nothing is on its way to it and it waits for no
// answer, there can be no further sign, and what it has sent is read on.
func (r *clientReader) clientUnseen() bool {
	if r.client.presence.seen(r.clock.now()) {
		return false
	}
	return r.client.pendingAnswers.Load() > 0 || r.client.conn.Unsent() > 0
}

// updateUnseenPause notes since when commands wait only because the client is unseen.
func (r *clientReader) updateUnseenPause() {
	switch {
	case r.tooManyPending(0) || !r.clientUnseen():
		r.unseenPauseSince = 0
	case r.unseenPauseSince == 0:
		r.unseenPauseSince = r.clock.now()
	}
}

// awaitsSign reports whether commands wait for a sign of an unseen client.
func (r *clientReader) awaitsSign() bool {
	since := r.unseenPauseSince
	return r.clientUnseen() && (since == 0 || r.clock.now()-since < maxUnseenPause)
}
