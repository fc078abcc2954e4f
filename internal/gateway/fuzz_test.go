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

// Bounds that keep an execution short.
const (
	streamMost = 4 * commandMost // bytes that come over a connection
	piecesMost = 16              // in so many reads
	fileMost   = 16 << 10        // bytes of a list or a configuration
	allocMost  = 16 << 20        // bytes that a gateway may take at its start, besides 64 for each of its file's
)

// stretch makes long runs of short inputs: 0xfe and n stand for 256 times n bytes.
func stretch(in []byte) []byte {
	var out []byte
	for i := 0; i < len(in) && len(out) < streamMost; i++ {
		if in[i] == 0xfe && i+1 < len(in) {
			i++
			out = append(out, bytes.Repeat([]byte("x"), int(in[i])<<8)...)
		} else {
			out = append(out, in[i])
		}
	}
	return out[:min(len(out), streamMost)]
}

// pieces cuts what comes over a connection at places that are taken from other bytes.
func pieces(b, cuts []byte) (out [][]byte) {
	for _, c := range cuts[:min(len(cuts), piecesMost)] {
		n := int(c)
		if c >= 128 {
			n = int(c-127) << 10
		}
		n = min(n, len(b))
		out, b = append(out, b[:n]), b[n:]
	}
	return append(out, b)
}

// conversation reads what comes in pieces as a connection's reader does. said are the commands as they go on, or the
// answers that the gateway gives itself.
func conversation(t *testing.T, cfg *Config, in [][]byte) (said []string, rest int, err error) {
	var buf []byte
	var args [][]byte
	for _, piece := range in {
		buf = append(buf, piece...)
		for len(buf) > 0 {
			var used int
			used, args, err = nextCommand(buf, args)
			if used < 0 || used > len(buf) || used > commandMost+2*headerMost || (err != nil && used != 0) {
				t.Fatalf("used %d of %d bytes, %v", used, len(buf), err)
			}
			if err != nil {
				return said, len(buf), err
			}
			if used == 0 {
				break
			}
			if len(args) > argsMost || cap(args) > 2*argsMost {
				t.Fatalf("%d arguments, room for %d", len(args), cap(args))
			}
			words := cloneArgs(args)
			got := interpret(cfg, args, time.Hour)
			clear(buf[:used]) // the reader uses the memory again
			if got.cmd != nil {
				said = append(said, string(checkCommand(t, cfg, got.cmd, words)))
			} else {
				checkReply(t, got.reply)
				said = append(said, string(got.reply))
			}
			buf = bytes.Clone(buf[used:])
		}
		if len(buf) > commandMost+2*headerMost {
			t.Fatalf("%d bytes are held for one command", len(buf))
		}
	}
	return said, len(buf), nil
}

// checkCommand holds a request that was taken to what the client sent: it goes on with the same arguments but for d.
func checkCommand(t *testing.T, cfg *Config, c *command, words [][]byte) []byte {
	name := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' {
			return r - 'a' + 'A'
		}
		return r
	}, string(words[0]))
	if name != "Q.ASK" && name != "Q.DO" {
		t.Fatalf("%q is taken as a request", words[0])
	}
	if c.wait <= 0 || c.wait >= c.limit+time.Millisecond || c.req.Units < 1 || c.req.Units > cfg.Settings.Decide.MaxUnits ||
		c.req.Spread < 0 || c.req.Spread > cfg.Settings.Decide.Gateways || c.req.First < 0 ||
		c.req.First >= cfg.Settings.Decide.Gateways || cfg.class(c.req.Class) == nil || !cfg.hasPlan(c.req.Plan) {
		t.Fatalf("%q is taken as %+v, to wait %v", words, c.req, c.wait)
	}
	if n, err := strconv.ParseUint(c.req.Customer, 16, 64); err != nil || n > customerMost || len(c.req.Customer) != 16 {
		t.Fatalf("%q is taken as a customer", c.req.Customer)
	}
	for _, left := range []time.Duration{c.wait, c.wait / 2, 0} {
		b := c.frame(left)
		if len(b) > c.size()+frameRoom || cap(b) > 2*(c.size()+frameRoom) {
			t.Fatalf("%q: framed in %d bytes, room for %d", words, len(b), cap(b))
		}
		used, args, err := nextCommand(b, nil)
		if used != len(b) || err != nil || len(args) != len(words) {
			t.Fatalf("%q: goes on as %q, %v", words, b, err)
		}
		for i := range args {
			if i != listArg && !bytes.Equal(args[i], words[i]) {
				t.Fatalf("%q: argument %d goes on as %q", words, i, args[i])
			}
		}
		was, now := strings.Split(string(words[listArg]), ","), strings.Split(string(args[listArg]), ",")
		for i, field := range was {
			if strings.HasPrefix(field, "d=") {
				was[i] = "d=" + strconv.FormatInt(int64(max(left/time.Millisecond, 1)), 10)
			}
		}
		if !slices.Equal(was, now) {
			t.Fatalf("%q: the list goes on as %q", words, now)
		}
		if got := interpret(cfg, args, time.Hour); got.cmd == nil {
			t.Fatalf("%q: goes on as %q, which is answered %q", words, b, got.reply)
		}
	}
	return c.frame(c.wait)
}

// checkReply holds an answer that the gateway gives itself to one line, or one bulk string.
func checkReply(t *testing.T, reply []byte) {
	if len(reply) > 0 && reply[0] == '$' {
		if _, used, err := bulk(reply, 0, valueMost); used != len(reply) || err != nil {
			t.Fatalf("answered %q, %v", reply, err)
		}
		return
	}
	line, ok := bytes.CutSuffix(reply, []byte("\r\n"))
	if !ok || len(line) < 2 || (line[0] != '+' && line[0] != '-') || bytes.ContainsAny(line, "\r\n") || len(line) > 2*listLen {
		t.Fatalf("answered %q", reply)
	}
	if bytes.HasPrefix(line, []byte("-BUSY")) {
		t.Fatalf("answered %q, a refusal that nobody decided", reply)
	}
}

func resp(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}

// FuzzCommands: whatever a client sends, cut into whatever pieces, makes the same commands, and each that is taken goes
// on as it came but for d. What can't become a command is an error before it takes memory.
func FuzzCommands(f *testing.F) {
	look := resp("Q.ASK", customer, "9b1f03aa5c7e2d41", "c=look,t=p,d=480,units=2,spread=2,first=1")
	book := resp("Q.DO", customer, "9b1f03aa5c7e2d41", "c=book,t=p,d=29999.5,k=77,units=1,r=1,", "BODY")
	f.Add(look, []byte{1, 2, 3, 40})
	f.Add(append(bytes.Clone(book), look...), []byte{70, 9, 100})
	f.Add(append(resp("ping"), resp("PING", "back")...), []byte{5})
	f.Add(resp("Q.ASK", customer, "id", "\r\n+OK=1,\r\n+OK=2,c=look,t=p,d=1"), []byte{})
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
		in = stretch(in)
		whole, rest, fault := conversation(t, cfg, [][]byte{in})
		said, _, err := conversation(t, cfg, pieces(in, cuts))
		if !slices.Equal(said, whole) || (err == nil) != (fault == nil) {
			t.Fatalf("%.300q: at once %.300q, %v, in pieces %.300q, %v", in, whole, fault, said, err)
		}
		if _, left, _ := conversation(t, cfg, pieces(in, cuts)); err == nil && left != rest {
			t.Fatalf("%.300q: %d bytes are left, in pieces %d", in, rest, left)
		}
	})
}

// FuzzAnswers: whatever a server sends, cut into whatever pieces, is the same answer, with the value as it stood there.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(served("v")), []byte{1, 2, 3})
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
		in = stretch(in)
		look := func(b []byte) (answer, int, error) {
			a, used, err := parseAnswer(b)
			if used < 0 || used > len(b) || (err != nil && used != 0) {
				t.Fatalf("%.300q: used %d of %d, %v", b, used, len(b), err)
			}
			if used == 0 && err == nil && len(b) >= answerMost+4*headerMost {
				t.Fatalf("%.300q: %d bytes, and more are waited for", b, len(b))
			}
			if used == 0 {
				return answer{}, 0, err
			}
			if a.outcome != decide.OK {
				if a.outcome != decide.Error && a.outcome != decide.Full || a.value != nil || !a.inStep || b[0] != '-' || b[used-1] != '\n' ||
					bytes.IndexByte(b, '\n') != used-1 || used > fieldMost {
					t.Fatalf("%.300q: %d bytes are %+v", b, used, a)
				}
				return a, used, nil
			}
			value, n, err := bulk(a.value, 0, valueMost)
			if n != len(a.value) || err != nil || !bytes.Equal(a.value, redcon.AppendBulk(nil, value)) {
				t.Fatalf("%.300q: a client gets %.300q", b, a.value)
			}
			if !bytes.HasPrefix(b, append([]byte("*3\r\n"), a.value...)) {
				t.Fatalf("%.300q: the value is %.300q, which does not stand there", b, a.value)
			}
			return a, used, nil
		}
		all, used, fault := look(in)
		at := 0
		for _, piece := range pieces(in, cuts) {
			at += len(piece)
			a, n, err := look(in[:at])
			if n == 0 && err == nil {
				continue
			}
			if a.outcome != all.outcome || !bytes.Equal(a.value, all.value) || a.inStep != all.inStep || (err == nil) != (fault == nil) ||
				(all.inStep && n != used) {
				t.Fatalf("%.300q: %+v of %d bytes, %v, but %+v of %d, %v of the first %d", in, all, used, fault, a, n, err, at)
			}
			return
		}
		if used != 0 || fault != nil {
			t.Fatalf("%.300q: an end at once, and none in pieces", in)
		}
	})
}

// registryOf is discovery that answers one call, in memory.
type registryOf struct {
	status int
	body   io.Reader
}

func (r registryOf) RoundTrip(req *http.Request) (*http.Response, error) {
	return &http.Response{Status: http.StatusText(r.status), StatusCode: r.status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: io.NopCloser(r.body), ContentLength: -1, Request: req}, nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// FuzzDiscovery: a list that is taken can be used: a server that is up gets requests, once it is warm, one that is not
// gets none, and those that are gone are forgotten.
func FuzzDiscovery(f *testing.F) {
	const entry = `{"id":"s-5be2a07c","addr":"10.1.0.18:6379","zone":"a","kind":"m2","cell":3,"state":"%s","weight":1.0,"started_ms":%d}`
	up, old := fmt.Sprintf(entry, "up", 1749999999000), fmt.Sprintf(entry, "draining", 0)
	f.Add([]byte(`{"version":41,"full":true,"servers":[`+up+`]}`), 200, false)
	f.Add([]byte(`{"version":43,"full":false,"servers":[`+old+`,`+up+`]}`), 200, false)
	f.Add([]byte(`{"version":43,"servers":[{"id":"s","state":"removed"}]}`), 200, true)
	f.Add([]byte(`{"version":43,"servers":[{"id":"s","addr":"[::1]:9","state":"up","started_ms":18446744073710}]}`), 200, false)
	f.Add([]byte(`no`), 503, false)
	f.Add([]byte(`{"servers":null}`), 429, false)
	f.Add([]byte(`{"version":-1}`), 204, false)
	f.Fuzz(func(t *testing.T, raw []byte, status int, cut bool) {
		raw = raw[:min(len(raw), fileMost)]
		body := io.Reader(bytes.NewReader(raw))
		if cut {
			body = io.MultiReader(body, broken{})
		}
		w := watcher{client: &http.Client{Transport: registryOf{status, body}}, log: slog.New(slog.DiscardHandler)}
		list, err := w.fetch(context.Background(), "http://127.0.0.1:1/v1/servers", time.Minute)
		if errors.Is(err, errOverbooked) != (!cut && (status == 503 || status == 429)) {
			t.Fatalf("%d, %q: %v", status, raw, err)
		}
		if err != nil {
			return
		}
		if status != 200 || cut {
			t.Fatalf("%d, cut %v: taken", status, cut)
		}
		useList(t, list)
	})
}

// useList gives a list to the module and looks at where requests go.
func useList(t *testing.T, list serverList) {
	cfg := testConfig(t, time.Second, nil)
	core, err := decide.New(cfg.Settings.Decide, 1)
	if err != nil {
		t.Fatal(err)
	}
	var servers []decide.Server
	states := map[string]decide.State{}
	for i := range list.Servers {
		e := &list.Servers[i]
		s := e.server()
		if _, err := netip.ParseAddrPort(e.Addr); s.ID == "" || s.State == decide.Serving && (e.State != "up" || err != nil) {
			t.Fatalf("%+v is taken as %+v", e, s)
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
	ask := func() (to []string) {
		n++
		id := strconv.Itoa(n)
		for _, a := range core.Handle(now, decide.Request{ID: id, Class: "look", Plan: "p", Customer: customer, Units: 1,
			Deadline: now + time.Second, Spread: 2}) {
			if s, ok := a.(decide.Send); ok {
				to = append(to, s.Server)
				core.Handle(now, decide.AttemptEnded{ID: id, Server: s.Server, Outcome: decide.OK, Took: time.Millisecond, Done: true})
			}
		}
		return to
	}
	for range 2 { // told again it says nothing new
		core.Handle(now, decide.FleetUpdate{Kind: decide.FleetFull, Version: list.Version, Servers: servers})
		for range 3 {
			for _, s := range ask() {
				if states[s] != decide.Serving {
					t.Fatalf("a request to %q, which is told as %v", s, states[s])
				}
			}
			now += cfg.Settings.Decide.Safety.ColdFor
		}
	}
	if to := ask(); (len(to) > 0) != (up > 0) {
		t.Fatalf("%d servers are up and warm, and a request goes to %q", up, to)
	}
}

const goodFile = `{"name":"n0","listen":"127.0.0.1:6379","discovery":"127.0.0.1:80","seed":"1f",
"limits":{"cores":1.5,"memory_mb":64,"sockets":128},"peer_listen":"127.0.0.1:7000","peers":["127.0.0.1:7000","127.0.0.1:7001"],
"known":{"version":3,"full":true,"servers":[{"id":"s","addr":"10.0.0.1:6379","zone":"a","cell":1,"state":"up","weight":1,"started_ms":0}]},
"settings":%s}`

var fieldNames = regexp.MustCompile(`listen|discovery|limits|seed|settings|known|peers|peer_listen|field "[^"]+"`)

// FuzzConfig: a configuration that is accepted can be worked with, in little memory; any other is refused by the name of
// the field at fault, or where it is no JSON object by that.
func FuzzConfig(f *testing.F) {
	set := fmt.Sprintf(profile, time.Second.Nanoseconds())
	f.Add(fmt.Appendf(nil, goodFile, set))
	f.Add(fmt.Appendf(nil, goodFile, `{"Classes":[{"Name":"look","Effect":"safe","AimNs":1}],"Instances":2,"Limits":{"SendCap":1}}`))
	f.Add(fmt.Appendf(nil, goodFile, `{"Classes":7}`))
	f.Add(fmt.Appendf(nil, goodFile, `[]`))
	good := fmt.Sprintf(goodFile, set)
	for _, slip := range [][2]string{{`"peer_listen":"127.0.0.1:7000`, `"peer_listen":"here`}, {`"peers":["127`, `"peers":["there`},
		{`,"127.0.0.1:7001"`, ``}, {`"seed":"1f`, `"seed":"one`}, {`"sockets":128`, `"sockets":8`}, {`"state":"up"`, `"state":"odd"`}} {
		f.Add([]byte(strings.Replace(good, slip[0], slip[1], 1)))
	}
	f.Add([]byte(`{"listen":"::","known":{"servers":[{}]}}`))
	f.Add([]byte(`"listen"`))
	path := filepath.Join(f.TempDir(), "config.json")
	f.Fuzz(func(t *testing.T, raw []byte) {
		raw = raw[:min(len(raw), fileMost)]
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
		if addr, again := LoadDiscovery(getenv); (again == nil) != (err == nil) || addr != cfg.Discovery && err == nil {
			t.Fatalf("%q: read as %v, %v, and again as %v, %v", raw, cfg.Discovery, err, addr, again)
		}
		if err != nil {
			if told := strings.TrimPrefix(err.Error(), path); json.Valid(raw) && raw[0] == '{' && !fieldNames.MatchString(told) {
				t.Fatalf("%q: %v names no field", raw, err)
			}
			return
		}
		useConfig(t, cfg, len(raw))
	})
}

var plainName = regexp.MustCompile(`^[a-z0-9]+$`)

// useConfig starts a gateway without its sockets and gives it a request of each class.
func useConfig(t *testing.T, cfg Config, size int) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	l, err := newLoop(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatalf("accepted, but: %v", err)
	}
	set := &cfg.Settings.Decide
	for _, k := range set.Classes[:min(len(set.Classes), 8)] {
		for _, p := range set.Plans[:min(len(set.Plans), 8)] {
			if !plainName.MatchString(k.Name) || !plainName.MatchString(p.Name) || len(k.Name)+len(p.Name) > listLen/2 {
				continue
			}
			name := "Q.DO"
			if k.Effect == decide.Safe {
				name = "Q.ASK"
			}
			list := fmt.Sprintf("c=%s,t=%s,k=7,d=%d", k.Name, p.Name, max(1, min(time.Second, k.Deadline)/time.Millisecond))
			args := [][]byte{[]byte(name), []byte(customer), []byte("id"), []byte(list)}
			got := interpret(&cfg, args, l.clock.now())
			if got.cmd == nil {
				t.Fatalf("%q is answered %q", list, got.reply)
			}
			ev := got.cmd.req
			ev.ID, ev.Deadline = list, l.clock.now()+got.cmd.wait
			start(t, l, ev)
		}
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > uint64(allocMost+64*size) || l.restarts != 0 {
		t.Fatalf("%d bytes are taken for a file of %d, %d restarts", n, size, l.restarts)
	}
	if l.held < 0 || l.cfg.MemoryMB<<20/heldPart <= 0 || l.pool.most <= 0 || clientSockets(cfg.Sockets) <= 0 {
		t.Fatalf("bounds of %d bytes and %d sockets", l.cfg.MemoryMB<<20/heldPart, l.pool.most)
	}
}

// start gives a request to the module, which sends it, refuses it or asks a home.
func start(t *testing.T, l *loop, ev decide.Request) {
	done := false
	for _, a := range l.core.Handle(l.clock.now(), ev) {
		switch a := a.(type) {
		case decide.Send:
			done = true
			if a.Timeout <= 0 {
				t.Fatalf("%+v", a)
			}
			for _, b := range l.core.Handle(l.clock.now(), decide.AttemptEnded{ID: a.ID, Server: a.Server, Outcome: decide.OK,
				Took: time.Millisecond, Done: true}) {
				if tell, ok := b.(decide.Tell); ok && len(tell.Text) > datagramMost {
					t.Fatalf("%+v", b)
				}
			}
		case decide.Refuse, decide.Tell:
			done = true
		}
	}
	if !done {
		t.Fatalf("%+v: nothing is done", ev)
	}
}
