package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// cardServer is a stand-in for a card server. It serves the requests of a connection in order, and those of different
// connections at the same time.
type cardServer struct {
	number int
	entry  entry
	handle func(conn *serverConn, words []string) // answers a request
}

// serverConn is a connection that a card server accepted.
type serverConn struct {
	net.Conn
	mu      sync.Mutex // held while an answer is written and while a request is being counted
	waiting int        // requests that were read and not answered
}

// startCardServer starts a card server on a free port.
func startCardServer(number int, zone string, handle func(*cardServer, *serverConn, []string)) (*cardServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &cardServer{number: number, entry: entry{ID: fmt.Sprintf("s-%d", number), Addr: ln.Addr().String(), Zone: zone, Kind: "std-2c",
		Cell: number % 4, State: "up", Weight: 1}}
	s.handle = func(c *serverConn, words []string) { handle(s, c, words) }
	go s.accept(ln)
	return s, nil
}

func (s *cardServer) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		go s.serve(&serverConn{Conn: conn})
	}
}

func (s *cardServer) serve(c *serverConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		words, err := readCommand(r)
		if err != nil {
			return
		}
		c.mu.Lock()
		c.waiting++
		c.mu.Unlock()
		s.handle(c, words)
	}
}

// answer writes the answer to the oldest request that waits.
func (c *serverConn) answer(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	c.Write(b)
}

// servedAnswer returns the answer to a request that ran.
func servedAnswer(value string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}
