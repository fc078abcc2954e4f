package faultsoak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode selects what a route of the proxy does to the traffic on it.
type ProxyMode string

// The modes of a route.
const (
	RoutePass     ProxyMode = "pass"
	RouteSilent   ProxyMode = "silent"   // discards all bytes; a mode change resets connections that lost some
	RouteReset    ProxyMode = "reset"    // resets open connections at once, and new ones when they are accepted
	RouteFragment ProxyMode = "fragment" // forwards bytes in small pieces with pauses between them
)

// Route is an address on which the proxy listens, and the card server's address to which it relays.
type Route struct{ Name, Listen, Target string }

// ProxyCommand sets the mode of a route.
type ProxyCommand struct {
	Route string    `json:"route"`
	Mode  ProxyMode `json:"mode"`
}

// Size of and pause between the pieces of RouteFragment. They delay a message by a few milliseconds at most.
const (
	fragmentBytes    = 700
	fragmentInterval = 300 * time.Microsecond
)

// route is the running state of a Route. It relays connections to one card server.
type route struct {
	Route
	mu    sync.Mutex
	mode  ProxyMode
	conns map[*relay]bool
}

// relay is one connection through the proxy.
type relay struct {
	downstream, upstream *net.TCPConn // to the gateway and to the card server
	dataLost             bool         // bytes were discarded, so the connection can only be reset
}

// RunProxy relays on all routes until the command input ends.
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
			r.setMode(c.Mode)
		}
	})
	return nil
}

// setMode sets the mode, and resets the open connections that may not continue in it.
func (r *route) setMode(mode ProxyMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	for c := range r.conns {
		if mode == RouteReset || c.dataLost {
			c.reset()
		}
	}
}

// effectiveMode returns the mode for a connection. A connection that has lost bytes stays silent until it is reset.
func (r *route) effectiveMode(c *relay) ProxyMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == RouteSilent {
		c.dataLost = true
	}
	if c.dataLost {
		return RouteSilent
	}
	return r.mode
}

// reset closes both connections with a TCP reset.
func (c *relay) reset() {
	c.downstream.SetLinger(0)
	c.upstream.SetLinger(0)
	c.downstream.Close()
	c.upstream.Close()
}

// accept relays each accepted connection in a goroutine of its own.
func (r *route) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		go r.relay(conn.(*net.TCPConn))
	}
}

// relay connects an accepted connection to the card server and copies bytes both ways until both ways have ended.
func (r *route) relay(downstream *net.TCPConn) {
	upstream, err := net.DialTimeout("tcp", r.Target, time.Second)
	if err != nil {
		downstream.SetLinger(0)
		downstream.Close()
		return
	}
	c := &relay{downstream: downstream, upstream: upstream.(*net.TCPConn)}
	r.mu.Lock()
	refused := r.mode == RouteReset
	r.conns[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		c.downstream.Close()
		c.upstream.Close()
	}()
	if refused {
		c.reset()
		return
	}
	done := make(chan struct{}, 2)
	go func() { r.pipe(c, c.upstream, c.downstream); done <- struct{}{} }()
	go func() { r.pipe(c, c.downstream, c.upstream); done <- struct{}{} }()
	<-done
	<-done
}

// pipe copies bytes in one direction until that direction ends.
func (r *route) pipe(c *relay, to, from *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.forward(c, to, buf[:n]) {
			c.reset()
			return
		}
		if err == io.EOF {
			if r.effectiveMode(c) != RouteSilent {
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

// forward writes bytes as the mode demands, and reports whether the connection stays usable.
func (r *route) forward(c *relay, to *net.TCPConn, b []byte) bool {
	switch r.effectiveMode(c) {
	case RouteSilent:
		return true
	case RouteFragment:
		for len(b) > 0 {
			n := min(fragmentBytes, len(b))
			if _, err := to.Write(b[:n]); err != nil {
				return false
			}
			b = b[n:]
			time.Sleep(fragmentInterval)
		}
		return true
	}
	_, err := to.Write(b)
	return err == nil
}
