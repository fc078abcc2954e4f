package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A client that takes its answers slowly but steadily is alive: it gets all of them, however long that takes and however
// much is owed to it at once.
func TestSteadySlowClientGetsAllAnswers(t *testing.T) {
	const (
		requests = 40
		size     = 60 << 10
		perRead  = 16 << 10
		pause    = 20 * time.Millisecond // more than 2 s for all, which is how long a client may take nothing
	)
	b := newBackend(t)
	r := newRig(t, long, b)
	go func() {
		value := served(strings.Repeat("v", size))
		for x := range b.got {
			if x.args != nil {
				x.answer(t, value)
			}
		}
	}()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { // the window is agreed as it comes up
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
		return errors.Join(controlErr, err)
	}}
	conn, err := dialer.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
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
