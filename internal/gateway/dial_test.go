package gateway

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"winghatch/decide"
)

// Dialing must be retried when this machine temporarily lacks a resource or has no route, and a lack of resources must
// not be blamed on the server. An error that the server's machine reports must end the attempt at once.
func TestDialRetriesTransientErrors(t *testing.T) {
	for errno, tc := range map[syscall.Errno]struct {
		tries   int
		outcome decide.Outcome
	}{
		syscall.ENFILE:        {maxDialTries, decide.NotSent},
		syscall.EMFILE:        {maxDialTries, decide.NotSent},
		syscall.ENOBUFS:       {maxDialTries, decide.NotSent},
		syscall.ENOMEM:        {maxDialTries, decide.NotSent},
		syscall.EADDRNOTAVAIL: {maxDialTries, decide.NotSent},
		syscall.EAGAIN:        {maxDialTries, decide.NotSent},
		syscall.EINTR:         {maxDialTries, decide.NotSent},
		syscall.ENETUNREACH:   {maxDialTries, decide.NoConnection},
		syscall.EHOSTUNREACH:  {maxDialTries, decide.NoConnection},
		syscall.ECONNREFUSED:  {1, decide.NoConnection},
		syscall.ETIMEDOUT:     {1, decide.NoConnection},
	} {
		tries := 0
		failing := func(context.Context, string) (net.Conn, error) {
			tries++
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		_, err := dialWithRetry(context.Background(), failing, "")
		if tries != tc.tries || dialOutcome(err) != tc.outcome {
			t.Errorf("%v: outcome %v after %d tries", errno, dialOutcome(err), tries)
		}
		passing := func(ctx context.Context, addr string) (net.Conn, error) {
			if tries == 1 { // the first try has failed
				near, far := net.Pipe()
				far.Close()
				return near, nil
			}
			return failing(ctx, addr)
		}
		tries = 0
		if conn, err := dialWithRetry(context.Background(), passing, ""); tc.tries > 1 && (err != nil || conn == nil) {
			t.Errorf("%v once: %v", errno, err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := dialWithRetry(ctx, failing, ""); err == nil {
			t.Errorf("%v: got a connection though the context was cancelled", errno)
		}
	}
}
