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

// DiscoveryMode says how discovery treats calls.
type DiscoveryMode string

// The modes of discovery.
const (
	DiscoveryServe  DiscoveryMode = "serve"
	DiscoverySilent DiscoveryMode = "silent" // nothing is answered
	DiscoveryBusy   DiscoveryMode = "busy"   // calls are turned away
	DiscoveryReset  DiscoveryMode = "reset"  // connections end under the calls
	DiscoverySlow   DiscoveryMode = "slow"   // answers begin at once and take their time
)

// slowAnswer is how long a slow answer takes once it has begun, as a long list does on a busy machine.
const slowAnswer = 700 * time.Millisecond

// Entry is a card server in a list.
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

// List is discovery's answer.
type List struct {
	Version uint64  `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// DiscoveryCommand changes what discovery tells, or how.
type DiscoveryCommand struct {
	Mode       DiscoveryMode `json:"mode,omitempty"`
	Change     []Entry       `json:"change,omitempty"`
	DropWatch  bool          `json:"drop_watch,omitempty"`  // open watches fall silent: what they wait for never comes
	WholeLists bool          `json:"whole_lists,omitempty"` // from now on whole lists are told in place of changes
}

// discovery is a stand-in for discovery. Each gateway has addresses of its own, so that it is known who asks.
type discovery struct {
	reporter *reporter
	mu       sync.Mutex
	mode     DiscoveryMode
	whole    bool
	version  uint64
	entries  map[string]Entry
	versions map[string]uint64
	changed  chan struct{} // closed at each change of list or mode
	epoch    int           // of watches: those of an earlier one are silent
}

// RunDiscovery serves on the addresses of each gateway until the input ends.
func RunDiscovery(addrs [][]string, entries []Entry, commands io.Reader, events io.Writer) error {
	d := &discovery{reporter: newReporter(events), mode: DiscoveryServe, version: 1, entries: map[string]Entry{},
		versions: map[string]uint64{}, changed: make(chan struct{})}
	for _, e := range entries {
		d.entries[e.ID], d.versions[e.ID] = e, 1
	}
	for gateway, own := range addrs {
		for number, addr := range own {
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				return fmt.Errorf("discovery: %w", err)
			}
			handler := func(w http.ResponseWriter, r *http.Request) {
				d.reporter.report(Event{Type: EventAsked, Gateway: gateway, Address: number})
				d.serve(gateway, w, r)
			}
			go http.Serve(ln, http.HandlerFunc(handler))
		}
	}
	d.reporter.report(Event{Type: EventReady})
	readLines(commands, d.command)
	return nil
}

func (d *discovery) command(c DiscoveryCommand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Mode != "" {
		d.mode = c.Mode
	}
	d.whole = d.whole || c.WholeLists
	if len(c.Change) > 0 {
		d.version++
		for _, e := range c.Change {
			d.entries[e.ID], d.versions[e.ID] = e, d.version
		}
	}
	if c.DropWatch {
		d.epoch++
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// next waits for what a call is to be told. ok is false where the call is never answered, or is ended.
func (d *discovery) next(ctx context.Context, after uint64, hasAfter bool, wait time.Duration) (list List, mode DiscoveryMode, ok bool) {
	timeout := time.After(wait)
	d.mu.Lock()
	epoch := d.epoch
	d.mu.Unlock()
	for expired := false; ; {
		d.mu.Lock()
		mode, changed, silent := d.mode, d.changed, d.epoch != epoch && hasAfter && wait > 0
		list := d.list(after, hasAfter)
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

// list is what has changed since a version; the caller holds the lock.
func (d *discovery) list(after uint64, hasAfter bool) List {
	l := List{Version: d.version, Full: !hasAfter || d.whole && d.version > after, Servers: []Entry{}}
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

func (d *discovery) serve(gateway int, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	list, mode, ok := d.next(r.Context(), after, err == nil, time.Duration(wait)*time.Millisecond)
	switch {
	case !ok:
		return
	case mode == DiscoveryBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case mode == DiscoveryReset:
		panic(http.ErrAbortHandler) // ends the connection
	}
	if mode == DiscoverySlow {
		w.WriteHeader(http.StatusOK)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(slowAnswer)
	}
	if json.NewEncoder(w).Encode(list) != nil {
		return
	}
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	at := Now()
	told := map[string]bool{}
	for _, e := range list.Servers {
		told[e.ID] = true
		d.reporter.report(Event{Type: EventNotified, At: at, Gateway: gateway, Server: e.ID, State: e.State, StartedMS: e.StartedMS})
	}
	if !list.Full {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.entries { // what a whole list leaves out is gone
		if !told[id] {
			d.reporter.report(Event{Type: EventNotified, At: at, Gateway: gateway, Server: id, State: "removed"})
		}
	}
}
