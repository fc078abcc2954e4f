// Package telemetry holds the metrics of a gateway: answers, attempts, closed connections, failed system calls and
// invariant violations, with labels that say of which kind or for which reason. They are served over HTTP in the
// Prometheus text format and summarized in the log at shutdown.
package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Path is the HTTP path of the metrics.
const Path = "/metrics"

// Metrics holds the counters and gauges of one gateway. It is safe for concurrent use.
type Metrics struct {
	set *metrics.Set

	Answers           *Family // requests by result: served, refused, failed, or abandoned (the client disconnected)
	Refusals          *Family // refused requests by reason
	Failures          *Family // failed requests by reason
	Attempts          *Family // attempts by outcome
	FurtherAttempts   *Family // retries and hedges, by the effect of the request's class
	ClientCloses      *Family // closed client connections, by reason
	ServerCloses      *Family // closed connections to card servers, by reason
	DiscoveryCalls    *Family // calls to discovery, by outcome
	SystemCallErrors  *Family // failed system calls, by call
	Violations        *Family // invariant violations, by rule; each is a bug in the gateway
	OpenRequests      *Gauge
	ClientConnections *Gauge
	ServerConnections *Gauge
	UnsentBytes       *Gauge // bytes of answers not yet written to client connections
	InboxEvents       *Gauge // events that were queued when the event loop last took some
	ReadBufferBytes   *Gauge // capacity of the read buffers of client connections
	ReadBufferWaits   *Gauge // client connections whose next command waits unread for memory
	QueuedCommands    *Gauge // bytes of commands that are parsed and wait for the event loop
	HeldAnswerBytes   *Gauge // bytes of answers that are ready and wait for an earlier one on their connection
	CommandBytes      *Gauge // bytes reserved for commands, queued ones and those of open requests
}

// New returns metrics that are all 0.
func New() *Metrics {
	set := metrics.NewSet()
	family := func(name, label string) *Family {
		return &Family{set: set, name: name, label: label, counters: map[string]*metrics.Counter{}}
	}
	gauge := func(name string) *Gauge {
		g := &Gauge{}
		set.NewGauge(name, func() float64 { return float64(g.value.Load()) })
		return g
	}
	return &Metrics{set: set,
		Answers:           family("gateway_requests_total", "result"),
		Refusals:          family("gateway_refusals_total", "reason"),
		Failures:          family("gateway_failures_total", "reason"),
		Attempts:          family("gateway_attempts_total", "outcome"),
		FurtherAttempts:   family("gateway_further_attempts_total", "effect"),
		ClientCloses:      family("gateway_client_closes_total", "reason"),
		ServerCloses:      family("gateway_server_closes_total", "reason"),
		DiscoveryCalls:    family("gateway_discovery_calls_total", "end"),
		SystemCallErrors:  family("gateway_system_call_errors_total", "call"),
		Violations:        family("gateway_invariant_violations_total", "rule"),
		OpenRequests:      gauge("gateway_open_requests"),
		ClientConnections: gauge("gateway_client_connections"),
		ServerConnections: gauge("gateway_server_connections"),
		UnsentBytes:       gauge("gateway_unsent_bytes"),
		InboxEvents:       gauge("gateway_inbox_events"),
		ReadBufferBytes:   gauge("gateway_read_buffer_bytes"),
		ReadBufferWaits:   gauge("gateway_read_buffer_waits"),
		QueuedCommands:    gauge("gateway_queued_command_bytes"),
		HeldAnswerBytes:   gauge("gateway_held_answer_bytes"),
		CommandBytes:      gauge("gateway_command_bytes"),
	}
}

// Family is a metric with one label and a counter for each of its values. The values must come from a bounded set, as
// counters are never removed.
type Family struct {
	set         *metrics.Set
	name, label string
	mu          sync.Mutex
	counters    map[string]*metrics.Counter
}

// Inc adds one to the counter with the given label value.
func (f *Family) Inc(value string) {
	f.mu.Lock()
	counter := f.counters[value]
	if counter == nil {
		counter = f.set.NewCounter(fmt.Sprintf("%s{%s=%q}", f.name, f.label, value))
		f.counters[value] = counter
	}
	f.mu.Unlock()
	counter.Inc()
}

// Total returns the sum over all label values.
func (f *Family) Total() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := uint64(0)
	for _, counter := range f.counters {
		total += counter.Get()
	}
	return total
}

// Count returns the counter with the given label value, or 0 if it was never incremented.
func (f *Family) Count(value string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if counter := f.counters[value]; counter != nil {
		return counter.Get()
	}
	return 0
}

// Gauge is a metric that can go up and down.
type Gauge struct{ value atomic.Int64 }

// Set sets the gauge to n.
func (g *Gauge) Set(n int) { g.value.Store(int64(n)) }

// Value returns the gauge's value.
func (g *Gauge) Value() int { return int(g.value.Load()) }

// Add changes the gauge by n.
func (g *Gauge) Add(n int) { g.value.Add(int64(n)) }

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// Summary returns all metrics that are not 0, on one line.
func (m *Metrics) Summary() string {
	var text strings.Builder
	m.Write(&text)
	var parts []string
	for _, line := range strings.Split(text.String(), "\n") {
		if line != "" && !strings.HasSuffix(line, " 0") {
			parts = append(parts, strings.Replace(strings.TrimPrefix(line, "gateway_"), " ", "=", 1))
		}
	}
	return strings.Join(parts, " ")
}

// Handler returns an HTTP handler that serves the metrics at Path.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.Write(w)
		metrics.WriteProcessMetrics(w) // the process's memory and the Go runtime
	})
	return mux
}
