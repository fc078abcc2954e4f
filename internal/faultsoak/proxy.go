package faultsoak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode says what a route of the proxy does to the bytes that cross it.
type ProxyMode string

// The modes of a route.
const (
	RoutePass     ProxyMode = "pass"
	RouteSilent   ProxyMode = "silent"   // bytes are swallowed; as the mode ends, the connections are reset
	RouteReset    ProxyMode = "reset"    // open connections are reset at once, and new ones
	RouteFragment ProxyMode = "fragment" // bytes come in small pieces
)

// Route is a way through the proxy.
type Route struct{ Name, Listen, Target string }

// ProxyCommand sets the mode of a route.
type ProxyCommand struct {
	Route string    `json:"route"`
	Mode  ProxyMode `json:"mode"`
}

// Pieces of RouteFragment. A message is late by no more than some milliseconds.
const (
	pieceBytes = 700
	piecePause = 300 * time.Microsecond
)

// route relays connections to one card server.
type route struct {
	Route
	mu    sync.Mutex
	mode  ProxyMode
	conns map[*relay]bool
}

// relay is one connection through the proxy.
type relay struct {
	near, far *net.TCPConn
	swallowed bool // bytes of it are lost, so it can only be reset
}

// RunProxy relays on all routes until the input ends.
func RunProxy(routes []Route, commands io.Reader, events io.Writer) error {
	byName := map[string]*route{}
	for _, r := range routes {
		ln, err := net.Listen("tcp", r.Listen)
		if err != nil {
			return fmt.Errorf("proxy: %w", err)
		}
		byName[r.Name] = &route{Route: r, mode: RoutePass, conns: map[*relay]bool{}}
		go byName[r.Name].accept(ln)
	}
	newReporter(events).report(Event{Type: EventReady})
	readLines(commands, func(c ProxyCommand) {
		if r := byName[c.Route]; r != nil {
			r.set(c.Mode)
		}
	})
	return nil
}

func (r *route) set(mode ProxyMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	for c := range r.conns {
		if mode == RouteReset || c.swallowed {
			c.reset()
		}
	}
}

func (r *route) now(c *relay) ProxyMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == RouteSilent {
		c.swallowed = true
	}
	if c.swallowed {
		return RouteSilent
	}
	return r.mode
}

func (c *relay) reset() {
	c.near.SetLinger(0)
	c.far.SetLinger(0)
	c.near.Close()
	c.far.Close()
}

func (r *route) accept(ln net.Listener) {
	for {
		near, err := ln.Accept()
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		go r.relay(near.(*net.TCPConn))
	}
}

func (r *route) relay(near *net.TCPConn) {
	far, err := net.DialTimeout("tcp", r.Target, time.Second)
	if err != nil {
		near.SetLinger(0)
		near.Close()
		return
	}
	c := &relay{near: near, far: far.(*net.TCPConn)}
	r.mu.Lock()
	refused := r.mode == RouteReset
	r.conns[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		c.near.Close()
		c.far.Close()
	}()
	if refused {
		c.reset()
		return
	}
	done := make(chan struct{}, 2)
	go func() { r.pipe(c, c.far, c.near); done <- struct{}{} }()
	go func() { r.pipe(c, c.near, c.far); done <- struct{}{} }()
	<-done
	<-done
}

// pipe moves bytes one way until that way ends.
func (r *route) pipe(c *relay, to, from *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.forward(c, to, buf[:n]) {
			c.reset()
			return
		}
		if err == io.EOF {
			if r.now(c) != RouteSilent {
				to.CloseWrite()
			}
			return
		}
		if err != nil {
			c.reset()
			return
		}
	}
}

func (r *route) forward(c *relay, to *net.TCPConn, b []byte) bool {
	switch r.now(c) {
	case RouteSilent:
		return true
	case RouteFragment:
		for len(b) > 0 {
			n := min(pieceBytes, len(b))
			if _, err := to.Write(b[:n]); err != nil {
				return false
			}
			b = b[n:]
			time.Sleep(piecePause)
		}
		return true
	}
	_, err := to.Write(b)
	return err == nil
}
