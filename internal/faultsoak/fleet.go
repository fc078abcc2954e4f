package faultsoak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"winghatch/internal/platform"
)

// Ports on the loopback addresses of a run.
const (
	gatewayPort   = 6379
	peerPort      = 7946
	discoveryPort = 8500
	serverPort    = 6400
	proxyPort     = 6379
	metricsPort   = 9100
)

const (
	readyMost       = 30 * time.Second // "no gateway takes over 30 s to be ready"
	discoveryAddrs  = 4                // of each gateway: where it can be moved to
	smallPipe       = 4 << 10          // bytes: the least that the kernel allows
	shutdownLongest = 3 * time.Second  // "SIGKILL comes no sooner than the longest deadline (counted as 3 s where longer) ..."
	shutdownMore    = 700 * time.Millisecond
)

// LogMode says what happens to what a gateway writes to its standard error.
type LogMode string

// The modes of logs.
const (
	LogFile    LogMode = "file"
	LogBlocked LogMode = "blocked" // nobody reads the pipe
	LogClosed  LogMode = "closed"  // nobody has the other end of the pipe
)

// server is one card server, over all its processes.
type server struct {
	entry     Entry
	number    int
	mu        sync.Mutex
	proc      *process
	life      int
	wallAhead time.Duration // of its machine's clock
	busy      bool          // a trouble has it in hand
}

// fleet is everything that runs.
type fleet struct {
	options   Options
	dir       string
	settings  Profile
	oracle    *oracle
	clients   *clients
	gateways  []*gateway
	servers   []*server
	discovery *process
	proxy     *process
	rng       *lockedRand
	network   int // second byte of the run's loopback addresses
	log       func(format string, args ...any)
}

func (f *fleet) addr(role, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.network, role, number+1, port)
}

// Third bytes of the addresses.
const (
	roleGateway = iota + 1
	roleServer
	roleProxy
	roleDiscovery
)

func (f *fleet) discoveryAddr(gateway, address int) string {
	return f.addr(roleDiscovery+address, gateway, discoveryPort)
}

// standIn starts a role of this program.
func (f *fleet) standIn(name, role string, config any, handle func(Event)) (*process, error) {
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(f.options.Self, role, string(raw))
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stderr = log
	ready := make(chan struct{}, 1)
	p, err := startProcess(name, cmd, func(e Event) {
		if e.Type == EventReady {
			ready <- struct{}{}
			return
		}
		if handle != nil {
			handle(e)
		}
	})
	if err != nil {
		return nil, err
	}
	select {
	case <-ready:
		return p, nil
	case <-p.ended:
		return nil, fmt.Errorf("%s ended at its start, see its log", name)
	case <-time.After(readyMost):
		return nil, fmt.Errorf("%s was not ready", name)
	}
}

func (f *fleet) startServer(s *server) error {
	cfg := ServerConfig{ID: s.entry.ID, Listen: f.addr(roleServer, s.number, serverPort), Life: s.life, ServiceMS: f.options.ServiceMS,
		Workers: f.options.Workers}
	p, err := f.standIn(fmt.Sprintf("server%d", s.number), RoleServer, cfg, f.oracle.event)
	if err != nil {
		return err
	}
	s.proc = p
	return nil
}

// DiscoveryConfig is what the discovery role is told.
type DiscoveryConfig struct {
	Addrs   [][]string
	Entries []Entry
}

func (f *fleet) start() error {
	var routes []Route
	var entries []Entry
	for i := range f.options.Servers {
		s := &server{number: i, entry: Entry{ID: fmt.Sprintf("s-%02d", i), Addr: f.addr(roleProxy, i, proxyPort), Zone: "a", Kind: "std",
			Cell: i % 3, State: "up", Weight: 1}}
		f.settings.Cells[s.entry.ID] = s.entry.Cell
		f.servers = append(f.servers, s)
		entries = append(entries, s.entry)
		routes = append(routes, Route{s.entry.ID, f.addr(roleProxy, i, proxyPort), f.addr(roleServer, i, serverPort)})
		if err := f.startServer(s); err != nil {
			return err
		}
	}
	var err error
	if f.proxy, err = f.standIn("proxy", RoleProxy, routes, nil); err != nil {
		return err
	}
	config := DiscoveryConfig{Entries: entries}
	for g := range f.options.Gateways {
		var own []string
		for a := range discoveryAddrs {
			own = append(own, f.discoveryAddr(g, a))
		}
		config.Addrs = append(config.Addrs, own)
	}
	if f.discovery, err = f.standIn("discovery", RoleDiscovery, config, f.oracle.event); err != nil {
		return err
	}
	for i := range f.options.Gateways {
		g := &gateway{number: i}
		f.gateways = append(f.gateways, g)
		if err := f.startGateway(g, platform.Script{}, LogFile); err != nil {
			return err
		}
	}
	for _, g := range f.gateways {
		f.awaitReady(g)
	}
	return nil
}

// restartServer ends a card server and starts it again, cold. Its entry tells the new start.
func (f *fleet) restartServer(s *server, down time.Duration, step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proc.signal(syscall.SIGKILL)
	s.proc.wait(readyMost)
	time.Sleep(down)
	s.life++
	s.wallAhead = step
	s.entry.State = "up"
	s.entry.StartedMS = time.Now().Add(step).UnixMilli()
	f.oracle.life(s.entry.ID, s.life, serverLife{Now(), s.entry.StartedMS, step != 0})
	if err := f.startServer(s); err != nil {
		f.log("%v", err)
		return
	}
	f.discovery.send(DiscoveryCommand{Change: []Entry{s.entry}})
}

func (f *fleet) tell(s *server, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.State = state
	f.discovery.send(DiscoveryCommand{Change: []Entry{s.entry}})
}

// stop ends everything.
func (f *fleet) stop() {
	f.oracle.close()
	for _, g := range f.gateways {
		if g.proc != nil {
			g.proc.signal(syscall.SIGKILL)
		}
		for _, end := range g.held {
			end.Close()
		}
	}
	for _, s := range f.servers {
		if s.proc != nil {
			s.proc.signal(syscall.SIGKILL)
		}
	}
	for _, p := range []*process{f.discovery, f.proxy} {
		if p != nil {
			p.signal(syscall.SIGKILL)
		}
	}
}

// readLogs looks for what the gateways found themselves.
func (f *fleet) readLogs() {
	for _, g := range f.gateways {
		for _, path := range g.logs {
			raw, err := os.ReadFile(path)
			if err != nil {
				f.log("%v", err)
				continue
			}
			for _, line := range strings.Split(string(raw), "\n") {
				for _, mark := range logMarks {
					if strings.Contains(line, mark) {
						f.oracle.violate(RuleInvariant, "gateway %d: %.300s", g.number, line)
					}
				}
			}
		}
	}
}
