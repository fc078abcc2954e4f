// Package faultsoak is a soak test. It runs a fleet of real gateway processes on loopback addresses and injects random
// faults that overlap in time. The card servers, discovery and the fault proxy are stand-ins, each a process of its
// own. After the run an oracle checks what clients and card servers observed against the rules of the protocol. The
// same seed yields the same random numbers and so the same scenario, but timing depends on the machine.
package faultsoak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Moment is a reading of the machine's monotonic clock in nanoseconds. All processes of the machine share this clock.
type Moment int64

// Now reads the monotonic clock.
func Now() Moment {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		panic(fmt.Sprintf("reading the monotonic clock: %v", err)) // this clock exists on every Linux
	}
	return Moment(ts.Nano())
}

// Add returns the moment that is d after m.
func (m Moment) Add(d time.Duration) Moment { return m + Moment(d) }

// Sub returns the time from o to m.
func (m Moment) Sub(o Moment) time.Duration { return time.Duration(m - o) }

// EventType is the type of an Event.
type EventType string

// The types of events.
const (
	EventReady      EventType = "ready"    // a process is ready to serve
	EventArrival    EventType = "arrival"  // a card server has received a complete command
	EventAttemptEnd EventType = "verdict"  // a card server has answered an attempt, or its connection ended first
	EventNotified   EventType = "notified" // discovery has sent an entry to a gateway
	EventQueried    EventType = "asked"    // a gateway has called discovery
)

// Event is an observation of a stand-in process, reported as one line of JSON.
type Event struct {
	Type        EventType `json:"type"`
	At          Moment    `json:"at"`
	Server      string    `json:"server,omitempty"`
	Gateway     int       `json:"gateway,omitempty"` // of EventNotified and EventQueried
	Address     int       `json:"address,omitempty"` // number of the discovery address that was called
	Attempt     uint64    `json:"attempt,omitempty"` // links EventArrival to EventAttemptEnd; unique in a process
	Request     string    `json:"request,omitempty"`
	First       Moment    `json:"first,omitempty"`   // when the first byte of the command had arrived
	RemainingMS float64   `json:"left_ms,omitempty"` // the remaining time stated in the command
	NeverRan    bool      `json:"never_ran,omitempty"`
	State       string    `json:"state,omitempty"` // of the entry in EventNotified
	StartedMS   int64     `json:"started_ms,omitempty"`
	Incarnation int       `json:"life,omitempty"` // number of the card server's process, incremented by each restart
}

// reporter writes events to the parent process.
type reporter struct {
	mu  sync.Mutex
	out *json.Encoder
}

func newReporter(w io.Writer) *reporter { return &reporter{out: json.NewEncoder(w)} }

// report writes an event, at the current time unless the event states another.
func (r *reporter) report(e Event) {
	if e.At == 0 {
		e.At = Now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Encode(e) // fails only after the parent has ended, when nothing reads the events
}

// readLines decodes each line of JSON as a T and passes it to handle until the input ends. It skips lines that do not
// decode.
func readLines[T any](r io.Reader, handle func(T)) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), 4<<20)
	for lines.Scan() {
		var v T
		if json.Unmarshal(lines.Bytes(), &v) == nil {
			handle(v)
		}
	}
}
