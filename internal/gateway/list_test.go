package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"
)

// watcherOfRawServer returns a watcher of a discovery service that answers each call with these bytes and then closes
// the connection, with a reset if reset is set.
func watcherOfRawServer(t *testing.T, answer string, reset bool) *discoveryWatcher {
	t.Helper()
	ln, addr := holdTCP(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := conn.Read(make([]byte, 4096)); err != nil {
				conn.Close()
				continue
			}
			io.WriteString(conn, answer)
			if reset {
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		}
	}()
	return newDiscoveryWatcher(addr, func(event) {}, slog.New(slog.DiscardHandler))
}

// An answer that is cut off, by a close or a reset, must be rejected as a list, whichever way its length is given. So
// must one with more data after the list. A body without a length that ends right after the list can't be distinguished
// from one that was cut off there. It need not be: a JSON object ends with its closing brace, so the list is complete.
func TestTruncatedOrMalformedListIsRejected(t *testing.T) {
	const (
		list       = `{"version":42,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"up"}]}`
		head       = "HTTP/1.1 200 OK\r\n"
		chunked    = head + "Transfer-Encoding: chunked\r\n\r\n"
		withLength = head + "Content-Length: %d\r\n\r\n%s"
		untilClose = "HTTP/1.0 200 OK\r\n\r\n"
		closing    = head + "Connection: close\r\n\r\n"
	)
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	for name, tc := range map[string]struct {
		answer string
		reset  bool
		ok     bool
	}{
		"length":                           {fmt.Sprintf(withLength, len(list), list), false, true},
		"length, cut off":                  {fmt.Sprintf(withLength, len(list), list[:40]), false, false},
		"length, cut off at the end":       {fmt.Sprintf(withLength, len(list)+1, list), false, false},
		"chunked":                          {chunked + chunk(list[:40]) + chunk(list[40:]) + "0\r\n\r\n", false, true},
		"chunked, cut off in a chunk":      {chunked + chunk(list)[:40], false, false},
		"chunked, cut off after a chunk":   {chunked + chunk(list[:40]), false, false},
		"chunked, no last chunk":           {chunked + chunk(list), false, false},
		"chunked, reset":                   {chunked + chunk(list), true, false},
		"until close":                      {untilClose + list, false, true},
		"until close, more white space":    {untilClose + "\n\t" + list + " \r\n\n", false, true},
		"until close, cut off":             {untilClose + list[:len(list)-1], false, false},
		"until close, cut off in a string": {untilClose + list[:40], false, false},
		"until close, empty":               {untilClose, false, false},
		"until close, reset":               {untilClose + list[:len(list)-1], true, false},
		"Connection: close":                {closing + list, false, true},
		"Connection: close, cut off":       {closing + list[:40], false, false},
		"Connection: close, reset":         {closing + list[:40], true, false},
		"data after the list":              {untilClose + list + "x", false, false},
		"another list after it":            {untilClose + list + list, false, false},
		"a brace after it":                 {untilClose + list + "}", false, false},
		"an array":                         {untilClose + "[" + list + "]", false, false},
		"a server without an id":           {untilClose + strings.Replace(list, `"id":"s",`, "", 1), false, false},
		"a server without a state":         {untilClose + strings.Replace(list, `,"state":"up"`, "", 1), false, false},
		"a server without an address":      {untilClose + strings.Replace(list, `"addr":"127.0.0.1:1",`, "", 1), false, false},
		"a null server":                    {untilClose + `{"version":42,"servers":[null]}`, false, false},
		"a number in place of a server":    {untilClose + `{"version":42,"servers":[7]}`, false, false},
		"headers that do not end":          {head + "X: " + strings.Repeat("x", 2*maxResponseHeaderBytes), false, false},
		"an unknown status":                {"HTTP/1.1 299 Odd\r\n\r\n" + list, false, false},
	} {
		w := watcherOfRawServer(t, tc.answer, tc.reset)
		got, err := w.fetch(context.Background(), w.url, testTimeout, nil)
		if (err == nil) != tc.ok {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
		if tc.ok && (got.Version != 42 || len(got.Servers) != 1 || got.Servers[0].ID != "s") {
			t.Errorf("%s: got %+v", name, got)
		}
	}
}

// A redirect must fail the call and must not be followed: it could lead to any address.
func TestRedirectIsNotFollowed(t *testing.T) {
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		t.Error("the redirect was followed")
	}))
	defer other.Close()
	web := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusFound))
	defer web.Close()
	w := newDiscoveryWatcher(mustAddr(strings.TrimPrefix(web.URL, "http://")), nil, slog.New(slog.DiscardHandler))
	if _, err := w.fetch(context.Background(), w.url, time.Minute, nil); err == nil || !strings.Contains(err.Error(), "302") {
		t.Errorf("got %v", err)
	}
}

// A list that is too long must be rejected. The size and the limit are logged once each time that this begins, not
// again with each call that fails in the same way.
func TestOversizedListIsRejectedAndLoggedOnce(t *testing.T) {
	padding := strings.Repeat(" ", maxServerListBytes)
	const list = `{"version":42,"servers":[]}`
	for name, tc := range map[string]struct{ answer, size string }{
		"length":      {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 3*maxServerListBytes), "25165824 bytes"},
		"until close": {"HTTP/1.0 200 OK\r\n\r\n" + list + padding, "8388608 bytes and more"},
	} {
		w := watcherOfRawServer(t, tc.answer, false)
		var log bytes.Buffer
		w.log = slog.New(slog.NewTextHandler(&log, nil))
		calls := 0
		ctx, cancel := context.WithCancel(context.Background())
		w.pause = func(context.Context, time.Duration) {
			if calls++; calls == 3 {
				cancel()
			}
		}
		w.run(ctx)
		if s := log.String(); strings.Count(s, "level=ERROR") != 1 || !strings.Contains(s, tc.size) || !strings.Contains(s, "at most 8388608") {
			t.Errorf("%s: logged %s", name, s)
		}
	}
	w := watcherOfRawServer(t, "HTTP/1.0 200 OK\r\n\r\n"+list+padding[len(list):], false)
	if _, err := w.fetch(context.Background(), w.url, testTimeout, nil); err != nil {
		t.Errorf("a list of exactly the maximum size: %v", err)
	}
}

// A list of many tiny invalid entries is small on the wire and large in memory. It must not allocate more than other
// lists: the first invalid entry aborts the decoding.
func TestInvalidListEntriesDoNotExhaustMemory(t *testing.T) {
	const maxAllocated = 64 << 20 // bytes allocated; a gateway may be limited to 192 MB
	for _, entry := range []string{"null", "{}", "0", `{"id":"s"}`} {
		entries := strings.Repeat(entry+",", (maxServerListBytes-100)/(len(entry)+1))
		body := strings.NewReader(`{"version":42,"servers":[` + entries + entry + "]}")
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := readList(body, -1)
		runtime.ReadMemStats(&after)
		if err == nil || errors.Is(err, errListTooLong) {
			t.Errorf("%s: got %v, want the entry rejected", entry, err)
		}
		if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocated {
			t.Errorf("%s: %d MB were allocated, want at most %d", entry, got>>20, maxAllocated>>20)
		}
	}
}

// A body that trickles in, or stops, must not hold a call beyond its timeout.
func TestSlowListBodyTimesOut(t *testing.T) {
	ln, addr := holdTCP(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				if _, err := conn.Read(make([]byte, 4096)); err != nil {
					return
				}
				io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\n{")
				for err := error(nil); err == nil; time.Sleep(time.Millisecond) {
					_, err = io.WriteString(conn, " ")
				}
			}()
		}
	}()
	w := newDiscoveryWatcher(addr, func(event) {}, slog.New(slog.DiscardHandler))
	if _, err := w.fetch(context.Background(), w.url, 20*time.Millisecond, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the call timed out", err)
	}
}

// An agent's answer that has begun must be read to its end, beyond the timeout of a call that checks whether discovery
// is up. A long list on a busy machine takes longer than that, and would never be read if each call were abandoned
// halfway.
func TestAgentAnswerInProgressIsReadToTheEnd(t *testing.T) {
	const checkTimeout = 250 * time.Millisecond
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		fmt.Fprint(w, `{"version":2,"full":true,`)
		http.NewResponseController(w).Flush()
		select {
		case <-time.After(4 * checkTimeout):
			fmt.Fprint(w, `"servers":[]}`)
		case <-req.Context().Done():
		}
	}))
	t.Cleanup(web.Close)
	w := newDiscoveryWatcher(mustAddr(strings.TrimPrefix(web.URL, "http://")), func(event) {}, slog.New(slog.DiscardHandler))
	defer w.client.CloseIdleConnections()
	w.usesAgent = true
	list, err := w.fetch(context.Background(), w.url, checkTimeout, nil)
	if err != nil || list.Version != 2 || !list.Full {
		t.Errorf("got %+v, %v", list, err)
	}
}
