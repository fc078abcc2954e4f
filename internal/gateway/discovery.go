package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"winghatch/decide"
	"winghatch/internal/telemetry"
	"winghatch/internal/watch"
)

const (
	connectWithin = 500 * time.Millisecond // to discovery
	listMost      = 8 << 20                // bytes of a list: about 70,000 servers
	headMost      = 64 << 10               // bytes of an answer's head
)

// errOverbooked says that discovery is up and has turned a call away, as it has too many.
var errOverbooked = errors.New("discovery has too many calls")

// errTooLong says that a list has more bytes than a gateway takes.
var errTooLong = errors.New("the list is too long")

// serverList is discovery's form of a list of servers.
type serverList struct {
	Version uint64        `json:"version"`
	Full    bool          `json:"full"`
	Servers []serverEntry `json:"servers"`
}

type serverEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

func (e *serverEntry) state() (decide.State, error) {
	switch e.State {
	case "up":
		return decide.Serving, nil
	case "draining":
		return decide.Draining, nil
	case "removed":
		return decide.Gone, nil
	}
	return decide.Gone, fmt.Errorf("server %q: unknown state %q", e.ID, e.State)
}

// UnmarshalJSON reads an entry and refuses one that can't be used, which ends the reading of its list: a list is taken
// whole or not at all, and one of millions of empty entries must not be held in memory, where each takes fifty times
// the bytes that it has on the wire.
func (e *serverEntry) UnmarshalJSON(raw []byte) error {
	type plain serverEntry
	if err := json.Unmarshal(raw, (*plain)(e)); err != nil {
		return err
	}
	if e.ID == "" {
		return errors.New("a server has no id")
	}
	state, err := e.state()
	if err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(e.Addr); err != nil && state != decide.Gone {
		return fmt.Errorf("server %q: %w", e.ID, err)
	}
	return nil
}

// fleetNews hands a list to the loop.
type fleetNews struct {
	kind decide.FleetKind
	list serverList
}

func (n fleetNews) apply(l *loop) { l.fleet(n.kind, n.list) }

// watcher follows discovery. It makes the calls that a pacer of package watch names, and hands on what they tell.
type watcher struct {
	client  *http.Client
	base    string
	wait    time.Duration // of a watch; this and the next two: 0 for what package watch says
	over    time.Duration // past its wait a watch is given up
	check   time.Duration // a call that does not wait is given up, at first
	agent   bool          // lists are pushed to an agent, which is asked here
	known   bool          // the list is held already, as of the version
	version uint64
	pause   func(context.Context, time.Duration)
	post    func(event)
	hearing hearing // is told once discovery answers
	metrics *telemetry.Metrics
	log     *slog.Logger
}

func newWatcher(addr netip.AddrPort, post func(event), log *slog.Logger) *watcher {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: connectWithin}).DialContext,
		MaxIdleConns: 1, DisableCompression: true, MaxResponseHeaderBytes: headMost}
	return &watcher{client: &http.Client{Transport: transport, CheckRedirect: stay}, base: "http://" + addr.String() + "/v1/servers",
		pause: sleep, post: post, hearing: newHearing(), metrics: telemetry.New(), log: log}
}

// stay refuses redirects: lists come from the configured address and from nowhere else.
func stay(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// follow watches discovery at an address, and from each move on at the new one. A move calls off what waits at
// the old address and begins with the whole list of the new one, only after the old watcher has ended: versions
// of the two tell nothing of each other, so their changes must never be mixed. Until the new one answers, the
// list last told stays.
//
// At the start the watch goes on from the list that the gateway was started with, if that is a whole one: a fleet
// that is restarted at once would else ask for every list twice, whole and then to be watched.
func follow(ctx context.Context, cfg Config, moves <-chan netip.AddrPort, post func(event), m *telemetry.Metrics, hearing hearing, log *slog.Logger) {
	addr, held := cfg.Discovery, cfg.Known
	for ctx.Err() == nil {
		at, cancel := context.WithCancel(ctx)
		w, ended := newWatcher(addr, post, log), make(chan struct{})
		w.agent, w.hearing, w.metrics = !cfg.Settings.Decide.Subscribe, hearing, m
		w.known, w.version = held.Full && len(held.Servers) > 0, held.Version
		held = serverList{}
		go func() {
			defer close(ended)
			w.run(at)
		}()
		select {
		case addr = <-moves:
		case <-ctx.Done():
		}
		cancel()
		<-ended
	}
}

// run makes one call after the other until the context ends.
func (w *watcher) run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	begun, failing, long := time.Now(), false, false
	pacer := watch.New(watch.Config{Agent: w.agent, Held: w.known, Version: w.version, Wait: w.wait, Over: w.over, Check: w.check},
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	for ctx.Err() == nil {
		call := pacer.Next(time.Since(begun))
		url := w.base
		if call.Kind != watch.Whole {
			url = fmt.Sprintf("%s?after=%d&wait_ms=%d", w.base, call.After, call.Wait.Milliseconds())
		}
		list, err := w.fetch(ctx, url, call.Within)
		w.metrics.DiscoveryCalls.Inc(end(err).String())
		step := pacer.Done(time.Since(begun), watch.Result{End: end(err), Version: list.Version, Full: list.Full, Entries: len(list.Servers)})
		err = cmp.Or(err, step.Err)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, errTooLong) && !long: // calls alone never mend it
			w.log.Error("the list of servers can't be taken, the last one stays", "err", err)
		case err != nil && !failing:
			w.log.Warn("discovery is failing", "err", err)
		}
		failing, long = err != nil, errors.Is(err, errTooLong) || long && err != nil
		if step.Take {
			kind := decide.FleetDelta
			if list.Full {
				kind = decide.FleetFull
			}
			w.post(fleetNews{kind, list})
		}
		if step.Heard {
			signal(w.hearing.heard)
		}
		if step.Pause > 0 {
			w.pause(ctx, step.Pause)
		}
	}
}

// end says how a call ended that fetch returned with err.
func end(err error) watch.End {
	var slow net.Error
	switch {
	case err == nil:
		return watch.Answered
	case errors.Is(err, errOverbooked):
		return watch.Refused
	case errors.As(err, &slow) && slow.Timeout(): // context.DeadlineExceeded is one as well
		return watch.TimedOut
	}
	return watch.Failed
}

// fetch makes one call, which is given up after within. That includes the body, but for an agent's: one that has begun to answer is
// not silent, and gets the time that a long list takes on a busy machine. It fails with errOverbooked where discovery
// turns it away and with errTooLong where the list has more than listMost bytes. An answer that is cut is an error: where
// it has a length or is chunked, as that says so; where its end is that of the connection, as a reset is no end and an
// object without its last brace no JSON. What is cut behind that brace has come whole; more behind it than blanks is an
// error again.
func (w *watcher) fetch(ctx context.Context, url string, within time.Duration) (serverList, error) {
	call, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	limit := time.AfterFunc(within, func() { giveUp(context.DeadlineExceeded) })
	defer limit.Stop()
	req, err := http.NewRequestWithContext(call, http.MethodGet, url, nil)
	if err != nil {
		return serverList{}, fmt.Errorf("making a call: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return serverList{}, fmt.Errorf("calling discovery: %w", callError(call, err))
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		signal(w.hearing.begun)
		if w.agent {
			limit.Reset(watch.AnswerWithin)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		io.CopyN(io.Discard, resp.Body, headMost) // so that the connection can be used again; an error only costs that
		return serverList{}, fmt.Errorf("%w: %s", errOverbooked, resp.Status)
	default:
		return serverList{}, fmt.Errorf("discovery answered %s", resp.Status)
	}
	list, err := readList(resp.Body, resp.ContentLength)
	if err != nil {
		return serverList{}, callError(call, err)
	}
	return list, nil
}

// callError is why a call failed with err: its time was over, or what err says.
func callError(call context.Context, err error) error {
	if cause := context.Cause(call); errors.Is(cause, context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// readList reads a list of length bytes, or up to the end where length is below 0.
func readList(body io.Reader, length int64) (serverList, error) {
	if length > listMost {
		return serverList{}, fmt.Errorf("%w: %d bytes, a gateway takes at most %d", errTooLong, length, listMost)
	}
	raw, err := io.ReadAll(io.LimitReader(body, listMost+1))
	if err != nil {
		return serverList{}, fmt.Errorf("reading the list: %w", err)
	}
	if len(raw) > listMost {
		return serverList{}, fmt.Errorf("%w: %d bytes and more, a gateway takes at most %d", errTooLong, listMost, listMost)
	}
	var list serverList
	if err := json.Unmarshal(raw, &list); err != nil {
		return serverList{}, fmt.Errorf("reading the list: %w", err)
	}
	return list, nil
}

// sleep waits, or less if the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// server is the entry in the module's words. The loop's clock counts from the Unix epoch, as start times do.
func (e *serverEntry) server() decide.Server {
	state, err := e.state()
	if err != nil {
		state = decide.Gone // unreachable for a checked list
	}
	return decide.Server{ID: e.ID, Address: e.Addr, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, State: state,
		Started: time.Duration(e.StartedMS) * time.Millisecond, Weight: e.Weight}
}
