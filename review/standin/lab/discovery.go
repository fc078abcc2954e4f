package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a card server in discovery's list.
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

// List is an answer of discovery.
type List struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Agent is the agent of discovery on a gateway's machine. It answers at once with what it has.
type Agent struct {
	Addr string

	mu      sync.Mutex
	version int
	entries map[string]Entry
	changed map[string]int // version of the latest change, by id
	news    chan struct{}
}

// StartAgent starts an agent that has a list.
func (l *Lab) StartAgent(entries []Entry) *Agent {
	a := &Agent{version: 1, entries: map[string]Entry{}, changed: map[string]int{}, news: make(chan struct{})}
	for _, e := range entries {
		a.entries[e.ID], a.changed[e.ID] = e, 1
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.NotRun("agent: %v", err)
	}
	a.Addr = ln.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(a.serve)}
	go server.Serve(ln)
	l.Cleanup(func() { server.Close() })
	return a
}

// Known returns the whole list.
func (a *Agent) Known() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list(0, false)
}

func (a *Agent) list(after int, hasAfter bool) List {
	list := List{Version: a.version, Full: !hasAfter, Servers: []Entry{}}
	for id, e := range a.entries {
		if !hasAfter || a.changed[id] > after {
			list.Servers = append(list.Servers, e)
		}
	}
	return list
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.Atoi(query.Get("after"))
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	expired := time.After(time.Duration(waitMS) * time.Millisecond)
	for over := false; ; {
		a.mu.Lock()
		list, news := a.list(after, err == nil), a.news
		a.mu.Unlock()
		if list.Full || len(list.Servers) > 0 || over {
			json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-news:
		case <-expired:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
