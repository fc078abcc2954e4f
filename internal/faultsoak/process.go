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

// process is a child process. Its exit is waited for in the background.
type process struct {
	name     string
	cmd      *exec.Cmd
	input    io.WriteCloser
	mu       sync.Mutex
	expected bool // its end was asked for
	err      error
	ended    chan struct{}
}

// startProcess starts a program. Lines of its standard output go to handle as events, if that is not nil.
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

// send writes a command to a stand-in.
func (p *process) send(command any) {
	line, err := json.Marshal(command)
	if err != nil {
		panic(err) // all commands are plain structs
	}
	_, _ = p.input.Write(append(line, '\n')) // fails once the process has ended, and then it does not matter
}

// signal sends a signal. One that ends the process makes its end expected.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	p.mu.Unlock()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintf(os.Stderr, "signalling %s: %v\n", p.name, err)
	}
}

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

// wait waits for the end of the process, and reports whether it came in time.
func (p *process) wait(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}
