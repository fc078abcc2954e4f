package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"winghatch/decide"
)

// Limits that keep each execution short.
const (
	maxStreamBytes = 4 * maxCommandBytes // bytes received on a connection
	maxCuts        = 16                  // number of cuts, each of which ends a read
	maxFileBytes   = 16 << 10            // bytes of a server list or a configuration file
	maxAllocBytes  = 16 << 20            // bytes allocated by a starting gateway, plus 64 for each byte of its file
)

// expandRuns lets short inputs encode long runs: the byte 0xfe followed by n stands for 256*n bytes.
func expandRuns(in []byte) []byte {
	var out []byte
	for i := 0; i < len(in) && len(out) < maxStreamBytes; i++ {
		if in[i] == 0xfe && i+1 < len(in) {
			i++
			out = append(out, bytes.Repeat([]byte("x"), int(in[i])<<8)...)
		} else {
			out = append(out, in[i])
		}
	}
	return out[:min(len(out), maxStreamBytes)]
}

// splitAt cuts the bytes received on a connection into reads. The lengths of the reads are derived from the bytes of
// cuts.
func splitAt(b, cuts []byte) (out [][]byte) {
	for _, c := range cuts[:min(len(cuts), maxCuts)] {
		n := int(c)
		if c >= 128 {
			n = int(c-127) << 10
		}
		n = min(n, len(b))
		out, b = append(out, b[:n]), b[n:]
	}
	return append(out, b)
}

// readCommands reads input in pieces, as the reader of a connection does. It returns, for each command, either its
// encoding for the server or the answer that the gateway gives by itself.
func readCommands(t *testing.T, cfg *Config, in [][]byte) (results []string, rest int, err error) {
	var buf []byte
	var args [][]byte
	for _, piece := range in {
		buf = append(buf, piece...)
		for len(buf) > 0 {
			var used int
			used, args, err = parseCommand(buf, args)
			if used < 0 || used > len(buf) || used > maxCommandBytes+2*maxHeaderBytes || (err != nil && used != 0) {
				t.Fatalf("used %d of %d bytes, %v", used, len(buf), err)
			}
			if err != nil {
				return results, len(buf), err
			}
			if used == 0 {
				break
			}
			if len(args) > maxArgs || cap(args) > 2*maxArgs {
				t.Fatalf("%d arguments with a capacity of %d", len(args), cap(args))
			}
			sent := cloneArgs(args)
			got := interpret(cfg, &newMemoryBudgets(maxMemoryMB).commands, args, time.Hour, "")
			clear(buf[:used]) // as the reader reuses its buffer
			if got.cmd != nil {
				results = append(results, string(checkCommand(t, cfg, got.cmd, sent)))
			} else {
				checkReply(t, got.reply)
				results = append(results, string(got.reply))
			}
			buf = bytes.Clone(buf[used:])
		}
		if len(buf) > maxCommandBytes+2*maxHeaderBytes {
			t.Fatalf("%d bytes buffered for one command", len(buf))
		}
	}
	return results, len(buf), nil
}

// checkCommand checks that an accepted command is forwarded with the same arguments as the client sent, except for d.
func checkCommand(t *testing.T, cfg *Config, c *command, sent [][]byte) []byte {
	name := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' {
			return r - 'a' + 'A'
		}
		return r
	}, string(sent[0]))
	if name != "Q.ASK" && name != "Q.DO" {
		t.Fatalf("%q was accepted as a request", sent[0])
	}
	if c.timeout <= 0 || c.timeout >= c.maxTimeout+time.Millisecond || c.request.Units < 1 ||
		c.request.Units > cfg.Settings.Decide.MaxUnits ||
		c.request.Spread < 0 || c.request.Spread > cfg.Settings.Decide.Gateways || c.request.First < 0 ||
		c.request.First >= cfg.Settings.Decide.Gateways || cfg.class(c.request.Class) == nil || !cfg.hasPlan(c.request.Plan) {
		t.Fatalf("%q was accepted as %+v with a wait of %v", sent, c.request, c.timeout)
	}
	if n, err := strconv.ParseUint(c.request.Customer, 16, 64); err != nil || n > maxCustomer ||
		len(c.request.Customer) != 16 {
		t.Fatalf("%q was accepted as a customer", c.request.Customer)
	}
	for _, left := range []time.Duration{c.timeout, c.timeout / 2, 0} {
		b := c.encode(left)
		if len(b) > c.size()+encodeOverhead || cap(b) > 2*(c.size()+encodeOverhead) {
			t.Fatalf("%q: encoded in %d bytes with a capacity of %d", sent, len(b), cap(b))
		}
		used, args, err := parseCommand(b, nil)
		if used != len(b) || err != nil || len(args) != len(sent) {
			t.Fatalf("%q: forwarded as %q, %v", sent, b, err)
		}
		for i := range args {
			if i != listArg && !bytes.Equal(args[i], sent[i]) {
				t.Fatalf("%q: argument %d forwarded as %q", sent, i, args[i])
			}
		}
		sentFields, forwardedFields := strings.Split(string(sent[listArg]), ","), strings.Split(string(args[listArg]), ",")
		for i, field := range sentFields {
			if strings.HasPrefix(field, "d=") {
				sentFields[i] = "d=" + strconv.FormatInt(int64(max(left/time.Millisecond, 1)), 10)
			}
		}
		if !slices.Equal(sentFields, forwardedFields) {
			t.Fatalf("%q: list forwarded as %q", sent, forwardedFields)
		}
		if got := interpret(cfg, &newMemoryBudgets(maxMemoryMB).commands, args, time.Hour, ""); got.cmd == nil {
			t.Fatalf("%q: forwarded as %q, which is answered with %q", sent, b, got.reply)
		}
	}
	return c.encode(c.timeout)
}

// checkReply checks that an answer that the gateway gives by itself is one line or one bulk string.
func checkReply(t *testing.T, reply []byte) {
	if len(reply) > 0 && reply[0] == '$' {
		if _, used, err := parseBulk(reply, 0, maxValueBytes); used != len(reply) || err != nil {
			t.Fatalf("answered %q, %v", reply, err)
		}
		return
	}
	line, ok := bytes.CutSuffix(reply, []byte("\r\n"))
	if !ok || len(line) < 2 || (line[0] != '+' && line[0] != '-') || bytes.ContainsAny(line, "\r\n") ||
		len(line) > 2*maxListBytes {
		t.Fatalf("answered %q", reply)
	}
	if bytes.HasPrefix(line, []byte("-BUSY")) {
		t.Fatalf("answered %q, a refusal that the engine did not decide on", reply)
	}
}

func encodeCommand(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}

// FuzzCommands checks that the input of a client gives the same commands however it is split into reads, and that
// each accepted command is forwarded unchanged except for d. Input that can't become a command must give an error
// before memory is allocated for it.
func FuzzCommands(f *testing.F) {
	look := encodeCommand("Q.ASK", customer, "9b1f03aa5c7e2d41", "c=look,t=p,d=480,units=2,spread=2,first=1")
	book := encodeCommand("Q.DO", customer, "9b1f03aa5c7e2d41", "c=book,t=p,d=29999.5,k=77,units=1,r=1,", "BODY")
	f.Add(look, []byte{1, 2, 3, 40})
	f.Add(append(bytes.Clone(book), look...), []byte{70, 9, 100})
	f.Add(append(encodeCommand("ping"), encodeCommand("PING", "back")...), []byte{5})
	f.Add(encodeCommand("Q.ASK", customer, "id", "\r\n+OK=1,\r\n+OK=2,c=look,t=p,d=1"), []byte{})
	f.Add([]byte("*2\r\n$4\r\nPING\r\n$65536\r\n\xfe\xff\xfe\x01\r\n"), []byte{129, 191, 191})
	f.Add([]byte("*5\r\n$4\r\nQ.DO\r\n$60000\r\n\xfe\xff\xfe\x01\r\n$65000"), []byte{4, 140})
	f.Add([]byte("*0\r\n*1\r\n$-1\r\n"), []byte{2})
	f.Add([]byte("*1\r\n$4\r\nPING\r\n*1\r\n$-9\r\n"), []byte{3})
	f.Add([]byte("*16\r\n"+strings.Repeat("$0\r\n\r\n", 16)), []byte{30})
	var cfg *Config
	f.Fuzz(func(t *testing.T, in, cuts []byte) {
		if cfg == nil {
			c := testConfig(t, time.Second, nil)
			cfg = &c
		}
		in = expandRuns(in)
		want, wantRest, wantErr := readCommands(t, cfg, [][]byte{in})
		got, _, err := readCommands(t, cfg, splitAt(in, cuts))
		if !slices.Equal(got, want) || (err == nil) != (wantErr == nil) {
			t.Fatalf("%.300q: read at once %.300q, %v, in pieces %.300q, %v", in, want, wantErr, got, err)
		}
		if _, rest, _ := readCommands(t, cfg, splitAt(in, cuts)); err == nil && rest != wantRest {
			t.Fatalf("%.300q: %d bytes left over, in pieces %d", in, wantRest, rest)
		}
	})
}

// FuzzAnswers checks that the output of a server gives the same answer however it is split into reads, and that the
// value is passed on unchanged.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(servedReply("v")), []byte{1, 2, 3})
	f.Add([]byte("*3\r\n$2\r\nok\r\n$2\r\n51\r\n$25\r\ninflight=7,queue=2,util=1\r\n-BUSY\r\n"), []byte{20, 30})
	f.Add([]byte("*3\r\n$1\r\nv\r\n:5\r\n$-1\r\n"), []byte{14, 1})
	f.Add([]byte("-ERR failed inflight=7,queue=2\r\n"), []byte{5})
	f.Add([]byte("-BUSY\r\n-BUSY\r\n"), []byte{8})
	f.Add([]byte("-ERR failed\r\n"), []byte{3})
	f.Add([]byte("-ERR \xfe\x10\r\n"), []byte{2, 131})
	f.Add([]byte("*3\r\n$65536\r\n\xfe\xff\xfe\x01\r\n$4096\r\n\xfe\x10\r\n$-1\r\n"), []byte{191, 191, 128})
	f.Add([]byte("*3\r\n$65537\r\n"), []byte{3})
	f.Add([]byte("*3\r\n$9223372036854775807\r\n"), []byte{})
	f.Fuzz(func(t *testing.T, in, cuts []byte) {
		in = expandRuns(in)
		parse := func(b []byte) (answer, int, error) {
			a, used, err := parseAnswer(b)
			if used < 0 || used > len(b) || (err != nil && used != 0) {
				t.Fatalf("%.300q: used %d of %d, %v", b, used, len(b), err)
			}
			if used == 0 && err == nil && len(b) >= maxAnswerBytes+4*maxHeaderBytes {
				t.Fatalf("%.300q: no answer found in %d bytes", b, len(b))
			}
			if used == 0 {
				return answer{}, 0, err
			}
			if a.outcome != decide.OK {
				if a.outcome != decide.Error && a.outcome != decide.Full || a.value != nil || !a.inSync ||
					b[0] != '-' || b[used-1] != '\n' || bytes.IndexByte(b, '\n') != used-1 || used > maxFieldBytes {
					t.Fatalf("%.300q: %d bytes parsed as %+v", b, used, a)
				}
				return a, used, nil
			}
			value, n, err := parseBulk(a.value, 0, maxValueBytes)
			if n != len(a.value) || err != nil || !bytes.Equal(a.value, redcon.AppendBulk(nil, value)) {
				t.Fatalf("%.300q: a client gets %.300q", b, a.value)
			}
			if !bytes.HasPrefix(b, append([]byte("*3\r\n"), a.value...)) {
				t.Fatalf("%.300q: the value is %.300q, which the answer does not contain", b, a.value)
			}
			return a, used, nil
		}
		want, used, wantErr := parse(in)
		at := 0
		for _, piece := range splitAt(in, cuts) {
			at += len(piece)
			a, n, err := parse(in[:at])
			if n == 0 && err == nil {
				continue
			}
			if a.outcome != want.outcome || !bytes.Equal(a.value, want.value) || a.inSync != want.inSync ||
				(err == nil) != (wantErr == nil) || (want.inSync && n != used) {
				t.Fatalf("%.300q: %+v of %d bytes, %v, but %+v of %d, %v of the first %d", in, want, used, wantErr,
					a, n, err, at)
			}
			return
		}
		if used != 0 || wantErr != nil {
			t.Fatalf("%.300q: complete when read at once, incomplete in pieces", in)
		}
	})
}

// cannedResponse is an in-memory discovery service that answers one call.
type cannedResponse struct {
	status int
	body   io.Reader
}

func (r cannedResponse) RoundTrip(req *http.Request) (*http.Response, error) {
	return &http.Response{Status: http.StatusText(r.status), StatusCode: r.status, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Header: http.Header{}, Body: io.NopCloser(r.body), ContentLength: -1, Request: req}, nil
}

// failingReader is a response body that ends too early.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// FuzzDiscovery checks that each accepted list can be used: servers that are up get requests once their slow start is
// over, other servers get none, and removed servers are forgotten.
func FuzzDiscovery(f *testing.F) {
	const entry = `{"id":"s-5be2a07c","addr":"10.1.0.18:6379","zone":"a","kind":"m2","cell":3,"state":"%s","weight":1.0,"started_ms":%d}`
	up, old := fmt.Sprintf(entry, "up", 1749999999000), fmt.Sprintf(entry, "draining", 0)
	f.Add([]byte(`{"version":41,"full":true,"servers":[`+up+`]}`), 200, false)
	f.Add([]byte(`{"version":43,"full":false,"servers":[`+old+`,`+up+`]}`), 200, false)
	f.Add([]byte(`{"version":43,"servers":[{"id":"s","state":"removed"}]}`), 200, true)
	f.Add([]byte(`{"version":43,"servers":[{"id":"s","addr":"[::1]:9","state":"up","started_ms":18446744073710}]}`),
		200, false)
	f.Add([]byte(`no`), 503, false)
	f.Add([]byte(`{"servers":null}`), 429, false)
	f.Add([]byte(`{"version":-1}`), 204, false)
	f.Fuzz(func(t *testing.T, raw []byte, status int, cut bool) {
		raw = raw[:min(len(raw), maxFileBytes)]
		body := io.Reader(bytes.NewReader(raw))
		if cut {
			body = io.MultiReader(body, failingReader{})
		}
		w := discoveryWatcher{client: &http.Client{Transport: cannedResponse{status, body}},
			log: slog.New(slog.DiscardHandler)}
		list, err := w.fetch(context.Background(), "http://127.0.0.1:1/v1/servers", time.Minute, nil)
		if errors.Is(err, errDiscoveryBusy) != (!cut && (status == 503 || status == 429)) {
			t.Fatalf("%d, %q: %v", status, raw, err)
		}
		if err != nil {
			return
		}
		if status != 200 || cut {
			t.Fatalf("status %d, cut %v: accepted", status, cut)
		}
		checkList(t, list)
	})
}

// checkList gives a list to the decision engine and checks which servers get requests.
func checkList(t *testing.T, list serverList) {
	cfg := testConfig(t, time.Second, nil)
	engine, err := decide.New(cfg.Settings.Decide, 1)
	if err != nil {
		t.Fatal(err)
	}
	var servers []decide.Server
	states := map[string]decide.State{}
	for i := range list.Servers {
		e := &list.Servers[i]
		s := e.decideServer()
		if _, err := netip.ParseAddrPort(e.Addr); s.ID == "" || s.State == decide.Serving && (e.State != "up" || err != nil) {
			t.Fatalf("%+v was accepted as %+v", e, s)
		}
		servers, states[s.ID] = append(servers, s), s.State
	}
	up := 0
	for _, s := range states {
		if s == decide.Serving {
			up++
		}
	}
	now, n := 1750000000*time.Second, 0
	send := func() (to []string) {
		n++
		id := strconv.Itoa(n)
		for _, a := range engine.Handle(now, decide.Request{ID: id, Class: "look", Plan: "p", Customer: customer, Units: 1,
			Deadline: now + time.Second, Spread: 2}) {
			if s, ok := a.(decide.Send); ok {
				to = append(to, s.Server)
				engine.Handle(now, decide.AttemptEnded{ID: id, Server: s.Server, Outcome: decide.OK,
					Elapsed: time.Millisecond, RequestDone: true})
			}
		}
		return to
	}
	for range 2 { // the second time the update contains nothing new
		engine.Handle(now, decide.FleetUpdate{Kind: decide.FleetFull, Version: list.Version, Servers: servers})
		for range 3 {
			for _, s := range send() {
				if states[s] != decide.Serving {
					t.Fatalf("a request was sent to %q, whose state is %v", s, states[s])
				}
			}
			now += cfg.Settings.Decide.Safety.ColdFor
		}
	}
	if to := send(); (len(to) > 0) != (up > 0) {
		t.Fatalf("%d servers are up after slow start, and a request was sent to %q", up, to)
	}
}

const validConfigFile = `{"name":"n0","listen":"127.0.0.1:6379","discovery":"127.0.0.1:80","seed":"1f",
"limits":{"cores":1.5,"memory_mb":64,"sockets":128},"peer_listen":"127.0.0.1:7000","peers":["127.0.0.1:7000","127.0.0.1:7001"],
"known":{"version":3,"full":true,"servers":[{"id":"s","addr":"10.0.0.1:6379","zone":"a","cell":1,"state":"up","weight":1,"started_ms":0}]},
"settings":%s}`

// fieldNamePattern matches the name of a configuration or settings field in an error.
var fieldNamePattern = regexp.MustCompile(`listen|discovery|limits|seed|settings|known|peers|peer_listen|field "[^"]+"`)

// FuzzConfig checks that the gateway can run with each accepted configuration and needs little memory for it. The
// error for a rejected configuration must name the field at fault, unless the file is not a JSON object.
func FuzzConfig(f *testing.F) {
	set := fmt.Sprintf(testSettings, time.Second.Nanoseconds())
	f.Add(fmt.Appendf(nil, validConfigFile, set))
	f.Add(fmt.Appendf(nil, validConfigFile, `{"Classes":[{"Name":"look","Effect":"safe","AimNs":1}],"Instances":2,"Limits":{"SendCap":1}}`))
	f.Add(fmt.Appendf(nil, validConfigFile, `{"Classes":7}`))
	f.Add(fmt.Appendf(nil, validConfigFile, `[]`))
	good := fmt.Sprintf(validConfigFile, set)
	for _, edit := range [][2]string{{`"peer_listen":"127.0.0.1:7000`, `"peer_listen":"here`},
		{`"peers":["127`, `"peers":["there`}, {`,"127.0.0.1:7001"`, ``}, {`"seed":"1f`, `"seed":"one`},
		{`"sockets":128`, `"sockets":8`}, {`"state":"up"`, `"state":"odd"`}} {
		f.Add([]byte(strings.Replace(good, edit[0], edit[1], 1)))
	}
	f.Add([]byte(`{"listen":"::","known":{"servers":[{}]}}`))
	f.Add([]byte(`"listen"`))
	path := filepath.Join(f.TempDir(), "config.json")
	f.Fuzz(func(t *testing.T, raw []byte) {
		raw = raw[:min(len(raw), maxFileBytes)]
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		getenv := func(name string) string {
			if name == "GW_CONFIG" {
				return path
			}
			return ""
		}
		cfg, err := LoadConfig(getenv)
		if addr, discoveryErr := LoadDiscovery(getenv); (discoveryErr == nil) != (err == nil) ||
			addr != cfg.Discovery && err == nil {
			t.Fatalf("%q: LoadConfig read %v, %v, LoadDiscovery %v, %v", raw, cfg.Discovery, err, addr, discoveryErr)
		}
		if err != nil {
			if message := strings.TrimPrefix(err.Error(), path); json.Valid(raw) && raw[0] == '{' &&
				!fieldNamePattern.MatchString(message) {
				t.Fatalf("%q: error %v names no field", raw, err)
			}
			return
		}
		checkConfig(t, cfg, len(raw))
	})
}

// plainNamePattern matches the names that can be written in a list argument as they are.
var plainNamePattern = regexp.MustCompile(`^[a-z0-9]+$`)

// checkConfig starts a gateway without sockets and gives it a request of each class and plan.
func checkConfig(t *testing.T, cfg Config, size int) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	l, err := newLoop(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatalf("the configuration was accepted, but the loop did not start: %v", err)
	}
	decideConfig := &cfg.Settings.Decide
	for _, class := range decideConfig.Classes[:min(len(decideConfig.Classes), 8)] {
		for _, plan := range decideConfig.Plans[:min(len(decideConfig.Plans), 8)] {
			if !plainNamePattern.MatchString(class.Name) || !plainNamePattern.MatchString(plan.Name) ||
				len(class.Name)+len(plan.Name) > maxListBytes/2 {
				continue
			}
			name := "Q.DO"
			if class.Effect == decide.Safe {
				name = "Q.ASK"
			}
			list := fmt.Sprintf("c=%s,t=%s,k=7,d=%d", class.Name, plan.Name,
				max(1, min(time.Second, class.Deadline)/time.Millisecond))
			args := [][]byte{[]byte(name), []byte(customer), []byte("id"), []byte(list)}
			got := interpret(&cfg, &l.memory.commands, args, l.clock.now(), "")
			if got.cmd == nil {
				t.Fatalf("%q was answered with %q", list, got.reply)
			}
			ev := got.cmd.request
			ev.ID, ev.Deadline = list, l.clock.now()+got.cmd.timeout
			startRequest(t, l, ev)
		}
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > uint64(maxAllocBytes+64*size) || l.restarts != 0 {
		t.Fatalf("%d bytes allocated for a file of %d, %d restarts", n, size, l.restarts)
	}
	if l.memory.commands.inUse() < 0 || l.memory.commands.limit <= 0 || l.pool.maxConns <= 0 ||
		clientSockets(cfg.Sockets) <= 0 {
		t.Fatalf("limits of %d bytes and %d sockets", l.memory.commands.limit, l.pool.maxConns)
	}
}

// startRequest gives a request to the decision engine, which must send it, refuse it or query its quota owner.
func startRequest(t *testing.T, l *loop, ev decide.Request) {
	done := false
	for _, a := range l.engine.Handle(l.clock.now(), ev) {
		switch a := a.(type) {
		case decide.Send:
			done = true
			if a.Timeout <= 0 {
				t.Fatalf("%+v", a)
			}
			for _, b := range l.engine.Handle(l.clock.now(), decide.AttemptEnded{ID: a.ID, Server: a.Server,
				Outcome: decide.OK, Elapsed: time.Millisecond, RequestDone: true}) {
				if message, ok := b.(decide.SendToPeer); ok && len(message.Text) > maxDatagramBytes {
					t.Fatalf("%+v", b)
				}
			}
		case decide.Refuse, decide.SendToPeer:
			done = true
		}
	}
	if !done {
		t.Fatalf("%+v: the engine neither sent, refused nor queried", ev)
	}
}
