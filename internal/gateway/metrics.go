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

// Limits on clients of the metrics endpoint. There are few of them, and they must not hold descriptors for long.
const (
	metricsTimeout        = 2 * time.Second
	maxMetricsHeaderBytes = 4 << 10 // bytes
)

// serveMetrics serves the metrics until the context ends. The gateway works without them while the address can't be
// bound.
func serveMetrics(ctx context.Context, addr netip.AddrPort, m *telemetry.Metrics, log *slog.Logger) {
	open := func() (net.Listener, error) { return platform.Listen(ctx, addr.String()) }
	ln, err := bind(ctx, peerBindRetryDelay, forever, open, log)
	if err != nil {
		if ctx.Err() == nil {
			log.Error("metrics endpoint not started", "err", err)
		}
		return
	}
	server := http.Server{Handler: m.Handler(), ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout,
		IdleTimeout: metricsTimeout, MaxHeaderBytes: maxMetricsHeaderBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	server.SetKeepAlivesEnabled(false)
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		log.Error("metrics endpoint stopped", "err", err)
	}
}
