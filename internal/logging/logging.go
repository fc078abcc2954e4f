// Package logging makes the gateway's log: structured lines on a writer that may be slow, full or gone. Whoever logs never
// waits for it and never fails; lines that find no room are dropped and counted.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

// Bounds on what waits to be written.
const (
	linesMost = 1024
	lineMost  = 4 << 10 // bytes; a longer line is cut
)

// Writer passes lines on to another writer from a goroutine of its own.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Uint64
}

// NewWriter returns a writer in front of out. Its goroutine lives as long as the process, as a write that hangs can't be
// called off.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, linesMost), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line[:min(len(line), lineMost)]...)
	if len(line) > lineMost {
		kept[lineMost-1] = '\n'
	}
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines have been lost so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Flush waits until the lines so far are written, but no longer than within.
func (w *Writer) Flush(within time.Duration) {
	limit := time.After(within)
	done := make(chan struct{})
	select {
	case w.flush <- done:
	case <-limit:
		return
	}
	select {
	case <-done:
	case <-limit:
	}
}

func (w *Writer) run() {
	told := uint64(0)
	for {
		select {
		case line := <-w.lines:
			told = w.pass(line, told)
		case done := <-w.flush:
			for len(w.lines) > 0 {
				told = w.pass(<-w.lines, told)
			}
			close(done)
		}
	}
}

// pass writes a line, and before it how many were lost, if more were than told. It returns what has been told.
func (w *Writer) pass(line []byte, told uint64) uint64 {
	if dropped := w.dropped.Load(); dropped > told {
		if _, err := fmt.Fprintf(w.out, "level=WARN msg=\"log lines were dropped\" lines=%d\n", dropped-told); err == nil {
			told = dropped
		}
	}
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
	return told
}

// ParseLevel reads a level: debug, info, warn or error. The empty string is info.
func ParseLevel(text string) (slog.Level, error) {
	var level slog.Level
	if text == "" {
		return slog.LevelInfo, nil
	}
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return level, fmt.Errorf("log level %q: want debug, info, warn or error", text)
	}
	return level, nil
}

// Limiter lets through one of many lines of a kind in each interval. It is not safe for concurrent use.
type Limiter struct {
	Every      time.Duration
	last       time.Time
	suppressed int
}

// Allow reports whether a line may be logged now, and how many were held back since the last one.
func (l *Limiter) Allow(now time.Time) (suppressed int, ok bool) {
	if !l.last.IsZero() && now.Sub(l.last) < l.Every {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed, l.last = l.suppressed, 0, now
	return suppressed, true
}
