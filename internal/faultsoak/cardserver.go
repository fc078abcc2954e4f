package faultsoak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
)

// ServerMode selects how a card server handles the requests it receives.
type ServerMode string

// The modes of a card server.
const (
	ModeServe   ServerMode = "serve"
	ModeHang    ServerMode = "hang"    // answers nothing until the mode changes
	ModeBusy    ServerMode = "busy"    // answers BUSY without running the request
	ModeFail    ServerMode = "fail"    // answers with an error line
	ModeNoise   ServerMode = "noise"   // answers with bytes that violate the protocol
	ModeTwice   ServerMode = "twice"   // sends each answer twice
	ModeTrickle ServerMode = "trickle" // sends only the first half of each answer
	ModeReset   ServerMode = "reset"   // resets the connection instead of answering
)

// ServerConfig configures one card server process.
type ServerConfig struct {
	ID        string
	Listen    string
	Life      int // number of the server's process, starting at 0; each restart increments it
	ServiceMS int // mean service time of a request, in milliseconds
	Workers   int // number of requests processed concurrently
}

// ServerCommand changes the behaviour of a running card server. Empty fields change nothing.
type ServerCommand struct {
	Mode      ServerMode `json:"mode,omitempty"`
	CloseIdle bool       `json:"close_idle,omitempty"`
}

// cardServer is a stand-in for a card server, written from the protocol specification.
type cardServer struct {
	cfg        ServerConfig
	reporter   *reporter
	slots      chan struct{} // holds one element for each busy worker
	attempts   atomic.Uint64
	mu         sync.Mutex
	mode       ServerMode
	changed    chan struct{}     // closed when the mode changes
	idleByConn map[net.Conn]bool // all connections; true while no request runs on them
}

// RunServer runs a card server until the command input ends.
func RunServer(cfg ServerConfig, commands io.Reader, events io.Writer) error {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("card server %s: %w", cfg.ID, err)
	}
	s := &cardServer{cfg: cfg, reporter: newReporter(events), slots: make(chan struct{}, cfg.Workers),
		mode: ModeServe, changed: make(chan struct{}), idleByConn: map[net.Conn]bool{}}
	go s.accept(ln)
	s.reporter.report(Event{Type: EventReady, Server: cfg.ID, Incarnation: cfg.Life})
	readLines(commands, s.command)
	return nil
}

// command applies a command of the soak test.
func (s *cardServer) command(c ServerCommand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Mode != "" {
		s.mode = c.Mode
		close(s.changed)
		s.changed = make(chan struct{})
	}
	if c.CloseIdle {
		for conn, idle := range s.idleByConn {
			if idle {
				conn.Close()
			}
		}
	}
}

// currentMode returns the mode and a channel that is closed when the mode changes.
func (s *cardServer) currentMode() (ServerMode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, s.changed
}

// accept serves each accepted connection in a goroutine of its own.
func (s *cardServer) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			fmt.Fprintln(os.Stderr, "accepting a connection:", err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		go s.serve(conn)
	}
}

// timedReader records when the first byte of a command arrived.
type timedReader struct {
	io.Reader
	first Moment
}

func (r *timedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 && r.first == 0 {
		r.first = Now()
	}
	return n, err
}

func (s *cardServer) setIdle(conn net.Conn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleByConn[conn] = idle
}

// serve handles the commands on a connection one after the other until the connection ends.
func (s *cardServer) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.idleByConn, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	timed := &timedReader{Reader: conn}
	reader := redcon.NewReader(timed)
	for {
		s.setIdle(conn, true)
		cmd, err := reader.ReadCommand()
		if err != nil {
			return
		}
		s.setIdle(conn, false)
		first := timed.first
		timed.first = 0
		if len(cmd.Args) < 4 {
			if _, err := conn.Write([]byte("-SYNTAX\r\n")); err != nil {
				return
			}
			continue
		}
		if !s.handle(conn, cmd, first) {
			return
		}
	}
}

// handle runs one request, and reports whether the connection stays usable.
func (s *cardServer) handle(conn net.Conn, cmd redcon.Command, first Moment) bool {
	attempt, request := s.attempts.Add(1), string(cmd.Args[2])
	list := parseList(string(cmd.Args[3]))
	remainingMS, _ := strconv.ParseFloat(list["d"], 64)
	s.reporter.report(Event{Type: EventArrival, Server: s.cfg.ID, Incarnation: s.cfg.Life, Attempt: attempt, Request: request, First: first, RemainingMS: remainingMS})
	outcome := Event{Type: EventAttemptEnd, Server: s.cfg.ID, Incarnation: s.cfg.Life, Attempt: attempt, Request: request}
	mode, changed := s.currentMode()
	for mode == ModeHang {
		<-changed
		mode, changed = s.currentMode()
	}
	size, _ := strconv.Atoi(list["size"])
	answer := s.answer(request, attempt, size)
	reusable := true
	switch mode {
	case ModeBusy:
		answer, outcome.NeverRan = []byte("-BUSY\r\n"), true
	case ModeFail:
		answer = []byte("-ERR failed\r\n")
	case ModeNoise:
		answer = []byte("%noise\r\n")
	case ModeTwice:
		answer = append(answer, answer...)
	case ModeTrickle:
		answer = answer[:len(answer)/2]
	case ModeReset:
		conn.(*net.TCPConn).SetLinger(0)
		answer, reusable = nil, false
	default:
	}
	if mode != ModeBusy {
		s.work()
	}
	if outcome.NeverRan { // reported before the answer is written, because the gateway may react to the answer at once
		s.reporter.report(outcome)
	}
	_, err := conn.Write(answer)
	if !outcome.NeverRan {
		s.reporter.report(outcome)
	}
	return reusable && err == nil
}

// work occupies one worker for a random service time between 50 % and 150 % of the mean.
func (s *cardServer) work() {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	service := float64(s.cfg.ServiceMS) * (0.5 + rand.Float64())
	time.Sleep(time.Duration(service * float64(time.Millisecond)))
}

// answer builds the reply for a request. It contains the request's id, by which clients recognise their answer.
func (s *cardServer) answer(request string, attempt uint64, size int) []byte {
	value := fmt.Sprintf("v:%s:%s:%d:", request, s.cfg.ID, attempt)
	if size > len(value) {
		value += strings.Repeat("x", size-len(value))
	}
	b := redcon.AppendArray(nil, 3)
	b = redcon.AppendBulkString(b, value)
	return append(b, "$-1\r\n$-1\r\n"...)
}

// parseList parses the list argument of a command: name=value pairs separated by commas.
func parseList(text string) map[string]string {
	list := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		list[name] = value
	}
	return list
}

var errMalformedReply = fmt.Errorf("malformed reply")

// parseReply parses the first reply of a gateway in b: its first line and, for a bulk string, the value. used is the
// reply's length in bytes, or 0 if b does not yet hold a complete reply.
func parseReply(b []byte) (text string, value []byte, used int, err error) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		return "", nil, 0, nil
	}
	text = string(b[:end])
	if text == "" {
		return "", nil, 0, errMalformedReply
	}
	if text[0] != '$' {
		return text, nil, end + 2, nil
	}
	n, err := strconv.Atoi(text[1:])
	if err != nil || n < 0 {
		return "", nil, 0, errMalformedReply
	}
	if len(b) < end+2+n+2 {
		return "", nil, 0, nil
	}
	return text, b[end+2 : end+2+n], end + 2 + n + 2, nil
}
