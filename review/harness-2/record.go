package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a case's record.
type recorder struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	out     *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// printf writes a line that begins with the milliseconds since the start.
func (r *recorder) printf(format string, args ...any) {
	at := float64(time.Since(r.started).Microseconds()) / 1000
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.1f ", at)
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
