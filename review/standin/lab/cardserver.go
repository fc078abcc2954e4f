package lab

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Card servers have as many workers and as long a queue as the site's machines may have.
const (
	workers  = 8
	queue    = 40
	meanWork = 30 * time.Millisecond
)

// Attempt is a request that has come whole to a card server.
type Attempt struct {
	Server  *CardServer
	Name    string // Q.ASK or Q.DO
	ID      string // of the request
	Arrived time.Time
}

// CardServer is a stand-in for a card server. It begins a request with its last byte, works on as many as it has
// workers, holds some more, and turns away the rest.
type CardServer struct {
	Entry Entry
	// Answer writes the answer to an attempt that has been worked on. nil writes Served.
	Answer func(conn net.Conn, r *bufio.Reader, a Attempt) error
	// Arrival is called when an attempt has come whole. If it returns false, the server does not work on it and never
	// answers it.
	Arrival func(a Attempt) bool

	lab  *Lab
	work chan struct{}
	mu   sync.Mutex
	held int
}

// StartCardServers starts card servers. prepare may change each before it takes connections.
func (l *Lab) StartCardServers(n int, prepare func(i int, s *CardServer)) ([]*CardServer, []Entry) {
	var servers []*CardServer
	var entries []Entry
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			l.NotRun("card server: %v", err)
		}
		s := &CardServer{lab: l, work: make(chan struct{}, workers)}
		s.Entry = Entry{ID: fmt.Sprintf("s-%08x", 0x5be20000+i), Addr: ln.Addr().String(),
			Zone: []string{"hall-a", "hall-b"}[i%2], Kind: "std-2c", Cell: i % 2, State: "up", Weight: 1}
		if prepare != nil {
			prepare(i, s)
		}
		go s.accept(ln)
		l.Cleanup(func() { ln.Close() })
		servers, entries = append(servers, s), append(entries, s.Entry)
	}
	return servers, entries
}

func (s *CardServer) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *CardServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		args, err := ReadCommand(r)
		if err != nil {
			return
		}
		switch {
		case len(args) == 1 && args[0] == "PING":
			fmt.Fprint(conn, "+PONG\r\n")
			continue
		case len(args) < 4:
			fmt.Fprint(conn, "-SYNTAX\r\n")
			continue
		}
		a := Attempt{Server: s, Name: args[0], ID: args[2], Arrived: time.Now()}
		s.lab.Recordf("%s: got %s %s", s.Entry.ID, a.Name, a.ID)
		if s.Arrival != nil && !s.Arrival(a) {
			r.ReadByte() // until the gateway gives up
			return
		}
		if !s.enter() {
			s.lab.Recordf("%s: turned away %s", s.Entry.ID, a.ID)
			if _, err := fmt.Fprint(conn, "-BUSY\r\n"); err != nil {
				return
			}
			continue
		}
		s.run()
		s.lab.Recordf("%s: ran %s", s.Entry.ID, a.ID)
		answer := s.Answer
		if answer == nil {
			answer = func(conn net.Conn, _ *bufio.Reader, a Attempt) error {
				_, err := conn.Write(Served(a.Value()))
				return err
			}
		}
		if answer(conn, r, a) != nil {
			return
		}
	}
}

// enter takes a place in the queue, if one is free.
func (s *CardServer) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held >= workers+queue {
		return false
	}
	s.held++
	return true
}

// run works on a request.
func (s *CardServer) run() {
	s.work <- struct{}{}
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(meanWork)))
	<-s.work
	s.mu.Lock()
	s.held--
	s.mu.Unlock()
}

// Value returns the value that a card server makes for a request.
func (a Attempt) Value() string { return "value for " + a.ID + " by " + a.Server.Entry.ID }

// Served encodes an answer with a value and neither figures on use nor a load report.
func Served(value string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}
