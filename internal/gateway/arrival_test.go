package gateway

import (
	"io"
	"strings"
	"testing"
	"time"
)

// Bytes count from when they came. Where that is not known, they count from a moment before it.
func TestArrivals(t *testing.T) {
	const step = 100 * time.Millisecond
	var a arrivals
	a.emptyAt = step
	a.beforeRead(2*step, false) // came before the reader was there
	a.afterRead(2*step, 10, 10)
	a.beforeRead(2*step, true)
	a.afterRead(5*step, 10, 20) // waited for
	a.afterRead(5*step+arrivalStep/2, 1, 21)
	a.beforeRead(9*step, false) // waited in the kernel while nobody read
	a.afterRead(9*step, 9, 30)
	a.beforeRead(9*step, false)
	a.emptyAt = 7 * step // was known to be empty since
	a.afterRead(9*step, 5, 35)
	for offset, want := range map[int]time.Duration{1: step, 10: step, 11: 5 * step, 21: 5 * step, 22: 5 * step, 30: 5 * step, 31: 7 * step, 35: 7 * step} {
		if got := a.of(offset); got != want {
			t.Errorf("byte %d came at %v, want %v", offset, got, want)
		}
	}
	a.drop(15)
	if len(a.marks) != 2 || a.of(6) != 5*step || a.of(15) != 5*step || a.of(16) != 7*step {
		t.Errorf("after 15 bytes are gone: %v", a.marks)
	}
	a.drop(20)
	if len(a.marks) != 0 {
		t.Errorf("nothing is left, and marks are %v", a.marks)
	}
}

// A client that has left asks for nothing any more, though its requests are still to be read: its end lies behind them. It may
// have stood in the accept queue, or the gateway may have been held up.
func TestNothingIsReadForAClientThatLeft(t *testing.T) {
	cfg := testConfig(t, long, nil)
	near, far := pair(t)
	c := clientOn(t, near)
	if _, err := io.WriteString(far, strings.Repeat(asked("id"), 40)); err != nil {
		t.Fatal(err)
	}
	far.Close()
	for !c.conn.HungUp() {
		time.Sleep(time.Millisecond)
	}
	var posted []event
	r := reader{c: c, cfg: &cfg, clock: newClock(), limits: usualLimits, post: func(e event) { posted = append(posted, e) }}
	r.run()
	if len(posted) != 1 || posted[0] != (left{c}) {
		t.Errorf("%d events were posted, the first is a %T; want only the client's end", len(posted), posted[0])
	}
}
