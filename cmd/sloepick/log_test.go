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
	patience  = 20 * time.Second // for what must come
	smallPipe = 4 << 10
)

// freeAddr is an address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// ping waits until the gateway answers.
func ping(t *testing.T, addr string) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
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
	t.Error("the gateway does not answer PING")
}

// A gateway serves and ends in order whatever becomes of its log: a collector that is gone must not end it, and one that
// has stopped reading must not hold it up.
func TestLogThatNobodyReads(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		fmt.Fprint(w, `{"version":1,"full":true,"servers":[]}`)
	}))
	defer web.Close()
	for _, mode := range []string{"closed", "blocked"} {
		t.Run(mode, func(t *testing.T) {
			r, w, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			if _, err := unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, smallPipe); err != nil {
				t.Fatal(err)
			}
			if mode == "closed" {
				r.Close()
			}
			addr := freeAddr(t)
			cmd := program(t, fmt.Sprintf(config, addr, strings.TrimPrefix(web.URL, "http://")))
			cmd.Stderr = w
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			w.Close()
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			defer cmd.Process.Kill()
			ping(t, addr)
			for range 100 { // each is a line of the log, more than the pipe holds
				cmd.Process.Signal(syscall.SIGHUP)
				time.Sleep(5 * time.Millisecond)
			}
			ping(t, addr)
			wantOrderlyEnd(t, cmd, ended)
		})
	}
}

func wantOrderlyEnd(t *testing.T, cmd *exec.Cmd, ended <-chan error) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(patience):
		t.Error("does not end")
	}
}
