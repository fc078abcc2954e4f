// Package lab holds the stand-ins of the review: the platform that starts gateways, an agent of discovery, card servers
// and clients. They follow the operators' pages. Everything listens on loopback addresses.
package lab

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Lab is one run of a case: its folders, its record and what has to end with it.
type Lab struct {
	Root    string // of the repository
	Temp    string // removed at the end
	Trouble bool   // false with TROUBLE=0

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	start   time.Time
	broken  []string
	cleanup []func()
}

// New opens record.txt in the folder of the case. The folder is the first argument of the program.
func New() *Lab {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER-OF-THE-CASE")
		os.Exit(ExitNotRun)
	}
	folder, err := filepath.Abs(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	l := &Lab{Root: filepath.Dir(filepath.Dir(folder)), Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	if l.file, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	l.record = bufio.NewWriter(l.file)
	if l.Temp, err = os.MkdirTemp("", "cherryhook-review-"); err != nil {
		l.NotRun("temporary folder: %v", err)
	}
	l.Recordf("trouble: %v", l.Trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-stop:
			l.NotRun("ended by %v", s)
		case <-time.After(maxTime):
			l.NotRun("not done within %v", maxTime)
		}
	}()
	return l
}

// Recordf adds a line to the record, with the time since the start.
func (l *Lab) Recordf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%10.4f ", time.Since(l.start).Seconds())
	fmt.Fprintf(l.record, format+"\n", args...)
}

// Broken records that the rule was broken.
func (l *Lab) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.Recordf("BROKEN: %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, text)
}

// Cleanup registers a function that Finish or NotRun calls.
func (l *Lab) Cleanup(end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cleanup = append(l.cleanup, end)
}

// NotRun ends the case, which could not run.
func (l *Lab) NotRun(format string, args ...any) {
	l.Recordf("could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	l.end()
	os.Exit(ExitNotRun)
}

// Finish ends everything, prints the result and exits.
func (l *Lab) Finish() {
	l.mu.Lock()
	broken := l.broken
	l.mu.Unlock()
	l.Recordf("rule broken %d times", len(broken))
	l.end()
	fmt.Printf("rule broken %d times\n", len(broken))
	for i, text := range broken {
		if i == 5 {
			fmt.Println("...")
			break
		}
		fmt.Println(text)
	}
	if len(broken) > 0 {
		os.Exit(ExitBroken)
	}
	os.Exit(ExitHeld)
}

func (l *Lab) end() {
	l.mu.Lock()
	cleanup := l.cleanup
	l.cleanup = nil
	l.mu.Unlock()
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
	os.RemoveAll(l.Temp)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Flush()
	l.file.Close()
}

// FreeAddr returns a loopback address with a port on which nothing listens.
func (l *Lab) FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.NotRun("no free port: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// runCommand returns the command of the deploy file that starts a gateway.
func (l *Lab) runCommand() string {
	raw, err := os.ReadFile(filepath.Join(l.Root, "deploy", "balancer.toml"))
	if err != nil {
		l.NotRun("deploy file: %v", err)
	}
	match := runLine.FindSubmatch(raw)
	if match == nil {
		l.NotRun("the deploy file names no run command")
	}
	return string(match[1])
}
