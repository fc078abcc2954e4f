package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/watch"
)

// A watch call without an answer must time out, and the next calls must continue from the last known version. Without
// the timeout a gateway would wait forever for a discovery service that went down during the call. The calls after a
// failure must not wait for changes: otherwise the gateway would learn that discovery is back only at the end of such a
// wait.
func TestWatchRecoversFromSilentDiscovery(t *testing.T) {
	calls := make(chan string, 16)
	var n atomic.Int32 // calls made one after another; those that timed out stay open beside the next ones
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		calls <- req.URL.RawQuery
		switch n.Add(1) {
		case 1:
			fmt.Fprint(w, `{"version":41,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"up","cell":3,"started_ms":7}]}`)
		case 2, 5:
			<-req.Context().Done()
		case 3:
			w.WriteHeader(http.StatusInternalServerError)
		case 4:
			fmt.Fprint(w, `{"version":43,"full":false,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"odd"}]}`)
		default:
			fmt.Fprint(w, `{"version":42,"full":false,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"draining"}]}`)
		}
	}))
	defer web.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lists := make(chan listReceived, 16)
	w := newDiscoveryWatcher(netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://")), func(e event) {
		select {
		case lists <- e.(listReceived):
		default: // the last case keeps answering
		}
	}, slog.New(slog.DiscardHandler))
	w.watchWait, w.watchGrace, w.checkTimeout = 10*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond
	go w.run(ctx)
	for _, want := range []string{"", "after=41&wait_ms=10", "after=41&wait_ms=0", "after=41&wait_ms=0", "after=41&wait_ms=0",
		"after=41&wait_ms=0", "after=42&wait_ms=10"} {
		if got := <-calls; got != want {
			t.Errorf("call %q, want %q", got, want)
		}
	}
	first, second := <-lists, <-lists
	if s := first.list.Servers[0].decideServer(); first.kind != decide.FleetFull || s.State != decide.Serving || s.Started != 7*time.Millisecond || s.Cell != 3 {
		t.Errorf("first list %+v", first)
	}
	if s := second.list.Servers[0].decideServer(); second.kind != decide.FleetDelta || s.State != decide.Draining {
		t.Errorf("second list %+v", second)
	}
}

// Peer messages from unknown addresses and messages of more than 256 bytes must be dropped, whatever anyone sends to
// the port. Oversized messages and unknown ranks must be rejected when sending as well.
func TestUnknownSendersAndOversizedPeerMessagesAreDropped(t *testing.T) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	stranger, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	known, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		t.Fatal(err)
	}
	defer known.Close()
	addr := func(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }
	p, err := openPeerSocket(local, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), addr(known)})
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan event, 4)
	go p.read(func(e event) { got <- e }, slog.New(slog.DiscardHandler))
	defer p.conn.Close()
	for _, m := range []struct {
		from *net.UDPConn
		text string
	}{{stranger, "hi"}, {known, strings.Repeat("x", maxDatagramBytes+1)}, {known, strings.Repeat("y", maxDatagramBytes)}} {
		if _, err := m.from.WriteToUDPAddrPort([]byte(m.text), addr(p.conn)); err != nil {
			t.Fatal(err)
		}
	}
	if d := (<-got).(peerDatagram); d.from != 1 || d.text != strings.Repeat("y", maxDatagramBytes) {
		t.Errorf("got %d bytes from %d", len(d.text), d.from)
	}
	if err := p.send(1, "hello"); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 16)
	if n, from, err := known.ReadFromUDPAddrPort(buf); err != nil || string(buf[:n]) != "hello" || from != addr(p.conn) {
		t.Errorf("the peer got %q from %v, %v", buf[:n], from, err)
	}
	for _, to := range []int{-1, 2} {
		if p.send(to, "x") == nil {
			t.Errorf("a message to gateway %d was sent", to)
		}
	}
	if p.send(1, strings.Repeat("x", maxDatagramBytes+1)) == nil {
		t.Error("an oversized message was sent")
	}
}

// Peer messages beyond peerRateFactor times the configured rate must be dropped, because each may take memory for
// seconds.
func TestPeerMessagesOverTheRateLimitAreDropped(t *testing.T) {
	peer, from := holdUDP(t)
	p, err := openPeerSocket(mustAddr("127.0.0.1:0"), []netip.AddrPort{from})
	if err != nil {
		t.Fatal(err)
	}
	p.maxPerWindow = 3
	got, ended := make(chan event, 16), make(chan bool)
	go func() {
		p.read(func(e event) { got <- e }, slog.New(slog.DiscardHandler))
		close(ended)
	}()
	addr := p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	for i := 0; len(got) < p.maxPerWindow; i++ { // datagrams may be lost even on loopback
		if _, err := peer.WriteToUDPAddrPort([]byte{byte(i)}, addr); err != nil {
			t.Fatal(err)
		}
	}
	for range 10 {
		if _, err := peer.WriteToUDPAddrPort([]byte("more"), addr); err != nil {
			t.Fatal(err)
		}
	}
	p.conn.Close()
	<-ended
	for range p.maxPerWindow {
		<-got
	}
	if len(got) > 2*p.maxPerWindow { // a new window may have begun once or, on a busy machine, twice
		t.Errorf("%d more messages were accepted", len(got))
	}
}

// A malformed peer message must not make the decision engine panic.
func TestMalformedPeerMessagesDoNotPanic(t *testing.T) {
	l := newManualLoop(t, unreachableServers(t))
	before := l.engine
	for _, s := range []string{"", "c", "c0000", "czzzz!", "c0000ABC", "c0000" + strings.Repeat("_", 12), strings.Repeat("\xff", 256)} {
		peerDatagram{1, s}.apply(l)
		l.processPending()
	}
	if l.engine != before {
		t.Error("the decision engine panicked")
	}
}

const sampleConfig = `{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:7946",
"peers":["127.0.0.1:7946","127.0.0.2:7946"],"known":{"version":41,"full":true,"servers":[
{"id":"s-5","addr":"127.0.0.1:5","zone":"a","kind":"m2","cell":3,"state":"up","weight":1.0,"started_ms":0}]},"settings":SETTINGS}`

func TestLoadConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	load := func(text string) (Config, error) {
		text = strings.Replace(text, "SETTINGS", fmt.Sprintf(testSettings, 5), 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		env := map[string]string{"GW_CONFIG": path, "GW_LISTEN": "127.0.0.9:1"}
		return LoadConfig(func(name string) string { return env[name] })
	}
	c, err := load(sampleConfig)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen.String() != "127.0.0.9:1" || c.Discovery.Port() != 8500 || len(c.Peers) != 2 ||
		uint64(c.Seed) != 0x8c1f30d27a5be964 || c.Known.Servers[0].ID != "s-5" || len(c.Settings.Decide.Classes) != 2 {
		t.Errorf("got %+v", c)
	}
	for edit, want := range map[string]string{
		`{"name"|{name`:                                    "invalid character",
		`"8c1f30d27a5be964"|"x"`:                           "seed",
		`"discovery":"127.0.0.1:8500"|"x":1`:               "discovery",
		`"sockets":1024|"sockets":10`:                      "sockets",
		`"memory_mb":192|"memory_mb":"x"`:                  "memory_mb",
		`"state":"up"|"state":"odd"`:                       "odd",
		`"addr":"127.0.0.1:5"|"addr":"nowhere"`:            "s-5",
		`"127.0.0.2:7946"]|"127.0.0.2:7946","x"]`:          "peers[2]",
		`,"127.0.0.2:7946"]|]`:                             "peers",
		`"peer_listen":"127.0.0.1:7946"|"peer_listen":"x"`: "peer_listen",
		`"settings":SETTINGS|"x":1`:                        "settings",
		`SETTINGS|{"Classes":3}`:                           "Classes",
		`SETTINGS|{}`:                                      "Gateways is 0",
	} {
		from, to, _ := strings.Cut(edit, "|")
		if _, err := load(strings.Replace(sampleConfig, from, to, 1)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %q", to, err, want)
		}
	}
	for _, env := range []string{"", filepath.Join(t.TempDir(), "none")} {
		if _, err := LoadConfig(func(string) string { return env }); err == nil {
			t.Errorf("GW_CONFIG %q was accepted", env)
		}
	}
}

// An overloaded discovery service must be called with exponential backoff and with jitter, which differs from gateway
// to gateway. The calls are watch calls that continue from the list the gateway was started with. If every gateway of a
// fleet retried at once, discovery would never recover.
func TestBusyDiscoveryIsRetriedWithBackoff(t *testing.T) {
	const refusals = 8
	calls := make(chan string, refusals+1)
	n := 0
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		calls <- req.URL.RawQuery
		if n++; n <= refusals { // calls come one after the other
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		<-req.Context().Done()
	}))
	defer web.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := newDiscoveryWatcher(netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://")), func(event) {}, slog.New(slog.DiscardHandler))
	w.hasList, w.version = true, 41
	pauses := make(chan time.Duration, refusals)
	w.pause = func(_ context.Context, d time.Duration) { pauses <- d }
	go w.run(ctx)
	const want = "after=41&wait_ms=4000"
	for range refusals + 1 {
		if got := <-calls; got != want {
			t.Errorf("call %q, want %q", got, want)
		}
	}
	seen := map[time.Duration]bool{}
	for i := range refusals {
		d, maxPause := <-pauses, min(watch.FirstRefusalPause<<i, watch.MaxRefusalPause)
		if seen[d] = true; d < maxPause/2 || d > maxPause {
			t.Errorf("pause %d is %v, want %v to %v", i, d, maxPause/2, maxPause)
		}
	}
	if len(seen) == 1 {
		t.Error("all pauses are equal")
	}
}

// A gateway without a list must give each call for the full list more time than the previous one. Discovery's work on a
// call that timed out is wasted, and the next call would wait in the same queue.
func TestFullListTimeoutGrowsWithEachCall(t *testing.T) {
	const queueDelay = 50 * time.Millisecond // how long calls are queued at discovery
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case <-time.After(queueDelay):
			fmt.Fprint(w, `{"version":41,"full":true,"servers":[]}`)
		case <-req.Context().Done():
		}
	}))
	defer web.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	posted := make(chan event, 1)
	w := newDiscoveryWatcher(netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://")), func(e event) { posted <- e }, slog.New(slog.DiscardHandler))
	w.checkTimeout, w.pause = queueDelay/16, func(context.Context, time.Duration) {}
	go w.run(ctx)
	if n := (<-posted).(listReceived); n.kind != decide.FleetFull {
		t.Errorf("got %+v, want the full list", n)
	}
}

// If discovery's version is lower than that of the list the gateway was started with, discovery has restarted, and the
// gateway must request the full list. A watch from a version that discovery may never reach would return nothing.
func TestRestartedDiscoveryIsAskedForTheFullList(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.RawQuery {
		case "":
			fmt.Fprint(w, `{"version":9,"full":true,"servers":[]}`)
		case "after=41&wait_ms=4000":
			fmt.Fprint(w, `{"version":9,"full":false,"servers":[]}`)
		default:
			<-req.Context().Done()
		}
	}))
	defer web.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	posted := make(chan event, 1)
	w := newDiscoveryWatcher(netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://")), func(e event) { posted <- e }, slog.New(slog.DiscardHandler))
	w.hasList, w.version = true, 41
	go w.run(ctx)
	if n := (<-posted).(listReceived); n.kind != decide.FleetFull || n.list.Version != 9 {
		t.Errorf("got %+v, want the full list of version 9", n)
	}
}

// A peer message must be sent whatever the address families of the socket and of the peer are.
func TestPeerMessagesWorkAcrossAddressFamilies(t *testing.T) {
	for _, listen := range []string{"127.0.0.1:0", "[::]:0"} {
		peer, addr := holdUDP(t)
		p, err := openPeerSocket(mustAddr(listen), []netip.AddrPort{addr})
		if err != nil {
			t.Fatal(err)
		}
		defer p.conn.Close()
		if err := p.send(0, "word"); err != nil {
			t.Errorf("from %s: %v", listen, err)
		}
		if err := peer.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 16)
		if n, _, err := peer.ReadFromUDPAddrPort(buf); string(buf[:n]) != "word" || err != nil {
			t.Errorf("from %s: got %q, %v", listen, buf[:n], err)
		}
	}
}
