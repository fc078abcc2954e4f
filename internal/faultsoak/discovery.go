package faultsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// DiscoveryMode selects how discovery handles calls.
type DiscoveryMode string

// The modes of discovery.
const (
	DiscoveryServe  DiscoveryMode = "serve"
	DiscoverySilent DiscoveryMode = "silent" // answers nothing
	DiscoveryBusy   DiscoveryMode = "busy"   // answers with status 503
	DiscoveryReset  DiscoveryMode = "reset"  // closes the connection instead of answering
	DiscoverySlow   DiscoveryMode = "slow"   // sends the headers at once and the body later
)

// slowAnswerDelay is the time between the headers and the body of a slow answer. A long list on a busy machine takes as
// long.
const slowAnswerDelay = 700 * time.Millisecond

// Entry describes a card server in a list.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// List is an answer of discovery. A list that is not full holds only the entries changed since the version asked for.
type List struct {
	Version uint64  `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// DiscoveryCommand changes the list of card servers or how discovery answers.
type DiscoveryCommand struct {
	Mode           DiscoveryMode `json:"mode,omitempty"`
	Change         []Entry       `json:"change,omitempty"`
	SilenceWatches bool          `json:"drop_watch,omitempty"`  // long polls that are open now are never answered
	FullLists      bool          `json:"whole_lists,omitempty"` // from now on full lists are sent instead of changes
}

// discovery is a stand-in for the discovery service. Each gateway has its own addresses, which identify the caller.
type discovery struct {
	reporter   *reporter
	mu         sync.Mutex
	mode       DiscoveryMode
	fullLists  bool
	version    uint64
	entries    map[string]Entry
	versions   map[string]uint64
	changed    chan struct{} // closed at each command, which may change the list or the mode
	watchEpoch int           // long polls that began in an earlier epoch are never answered
}

// RunDiscovery serves on the addresses of each gateway until the command input ends.
func RunDiscovery(addrs [][]string, entries []Entry, commands io.Reader, events io.Writer) error {
	d := &discovery{reporter: newReporter(events), mode: DiscoveryServe, version: 1, entries: map[string]Entry{},
		versions: map[string]uint64{}, changed: make(chan struct{})}
	for _, e := range entries {
		d.entries[e.ID], d.versions[e.ID] = e, 1
	}
	for gateway, gatewayAddrs := range addrs {
		for number, addr := range gatewayAddrs {
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				return fmt.Errorf("discovery: %w", err)
			}
			handler := func(w http.ResponseWriter, r *http.Request) {
				d.reporter.report(Event{Type: EventQueried, Gateway: gateway, Address: number})
				d.serve(gateway, w, r)
			}
			go http.Serve(ln, http.HandlerFunc(handler))
		}
	}
	d.reporter.report(Event{Type: EventReady})
	readLines(commands, d.command)
	return nil
}

// command applies a command of the soak test, and wakes all waiting calls.
func (d *discovery) command(c DiscoveryCommand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Mode != "" {
		d.mode = c.Mode
	}
	d.fullLists = d.fullLists || c.FullLists
	if len(c.Change) > 0 {
		d.version++
		for _, e := range c.Change {
			d.entries[e.ID], d.versions[e.ID] = e, d.version
		}
	}
	if c.SilenceWatches {
		d.watchEpoch++
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// awaitList waits for the list that answers a call: the full list if the call names no version, else the changes
// since that version as soon as there are any, or an empty list once the wait is over. ok is false if the call has to
// stay unanswered or was cancelled.
func (d *discovery) awaitList(ctx context.Context, after uint64, hasAfter bool, wait time.Duration) (list List, mode DiscoveryMode, ok bool) {
	timeout := time.After(wait)
	d.mu.Lock()
	epoch := d.watchEpoch
	d.mu.Unlock()
	for expired := false; ; {
		d.mu.Lock()
		mode, changed, silent := d.mode, d.changed, d.watchEpoch != epoch && hasAfter && wait > 0
		list := d.changesSince(after, hasAfter)
		d.mu.Unlock()
		switch {
		case mode == DiscoveryBusy || mode == DiscoveryReset:
			return List{}, mode, true
		case (mode == DiscoveryServe || mode == DiscoverySlow) && !silent && (len(list.Servers) > 0 || !hasAfter || expired):
			return list, mode, true
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
			if mode == DiscoverySilent || silent {
				<-ctx.Done()
				return List{}, mode, false
			}
		case <-ctx.Done():
			return List{}, mode, false
		}
	}
}

// changesSince returns the entries changed since a version, or the full list. The caller holds the lock.
func (d *discovery) changesSince(after uint64, hasAfter bool) List {
	l := List{Version: d.version, Full: !hasAfter || d.fullLists && d.version > after, Servers: []Entry{}}
	for id, e := range d.entries {
		if l.Full && e.State != "removed" || !l.Full && d.versions[id] > after {
			l.Servers = append(l.Servers, e)
		}
	}
	slices.SortFunc(l.Servers, func(a, b Entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return l
}

// serve answers a call as the mode demands, and reports each entry sent to the gateway.
func (d *discovery) serve(gateway int, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	list, mode, ok := d.awaitList(r.Context(), after, err == nil, time.Duration(wait)*time.Millisecond)
	switch {
	case !ok:
		return
	case mode == DiscoveryBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case mode == DiscoveryReset:
		panic(http.ErrAbortHandler) // closes the connection
	}
	if mode == DiscoverySlow {
		w.WriteHeader(http.StatusOK)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(slowAnswerDelay)
	}
	if json.NewEncoder(w).Encode(list) != nil {
		return
	}
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	at := Now()
	sent := map[string]bool{}
	for _, e := range list.Servers {
		sent[e.ID] = true
		d.reporter.report(Event{Type: EventNotified, At: at, Gateway: gateway, Server: e.ID, State: e.State, StartedMS: e.StartedMS})
	}
	if !list.Full {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.entries { // a full list reports the servers missing from it as removed
		if !sent[id] {
			d.reporter.report(Event{Type: EventNotified, At: at, Gateway: gateway, Server: id, State: "removed"})
		}
	}
}
