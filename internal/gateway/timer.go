package gateway

import (
	"container/heap"
	"time"
)

// timer is a call that is due at a time.
type timer struct {
	at    time.Duration
	do    func()
	index int // in the heap, or -1
}

// timers is a heap of timers, the next one first.
type timers []*timer

func (a timers) Len() int           { return len(a) }
func (a timers) Less(i, j int) bool { return a[i].at < a[j].at }
func (a timers) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].index, a[j].index = i, j
}
func (a *timers) Push(x any) {
	x.(*timer).index = len(*a)
	*a = append(*a, x.(*timer))
}
func (a *timers) Pop() any {
	old := *a
	n := len(old) - 1
	x := old[n]
	old[n], x.index = nil, -1
	*a = old[:n]
	return x
}

// fireTimers makes the calls that are due.
func (l *loop) fireTimers() {
	now := l.clock.now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		heap.Pop(&l.timers).(*timer).do()
		l.drainTodo()
	}
}

// schedule makes a call at a time of the loop's clock.
func (l *loop) schedule(t time.Duration, do func()) *timer {
	due := &timer{at: t, do: do}
	heap.Push(&l.timers, due)
	return due
}

// cancelTimer takes a timer back, if it has not fired. One that is left to fire would hold what it is about until then: a
// client's request for as long as the client would have waited.
func (l *loop) cancelTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}
