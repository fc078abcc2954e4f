// Command sloepick is an API gateway. It enforces customers' quotas together with its peers, selects a card server for
// each request, and forwards the request over RESP2. Package decide makes the decisions; package gateway does the
// network I/O.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"winghatch/internal/gateway"
	"winghatch/internal/logging"
)

const (
	// The soft memory limit of the Go runtime, as a share of the gateway's memory limit. The rest is for kernel memory
	// and a margin: the runtime may exceed its limit.
	memoryLimitShare = 0.6
	gcPercent        = 400 // above the default of 100: the live heap is small, so memory costs less than collections

	flushTimeout = 50 * time.Millisecond // for writing the last log lines at exit
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sloepick:", err)
		os.Exit(1)
	}
}

func run() error {
	reloadSignals := make(chan os.Signal, 1) // registered first, because by default SIGHUP ends the process
	signal.Notify(reloadSignals, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // else the runtime ends the process when a write to a closed stderr pipe fails
	cfg, err := gateway.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.MemoryMB<<20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	level, err := logging.ParseLevel(os.Getenv("GW_LOG"))
	if err != nil {
		return fmt.Errorf("GW_LOG: %w", err)
	}
	logWriter := logging.NewWriter(os.Stderr)
	defer logWriter.Flush(flushTimeout)
	log := slog.New(slog.NewTextHandler(logWriter, &slog.HandlerOptions{Level: level})).With("gateway", cfg.Name)
	log.Info("starting", "listen", cfg.Listen, "servers", len(cfg.Known.Servers))
	discoveryAddrs := make(chan netip.AddrPort)
	load := func() (netip.AddrPort, error) { return gateway.LoadDiscovery(os.Getenv) }
	go reloader{retryInterval: reloadRetryInterval, timeout: reloadTimeout, load: load, log: log}.run(reloadSignals, discoveryAddrs)
	if err := gateway.Run(ctx, cfg, discoveryAddrs, log); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}
