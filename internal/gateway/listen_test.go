package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// run starts a gateway as the program does.
func run(t *testing.T, cfg Config) (*rig, context.CancelFunc) {
	t.Helper()
	r := &rig{addr: cfg.Listen.String(), done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	ending.Go(func() { r.done <- Run(ctx, cfg, nil, slog.New(slog.DiscardHandler)) })
	t.Cleanup(cancel)
	return r, cancel
}

// ready waits until the gateway answers PING.
func (r *rig) ready(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", r.addr)
		if err != nil {
			continue
		}
		conn.SetDeadline(deadline)
		reply := make([]byte, 16)
		_, err = conn.Write([]byte("*1\r\n$4\r\nPING\r\n"))
		n, _ := conn.Read(reply)
		conn.Close()
		if err == nil && string(reply[:n]) == "+PONG\r\n" {
			return
		}
	}
	t.Fatal("the gateway does not answer PING")
}

func holdTCP(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln, mustAddr(ln.Addr().String())
}

func holdUDP(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(mustAddr("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, mustAddr(conn.LocalAddr().String())
}

// freePort is an address on which nothing listens.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, addr := holdTCP(t)
	ln.Close()
	return addr
}

// A process that is started while the one before it still has the port waits for it, and does not crash.
func TestStartWaitsForTheClientsPort(t *testing.T) {
	cfg := testConfig(t, long, nil)
	cfg.Discovery = mustAddr(newBackend(t).addr)
	var before net.Listener
	before, cfg.Listen = holdTCP(t)
	r, stop := run(t, cfg)
	select {
	case err := <-r.done:
		t.Fatalf("ended with %v while the port was held", err)
	case <-time.After(3 * bindRetry): // enough for one that does not wait; one that waits passes at any speed
	}
	before.Close()
	r.ready(t)
	stop()
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}

// While the address for words of peers is held the gateway serves; once it is free, it speaks with them.
func TestStartDoesNotWaitForThePeersPort(t *testing.T) {
	cfg := testConfig(t, long, nil)
	cfg.Discovery = mustAddr(newBackend(t).addr)
	cfg.Listen = freePort(t)
	before, at := holdUDP(t)
	peer, other := holdUDP(t)
	cfg.PeerListen, cfg.Peers = at, []netip.AddrPort{at, other}
	r, stop := run(t, cfg)
	r.ready(t)
	before.Close()
	r.ready(t)
	for deadline := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		if errors.Is(err, syscall.EADDRINUSE) {
			break // the gateway has it
		}
		if err == nil {
			conn.Close()
		}
		if time.Now().After(deadline) {
			t.Fatalf("the address stays free: %v", err)
		}
	}
	if _, err := peer.WriteToUDPAddrPort([]byte("not a word"), at); err != nil {
		t.Error(err)
	}
	r.ready(t)
	stop()
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}

// A gateway that is told to end while its addresses are held ends without error.
func TestStopWhileThePortIsHeld(t *testing.T) {
	for _, name := range []string{"clients", "peers"} {
		cfg := testConfig(t, long, nil)
		cfg.Discovery = mustAddr(newBackend(t).addr)
		cfg.Listen = freePort(t)
		if name == "clients" {
			_, cfg.Listen = holdTCP(t)
		} else {
			_, cfg.PeerListen = holdUDP(t)
			cfg.Peers = []netip.AddrPort{cfg.PeerListen, mustAddr("127.0.0.1:1")}
		}
		r, stop := run(t, cfg)
		if name == "peers" {
			r.ready(t)
		}
		stop()
		if err := <-r.done; err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The loop is given the socket to the peers, whether it was free at once or only later.
func TestPeersAreLinked(t *testing.T) {
	for _, late := range []bool{false, true} {
		before, at := holdUDP(t)
		if !late {
			before.Close()
		}
		cfg := Config{PeerListen: at, Peers: []netip.AddrPort{at}}
		ctx, cancel := context.WithCancel(context.Background())
		posted := make(chan event, 1)
		var tasks sync.WaitGroup
		if err := linkPeers(ctx, &tasks, cfg, func(e event) { posted <- e }, slog.New(slog.DiscardHandler)); err != nil {
			t.Fatal(err)
		}
		before.Close()
		l := still(t, nil)
		(<-posted).apply(l)
		if link, ok := l.peers.(*peerLink); !ok || link.conn.LocalAddr().String() != at.String() {
			t.Errorf("late %v: the loop has no socket", late)
		}
		cancel()
		tasks.Wait() // the reader ends
	}
}

// What no waiting mends is an error at once, and so is an address that stays held.
func TestBindGivesUp(t *testing.T) {
	odd := errors.New("odd")
	for name, tc := range map[string]struct {
		err   error
		tries int
	}{"odd": {odd, 1}, "in use": {syscall.EADDRINUSE, 2}, "not there": {syscall.EADDRNOTAVAIL, 2}} {
		tries := 0
		_, err := bind(context.Background(), time.Millisecond, time.Millisecond, func() (int, error) {
			tries++
			return 0, &net.OpError{Op: "listen", Err: tc.err}
		}, slog.New(slog.DiscardHandler))
		if !errors.Is(err, tc.err) || tries < tc.tries || (tc.tries == 1 && tries > 1) {
			t.Errorf("%s: got %v after %d tries", name, err, tries)
		}
		if want := "no socket could be had for 1ms"; strings.Contains(err.Error(), want) != retryable(tc.err) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// A gateway is ready whatever discovery does, and without a list of servers: a fleet that starts at once may find
// discovery down, silent or with too many calls.
func TestReadyWithoutDiscovery(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(refusing.Close)
	for name, addr := range map[string]netip.AddrPort{"down": freePort(t), "silent": mustAddr(newBackend(t).addr),
		"refusing": mustAddr(strings.TrimPrefix(refusing.URL, "http://"))} {
		for known, list := range map[string]serverList{"none known": {}, "empty": {Version: 3, Full: true},
			"known": {Version: 3, Full: true, Servers: entries("up", newBackend(t))}} {
			t.Run(name+", "+known, func(t *testing.T) {
				cfg := testConfig(t, long, nil)
				cfg.Known, cfg.Discovery, cfg.Listen = list, addr, freePort(t)
				cfg.hearFor = time.Millisecond
				r, _ := run(t, cfg)
				r.ready(t)
			})
		}
	}
}

// What the machine lacks for a moment delays a start and does not end it, whichever documented error says so.
func TestPassingWantDoesNotEndTheStart(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR} {
		tries := 0
		_, err := bind(context.Background(), time.Millisecond, patience, func() (int, error) {
			if tries++; tries < 3 {
				return 0, &net.OpError{Op: "listen", Err: errno}
			}
			return 0, nil
		}, slog.New(slog.DiscardHandler))
		if err != nil || tries != 3 {
			t.Errorf("%v: %v after %d tries", errno, err, tries)
		}
	}
}
