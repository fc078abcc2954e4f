package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry describes a card server in a list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// list is an answer of discovery.
type list struct {
	Version uint64  `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in for the agent on a gateway's machine. It answers at once with what it has been sent, and a
// watch as soon as there is a change.
type discovery struct {
	addr     string
	mu       sync.Mutex
	version  uint64
	entries  []entry
	versions map[string]uint64
	changed  chan struct{} // closed at each change
	delay    time.Duration // before each answer
}

func startDiscovery(entries []entry, delay time.Duration) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: ln.Addr().String(), version: 1, entries: entries, versions: map[string]uint64{},
		changed: make(chan struct{}), delay: delay}
	for _, e := range entries {
		d.versions[e.ID] = 1
	}
	go http.Serve(ln, http.HandlerFunc(d.serve))
	return d, nil
}

// change changes the state of a card server.
func (d *discovery) change(number int, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.entries[number].State = state
	d.versions[d.entries[number].ID] = d.version
	close(d.changed)
	d.changed = make(chan struct{})
}

// since returns the entries that changed after a version, or the whole list if full is set.
func (d *discovery) since(version uint64, full bool) (list, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Version: d.version, Full: full, Servers: []entry{}}
	for _, e := range d.entries {
		if full && e.State != "removed" || !full && d.versions[e.ID] > version {
			l.Servers = append(l.Servers, e)
		}
	}
	return l, d.changed
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	l, changed := d.since(after, err != nil)
	if !l.Full && len(l.Servers) == 0 && wait > 0 {
		select {
		case <-changed:
			l, _ = d.since(after, false)
		case <-timeout:
		case <-r.Context().Done():
			return
		}
	}
	time.Sleep(d.delay)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(l)
}
