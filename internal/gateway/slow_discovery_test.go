package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// What the operators' pages demand: "a change counts as told at the latest 6 s after discovery had it and could be
// reached", and "what discovery has to tell counts as told 4 s after SIGHUP".
const (
	changeLimit = 6 * time.Second
	moveLimit   = 4 * time.Second
)

// errReset is the error of a call whose connection slowDiscovery closes.
var errReset = errors.New("connection reset")

// period is a span of time, counted from the start of a slowDiscovery.
type period struct{ from, to time.Duration }

// slowDiscovery is a discovery service in memory that takes a while for each answer. It is an http.RoundTripper.
type slowDiscovery struct {
	delay        time.Duration // of each answer, from when it is due
	headersFirst bool          // the headers are sent when the answer is due, and the body after the delay
	silent       []period      // calls that are open in these are never answered
	refusing     []period      // calls that arrive in these are refused
	resetting    []period      // calls that arrive in these end with a reset

	mu             sync.Mutex
	started        time.Time
	version        uint64
	changed        chan struct{} // closed at each change
	watchesDropped chan struct{} // closed when all open watches fall silent
}

func newSlowDiscovery(delay time.Duration) *slowDiscovery {
	return &slowDiscovery{delay: delay, started: time.Now(), version: 1, changed: make(chan struct{}),
		watchesDropped: make(chan struct{})}
}

// change adds a version of the list.
func (d *slowDiscovery) change() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// dropWatches makes all open watches silent.
func (d *slowDiscovery) dropWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.watchesDropped)
	d.watchesDropped = make(chan struct{})
}

// now returns the time since the start.
func (d *slowDiscovery) now() time.Duration { return time.Since(d.started) }

// during reports whether one of the periods holds at some time since the given one.
func (d *slowDiscovery) during(periods []period, since time.Duration) bool {
	now := d.now()
	for _, p := range periods {
		if p.from <= now && since < p.to {
			return true
		}
	}
	return false
}

// state returns the version, and the channels that are closed at the next change and as open watches fall silent.
func (d *slowDiscovery) state() (version uint64, changed, dropped <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.changed, d.watchesDropped
}

// stall waits until the caller gives up.
func stall(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// RoundTrip handles a call. The list is that of the moment in which the answer is due.
func (d *slowDiscovery) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, arrived := req.Context(), d.now()
	switch {
	case d.during(d.silent, arrived):
		return nil, stall(ctx)
	case d.during(d.refusing, arrived):
		return d.respondLater(req, http.StatusServiceUnavailable, http.NoBody)
	case d.during(d.resetting, arrived):
		return nil, errReset
	}
	query := req.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	version, changed, dropped := d.state()
	if err == nil && version <= after && wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-dropped:
			return nil, stall(ctx)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		version, _, _ = d.state()
	}
	list := serverList{Version: version, Full: err != nil}
	if err != nil || version > after {
		list.Servers = []serverEntry{{ID: "s", State: "up", Addr: "127.0.0.1:1"}}
	}
	body, err := json.Marshal(list)
	if err != nil {
		return nil, err
	}
	if d.headersFirst && !d.during(d.silent, arrived) {
		return respond(req, http.StatusOK, &slowBody{ctx: ctx, delay: d.delay, rest: bytes.NewReader(body)}), nil
	}
	resp, err := d.respondLater(req, http.StatusOK, bytes.NewReader(body))
	if d.during(d.silent, arrived) {
		return nil, stall(ctx)
	}
	return resp, err
}

// respondLater returns a response after the delay.
func (d *slowDiscovery) respondLater(req *http.Request, status int, body io.Reader) (*http.Response, error) {
	sleep(req.Context(), d.delay)
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	return respond(req, status, body), nil
}

func respond(req *http.Request, status int, body io.Reader) *http.Response {
	return &http.Response{Status: http.StatusText(status), StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: -1, Request: req}
}

// slowBody is the body of an answer that comes some time after its headers.
type slowBody struct {
	ctx   context.Context
	delay time.Duration
	rest  io.Reader
}

func (b *slowBody) Read(p []byte) (int, error) {
	sleep(b.ctx, b.delay)
	b.delay = 0
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.rest.Read(p)
}

// received records when a watcher passes on each version.
type received struct {
	mu sync.Mutex
	at map[uint64]time.Duration // by version; counted from the start of the discovery service
}

// watch runs a watcher of the service until the context ends.
func (d *slowDiscovery) watch(ctx context.Context, usesAgent, hasList bool) *received {
	r := &received{at: map[uint64]time.Duration{}}
	post := func(e event) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for v := e.(listReceived).list.Version; v > 0; v-- {
			if _, ok := r.at[v]; ok {
				break
			}
			r.at[v] = time.Since(d.started)
		}
	}
	w := newDiscoveryWatcher(mustAddr("127.0.0.1:1"), post, slog.New(slog.DiscardHandler))
	w.client.Transport = d
	w.usesAgent, w.hasList, w.version = usesAgent, hasList, 1
	go w.run(ctx)
	return r
}

// delays returns delays of answers from none up to the given one.
func delays(most time.Duration) []time.Duration {
	var all []time.Duration
	for _, ms := range []int{0, 50, 150, 190, 210, 250, 300, 400, 500, 600, 700, 1000, 1400, 1900, 2100, 2300, 2600, 2800, 3000, 3250, 3500, 3750, 4000} {
		if d := time.Duration(ms) * time.Millisecond; d <= most {
			all = append(all, d)
		}
	}
	return all
}

// A drain must take effect although the agent takes 0.3 s for each answer, which is longer than the timeout of a call
// that checks whether it is up.
func TestDrainIsHeardFromSlowAgent(t *testing.T) {
	b := newBackend(t)
	cfg := testConfig(t, longTarget, entries("up", b))
	cfg.Listen = freeAddr(t)
	discovery, addr := newFakeDiscovery(t, cfg.Known)
	discovery.delay, cfg.Discovery = 300*time.Millisecond, addr
	h, _ := startGateway(t, cfg)
	h.waitReady(t)
	c := h.dial(t)
	serveOne(t, c, "before", b)
	discovery.set(serverList{Version: 2, Servers: entries("draining", b)})
	tooLate := time.After(changeLimit)
	for heard := false; !heard; {
		select {
		case query := <-discovery.calls:
			heard = strings.HasPrefix(query, "after=2&")
		case <-tooLate:
			t.Fatalf("the gateway has not heard of the drain within %v", changeLimit)
		}
	}
	c.sendLook("after")
	if got := c.read(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q, want a refusal: the only server is draining", got)
	}
}

// trouble is something that happens at discovery beside its slow answers.
type trouble string

const (
	noTrouble     trouble = "none"
	silence       trouble = "silent"
	longSilence   trouble = "silent for long" // so that no watch is open at its end that was lost
	refusals      trouble = "refusing"
	resets        trouble = "resetting"
	silentWatches trouble = "silent watches"
)

const (
	longestTrouble   = 9 * time.Second
	leastLongSilence = 5 * time.Second
	quietTime        = 12 * time.Second // least time between two changes, twice the limit
	randomQuietTime  = 5 * time.Second  // at random in addition
	changesPerSeries = 12
)

// expectedChange is a change that a gateway must receive.
type expectedChange struct {
	version uint64
	from    time.Duration // when the limit begins to count
}

// schedule plans a series of changes, the first at the start, each with the trouble around it. It returns the changes
// and the end of the series.
func (d *slowDiscovery) schedule(kind trouble, rng *rand.Rand) (changes []expectedChange, end time.Duration) {
	random := func(most time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(most))) }
	for version := uint64(2); version < 2+changesPerSeries; version++ {
		changeAt, from := end, end
		troubled := period{end, end + random(longestTrouble)}
		switch kind {
		case silence:
			d.silent = append(d.silent, troubled)
		case longSilence:
			troubled.to = end + leastLongSilence + random(longestTrouble-leastLongSilence)
			d.silent = append(d.silent, troubled)
		case refusals:
			d.refusing = append(d.refusing, troubled)
		case resets:
			d.resetting = append(d.resetting, troubled)
		}
		switch kind {
		case silentWatches: // the limit counts from when the watch fell silent
			changeAt = end + random(time.Second)
			time.AfterFunc(end, d.dropWatches)
		case silence, longSilence, refusals, resets:
			changeAt = end + random(longestTrouble)
			from = max(changeAt, troubled.to)
		}
		time.AfterFunc(changeAt, d.change)
		changes = append(changes, expectedChange{version, from})
		end = max(changeAt, from) + quietTime + random(randomQuietTime)
	}
	return changes, end
}

// check reports changes that were received late or never.
func (r *received) check(t *testing.T, changes []expectedChange, delay time.Duration) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	late, never, longest := 0, 0, time.Duration(0)
	for _, c := range changes {
		at, ok := r.at[c.version]
		switch {
		case !ok:
			never++
		case at > c.from+changeLimit:
			late++
		}
		longest = max(longest, at-c.from)
	}
	if late+never > 0 {
		t.Errorf("answers after %v: of %d changes %d were never received and %d late, at most %v after they were due to count",
			delay, len(changes), never, late, longest)
	}
}

// longestDelay returns the longest time of each answer for which the package watch promises that changes are received in
// time.
func longestDelay(kind trouble, usesAgent, headersFirst bool) time.Duration {
	switch {
	case kind == silence || kind == silentWatches:
		return 1400 * time.Millisecond
	case kind == refusals:
		return 2800 * time.Millisecond
	case !usesAgent || headersFirst:
		return 3 * time.Second
	}
	return 4 * time.Second
}

// A change must be received within 6 s however long discovery takes for each answer: a gateway that gave up each call
// before its answer came would never hear that a server drains.
func TestSlowDiscoveryIsHeardWithinLimit(t *testing.T) {
	for _, kind := range []trouble{noTrouble, silence, longSilence, refusals, resets, silentWatches} {
		for _, usesAgent := range []bool{true, false} {
			for _, headersFirst := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, agent %v, headers first %v", kind, usesAgent, headersFirst), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(context.Background())
						var lastEnd time.Duration
						for _, delay := range delays(longestDelay(kind, usesAgent, headersFirst)) {
							d := newSlowDiscovery(delay)
							d.headersFirst = headersFirst
							changes, end := d.schedule(kind, rand.New(rand.NewPCG(35, uint64(delay))))
							r := d.watch(ctx, usesAgent, true)
							time.AfterFunc(end, func() { r.check(t, changes, delay) })
							lastEnd = max(lastEnd, end)
						}
						time.Sleep(lastEnd + time.Second)
						cancel()
						synctest.Wait()
					})
				})
			}
		}
	}
}

// After a move the list of the new address must be in use within 4 s, however long discovery takes for each answer up to
// 3.5 s: a gateway that gave up each call before its answer came would keep the old list for good.
func TestSlowDiscoveryIsHeardAfterMove(t *testing.T) {
	for _, usesAgent := range []bool{true, false} {
		for _, headersFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("agent %v, headers first %v", usesAgent, headersFirst), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					heard := map[time.Duration]*received{}
					for _, delay := range delays(3500 * time.Millisecond) {
						d := newSlowDiscovery(delay)
						d.headersFirst = headersFirst
						heard[delay] = d.watch(ctx, usesAgent, false)
					}
					time.Sleep(moveLimit)
					for delay, r := range heard {
						r.mu.Lock()
						if len(r.at) == 0 {
							t.Errorf("answers after %v: no list %v after the move", delay, moveLimit)
						}
						r.mu.Unlock()
					}
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}
