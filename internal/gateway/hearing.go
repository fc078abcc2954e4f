package gateway

import "time"

// A gateway that starts hears discovery before it takes clients in: what discovery has told counts from the first moment, and
// the list that the process was started with may be old.
const (
	hearFirst = 100 * time.Millisecond // discovery that says nothing is waited for so long
	// An answer that has begun is waited for so long: reading a list of thousands of servers takes a while on a part of a
	// core, and until it is read requests would go to servers that are known to drain.
	hearWhole = 2 * time.Second
)

// hearing tells whether discovery has answered. Its signals may be given more than once.
type hearing struct{ begun, heard chan struct{} }

func newHearing() hearing {
	return hearing{begun: make(chan struct{}, 1), heard: make(chan struct{}, 1)}
}

// signal notes that discovery has begun to answer, or that its answer has been handed on.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// await waits for an answer: for as long as first until it begins, and then for as long as whole until it is handed on.
func (h hearing) await(first, whole time.Duration) {
	select {
	case <-h.heard:
		return
	case <-time.After(first):
	}
	select {
	case <-h.begun:
	default:
		return
	}
	select {
	case <-h.heard:
	case <-time.After(whole):
	}
}
