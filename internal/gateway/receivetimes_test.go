package gateway

import (
	"io"
	"strings"
	"testing"
	"time"

	"winghatch/internal/telemetry"
)

// Guards against a deadline that counts from too late a time. Bytes count from when they were received. If that is
// not known, they count from an earlier time.
func TestReceiveTimesAreNeverLate(t *testing.T) {
	const step = 100 * time.Millisecond
	var a receiveTimes
	a.lastEmpty = step
	a.beforeRead(2*step, false) // received before the reader started
	a.afterRead(2*step, 10, 10)
	a.beforeRead(2*step, true)
	a.afterRead(5*step, 10, 20) // received during the read
	a.afterRead(5*step+receiveMergeWindow/2, 1, 21)
	a.beforeRead(9*step, false) // waited in the kernel while nothing was read
	a.afterRead(9*step, 9, 30)
	a.beforeRead(9*step, false)
	a.lastEmpty = 7 * step // known to be empty at this time
	a.afterRead(9*step, 5, 35)
	for offset, want := range map[int]time.Duration{1: step, 10: step, 11: 5 * step, 21: 5 * step, 22: 5 * step, 30: 5 * step, 31: 7 * step, 35: 7 * step} {
		if got := a.receivedAt(offset); got != want {
			t.Errorf("byte %d: received at %v, want %v", offset, got, want)
		}
	}
	a.discard(15)
	if len(a.timestamps) != 2 || a.receivedAt(6) != 5*step || a.receivedAt(15) != 5*step || a.receivedAt(16) != 7*step {
		t.Errorf("timestamps after discarding 15 bytes: %v", a.timestamps)
	}
	a.discard(20)
	if len(a.timestamps) != 0 {
		t.Errorf("timestamps after discarding everything: %v", a.timestamps)
	}
}

// Guards against work for a client that has disconnected. Its requests are still unread and lie before the disconnect
// in the stream, because the connection waited in the accept queue or the gateway was paused.
func TestRequestsOfDisconnectedClientAreNotStarted(t *testing.T) {
	cfg := testConfig(t, longTarget, nil)
	near, far := tcpPair(t)
	c := newClientOn(t, near)
	if _, err := io.WriteString(far, strings.Repeat(rawRequest("id"), 40)); err != nil {
		t.Fatal(err)
	}
	far.Close()
	for !c.conn.HungUp() {
		time.Sleep(time.Millisecond)
	}
	var posted []event
	r := clientReader{client: c, cfg: &cfg, clock: newClock(), timeouts: defaultClientTimeouts, metrics: telemetry.New(),
		memory: newMemoryBudgets(cfg.MemoryMB),
		post:   func(e event) { posted = append(posted, e) }}
	r.run()
	if len(posted) != 1 || posted[0] != (clientDisconnected{c}) {
		t.Errorf("%d events were posted, the first is a %T; want only clientDisconnected", len(posted), posted[0])
	}
}
