package faultsoak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"winghatch/internal/platform"
	"winghatch/internal/telemetry"
)

// gateway is one gateway of the fleet, over all its processes.
type gateway struct {
	number  int
	mu      sync.Mutex
	proc    *process
	life    int
	address int // of discovery, by its number
	logs    []string
	held    []*os.File // pipes' ends that nobody reads
}

// gatewayConfig has the keys of a gateway's configuration file.
type gatewayConfig struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"`
	Limits     gatewayLimits   `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	Known      List            `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

type gatewayLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

func (f *fleet) configPath(g *gateway) string {
	return filepath.Join(f.dir, fmt.Sprintf("gateway%d.json", g.number))
}

func (f *fleet) config(g *gateway) []byte {
	c := gatewayConfig{Name: fmt.Sprintf("n%d", g.number), Listen: f.addr(roleGateway, g.number, gatewayPort),
		Discovery: f.discoveryAddr(g.number, g.address), Seed: fmt.Sprintf("%x", f.rng.intN(1<<30)),
		Limits:     gatewayLimits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		PeerListen: f.addr(roleGateway, g.number, peerPort), Settings: f.settings.settings(g.number)}
	for i := range f.options.Gateways {
		c.Peers = append(c.Peers, f.addr(roleGateway, i, peerPort))
	}
	c.Known = List{Version: 1, Full: true}
	for _, s := range f.servers {
		s.mu.Lock()
		if s.life == 0 { // as it last had it, which may be long ago
			c.Known.Servers = append(c.Known.Servers, s.entry)
		}
		s.mu.Unlock()
	}
	raw, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		panic(err) // plain structs
	}
	return raw
}

// startGateway starts the next process of a gateway.
func (f *fleet) startGateway(g *gateway, script platform.Script, logs LogMode) error {
	if err := os.WriteFile(f.configPath(g), f.config(g), 0o600); err != nil {
		return err
	}
	faults, err := json.Marshal(script)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.options.GatewayProgram)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+f.configPath(g), "GW_FAULTS="+string(faults),
		"GW_METRICS="+f.addr(roleGateway, g.number, metricsPort))
	stderr, err := f.stderr(g, logs)
	if err != nil {
		return err
	}
	defer stderr.Close()
	cmd.Stderr = stderr
	p, err := startProcess(fmt.Sprintf("gateway%d", g.number), cmd, nil)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.proc = p
	g.life++
	g.mu.Unlock()
	f.oracle.change(func() {
		f.oracle.starts[g.number] = append(f.oracle.starts[g.number], gatewayStart{Now(), script.WallOffsetMS != 0})
	})
	go f.watchGateway(g, p)
	return nil
}

// stderr opens what a gateway writes its log to.
func (f *fleet) stderr(g *gateway, mode LogMode) (*os.File, error) {
	if mode == LogFile {
		path := filepath.Join(f.dir, fmt.Sprintf("gateway%d.%d.log", g.number, g.life))
		g.logs = append(g.logs, path)
		return os.Create(path)
	}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	if _, err := unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, smallPipe); err != nil {
		return nil, fmt.Errorf("setting the size of a pipe: %w", err)
	}
	if mode == LogClosed {
		r.Close()
	} else {
		g.held = append(g.held, r)
	}
	return w, nil
}

// watchGateway notes an end that nobody asked for, and starts the gateway again.
func (f *fleet) watchGateway(g *gateway, p *process) {
	began := Now()
	<-p.ended
	if p.isExpected() || f.oracle.isClosed() {
		return
	}
	f.oracle.violate(RuleCrash, "gateway %d ended by itself %v after its start: %v", g.number, Now().Sub(began), p.err)
	at := Now()
	f.replace(g, kill{begun: at, spares: at, outright: true})
}

// replace starts a gateway again after its process has ended, and waits until it is ready.
func (f *fleet) replace(g *gateway, k kill) {
	script, logs := f.startFaults(), f.logMode()
	f.log("gateway %d starts with faults %+v, log %s", g.number, script, logs)
	if err := f.startGateway(g, script, logs); err != nil {
		f.log("gateway %d: %v", g.number, err)
		return
	}
	f.awaitReady(g)
	k.ended = Now()
	f.oracle.change(func() { f.oracle.kills[g.number] = append(f.oracle.kills[g.number], k) })
}

// awaitReady waits until a gateway answers PING, and lets the front send there.
func (f *fleet) awaitReady(g *gateway) {
	g.mu.Lock()
	p := g.proc
	g.mu.Unlock()
	for begun := time.Now(); time.Since(begun) < readyMost; time.Sleep(5 * time.Millisecond) {
		if !p.running() {
			return // noted as a crash, unless its end was asked for
		}
		if ping(f.clients.addrs[g.number]) {
			f.clients.setUsable(g.number, true)
			return
		}
	}
	f.oracle.violate(RuleReady, "gateway %d was not ready in %v", g.number, readyMost)
}

func ping(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(500*time.Millisecond)) != nil {
		return false
	}
	if _, err := conn.Write(appendCommand(nil, "PING")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

func (c *clients) setUsable(gateway int, usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usable[gateway] = usable
}

// killGateway kills a gateway outright and starts it again.
func (f *fleet) killGateway(g *gateway) {
	p := f.claim(g)
	if p == nil {
		return
	}
	at := Now()
	p.signal(syscall.SIGKILL)
	p.wait(readyMost)
	f.replace(g, kill{begun: at, spares: Now(), outright: true})
}

// claim takes a gateway's process to end it. It is nil if somebody else ends it already.
func (f *fleet) claim(g *gateway) *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.proc.isExpected() || !g.proc.running() {
		return nil
	}
	g.proc.mu.Lock()
	defer g.proc.mu.Unlock()
	g.proc.expected = true
	return g.proc
}

// restartGateway is a planned restart: SIGTERM, connections for a while yet, and SIGKILL once the grace is over.
func (f *fleet) restartGateway(g *gateway) {
	p := f.claim(g)
	if p == nil {
		return
	}
	p.signal(syscall.SIGTERM)
	at := Now()
	front := f.rng.between(newConnectionsLeast, newConnectionsMost)
	if f.rng.chance(0.5) {
		front = newConnectionsMost
		f.clients.tasks.Go(func() { f.holdUpAtTheStop(g, p) })
	}
	time.Sleep(front)
	f.clients.setUsable(g.number, false)
	grace := min(f.settings.Deadline, shutdownLongest) + shutdownMore
	killed := at
	if !p.wait(grace - Now().Sub(at)) {
		f.log("gateway %d still ran %v after SIGTERM and was killed", g.number, grace)
		killed = at.Add(shutdownMore)
		p.signal(syscall.SIGKILL)
		p.wait(readyMost)
	} else {
		killed = 0 // it ended by itself: nothing is free
	}
	f.replace(g, kill{begun: at, spares: killed})
}

// holdUpAtTheStop holds a stopping gateway up, as long as the pages allow, while the last new connections come.
func (f *fleet) holdUpAtTheStop(g *gateway, p *process) {
	time.Sleep(f.rng.between(newConnectionsMost-50*time.Millisecond, newConnectionsMost-10*time.Millisecond))
	p.signal(syscall.SIGSTOP)
	for range 10 {
		f.clients.tasks.Go(func() { newcomerClient(f.clients, g.number) })
	}
	time.Sleep(f.rng.between(100*time.Millisecond, heldUp))
	p.signal(syscall.SIGCONT)
}

// "For 0.2 to 0.4 s new connections go on coming" after SIGTERM.
const (
	newConnectionsLeast = 200 * time.Millisecond
	newConnectionsMost  = 400 * time.Millisecond
)

// violationsMetric is the name of the counters of invariants that a gateway found broken.
const violationsMetric = "gateway_invariant_violations_total"

// readMetrics looks at the counters of the gateways that run: a log may be one that nobody reads.
func (f *fleet) readMetrics() {
	client := http.Client{Timeout: 2 * time.Second}
	for _, g := range f.gateways {
		g.mu.Lock()
		p := g.proc
		g.mu.Unlock()
		if !p.running() || p.isExpected() {
			continue
		}
		resp, err := client.Get("http://" + f.addr(roleGateway, g.number, metricsPort) + telemetry.Path)
		if err != nil {
			f.log("gateway %d: no counters: %v", g.number, err) // its system calls may be failing
			continue
		}
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), violationsMetric) {
				f.oracle.violate(RuleInvariant, "gateway %d: %s", g.number, lines.Text())
			}
		}
		resp.Body.Close()
	}
}

// Marks of trouble in a gateway's log.
var logMarks = []string{"invariant violated", "panic", "left open past its deadline"}
