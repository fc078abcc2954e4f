package gateway

import (
	"time"

	"winghatch/decide"
)

const (
	// An id is remembered for this long after its request has ended. That is longer than any client waits for an answer.
	spentIDTime = 30 * time.Second
	// Bytes of an entry: the longest id, and its places in the map and the queue.
	spentIDBytes = maxIDBytes + 128
)

// spentIDs are the ids, chosen by clients, of requests that have ended and may have run, where running twice does harm.
// Each request has an id of its own, also a client's retry. So an id that comes again, for example after its client has
// left, must not run again. The oldest entries are forgotten when there are too many.
type spentIDs struct {
	limit int
	until map[string]time.Duration
	order []string // the oldest first
}

// newSpentIDs returns an empty table that takes at most so many bytes.
func newSpentIDs(bytes int) spentIDs {
	return spentIDs{limit: max(1, bytes/spentIDBytes), until: map[string]time.Duration{}}
}

// add records an id, and forgets those that have expired.
func (s *spentIDs) add(id string, now time.Duration) {
	for len(s.order) > 0 && (len(s.order) >= s.limit || s.until[s.order[0]] <= now) {
		delete(s.until, s.order[0])
		s.order = s.order[1:]
	}
	s.until[id] = now + spentIDTime
	s.order = append(s.order, id)
}

// contains reports whether an id is recorded and has not expired.
func (s *spentIDs) contains(id string, now time.Duration) bool { return s.until[id] > now }

// mayHaveRun reports whether a request has an attempt that may have had an effect.
func (r *request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if a.mayHaveRun() {
			return true
		}
	}
	return false
}

// closeID ends the use of a request's id. It stays spent if the request may have run and must not run twice.
func (l *loop) closeID(r *request) {
	delete(l.openIDs, r.cmd.id)
	class := l.cfg.class(r.cmd.request.Class)
	if class != nil && class.Effect != decide.Safe && r.mayHaveRun() {
		l.spentIDs.add(r.cmd.id, l.clock.now())
	}
}

// idInUse reports whether a request with an id is open, or may have run a short time ago.
func (l *loop) idInUse(id string) bool {
	_, open := l.openIDs[id]
	return open || l.spentIDs.contains(id, l.clock.now())
}
