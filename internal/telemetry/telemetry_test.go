package telemetry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// Counts from concurrent goroutines are complete, and appear in the HTTP output and in the summary.
func TestMetrics(t *testing.T) {
	m := New()
	var tasks sync.WaitGroup
	for range 8 {
		tasks.Go(func() {
			for range 100 {
				m.Answers.Inc("served")
				m.Refusals.Inc("quota")
			}
		})
	}
	tasks.Wait()
	m.Answers.Inc("failed")
	m.OpenRequests.Set(7)
	if m.Answers.Count("served") != 800 || m.Answers.Total() != 801 || m.Answers.Count("other") != 0 {
		t.Errorf("got %d served, %d in total; want 800 and 801", m.Answers.Count("served"), m.Answers.Total())
	}
	reply := httptest.NewRecorder()
	m.Handler().ServeHTTP(reply, httptest.NewRequest(http.MethodGet, Path, nil))
	for _, want := range []string{`gateway_requests_total{result="served"} 800`, `gateway_refusals_total{reason="quota"} 800`, "gateway_open_requests 7"} {
		if !strings.Contains(reply.Body.String(), want) {
			t.Errorf("%s is missing in %s", want, reply.Body)
		}
	}
	if got := m.Summary(); !strings.Contains(got, `requests_total{result="failed"}=1`) || strings.Contains(got, "inbox") {
		t.Errorf("summary: %s", got)
	}
}
