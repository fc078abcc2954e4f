package gateway

import "time"

// A starting gateway waits for discovery before it accepts clients: the list that the process was started with may be
// out of date, and what discovery has announced since counts from the first request on.
const (
	warmupFirstByteTimeout = 100 * time.Millisecond // limits the wait for the beginning of an answer
	// Limits the wait for the end of an answer that has begun. Reading a list of thousands of servers takes a while on
	// a fraction of a core. Before the list is read, requests would go to servers that are known to be draining.
	warmupAnswerTimeout = 2 * time.Second
)

// discoveryWarmup signals that discovery has begun to answer, and that its answer was passed to the loop. Either signal
// may be sent more than once.
type discoveryWarmup struct{ answering, answered chan struct{} }

func newDiscoveryWarmup() discoveryWarmup {
	return discoveryWarmup{answering: make(chan struct{}, 1), answered: make(chan struct{}, 1)}
}

// signal sends a signal on c without blocking. If one is already pending, that is enough.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// await waits for discovery's answer: at most firstByteTimeout until it begins, and then at most answerTimeout until it
// was passed to the loop.
func (w discoveryWarmup) await(firstByteTimeout, answerTimeout time.Duration) {
	select {
	case <-w.answered:
		return
	case <-time.After(firstByteTimeout):
	}
	select {
	case <-w.answering:
	default:
		return
	}
	select {
	case <-w.answered:
	case <-time.After(answerTimeout):
	}
}
