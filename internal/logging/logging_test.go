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

// gate is a writer that stands still until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

func TestWriterNeverWaits(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := NewWriter(g)
	const lines = 3 * linesMost
	for i := range lines {
		fmt.Fprintf(w, "line %d\n", i)
	}
	w.Flush(time.Millisecond) // gives up
	if n := w.Dropped(); n < lines-linesMost-2 || n > lines-linesMost {
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

type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("gone") }

func TestWriterOutlivesItsOutput(t *testing.T) {
	w := NewWriter(failing{})
	for range 10 {
		io.WriteString(w, "line\n")
	}
	w.Flush(time.Minute)
	if w.Dropped() != 10 {
		t.Errorf("%d of 10 lines count as dropped", w.Dropped())
	}
}

func TestLongLinesAreCut(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	long := strings.Repeat("x", 2*lineMost) + "\n"
	if n, err := io.WriteString(w, long); n != len(long) || err != nil {
		t.Errorf("took %d bytes, %v", n, err)
	}
	w.Flush(time.Minute)
	if out.Len() != lineMost || !strings.HasSuffix(out.String(), "x\n") {
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
		t.Error("loud is a level")
	}
}

func TestLimiter(t *testing.T) {
	l := Limiter{Every: time.Second}
	now := time.Now()
	for i, want := range []bool{true, false, false, true} {
		suppressed, ok := l.Allow(now.Add(time.Duration(i) * 400 * time.Millisecond))
		if ok != want || i == 3 && suppressed != 2 {
			t.Errorf("line %d: %v, %d held back", i, ok, suppressed)
		}
	}
}
