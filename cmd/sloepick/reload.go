package main

import (
	"log/slog"
	"net/netip"
	"os"
	"time"
)

// When the signal arrives, the configuration file may be half written, or reading it may fail transiently. Loading is
// then retried. The gateway has to use the new discovery address 4 s after the signal, so the interval is short and the
// timeout is longer than 4 s.
const (
	reloadRetryInterval = 50 * time.Millisecond
	reloadTimeout       = 15 * time.Second
)

// reloader reads the configuration again at each signal and sends the new address of discovery. An invalid file changes
// nothing, because a mistake in it must not stop a running gateway.
type reloader struct {
	retryInterval time.Duration // between two attempts to load
	timeout       time.Duration // after the last signal, when loading is given up
	load          func() (netip.AddrPort, error)
	log           *slog.Logger
}

// run handles signals until their channel is closed.
func (r reloader) run(signals <-chan os.Signal, addrs chan<- netip.AddrPort) {
	for range signals {
		addr, err := r.loadWithRetries(signals)
		if err != nil {
			r.log.Error("reload given up; keeping the previous configuration", "err", err)
			continue
		}
		r.log.Info("configuration reloaded", "discovery", addr)
		addrs <- addr
	}
}

// loadWithRetries loads the configuration until that succeeds or the timeout has passed. A further signal restarts the
// timeout.
func (r reloader) loadWithRetries(signals <-chan os.Signal) (netip.AddrPort, error) {
	started := time.Now()
	for attempt := 0; ; attempt++ {
		addr, err := r.load()
		if err == nil || time.Since(started) >= r.timeout {
			return addr, err
		}
		if attempt == 0 {
			r.log.Error("reload failed; keeping the previous configuration and retrying", "err", err)
		}
		select {
		case _, open := <-signals:
			if !open {
				return addr, err
			}
			started = time.Now()
		case <-time.After(r.retryInterval):
		}
	}
}
