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

// startGateway runs a gateway as the program does.
func startGateway(t *testing.T, cfg Config) (*harness, context.CancelFunc) {
	t.Helper()
	r := &harness{addr: cfg.Listen.String(), done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	stoppingGateways.Go(func() { r.done <- Run(ctx, cfg, nil, slog.New(slog.DiscardHandler)) })
	t.Cleanup(cancel)
	return r, cancel
}

// waitReady waits until the gateway answers PING.
func (r *harness) waitReady(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
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

// holdTCP occupies a free TCP port until the test ends.
func holdTCP(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln, mustAddr(ln.Addr().String())
}

// holdUDP occupies a free UDP port until the test ends.
func holdUDP(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(mustAddr("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, mustAddr(conn.LocalAddr().String())
}

// freeAddr returns an address on which nothing listens.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, addr := holdTCP(t)
	ln.Close()
	return addr
}

// Guards against a crash at start while the previous process still holds the port. The new process waits for the
// port.
func TestStartWaitsForClientPort(t *testing.T) {
	cfg := testConfig(t, longTarget, nil)
	cfg.Discovery = mustAddr(newBackend(t).addr)
	var before net.Listener
	before, cfg.Listen = holdTCP(t)
	r, stop := startGateway(t, cfg)
	select {
	case err := <-r.done:
		t.Fatalf("the gateway ended with %v while the port was in use", err)
	// long enough for a gateway that does not wait to fail; one that waits passes however slow the machine is
	case <-time.After(3 * bindRetryDelay):
	}
	before.Close()
	r.waitReady(t)
	stop()
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}

// Guards against a start that waits for the peer port. The gateway serves while the port is in use, and opens the
// peer socket once the port is free.
func TestStartDoesNotWaitForPeerPort(t *testing.T) {
	cfg := testConfig(t, longTarget, nil)
	cfg.Discovery = mustAddr(newBackend(t).addr)
	cfg.Listen = freeAddr(t)
	before, at := holdUDP(t)
	peer, other := holdUDP(t)
	cfg.PeerListen, cfg.Peers = at, []netip.AddrPort{at, other}
	r, stop := startGateway(t, cfg)
	r.waitReady(t)
	before.Close()
	r.waitReady(t)
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		if errors.Is(err, syscall.EADDRINUSE) {
			break // the gateway holds the address
		}
		if err == nil {
			conn.Close()
		}
		if time.Now().After(deadline) {
			t.Fatalf("the gateway did not open the peer address: %v", err)
		}
	}
	if _, err := peer.WriteToUDPAddrPort([]byte("not a word"), at); err != nil {
		t.Error(err)
	}
	r.waitReady(t)
	stop()
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}

// Guards against an error from a gateway that is stopped while its ports are in use.
func TestStopWhilePortIsInUse(t *testing.T) {
	for _, name := range []string{"clients", "peers"} {
		cfg := testConfig(t, longTarget, nil)
		cfg.Discovery = mustAddr(newBackend(t).addr)
		cfg.Listen = freeAddr(t)
		if name == "clients" {
			_, cfg.Listen = holdTCP(t)
		} else {
			_, cfg.PeerListen = holdUDP(t)
			cfg.Peers = []netip.AddrPort{cfg.PeerListen, mustAddr("127.0.0.1:1")}
		}
		r, stop := startGateway(t, cfg)
		if name == "peers" {
			r.waitReady(t)
		}
		stop()
		if err := <-r.done; err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a loop that never receives the peer socket, whether its address was free at once or only later.
func TestLoopReceivesPeerSocket(t *testing.T) {
	for _, late := range []bool{false, true} {
		before, at := holdUDP(t)
		if !late {
			before.Close()
		}
		cfg := Config{PeerListen: at, Peers: []netip.AddrPort{at}}
		ctx, cancel := context.WithCancel(context.Background())
		posted := make(chan event, 1)
		var tasks sync.WaitGroup
		if err := startPeers(ctx, &tasks, cfg, func(e event) { posted <- e }, slog.New(slog.DiscardHandler)); err != nil {
			t.Fatal(err)
		}
		before.Close()
		l := newManualLoop(t, nil)
		(<-posted).apply(l)
		if socket, ok := l.peers.(*peerSocket); !ok || socket.conn.LocalAddr().String() != at.String() {
			t.Errorf("late %v: the loop did not receive the peer socket", late)
		}
		cancel()
		tasks.Wait() // the goroutine that reads from peers ends
	}
}

// Guards against retrying forever: an error that waiting can't fix is returned at once, and an address that stays in
// use ends in an error.
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
		if want := "could not open a socket within 1ms"; strings.Contains(err.Error(), want) != retryable(tc.err) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Guards against a gateway that is not ready because discovery is down, silent or overloaded, or because it has no
// list of servers. Discovery may be in any of these states when a whole fleet starts at once.
func TestReadyWithoutDiscovery(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(refusing.Close)
	for name, addr := range map[string]netip.AddrPort{"down": freeAddr(t), "silent": mustAddr(newBackend(t).addr),
		"refusing": mustAddr(strings.TrimPrefix(refusing.URL, "http://"))} {
		for known, list := range map[string]serverList{"none known": {}, "empty": {Version: 3, Full: true},
			"known": {Version: 3, Full: true, Servers: entries("up", newBackend(t))}} {
			t.Run(name+", "+known, func(t *testing.T) {
				cfg := testConfig(t, longTarget, nil)
				cfg.Known, cfg.Discovery, cfg.Listen = list, addr, freeAddr(t)
				cfg.discoveryFirstByteTimeout = time.Millisecond
				r, _ := startGateway(t, cfg)
				r.waitReady(t)
			})
		}
	}
}

// Guards against a start that fails on a transient shortage of resources, whichever of the documented errors reports
// it.
func TestTransientErrorDoesNotFailStart(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR} {
		tries := 0
		_, err := bind(context.Background(), time.Millisecond, testTimeout, func() (int, error) {
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
