package gateway

import "sync"

// event is a message from another goroutine to the loop.
type event interface{ apply(l *loop) }

// inbox queues events until the loop takes all of them at once. A goroutine that posts to a full inbox blocks. So if
// peers send faster than the loop handles events, their messages wait in the kernel instead of in the gateway's
// memory. The loop itself never posts.
type inbox struct {
	mu      sync.Mutex
	notFull sync.Cond
	items   []event
	closed  bool
	ready   chan struct{}
}

// maxInboxEvents is the largest number of queued events. It is far more than arrives in one iteration of the loop. What
// events hold in bytes is bounded by memoryBudgets, from which commands and long answers are reserved before they are
// posted.
const maxInboxEvents = 1024

func newInbox() *inbox {
	q := &inbox{ready: make(chan struct{}, 1)}
	q.notFull.L = &q.mu
	return q
}

// post queues an event. It blocks while the inbox is full, unless the inbox is closed.
func (q *inbox) post(e event) {
	q.mu.Lock()
	for len(q.items) >= maxInboxEvents && !q.closed {
		q.notFull.Wait()
	}
	q.items = append(q.items, e)
	first := len(q.items) == 1
	q.mu.Unlock()
	if first {
		select {
		case q.ready <- struct{}{}:
		default:
		}
	}
}

// close unblocks all waiting posters. Events that are still queued or are posted later are not applied.
func (q *inbox) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notFull.Broadcast()
}

// take returns all queued events. The memory of spare, an earlier batch, is reused.
func (q *inbox) take(spare []event) []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = spare[:0]
	q.notFull.Broadcast()
	return items
}
