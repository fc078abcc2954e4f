package main

import (
	"errors"
	"log/slog"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"
)

// Loading the configuration fails three times after the signal. It is retried until it succeeds, and the new address is
// sent once. Without retries a half-written file would cancel the reload.
func TestFailedReloadIsRetried(t *testing.T) {
	want := netip.MustParseAddrPort("127.0.0.1:9")
	attempts := 0
	signals, addrs := make(chan os.Signal, 1), make(chan netip.AddrPort)
	r := reloader{retryInterval: time.Millisecond, timeout: time.Minute, log: slog.New(slog.DiscardHandler), load: func() (netip.AddrPort, error) {
		if attempts++; attempts < 4 {
			return netip.AddrPort{}, syscall.EIO
		}
		return want, nil
	}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run(signals, addrs)
	}()
	signals <- syscall.SIGHUP
	if got := <-addrs; got != want {
		t.Errorf("got address %v", got)
	}
	close(signals)
	<-done
	if attempts != 4 {
		t.Errorf("%d attempts to load", attempts)
	}
}

// With a timeout of 0 a failing reload is given up after one attempt, and the next signal starts another reload.
func TestReloadRetriesAreBounded(t *testing.T) {
	attempts := 0
	signals := make(chan os.Signal, 2)
	r := reloader{retryInterval: time.Millisecond, log: slog.New(slog.DiscardHandler), load: func() (netip.AddrPort, error) {
		attempts++
		return netip.AddrPort{}, errors.New("no configuration")
	}}
	signals <- syscall.SIGHUP
	signals <- syscall.SIGHUP
	close(signals)
	r.run(signals, nil)
	if attempts != 2 {
		t.Errorf("%d attempts to load", attempts)
	}
}
