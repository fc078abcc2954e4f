package main

import (
	"log/slog"
	"net/netip"
	"os"
	"time"
)

// A configuration that can't be used as the signal comes may be half written, or its disk may fail for a moment. The move
// that it tells of counts 4 s after the signal, so it is tried again soon, and for longer than that.
const (
	reloadRetry  = 50 * time.Millisecond
	reloadWithin = 15 * time.Second
)

// reload reads the configuration again at each signal and passes on where discovery is now. A file that can't be used
// changes nothing: a slip in it must not stop a gateway that serves.
type reload struct {
	retry  time.Duration // between two tries
	within time.Duration // of a signal the last try is made
	load   func() (netip.AddrPort, error)
	log    *slog.Logger
}

// run serves signals until their channel is closed.
func (r reload) run(signals <-chan os.Signal, moves chan<- netip.AddrPort) {
	for range signals {
		addr, err := r.loadPersistently(signals)
		if err != nil {
			r.log.Error("reload given up, the former configuration stays", "err", err)
			continue
		}
		r.log.Info("reloaded", "discovery", addr)
		moves <- addr
	}
}

// loadPersistently tries until the configuration can be used or the time is over. A further signal begins the time anew.
func (r reload) loadPersistently(signals <-chan os.Signal) (netip.AddrPort, error) {
	begun := time.Now()
	for tries := 0; ; tries++ {
		addr, err := r.load()
		if err == nil || time.Since(begun) >= r.within {
			return addr, err
		}
		if tries == 0 {
			r.log.Error("reload failed, the former configuration stays while it is tried again", "err", err)
		}
		select {
		case _, open := <-signals:
			if !open {
				return addr, err
			}
			begun = time.Now()
		case <-time.After(r.retry):
		}
	}
}
