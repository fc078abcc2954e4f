// Package telemetry counts what a gateway does and why: answers, attempts, closes, failed system calls, and broken
// invariants. Counters are read over HTTP in the Prometheus text form, and summed up in the log at the end.
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

// Path is where the counters are read.
const Path = "/metrics"

// Metrics are the counters of one gateway. Its methods may be called from any goroutine.
type Metrics struct {
	set *metrics.Set

	Answers           *Family // requests by result: served, refused, failed, or abandoned as their clients left
	Refusals          *Family // refused requests by reason
	Failures          *Family // failed requests by reason
	Attempts          *Family // attempts by outcome
	FurtherAttempts   *Family // retries and hedges, by the class's effect
	ClientCloses      *Family // connections of clients that were closed, by reason
	ServerCloses      *Family // connections to card servers that were closed, by reason
	DiscoveryCalls    *Family // by how they ended
	SystemCallErrors  *Family // by call
	Violations        *Family // broken invariants, by rule; any is a fault of the gateway
	OpenRequests      *Gauge
	ClientConnections *Gauge
	ServerConnections *Gauge
	UnsentBytes       *Gauge // of answers that clients have not taken
	InboxEvents       *Gauge // that waited when the loop last looked
}

// New returns counters that are all 0.
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
	}
}

// Family is a set of counters that differ in the value of one label. Values must come from a bounded set.
type Family struct {
	set         *metrics.Set
	name, label string
	mu          sync.Mutex
	counters    map[string]*metrics.Counter
}

// Inc counts one more with a label's value.
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

// Total is the sum over all values of the label.
func (f *Family) Total() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := uint64(0)
	for _, counter := range f.counters {
		total += counter.Get()
	}
	return total
}

// Of is the count with one value of the label.
func (f *Family) Of(value string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if counter := f.counters[value]; counter != nil {
		return counter.Get()
	}
	return 0
}

// Gauge is a number that goes up and down.
type Gauge struct{ value atomic.Int64 }

// Set sets the number.
func (g *Gauge) Set(n int) { g.value.Store(int64(n)) }

// Write writes all counters in the Prometheus text form.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// Summary is all counters that are not 0, on one line.
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

// Handler serves the counters at Path.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.Write(w)
	})
	return mux
}
