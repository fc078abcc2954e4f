package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A gateway must apply the changes that discovery has announced since the configured list was written before it sends
// on its first request. Otherwise a request that arrives before discovery's first answer goes to a server that is
// draining.
func TestStartWaitsForDiscovery(t *testing.T) {
	b := newBackend(t)
	cfg := testConfig(t, longTarget, entries("up", b))
	cfg.discoveryFirstByteTimeout = testTimeout
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	called, answer := make(chan struct{}, 1), make(chan struct{})
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("after") != "1" {
			<-req.Context().Done() // the watch call that follows
			return
		}
		called <- struct{}{}
		<-answer
		json.NewEncoder(w).Encode(serverList{Version: 2, Servers: entries("draining", b)})
	}))
	t.Cleanup(func() {
		web.CloseClientConnections()
		web.Close()
	})
	cfg.Discovery = mustAddr(strings.TrimPrefix(web.URL, "http://"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := conn.Write([]byte(rawRequest("id"))); err != nil { // queued before the gateway starts
		t.Fatal(err)
	}
	go serve(ctx, cfg, nil, ln, slog.New(slog.DiscardHandler))
	<-called
	select {
	case x := <-b.got:
		t.Errorf("the server got %q before discovery answered", x.args)
	// long enough to catch a gateway that does not wait; one that waits passes at any speed
	case <-time.After(20 * time.Millisecond):
	}
	close(answer)
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	reply := make([]byte, 64)
	n, err := conn.Read(reply)
	if got := string(reply[:n]); err != nil || !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q, %v, want a refusal", got, err)
	}
	if len(b.got) > 0 {
		t.Errorf("the draining server got %q", (<-b.got).args)
	}
}

// A discovery service that does not answer must not delay the start for long: the gateway serves with the list that it
// has.
func TestSilentDiscoveryDoesNotBlockTheStart(t *testing.T) {
	b, silent := newBackend(t), newBackend(t)
	cfg := testConfig(t, longTarget, entries("up", b))
	cfg.Discovery = mustAddr(silent.addr)
	cfg.discoveryFirstByteTimeout = time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go serve(ctx, cfg, nil, ln, slog.New(slog.DiscardHandler))
	c := (&harness{addr: ln.Addr().String()}).dial(t)
	c.sendLook("id")
	b.next(t).answer(t, servedReply("v"))
	c.expect("$v")
}

// After a watch call is reset, the next call must continue from the same version, so that no change is missed. The
// test's list is indented JSON, which must be accepted too.
func TestResetWatchMissesNoChange(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	queries := make(chan string, 3)
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			buf := make([]byte, 4096)
			k, err := conn.Read(buf)
			if err != nil {
				return
			}
			line, _, _ := strings.Cut(string(buf[:k]), "\r\n")
			queries <- line
			if n == 0 { // the first call checks whether discovery is up
				conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"version\":41,\"full\":false,\"servers\":[]}"))
				conn.Close()
				continue
			}
			if n == 1 { // a reset, not a regular close
				conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
				continue
			}
			list, err := json.MarshalIndent(serverList{Version: 42, Servers: []serverEntry{{ID: "s", State: "draining", Addr: "127.0.0.1:1"}}}, "\t", "  ")
			if err != nil {
				t.Error(err)
			}
			http := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
			conn.Write(append([]byte(http), append(list, '\n')...))
			conn.Close()
			return
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	posted := make(chan event, 1)
	w := newDiscoveryWatcher(mustAddr(ln.Addr().String()), func(e event) {
		select {
		case posted <- e:
		default:
		}
	}, slog.New(slog.DiscardHandler))
	w.hasList, w.version, w.usesAgent = true, 41, true
	w.pause = func(context.Context, time.Duration) {}
	go w.run(ctx)
	if n := (<-posted).(listReceived); n.list.Version != 42 || n.list.Servers[0].State != "draining" {
		t.Errorf("got %+v", n)
	}
	for n, want := range []string{"after=41&wait_ms=0", "after=41&wait_ms=4000", "after=41&wait_ms=0"} {
		if got := <-queries; !strings.Contains(got, want) {
			t.Errorf("call %d is %q, want %s", n+1, got, want)
		}
	}
}

// A gateway that is stopped before it is ready must return without an error.
func TestStopBeforeStartReturnsNoError(t *testing.T) {
	cfg := testConfig(t, longTarget, nil)
	cfg.Listen = mustAddr("127.0.0.1:0")
	cfg.Discovery = mustAddr(newBackend(t).addr)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := Run(ctx, cfg, nil, slog.New(slog.DiscardHandler)); err != nil {
		t.Error(err)
	}
}

// If discovery has begun to answer, the gateway must wait for the end of the answer before it accepts its first
// request. A long list on a busy machine may take longer than the wait for a discovery service that does not answer.
func TestStartWaitsForAnswerInProgress(t *testing.T) {
	b := newBackend(t)
	cfg := testConfig(t, longTarget, entries("up", b))
	cfg.discoveryFirstByteTimeout = 200 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("after") != "1" {
			<-req.Context().Done() // the watch call that follows
			return
		}
		fmt.Fprint(w, `{"version":2,"full":false,`)
		http.NewResponseController(w).Flush()
		time.Sleep(3 * cfg.discoveryFirstByteTimeout)
		rest, err := json.Marshal(entries("draining", b))
		if err != nil {
			t.Error(err)
		}
		fmt.Fprintf(w, `"servers":%s}`, rest)
	}))
	t.Cleanup(func() {
		web.CloseClientConnections()
		web.Close()
	})
	cfg.Discovery = mustAddr(strings.TrimPrefix(web.URL, "http://"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := conn.Write([]byte(rawRequest("id"))); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, cfg, nil, ln, slog.New(slog.DiscardHandler)) }()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	reply := make([]byte, 64)
	n, err := conn.Read(reply)
	if got := string(reply[:n]); !strings.HasPrefix(got, "-BUSY") || err != nil {
		t.Errorf("got %q, %v, want a refusal: the only server is draining", got, err)
	}
	if len(b.got) > 0 {
		t.Error("the draining server got a request")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A request that waits in the accept queue while a starting gateway waits for discovery must be sent on with no more
// time than its client has left. This happens because the load balancer in front may not have noticed yet that the
// previous process was killed, and goes on sending.
func TestRequestQueuedBeforeStartKeepsItsDeadline(t *testing.T) {
	const (
		answerDelay   = 600 * time.Millisecond // how long discovery's answer takes once it has begun
		clientTimeout = 2 * time.Second
	)
	b := newBackend(t)
	cfg := testConfig(t, clientTimeout+time.Second, entries("up", b))
	cfg.discoveryFirstByteTimeout = testTimeout
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	called := make(chan struct{}, 1)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case called <- struct{}{}:
		default:
			<-req.Context().Done() // the watch call that follows
			return
		}
		w.WriteHeader(http.StatusOK)
		http.NewResponseController(w).Flush()
		time.Sleep(answerDelay)
		json.NewEncoder(w).Encode(serverList{Version: 2, Full: true, Servers: entries("up", b)})
	}))
	t.Cleanup(func() {
		web.CloseClientConnections()
		web.Close()
	})
	cfg.Discovery = mustAddr(strings.TrimPrefix(web.URL, "http://"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, cfg, nil, ln, slog.New(slog.DiscardHandler)) }()
	for len(called) == 0 {
		time.Sleep(time.Millisecond)
	}
	c := (&harness{addr: ln.Addr().String()}).dial(t)
	sent := time.Now()
	c.send("Q.ASK", customer, "id", fmt.Sprintf("c=look,t=p,d=%d,units=1,spread=2,first=0", clientTimeout.Milliseconds()))
	x := b.next(t)
	left := clientTimeout - time.Since(sent)
	_, after, _ := strings.Cut(x.args[listArg], "d=")
	stated, _, _ := strings.Cut(after, ",")
	ms, err := strconv.Atoi(stated)
	if err != nil {
		t.Fatal(err)
	}
	const slack = 150 * time.Millisecond // "at most what is left to the client, with 0.15 s of slack"
	if got := time.Duration(ms) * time.Millisecond; got > left+slack {
		t.Errorf("the request to the server states %v, but the client has %v left", got, left)
	}
	x.answer(t, servedReply("v"))
	c.expect("$v")
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
