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

// gateway is one gateway of the fleet across all its restarts.
type gateway struct {
	number           int
	mu               sync.Mutex
	proc             *process
	incarnation      int // number of processes started so far
	discoveryAddress int // number of the discovery address in its configuration file
	logs             []string
	unreadPipes      []*os.File // read ends of log pipes, kept open and never read
}

// gatewayConfig is a gateway's configuration file.
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

// config builds the configuration file for a gateway's next process.
func (f *fleet) config(g *gateway) []byte {
	c := gatewayConfig{Name: fmt.Sprintf("n%d", g.number), Listen: f.addr(roleGateway, g.number, gatewayPort),
		Discovery: f.discoveryAddr(g.number, g.discoveryAddress), Seed: fmt.Sprintf("%x", f.rng.intN(1<<30)),
		Limits:     gatewayLimits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		PeerListen: f.addr(roleGateway, g.number, peerPort), Settings: f.profile.encodeSettings(g.number)}
	for i := range f.options.Gateways {
		c.Peers = append(c.Peers, f.addr(roleGateway, i, peerPort))
	}
	c.Known = List{Version: 1, Full: true}
	for _, s := range f.servers {
		s.mu.Lock()
		if s.incarnation == 0 { // the gateway's saved list may be old: it lacks servers that have restarted since
			c.Known.Servers = append(c.Known.Servers, s.entry)
		}
		s.mu.Unlock()
	}
	raw, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		panic(err) // cannot happen: plain structs
	}
	return raw
}

// startGateway writes a gateway's configuration file and starts its next process with the given injected faults.
func (f *fleet) startGateway(g *gateway, script platform.Script, logMode LogMode) error {
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
	stderr, err := f.openLog(g, logMode)
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
	g.incarnation++
	g.mu.Unlock()
	f.oracle.withLock(func() {
		f.oracle.gatewayStarts[g.number] = append(f.oracle.gatewayStarts[g.number], gatewayStart{Now(), script.WallOffsetMS != 0})
	})
	go f.watchGateway(g, p)
	return nil
}

// openLog opens the file or pipe that becomes a gateway's standard error.
func (f *fleet) openLog(g *gateway, mode LogMode) (*os.File, error) {
	if mode == LogFile {
		path := filepath.Join(f.dir, fmt.Sprintf("gateway%d.%d.log", g.number, g.incarnation))
		g.logs = append(g.logs, path)
		return os.Create(path)
	}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	if _, err := unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, minPipeBytes); err != nil {
		return nil, fmt.Errorf("setting the size of a log pipe: %w", err)
	}
	if mode == LogClosed {
		r.Close()
	} else {
		g.unreadPipes = append(g.unreadPipes, r)
	}
	return w, nil
}

// watchGateway waits for a gateway's process to exit. It records an unexpected exit as a crash and restarts the
// gateway.
func (f *fleet) watchGateway(g *gateway, p *process) {
	began := Now()
	<-p.ended
	if p.isExpected() || f.oracle.isClosed() {
		return
	}
	f.oracle.recordViolation(RuleCrash, "gateway %d exited unexpectedly %v after its start: %v", g.number, Now().Sub(began), p.err)
	at := Now()
	f.restartAfterExit(g, outage{begun: at, exemptUntil: at, outright: true})
}

// restartAfterExit starts a gateway again after its process has ended, waits until it is ready and records the outage.
// The new process gets random injected faults and a random log mode.
func (f *fleet) restartAfterExit(g *gateway, down outage) {
	script, logMode := f.startFaults(), f.logMode()
	f.log("gateway %d restarts with faults %+v, log mode %s", g.number, script, logMode)
	if err := f.startGateway(g, script, logMode); err != nil {
		f.log("restarting gateway %d: %v", g.number, err)
		return
	}
	f.awaitReady(g)
	down.ended = Now()
	f.oracle.withLock(func() { f.oracle.outages[g.number] = append(f.oracle.outages[g.number], down) })
}

// awaitReady waits until a gateway answers PING, and then lets clients open connections to it.
func (f *fleet) awaitReady(g *gateway) {
	g.mu.Lock()
	p := g.proc
	g.mu.Unlock()
	for begun := time.Now(); time.Since(begun) < readyTimeout; time.Sleep(5 * time.Millisecond) {
		if !p.running() {
			return // watchGateway records this as a crash unless the exit was expected
		}
		if ping(f.clients.addrs[g.number]) {
			f.clients.setUsable(g.number, true)
			return
		}
	}
	f.oracle.recordViolation(RuleReady, "gateway %d was not ready within %v", g.number, readyTimeout)
}

// ping reports whether a gateway answers PING.
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

// setUsable sets whether the load balancer sends new connections to a gateway.
func (c *clients) setUsable(gateway int, usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usable[gateway] = usable
}

// killGateway kills a gateway with SIGKILL and starts it again.
func (f *fleet) killGateway(g *gateway) {
	p := f.claimForStop(g)
	if p == nil {
		return
	}
	at := Now()
	p.signal(syscall.SIGKILL)
	p.wait(readyTimeout)
	f.restartAfterExit(g, outage{begun: at, exemptUntil: Now(), outright: true})
}

// claimForStop returns a gateway's process for the caller to stop, and marks its exit as expected. It returns nil if
// the process has exited or another caller is stopping it.
func (f *fleet) claimForStop(g *gateway) *process {
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

// restartGateway performs a planned restart: it sends SIGTERM, lets new connections come for a while, and sends SIGKILL
// after the grace period.
func (f *fleet) restartGateway(g *gateway) {
	p := f.claimForStop(g)
	if p == nil {
		return
	}
	p.signal(syscall.SIGTERM)
	at := Now()
	acceptFor := f.rng.between(minConnectionsAfterTerm, maxConnectionsAfterTerm)
	if f.rng.chance(0.5) {
		acceptFor = maxConnectionsAfterTerm
		f.clients.tasks.Go(func() { f.pauseWhileStopping(g, p) })
	}
	time.Sleep(acceptFor)
	f.clients.setUsable(g.number, false)
	grace := min(f.profile.Deadline, maxShutdownDeadline) + shutdownMargin
	exemptUntil := at
	if !p.wait(grace - Now().Sub(at)) {
		f.log("gateway %d was still running %v after SIGTERM and was killed", g.number, grace)
		exemptUntil = at.Add(shutdownMargin)
		p.signal(syscall.SIGKILL)
		p.wait(readyTimeout)
	} else {
		exemptUntil = 0 // it exited in time, so none of its requests are exempt
	}
	f.restartAfterExit(g, outage{begun: at, exemptUntil: exemptUntil})
}

// pauseWhileStopping pauses a stopping gateway, for up to the longest delay that the specification allows, while the
// last new connections arrive.
func (f *fleet) pauseWhileStopping(g *gateway, p *process) {
	time.Sleep(f.rng.between(maxConnectionsAfterTerm-50*time.Millisecond, maxConnectionsAfterTerm-10*time.Millisecond))
	p.signal(syscall.SIGSTOP)
	for range 10 {
		f.clients.tasks.Go(func() { newConnectionClient(f.clients, g.number) })
	}
	time.Sleep(f.rng.between(100*time.Millisecond, maxSchedulingDelay))
	p.signal(syscall.SIGCONT)
}

// New connections keep coming for 0.2 to 0.4 s after SIGTERM.
const (
	minConnectionsAfterTerm = 200 * time.Millisecond
	maxConnectionsAfterTerm = 400 * time.Millisecond
)

// violationsMetric is the counter of invariant violations that a gateway detected itself.
const violationsMetric = "gateway_invariant_violations_total"

// checkMetrics checks the violation counters of all running gateways. They are needed in addition to the logs, because
// some logs go to pipes that nothing reads.
func (f *fleet) checkMetrics() {
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
			f.log("reading the metrics of gateway %d: %v", g.number, err) // injected faults may cause this
			continue
		}
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), violationsMetric) {
				f.oracle.recordViolation(RuleInvariant, "gateway %d: %s", g.number, lines.Text())
			}
		}
		resp.Body.Close()
	}
}

// Log lines that hold one of these texts are recorded as invariant violations.
var failureLogMarkers = []string{"invariant violated", "panic", "left open past its deadline"}
