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

// Ports on the loopback addresses of a run. Gateways and proxy routes have different addresses, so they share a port.
const (
	gatewayPort   = 6379
	peerPort      = 7946
	discoveryPort = 8500
	serverPort    = 6400
	proxyPort     = 6379
	metricsPort   = 9100
)

// After SIGTERM a gateway has the longest deadline of a request, counted as at most maxShutdownDeadline, plus
// shutdownMargin before it is killed with SIGKILL.
const (
	readyTimeout             = 30 * time.Second // requirement: a gateway is ready within 30 s of its start
	discoveryAddrsPerGateway = 4                // a new configuration moves a gateway to the next of these
	minPipeBytes             = 4 << 10          // the smallest pipe that the kernel allows
	maxShutdownDeadline      = 3 * time.Second
	shutdownMargin           = 700 * time.Millisecond
)

// LogMode selects where a gateway's standard error goes.
type LogMode string

// The modes of logs.
const (
	LogFile    LogMode = "file"
	LogBlocked LogMode = "blocked" // a pipe that nothing reads
	LogClosed  LogMode = "closed"  // a pipe whose read end is closed
)

// server is one card server of the fleet across all its restarts.
type server struct {
	entry       Entry
	number      int
	mu          sync.Mutex
	proc        *process
	incarnation int           // number of its process, starting at 0
	clockOffset time.Duration // how far its machine's wall clock is ahead
	claimed     bool          // a fault scenario is using it
}

// fleet holds all processes and clients of a run.
type fleet struct {
	options   Options
	dir       string
	profile   Profile
	oracle    *oracle
	clients   *clients
	gateways  []*gateway
	servers   []*server
	discovery *process
	proxy     *process
	rng       *lockedRand
	network   int                              // second byte of the run's loopback addresses
	log       func(format string, args ...any) // writes a line to the log of the run
}

// addr returns the loopback address of a process, from its role, its number within the role and a port.
func (f *fleet) addr(role, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.network, role, number+1, port)
}

// Third bytes of the loopback addresses. Discovery uses one for each of a gateway's discovery addresses, from
// roleDiscovery on.
const (
	roleGateway = iota + 1
	roleServer
	roleProxy
	roleDiscovery
)

// discoveryAddr returns one of the discovery addresses of a gateway.
func (f *fleet) discoveryAddr(gateway, address int) string {
	return f.addr(roleDiscovery+address, gateway, discoveryPort)
}

// startStandIn starts this program in one of its roles as a child process, and waits until it reports that it is ready.
func (f *fleet) startStandIn(name, role string, config any, handle func(Event)) (*process, error) {
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
		return nil, fmt.Errorf("%s exited before it was ready, see its log", name)
	case <-time.After(readyTimeout):
		return nil, fmt.Errorf("%s did not report ready within 30 s", name)
	}
}

// startServer starts the current incarnation of a card server.
func (f *fleet) startServer(s *server) error {
	cfg := ServerConfig{ID: s.entry.ID, Listen: f.addr(roleServer, s.number, serverPort), Life: s.incarnation, ServiceMS: f.options.ServiceMS,
		Workers: f.options.Workers}
	p, err := f.startStandIn(fmt.Sprintf("server%d", s.number), RoleServer, cfg, f.oracle.handleEvent)
	if err != nil {
		return err
	}
	s.proc = p
	return nil
}

// DiscoveryConfig is the configuration of the discovery role. Addrs holds the listen addresses by gateway.
type DiscoveryConfig struct {
	Addrs   [][]string
	Entries []Entry
}

// start starts all processes: card servers, proxy, discovery and gateways. It waits until the gateways are ready.
func (f *fleet) start() error {
	var routes []Route
	var entries []Entry
	for i := range f.options.Servers {
		s := &server{number: i, entry: Entry{ID: fmt.Sprintf("s-%02d", i), Addr: f.addr(roleProxy, i, proxyPort), Zone: "a", Kind: "std",
			Cell: i % 3, State: "up", Weight: 1}}
		f.profile.Cells[s.entry.ID] = s.entry.Cell
		f.servers = append(f.servers, s)
		entries = append(entries, s.entry)
		routes = append(routes, Route{s.entry.ID, f.addr(roleProxy, i, proxyPort), f.addr(roleServer, i, serverPort)})
		if err := f.startServer(s); err != nil {
			return err
		}
	}
	var err error
	if f.proxy, err = f.startStandIn("proxy", RoleProxy, routes, nil); err != nil {
		return err
	}
	config := DiscoveryConfig{Entries: entries}
	for g := range f.options.Gateways {
		var gatewayAddrs []string
		for a := range discoveryAddrsPerGateway {
			gatewayAddrs = append(gatewayAddrs, f.discoveryAddr(g, a))
		}
		config.Addrs = append(config.Addrs, gatewayAddrs)
	}
	if f.discovery, err = f.startStandIn("discovery", RoleDiscovery, config, f.oracle.handleEvent); err != nil {
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

// restartServer kills a card server, waits for the given downtime and starts it again. The new process is in slow
// start, and its entry in discovery carries the new start time, read from a wall clock that is clockOffset ahead.
func (f *fleet) restartServer(s *server, downtime time.Duration, clockOffset time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proc.signal(syscall.SIGKILL)
	s.proc.wait(readyTimeout)
	time.Sleep(downtime)
	s.incarnation++
	s.clockOffset = clockOffset
	s.entry.State = "up"
	s.entry.StartedMS = time.Now().Add(clockOffset).UnixMilli()
	f.oracle.recordIncarnation(s.entry.ID, s.incarnation, serverIncarnation{Now(), s.entry.StartedMS, clockOffset != 0})
	if err := f.startServer(s); err != nil {
		f.log("restarting card server: %v", err)
		return
	}
	f.discovery.send(DiscoveryCommand{Change: []Entry{s.entry}})
}

// announceState sets the state of a card server in discovery's list.
func (f *fleet) announceState(s *server, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.State = state
	f.discovery.send(DiscoveryCommand{Change: []Entry{s.entry}})
}

// stop kills all processes.
func (f *fleet) stop() {
	f.oracle.close()
	for _, g := range f.gateways {
		if g.proc != nil {
			g.proc.signal(syscall.SIGKILL)
		}
		for _, pipe := range g.unreadPipes {
			pipe.Close()
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

// checkLogs searches the gateways' logs for panics and for invariant violations that the gateways detected themselves.
func (f *fleet) checkLogs() {
	for _, g := range f.gateways {
		for _, path := range g.logs {
			raw, err := os.ReadFile(path)
			if err != nil {
				f.log("reading a gateway's log: %v", err)
				continue
			}
			for _, line := range strings.Split(string(raw), "\n") {
				for _, marker := range failureLogMarkers {
					if strings.Contains(line, marker) {
						f.oracle.recordViolation(RuleInvariant, "gateway %d: %.300s", g.number, line)
					}
				}
			}
		}
	}
}
