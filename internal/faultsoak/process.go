package faultsoak

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process is a child process. A goroutine waits for its exit.
type process struct {
	name     string
	cmd      *exec.Cmd
	input    io.WriteCloser
	mu       sync.Mutex
	expected bool // the exit was requested by this program
	err      error
	ended    chan struct{}
}

// startProcess starts a program, which the kernel kills if this process dies. If handle is not nil, it receives each
// line of the program's standard output, decoded as an event.
func startProcess(name string, cmd *exec.Cmd, handle func(Event)) (*process, error) {
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var output io.ReadCloser
	var err error
	if handle != nil {
		if output, err = cmd.StdoutPipe(); err != nil {
			return nil, fmt.Errorf("starting %s: %w", name, err)
		}
	}
	if p.input, err = cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	go func() {
		if output != nil {
			readLines(output, handle)
		}
		p.err = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// send writes a command to a stand-in's standard input.
func (p *process) send(command any) {
	line, err := json.Marshal(command)
	if err != nil {
		panic(err) // cannot happen: all commands are plain structs
	}
	_, _ = p.input.Write(append(line, '\n')) // fails only after the process has ended, which does no harm
}

// signal sends a signal. SIGKILL and SIGTERM mark the exit as expected.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	p.mu.Unlock()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintf(os.Stderr, "sending a signal to %s: %v\n", p.name, err)
	}
}

// isExpected reports whether this program requested the exit of the process.
func (p *process) isExpected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expected
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// wait waits for the process to exit, and reports whether it did so within the timeout.
func (p *process) wait(timeout time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}
