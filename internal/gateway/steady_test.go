package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// rigOfAnswers is a gateway with so many servers, each of which answers every request with a value of so many bytes.
func rigOfAnswers(t *testing.T, servers, size int) *rig {
	t.Helper()
	value := served(strings.Repeat("v", size))
	var backends []*backend
	for range servers {
		b := newBackend(t)
		backends = append(backends, b)
		go func() {
			for x := range b.got {
				if x.args != nil {
					x.answer(t, value)
				}
			}
		}()
	}
	return newRig(t, long, backends...)
}

// dialSmallWindow connects with the smallest receive buffer. The window is agreed as the connection comes up.
func dialSmallWindow(t *testing.T, r *rig) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
		return errors.Join(controlErr, err)
	}}
	conn, err := dialer.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// A client that takes its answers slowly but steadily is alive: it gets all of them, however long that takes and however
// much is owed to it at once.
func TestSteadySlowClientGetsAllAnswers(t *testing.T) {
	const (
		servers  = 16 // so many that none of the requests is refused
		requests = 60
		size     = 60 << 10
		perRead  = 16 << 10
		pause    = 5 * time.Millisecond // more than 2 s for all, which is how long a client may take nothing
	)
	conn := dialSmallWindow(t, rigOfAnswers(t, servers, size))
	var batch strings.Builder
	for i := range requests {
		batch.WriteString(asked(fmt.Sprint("id-", i)))
	}
	if _, err := io.WriteString(conn, batch.String()); err != nil {
		t.Fatal(err)
	}
	want := requests * len(fmt.Sprintf("$%d\r\n%s\r\n", size, strings.Repeat("v", size)))
	got, buf := 0, make([]byte, perRead)
	for got < want {
		if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
			t.Fatal(err)
		}
		n, err := conn.Read(buf)
		got += n
		if err != nil {
			t.Fatalf("%d of %d bytes had come when the connection ended with %v", got, want, err)
		}
		time.Sleep(pause)
	}
}

// What a slow client has not read yet when its connection is ended must reach it, also if it goes on sending: a close over
// unread bytes would reset the connection and destroy what is under way.
func TestEndReachesASlowClient(t *testing.T) {
	const (
		servers  = 16
		requests = 20
		size     = 60 << 10
		perRead  = 4 << 10
		pause    = 3 * time.Millisecond
	)
	conn := dialSmallWindow(t, rigOfAnswers(t, servers, size))
	var batch strings.Builder
	for i := range requests {
		batch.WriteString(asked(fmt.Sprint("id-", i)))
	}
	batch.WriteString("*1\r\n$-7\r\n") // ends the connection behind the answers
	if _, err := io.WriteString(conn, batch.String()); err != nil {
		t.Fatal(err)
	}
	want := requests * len(fmt.Sprintf("$%d\r\n%s\r\n", size, strings.Repeat("v", size)))
	got, buf := 0, make([]byte, perRead)
	for got < want {
		if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
			t.Fatal(err)
		}
		n, err := conn.Read(buf)
		got += n
		if err != nil {
			t.Fatalf("%d of %d bytes had come when the connection ended with %v", got, want, err)
		}
		if got >= want { // the gateway may close it from here on
			break
		}
		if _, err := io.WriteString(conn, "more"); err != nil {
			t.Fatalf("%d of %d bytes had come when a write failed with %v", got, want, err)
		}
		time.Sleep(pause)
	}
}

// A gateway that stops reads nothing more from a client that is slow to take what it is owed: what such a client goes on sending
// could not be answered before the platform ends the gateway. Left unread, it is sent again elsewhere. What was read before is
// answered, also where more commands have come than may be owed an answer at once.
func TestStopReadsNoMoreFromASlowClient(t *testing.T) {
	for _, requests := range []int{100, 200} {
		t.Run(fmt.Sprint(requests), func(t *testing.T) { stopsReadingFromASlowClient(t, requests) })
	}
}

func stopsReadingFromASlowClient(t *testing.T, requests int) {
	const (
		servers = 16
		size    = 60 << 10
		perRead = 16 << 10
	)
	r := rigOfAnswers(t, servers, size)
	conn := dialSmallWindow(t, r)
	var batch strings.Builder
	for i := range requests {
		batch.WriteString(asked(fmt.Sprint("id-", i)))
	}
	if _, err := io.WriteString(conn, batch.String()); err != nil {
		t.Fatal(err)
	}
	answers := bufio.NewReaderSize(conn, perRead)
	if _, err := answers.Peek(1); err != nil {
		t.Fatal(err)
	}
	r.stop()
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) { // until connections are drained
		other, err := net.Dial("tcp", r.addr)
		if err != nil {
			break
		}
		other.Close()
		if time.Now().After(end) {
			t.Fatal("the listener stays open")
		}
	}
	time.Sleep(100 * time.Millisecond)
	if _, err := io.WriteString(conn, asked("late")); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	got := 0
	for ; ; got++ {
		line, err := answers.ReadString('\n')
		if err != nil {
			break // its end, perhaps by a reset, as something is unread
		}
		size := 0
		if _, err := fmt.Sscanf(line, "$%d\r\n", &size); err == nil {
			if _, err := answers.Discard(size + 2); err != nil {
				t.Fatalf("answer %d is cut: %v", got, err)
			}
		}
	}
	if got != requests {
		t.Errorf("%d answers, want %d", got, requests)
	}
}
