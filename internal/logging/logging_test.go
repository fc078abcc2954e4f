package logging

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a writer whose Write blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *blockedWriter) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

// While the output is blocked, Write must not block. Lines beyond the queue are dropped, and their number is logged
// later.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	g := &blockedWriter{open: make(chan struct{})}
	w := NewWriter(g)
	const lines = 3 * maxQueuedLines
	for i := range lines {
		fmt.Fprintf(w, "line %d\n", i)
	}
	w.Flush(time.Millisecond) // returns after its timeout
	if n := w.Dropped(); n < lines-maxQueuedLines-2 || n > lines-maxQueuedLines {
		t.Errorf("%d lines were dropped", n)
	}
	close(g.open)
	w.Flush(time.Minute)
	slog.New(slog.NewTextHandler(w, nil)).Info("last")
	w.Flush(time.Minute)
	g.mu.Lock()
	defer g.mu.Unlock()
	text := g.text.String()
	if !strings.Contains(text, "line 0\n") || !strings.Contains(text, "log lines were dropped") || !strings.Contains(text, "msg=last") {
		t.Errorf("written: %.200s", text)
	}
}

// failingWriter is a writer whose every write fails.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("gone") }

// A closed output must not stop the writer's goroutine, and lines that could not be written are counted.
func TestFailedWritesAreCountedAsDropped(t *testing.T) {
	w := NewWriter(failingWriter{})
	for range 10 {
		io.WriteString(w, "line\n")
	}
	w.Flush(time.Minute)
	if w.Dropped() != 10 {
		t.Errorf("%d of 10 lines are counted as dropped", w.Dropped())
	}
}

func TestLongLinesAreTruncated(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	long := strings.Repeat("x", 2*maxLineBytes) + "\n"
	if n, err := io.WriteString(w, long); n != len(long) || err != nil {
		t.Errorf("Write returned %d, %v", n, err)
	}
	w.Flush(time.Minute)
	if out.Len() != maxLineBytes || !strings.HasSuffix(out.String(), "x\n") {
		t.Errorf("%d bytes were written", out.Len())
	}
}

func TestParseLevel(t *testing.T) {
	for text, want := range map[string]slog.Level{"": slog.LevelInfo, "debug": slog.LevelDebug, "WARN": slog.LevelWarn} {
		if got, err := ParseLevel(text); got != want || err != nil {
			t.Errorf("%q: got %v, %v", text, got, err)
		}
	}
	if _, err := ParseLevel("loud"); err == nil {
		t.Error("the unknown level \"loud\" is accepted")
	}
}

func TestLimiter(t *testing.T) {
	l := Limiter{Interval: time.Second}
	now := time.Now()
	for i, want := range []bool{true, false, false, true} {
		suppressed, ok := l.Allow(now.Add(time.Duration(i) * 400 * time.Millisecond))
		if ok != want || i == 3 && suppressed != 2 {
			t.Errorf("line %d: %v, %d suppressed", i, ok, suppressed)
		}
	}
}
