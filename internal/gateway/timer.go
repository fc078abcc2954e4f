package gateway

import (
	"container/heap"
	"time"
)

// timer is a function call that is scheduled for a time.
type timer struct {
	at    time.Duration
	call  func()
	index int // in the heap, or -1 if it has fired or was cancelled
}

// timerHeap is a heap of timers, the earliest first.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	x.(*timer).index = len(*h)
	*h = append(*h, x.(*timer))
}
func (h *timerHeap) Pop() any {
	old := *h
	n := len(old) - 1
	x := old[n]
	old[n], x.index = nil, -1
	*h = old[:n]
	return x
}

// fireTimers runs the timers that are due.
func (l *loop) fireTimers() {
	now := l.clock.now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		heap.Pop(&l.timers).(*timer).call()
		l.processPending()
	}
}

// schedule runs a function at a time of the loop's clock.
func (l *loop) schedule(at time.Duration, call func()) *timer {
	scheduled := &timer{at: at, call: call}
	heap.Push(&l.timers, scheduled)
	return scheduled
}

// cancelTimer cancels a timer that has not fired. If it were left to fire, it would keep its data in memory until
// then, such as a client's request for as long as the client would have waited.
func (l *loop) cancelTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}
