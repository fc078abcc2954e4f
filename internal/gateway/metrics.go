package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"winghatch/internal/platform"
	"winghatch/internal/telemetry"
)

// Bounds on those who read the counters: they are few, and must not hold descriptors for long.
const (
	metricsTimeout = 2 * time.Second
	metricsHeader  = 4 << 10 // bytes
)

// serveMetrics serves counters until the context ends. While its address can't be had the gateway serves without.
func serveMetrics(ctx context.Context, addr netip.AddrPort, m *telemetry.Metrics, log *slog.Logger) {
	open := func() (net.Listener, error) { return platform.Listen(ctx, addr.String()) }
	ln, err := bind(ctx, peerBindRetry, forever, open, log)
	if err != nil {
		if ctx.Err() == nil {
			log.Error("counters are not served", "err", err)
		}
		return
	}
	server := http.Server{Handler: m.Handler(), ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout, IdleTimeout: metricsTimeout,
		MaxHeaderBytes: metricsHeader, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	server.SetKeepAlivesEnabled(false)
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		log.Error("counters are no longer served", "err", err)
	}
}
