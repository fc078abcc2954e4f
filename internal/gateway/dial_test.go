package gateway

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"winghatch/decide"
)

// A connection that can't be made for a passing want of this machine is tried again, and its server is not blamed. What the
// server's machine says ends the attempt at once.
func TestDialWaitsOutAPassingWant(t *testing.T) {
	for errno, tc := range map[syscall.Errno]struct {
		tries   int
		outcome decide.Outcome
	}{
		syscall.ENFILE:        {dialTries, decide.Moot},
		syscall.EMFILE:        {dialTries, decide.Moot},
		syscall.ENOBUFS:       {dialTries, decide.Moot},
		syscall.ENOMEM:        {dialTries, decide.Moot},
		syscall.EADDRNOTAVAIL: {dialTries, decide.Moot},
		syscall.EAGAIN:        {dialTries, decide.Moot},
		syscall.EINTR:         {dialTries, decide.Moot},
		syscall.ENETUNREACH:   {dialTries, decide.NoConnection},
		syscall.EHOSTUNREACH:  {dialTries, decide.NoConnection},
		syscall.ECONNREFUSED:  {1, decide.NoConnection},
		syscall.ETIMEDOUT:     {1, decide.NoConnection},
	} {
		tries := 0
		failing := func(context.Context, string) (net.Conn, error) {
			tries++
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		_, err := dialPersistently(context.Background(), failing, "")
		if tries != tc.tries || dialOutcome(err) != tc.outcome {
			t.Errorf("%v: outcome %v after %d tries", errno, dialOutcome(err), tries)
		}
		passing := func(ctx context.Context, addr string) (net.Conn, error) {
			if tries == 1 { // failed once
				near, far := net.Pipe()
				far.Close()
				return near, nil
			}
			return failing(ctx, addr)
		}
		tries = 0
		if conn, err := dialPersistently(context.Background(), passing, ""); tc.tries > 1 && (err != nil || conn == nil) {
			t.Errorf("%v once: %v", errno, err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := dialPersistently(ctx, failing, ""); err == nil {
			t.Errorf("%v: a connection though it was called off", errno)
		}
	}
}
