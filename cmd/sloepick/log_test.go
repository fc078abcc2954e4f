package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	waitTimeout = 20 * time.Second // for events that must happen
	pipeBytes   = 4 << 10          // bytes; less than the log that the test causes
)

// freeAddr returns an address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// waitForPong waits until the gateway answers PING.
func waitForPong(t *testing.T, addr string) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		reply := make([]byte, 7)
		conn.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(conn, "*1\r\n$4\r\nPING\r\n")
		n, _ := conn.Read(reply)
		conn.Close()
		if string(reply[:n]) == "+PONG\r\n" {
			return
		}
	}
	t.Error("the gateway did not answer PING in time")
}

// A gateway must keep serving and shut down cleanly when the reader of its log is gone (a write then fails with EPIPE
// and raises SIGPIPE) or has stopped reading (a write then blocks once the pipe is full).
func TestStalledLogDoesNotStopGateway(t *testing.T) {
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		fmt.Fprint(w, `{"version":1,"full":true,"servers":[]}`)
	}))
	defer discovery.Close()
	for _, mode := range []string{"closed", "blocked"} {
		t.Run(mode, func(t *testing.T) {
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer reader.Close()
			if _, err := unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, pipeBytes); err != nil {
				t.Fatal(err)
			}
			if mode == "closed" {
				reader.Close()
			}
			addr := freeAddr(t)
			cmd := newGatewayCommand(t, fmt.Sprintf(configTemplate, addr, strings.TrimPrefix(discovery.URL, "http://")))
			cmd.Stderr = writer
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			writer.Close()
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			defer cmd.Process.Kill()
			waitForPong(t, addr)
			for range 100 { // each causes a log line; together they are more than the pipe holds
				cmd.Process.Signal(syscall.SIGHUP)
				time.Sleep(5 * time.Millisecond)
			}
			waitForPong(t, addr)
			expectCleanExit(t, cmd, ended)
		})
	}
}

// expectCleanExit sends SIGTERM and expects exit code 0.
func expectCleanExit(t *testing.T, cmd *exec.Cmd, ended <-chan error) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the process ended with %v, want exit code 0", err)
		}
	case <-time.After(waitTimeout):
		t.Error("the process did not end in time after SIGTERM")
	}
}
