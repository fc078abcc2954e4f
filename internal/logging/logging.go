// Package logging writes the gateway's log to an output that may be slow, blocked or closed. Logging never blocks the
// caller and never returns an error. Lines that do not fit into the queue are dropped and counted.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

// Limits of the queue of lines to be written.
const (
	maxQueuedLines = 1024
	maxLineBytes   = 4 << 10 // bytes; a longer line is truncated
)

// Writer queues lines and writes them to another writer from its own goroutine.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Uint64
}

// NewWriter returns a Writer that writes to out. Its goroutine runs until the process ends, because a blocked write
// can't be cancelled.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues a line. If the queue is full, it drops the line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	if len(line) > maxLineBytes {
		kept[maxLineBytes-1] = '\n'
	}
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been lost so far because the queue was full or a write failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Flush waits until the queued lines are written, or until timeout has passed.
func (w *Writer) Flush(timeout time.Duration) {
	expired := time.After(timeout)
	done := make(chan struct{})
	select {
	case w.flush <- done:
	case <-expired:
		return
	}
	select {
	case <-done:
	case <-expired:
	}
}

// run writes lines until the process ends.
func (w *Writer) run() {
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			reported = w.writeLine(line, reported)
		case done := <-w.flush:
			for len(w.lines) > 0 {
				reported = w.writeLine(<-w.lines, reported)
			}
			close(done)
		}
	}
}

// writeLine writes a line. If more lines have been dropped than reported, it first writes a warning with the
// difference. It returns the number of dropped lines that are reported now.
func (w *Writer) writeLine(line []byte, reported uint64) uint64 {
	if dropped := w.dropped.Load(); dropped > reported {
		if _, err := fmt.Fprintf(w.out, "level=WARN msg=\"log lines were dropped\" lines=%d\n", dropped-reported); err == nil {
			reported = dropped
		}
	}
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
	return reported
}

// ParseLevel parses a log level: debug, info, warn or error. The empty string means info.
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

// Limiter limits repeated log lines of one kind to one per Interval. It is not safe for concurrent use.
type Limiter struct {
	Interval   time.Duration
	last       time.Time
	suppressed int
}

// Allow reports whether a line may be logged now, and how many lines were suppressed since the last one that was
// allowed.
func (l *Limiter) Allow(now time.Time) (suppressed int, ok bool) {
	if !l.last.IsZero() && now.Sub(l.last) < l.Interval {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed, l.last = l.suppressed, 0, now
	return suppressed, true
}
