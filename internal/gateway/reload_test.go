package gateway

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// wantCall waits for the next call to discovery and checks its query.
func (r *fakeDiscovery) wantCall(t *testing.T, query string) {
	t.Helper()
	if got := <-r.calls; !strings.HasPrefix(got, query) || (query == "" && got != "") {
		t.Fatalf("discovery was called with %q, want %q", got, query)
	}
}

// serveOne sends a request and checks that the given backend serves it.
func serveOne(t *testing.T, c *testClient, id string, b *backend) {
	t.Helper()
	c.sendLook(id)
	x := b.next(t)
	for x.args == nil { // an earlier connection was closed
		x = b.next(t)
	}
	x.answer(t, servedReply(id))
	c.expect("$" + id)
}

// A move of discovery must cancel the watch at the old address at once, accept the full list of the new address
// although its version is lower, and continue from that version. A second move right after the first must take effect
// as well.
func TestDiscoveryMoveTakesTheNewFullList(t *testing.T) {
	a, b := newBackend(t), newBackend(t)
	r := newHarness(t, longTarget, a)
	c := r.dial(t)
	serveOne(t, c, "id-1", a)
	r.discovery.wantCall(t, "after=1&wait_ms=0")
	r.discovery.wantCall(t, "after=1&wait_ms=4000") // this call waits for changes
	second, addr2 := newFakeDiscovery(t, serverList{Version: 9, Full: true, Servers: entries("draining", a)})
	third, addr3 := newFakeDiscovery(t, serverList{Version: 0, Full: true, Servers: entries("up", b)})
	r.discoveryAddrs <- addr2
	r.discoveryAddrs <- addr3 // the second address may or may not have been called
	third.wantCall(t, "")
	third.wantCall(t, "after=0&wait_ms=4000") // so the list was accepted
	serveOne(t, c, "id-2", b)
	third.set(serverList{Version: 1, Servers: entries("draining", b)})
	third.wantCall(t, "after=1&wait_ms=4000")
	r.discovery.set(serverList{Version: 2, Full: true, Servers: entries("up", b)}) // the old addresses are ignored
	second.set(serverList{Version: 10, Full: true, Servers: entries("up", b)})
	c.sendLook("id-3")
	if got := c.read(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q, want a refusal: the only server is draining", got)
	}
}

// While discovery is down at its new address, the last list must stay in use. Once discovery is up it must be asked for
// its full list, although the move came long before.
func TestDiscoveryMoveWhileDownKeepsTheLastList(t *testing.T) {
	a, b := newBackend(t), newBackend(t)
	r := newHarness(t, longTarget, a)
	c := r.dial(t)
	r.discovery.wantCall(t, "after=1")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	silent := make(chan net.Conn)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			silent <- conn
		}
	}()
	r.discoveryAddrs <- netip.MustParseAddrPort(ln.Addr().String())
	first := <-silent
	serveOne(t, c, "id-1", a)
	first.Close()
	second := <-silent // the gateway keeps retrying
	second.Close()
	up, addr := newFakeDiscovery(t, serverList{Version: 1, Full: true, Servers: entries("up", b)})
	r.discoveryAddrs <- addr
	up.wantCall(t, "")
	up.wantCall(t, "after=1")
	serveOne(t, c, "id-2", b)
}

// A reload must take the discovery address from the file and ignore GW_DISCOVERY. The environment of a running process
// can't change, so the variable would tie the gateway to its first address.
func TestReloadIgnoresDiscoveryFromTheEnvironment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "127.0.0.9:1"}
	write := func(text string) {
		text = strings.Replace(text, "SETTINGS", fmt.Sprintf(testSettings, 5), 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	getenv := func(name string) string { return env[name] }
	write(sampleConfig)
	if c, err := LoadConfig(getenv); err != nil || c.Discovery.String() != "127.0.0.9:1" {
		t.Errorf("at the start: %v, %v", c.Discovery, err)
	}
	if addr, err := LoadDiscovery(getenv); err != nil || addr.String() != "127.0.0.1:8500" {
		t.Errorf("at a reload: %v, %v", addr, err)
	}
	write(`{"name"`)
	if _, err := LoadDiscovery(getenv); err == nil {
		t.Error("a malformed file was accepted")
	}
}
