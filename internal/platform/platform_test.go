package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

func TestErrorClassification(t *testing.T) {
	type kinds struct{ transient, inUse, unreachable, transientRead bool }
	for err, want := range map[error]kinds{
		syscall.EMFILE:       {transient: true, transientRead: true},
		syscall.ENFILE:       {transient: true, transientRead: true},
		syscall.ENOBUFS:      {transient: true, transientRead: true},
		syscall.ENOMEM:       {transient: true, transientRead: true},
		syscall.EINTR:        {transient: true, transientRead: true},
		syscall.EAGAIN:       {transient: true, transientRead: true},
		syscall.EIO:          {transientRead: true},
		syscall.EADDRINUSE:   {inUse: true},
		syscall.ENETUNREACH:  {unreachable: true},
		syscall.EHOSTUNREACH: {unreachable: true},
		syscall.ECONNREFUSED: {},
		syscall.ECONNRESET:   {},
		syscall.ETIMEDOUT:    {},
		os.ErrNotExist:       {},
		net.ErrClosed:        {},
		io.EOF:               {},
	} {
		wrapped := fmt.Errorf("opening: %w", &net.OpError{Op: "listen", Err: os.NewSyscallError("socket", err)})
		got := kinds{IsTransient(wrapped), IsAddressInUse(wrapped), IsUnreachable(wrapped), IsTransientReadError(wrapped)}
		if got != want {
			t.Errorf("%v: got %+v, want %+v", err, got, want)
		}
	}
	if IsTransient(os.ErrDeadlineExceeded) || IsTransient(context.DeadlineExceeded) {
		t.Error("an exceeded deadline is classified as transient")
	}
}

func TestReadFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte("text"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := ReadFile(path); string(got) != "text" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
	if _, err := ReadFile(path + ".none"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v", err)
	}
}
