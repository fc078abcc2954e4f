package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"winghatch/internal/settings"
)

const (
	testTimeout  = 20 * time.Second // upper bound for expected events; no passing test waits this long
	testSettings = `{"Classes":[
 {"Name":"look","Effect":"safe","AimNs":%[1]d,"GiveUpNs":30000000000,"Importance":1},
 {"Name":"book","Effect":"keyed","Group":"cell","WindowNs":30000000000,"AimNs":%[1]d,"GiveUpNs":30000000000,"Importance":3}],
"Extra":{"PeerIntake":40,"UnitsTop":8},"Instances":2,"Rank":0,"Zone":"a",
"Limits":{"SendCap":5,"MayCancel":true,"ParallelTries":true,"Peers":true,"RetryAfter":true,"MaxRetryAfterNs":1000000000,
 "ConnectTimeoutNs":2000000000,"ConnIdleNs":60000000000,"OpenCap":1000},
"Safety":{"ColdNs":5000000000,"FallNs":1000000000,"FallMultiple":4,"ColdFrom":0.2},
"TiersOfService":[{"Name":"p","Refill":1000,"MostAtOnce":3000,"Pays":1}]}`
)

// backend is a card server controlled by a test. It passes each received command, with its connection, to the test.
type backend struct {
	addr string
	got  chan exchange
}

// exchange is a command that a backend received, with its connection. args is nil when the connection has ended.
type exchange struct {
	conn net.Conn
	args []string
}

func newBackend(t *testing.T) *backend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{addr: ln.Addr().String(), got: make(chan exchange, 64)}
	var readers sync.WaitGroup
	t.Cleanup(func() {
		ln.Close()
		go func() { // discards the remaining exchanges until the last connection has ended
			for range b.got {
			}
		}()
		go func() {
			readers.Wait()
			close(b.got)
		}()
	})
	readers.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			readers.Go(func() {
				rd := redcon.NewReader(conn)
				for {
					cmd, err := rd.ReadCommand()
					if err != nil {
						b.got <- exchange{conn, nil} // the connection ended
						return
					}
					var args []string
					for _, a := range cmd.Args {
						args = append(args, string(a))
					}
					b.got <- exchange{conn, args}
				}
			})
		}
	})
	return b
}

// next returns the next exchange. It fails the test if none comes within testTimeout.
func (b *backend) next(t *testing.T) exchange {
	t.Helper()
	select {
	case x := <-b.got:
		return x
	case <-time.After(testTimeout):
		t.Fatal("no command reached the server")
		panic("unreachable")
	}
}

// answer writes a reply to the connection of an exchange.
func (x exchange) answer(t *testing.T, reply string) {
	t.Helper()
	if _, err := io.WriteString(x.conn, reply); err != nil {
		t.Error(err)
	}
}

// fakeDiscovery is a discovery service controlled by a test.
type fakeDiscovery struct {
	mu      sync.Mutex
	list    serverList
	changed chan struct{}
	calls   chan string   // query strings of the calls; when the channel is full, further ones are dropped
	delay   time.Duration // before each answer; set before the gateway starts
}

// newFakeDiscovery starts a discovery service with a list and returns its address.
func newFakeDiscovery(t *testing.T, list serverList) (*fakeDiscovery, netip.AddrPort) {
	t.Helper()
	d := &fakeDiscovery{list: list, changed: make(chan struct{}), calls: make(chan string, 64)}
	web := httptest.NewServer(d)
	t.Cleanup(func() {
		web.CloseClientConnections()
		web.Close()
	})
	return d, netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
}

// set replaces the list and wakes the calls that wait for a change.
func (d *fakeDiscovery) set(list serverList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	select {
	case d.calls <- req.URL.RawQuery:
	default:
	}
	after, err := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	for {
		d.mu.Lock()
		list, changed := d.list, d.changed
		d.mu.Unlock()
		if err != nil || list.Version > after {
			time.Sleep(d.delay)
			json.NewEncoder(w).Encode(list)
			return
		}
		if req.URL.Query().Get("wait_ms") == "0" {
			time.Sleep(d.delay)
			json.NewEncoder(w).Encode(serverList{Version: list.Version})
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		}
	}
}

// entries lists backends as servers s-0, s-1 and so on, each in a cell of its own.
func entries(state string, backends ...*backend) []serverEntry {
	var all []serverEntry
	for i, b := range backends {
		all = append(all, serverEntry{ID: fmt.Sprintf("s-%d", i), Addr: b.addr, Zone: "a", Cell: i, State: state, Weight: 1})
	}
	return all
}

// testConfig returns a configuration with testSettings, a target latency for all classes and a list of servers.
func testConfig(t *testing.T, target time.Duration, servers []serverEntry) Config {
	t.Helper()
	set, err := settings.Parse(json.RawMessage(fmt.Sprintf(testSettings, target.Nanoseconds())))
	if err != nil {
		t.Fatal(err)
	}
	return Config{Name: "n0", Cores: 1, MemoryMB: 64, Sockets: 256, Settings: set, Seed: 1,
		Known: serverList{Version: 1, Full: true, Servers: servers}}
}

// harness is a running gateway with its discovery service.
type harness struct {
	addr           string
	discovery      *fakeDiscovery
	discoveryAddrs chan netip.AddrPort
	stop           context.CancelFunc
	done           chan error
}

// newHarness starts a gateway that uses the given servers and listens on a free port.
func newHarness(t *testing.T, target time.Duration, backends ...*backend) *harness {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newHarnessOn(t, ln, target, backends...)
}

// newHarnessOn starts a gateway that accepts clients on a listener provided by the test.
func newHarnessOn(t *testing.T, ln net.Listener, target time.Duration, backends ...*backend) *harness {
	t.Helper()
	cfg := testConfig(t, target, entries("up", backends...))
	h := &harness{addr: ln.Addr().String(), discoveryAddrs: make(chan netip.AddrPort), done: make(chan error, 1)}
	h.discovery, cfg.Discovery = newFakeDiscovery(t, cfg.Known)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	stoppingGateways.Go(func() { h.done <- serve(ctx, cfg, h.discoveryAddrs, ln, slog.New(slog.DiscardHandler)) })
	t.Cleanup(cancel)
	return h
}

// testClient is a client's connection to the gateway.
type testClient struct {
	t    *testing.T
	conn net.Conn
	rd   *bufio.Reader
}

func (h *harness) dial(t *testing.T) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", h.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &testClient{t, conn, bufio.NewReader(conn)}
}

// send writes a command.
func (c *testClient) send(args ...string) {
	c.t.Helper()
	b := redcon.AppendArray(nil, len(args))
	for _, arg := range args {
		b = redcon.AppendBulkString(b, arg)
	}
	c.sendRaw(string(b))
}

func (c *testClient) sendRaw(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, s); err != nil {
		c.t.Fatal(err)
	}
}

// read returns one complete answer: a line, or '$' and the value of a bulk string. If reading fails it returns the
// error text.
func (c *testClient) read() string {
	c.t.Helper()
	line, err := c.rd.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	line = strings.TrimSuffix(line, "\r\n")
	if line[0] != '$' {
		return line
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil {
		c.t.Fatal(err)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(c.rd, b); err != nil {
		return err.Error()
	}
	return "$" + string(b[:n])
}

// expect reads an answer and fails the test if it is not the given one.
func (c *testClient) expect(answer string) {
	c.t.Helper()
	if got := c.read(); got != answer {
		c.t.Fatalf("got answer %q, want %q", got, answer)
	}
}

const customer = "00000000b4d65521"

// sendLook sends a safe request.
func (c *testClient) sendLook(id string) {
	c.send("Q.ASK", customer, id, "c=look,t=p,d=30000,units=1,spread=2,first=0")
}

// sendBook sends a keyed request.
func (c *testClient) sendBook(id string) {
	c.send("Q.DO", customer, id, "c=book,t=p,d=30000,k=77,units=1,spread=2,first=0", "BODY")
}

// servedReply is a server's reply with a value, without usage figures and load report.
func servedReply(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// joinClient adds a new connection to the loop in the same way as the listener does.
func joinClient(l *loop, c *client) {
	l.acceptingRequests = true
	l.acceptSlots <- struct{}{}
	clientConnected{c}.apply(l)
}

func mustAddr(addr string) netip.AddrPort { return netip.MustParseAddrPort(addr) }

// nextAnswer splits the first complete answer from b: its line, or '$' and the value of a bulk string.
func nextAnswer(b []byte) (text string, rest []byte, ok bool) {
	line, rest, ok := bytes.Cut(b, []byte("\r\n"))
	if !ok || line[0] != '$' {
		return string(line), rest, ok
	}
	n, err := strconv.Atoi(string(line[1:]))
	if err != nil || len(rest) < n+2 {
		return "", nil, false
	}
	return "$" + string(rest[:n]), rest[n+2:], true
}

// countAnswers counts the complete answers in b.
func countAnswers(b []byte) (n int) {
	for {
		_, rest, ok := nextAnswer(b)
		if !ok {
			return n
		}
		n, b = n+1, rest
	}
}
