// Package faultsoak runs a fleet of real gateway processes against card servers, discovery and a fault proxy of its own,
// each a process on loopback, and lets random troubles overlap. An oracle judges afterwards what clients and card servers
// saw by the rules of the protocol. The same seed draws the same scenario; timing is that of the machine.
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

// Moment is a reading of the machine's monotonic clock, which all its processes share.
type Moment int64

// Now reads the monotonic clock.
func Now() Moment {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		panic(fmt.Sprintf("reading the monotonic clock: %v", err)) // every Linux has it
	}
	return Moment(ts.Nano())
}

// Add returns the moment d later.
func (m Moment) Add(d time.Duration) Moment { return m + Moment(d) }

// Sub returns the time from o to m.
func (m Moment) Sub(o Moment) time.Duration { return time.Duration(m - o) }

// EventType says what an Event tells.
type EventType string

// The types of events.
const (
	EventReady    EventType = "ready"    // a process serves
	EventArrival  EventType = "arrival"  // a card server has got a command whole
	EventVerdict  EventType = "verdict"  // a card server answered, or its connection ended first
	EventNotified EventType = "notified" // discovery has written an entry to a gateway
	EventAsked    EventType = "asked"    // a gateway has called discovery
)

// Event is what a stand-in process reports, as a line of JSON.
type Event struct {
	Type      EventType `json:"type"`
	At        Moment    `json:"at"`
	Server    string    `json:"server,omitempty"`
	Gateway   int       `json:"gateway,omitempty"` // of a notification
	Address   int       `json:"address,omitempty"` // of discovery, by its number
	Attempt   uint64    `json:"attempt,omitempty"` // joins an arrival and its verdict; unique in a process
	Request   string    `json:"request,omitempty"`
	First     Moment    `json:"first,omitempty"`   // when the first byte of a command had come
	LeftMS    float64   `json:"left_ms,omitempty"` // the time that a command told
	NeverRan  bool      `json:"never_ran,omitempty"`
	State     string    `json:"state,omitempty"` // of a notified entry
	StartedMS int64     `json:"started_ms,omitempty"`
	Life      int       `json:"life,omitempty"` // of a card server: counts its processes
}

// reporter writes events to the process that started this one.
type reporter struct {
	mu  sync.Mutex
	out *json.Encoder
}

func newReporter(w io.Writer) *reporter { return &reporter{out: json.NewEncoder(w)} }

func (r *reporter) report(e Event) {
	if e.At == 0 {
		e.At = Now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Encode(e) // fails only once the parent is gone, and then nobody listens
}

// readLines decodes one value of T from each line until the input ends.
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
