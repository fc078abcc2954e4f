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

// A configuration that can't be used in the moment of the signal is tried again, and a signal that comes meanwhile is served
// by the same tries.
func TestReloadIsTriedAgain(t *testing.T) {
	want := netip.MustParseAddrPort("127.0.0.1:9")
	tries := 0
	signals, moves := make(chan os.Signal, 1), make(chan netip.AddrPort)
	r := reload{retry: time.Millisecond, within: time.Minute, log: slog.New(slog.DiscardHandler), load: func() (netip.AddrPort, error) {
		if tries++; tries < 4 {
			return netip.AddrPort{}, syscall.EIO
		}
		return want, nil
	}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run(signals, moves)
	}()
	signals <- syscall.SIGHUP
	if got := <-moves; got != want {
		t.Errorf("moved to %v", got)
	}
	close(signals)
	<-done
	if tries != 4 {
		t.Errorf("%d tries", tries)
	}
}

// One that stays useless is given up, and the next signal begins anew.
func TestReloadIsGivenUp(t *testing.T) {
	tries := 0
	signals := make(chan os.Signal, 2)
	r := reload{retry: time.Millisecond, log: slog.New(slog.DiscardHandler), load: func() (netip.AddrPort, error) {
		tries++
		return netip.AddrPort{}, errors.New("no configuration")
	}}
	signals <- syscall.SIGHUP
	signals <- syscall.SIGHUP
	close(signals)
	r.run(signals, nil)
	if tries != 2 {
		t.Errorf("%d tries", tries)
	}
}
