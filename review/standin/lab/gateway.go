package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Limits are the limits of a gateway's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Fleet is a small deployment: gateways, an agent of discovery for all of them, and card servers.
type Fleet struct {
	lab      *Lab
	limits   Limits
	agent    *Agent
	Gateways []*Gateway
}

// Gateway is one gateway of the project.
type Gateway struct {
	Addr   string
	config string
	fleet  *Fleet
	rank   int
	peer   string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

// Settings returns the settings of a gateway, within the ranges of the site.
func Settings(rank, gateways int) map[string]any {
	ms := func(n int) int64 { return int64(n) * int64(time.Millisecond) }
	class := func(name, effect string, worth float64) map[string]any {
		return map[string]any{"Name": name, "Effect": effect, "Group": "all", "AimNs": ms(1200), "GiveUpNs": ms(4000),
			"WindowNs": ms(5000), "Importance": worth, "LateWorth": 0.2}
	}
	return map[string]any{
		"Rank": rank, "Instances": gateways, "MembershipMode": "automatic", "Zone": "hall-a",
		"Zones": []string{"hall-a", "hall-b"}, "Kinds": []string{"std-2c"}, "Tiers": []string{"card-servers"},
		"Classes": []any{class("balance-check", "safe", 1), class("redeem", "unsafe", 3)},
		"TiersOfService": []any{
			map[string]any{"Name": "basic", "Refill": 2.1, "MostAtOnce": 11.0, "Pays": 1.2, "ExcessCost": 1.2},
			map[string]any{"Name": "full", "Refill": 12.0, "MostAtOnce": 32.0, "Pays": 1.6, "ExcessCost": 1.2,
				"NeverOverRate": 24.0, "NeverOverDepth": 64.0, "HardSlack": 8.0}},
		"Extra": map[string]any{"PeerIntake": 100.0, "UnitsTop": 8.0},
		"Limits": map[string]any{"ConnIdleNs": ms(30000), "ConnectTimeoutNs": ms(250), "MaxRetryAfterNs": ms(1000),
			"MayCancel": true, "OpenCap": 27150, "ParallelTries": true, "Peers": true, "Probes": true, "SendCap": 4,
			"StreamsPerConn": 32},
		"Safety": map[string]any{"AnswerSlackNs": ms(8), "AskWithinNs": ms(10000), "ColdFrom": 0.18, "ColdNs": ms(16000),
			"DrainGraceNs": ms(250), "FallMultiple": 4.0, "FallNs": ms(1000)},
		"Prices":    map[string]any{"CrossZone": 0.01, "LateFail": 0.08, "Peer": 0.01, "Probe": 0.01, "Waste": 0.058},
		"Goal":      map[string]any{"Whole": 0.5, "WorstClass": 0.1, "WorstTenant": 0.15, "WorstWindow": 0.25},
		"Telemetry": map[string]any{"How": "none", "Fields": []string{}}, "WeightSource": "rough", "Family": "gate",
		"TickNs": ms(2),
	}
}

// StartFleet starts gateways and waits until they answer PING.
func (l *Lab) StartFleet(gateways int, limits Limits, agent *Agent) *Fleet {
	f := &Fleet{lab: l, limits: limits, agent: agent}
	for rank := range gateways {
		f.Gateways = append(f.Gateways, &Gateway{Addr: l.FreeAddr(), fleet: f, rank: rank, peer: l.FreeAddr(),
			config: filepath.Join(l.Temp, fmt.Sprintf("gateway%d.json", rank))})
	}
	for _, g := range f.Gateways {
		g.Start()
		l.Cleanup(g.Kill)
	}
	for _, g := range f.Gateways {
		if err := g.AwaitReady(30 * time.Second); err != nil {
			l.NotRun("gateway %d: %v", g.rank, err)
		}
	}
	return f
}

// Start starts the gateway's process with the run command of the deploy file.
func (g *Gateway) Start() {
	f := g.fleet
	peers := []string{}
	for _, other := range f.Gateways {
		peers = append(peers, other.peer)
	}
	raw, err := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", g.rank), "listen": g.Addr, "discovery": f.agent.Addr,
		"seed": strconv.FormatInt(time.Now().UnixNano(), 16), "limits": f.limits, "peer_listen": g.peer, "peers": peers,
		"known": f.agent.Known(), "settings": Settings(g.rank, len(f.Gateways))})
	if err == nil {
		err = os.WriteFile(g.config, raw, 0o600)
	}
	if err != nil {
		f.lab.NotRun("configuration: %v", err)
	}
	temp, err := os.MkdirTemp(f.lab.Temp, "gateway-")
	if err != nil {
		f.lab.NotRun("temporary folder: %v", err)
	}
	log, err := os.OpenFile(g.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.lab.NotRun("log: %v", err)
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", f.lab.runCommand())
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.lab.Root, log, log
	cmd.Env = append(os.Environ(), "GW_CONFIG="+g.config, fmt.Sprintf("GW_NAME=n%d", g.rank), "GW_LISTEN="+g.Addr,
		"GW_DISCOVERY="+f.agent.Addr, "TMPDIR="+temp)
	if err := cmd.Start(); err != nil {
		f.lab.NotRun("run command: %v", err)
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.mu.Unlock()
	f.lab.Recordf("gateway %d: started as process %d, listens on %s", g.rank, cmd.Process.Pid, g.Addr)
	go func() {
		err := cmd.Wait()
		g.mu.Lock()
		g.err = err
		g.mu.Unlock()
		f.lab.Recordf("gateway %d: process %d ended: %v", g.rank, cmd.Process.Pid, cmd.ProcessState)
		close(ended)
	}()
}

// AwaitReady waits until the gateway answers PING.
func (g *Gateway) AwaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		select {
		case <-g.Ended():
			return fmt.Errorf("the process has ended")
		default:
		}
		conn, err := net.DialTimeout("tcp", g.Addr, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(conn, "*1\r\n$4\r\nPING\r\n")
		reply := make([]byte, 7)
		n, _ := conn.Read(reply)
		conn.Close()
		if string(reply[:n]) == "+PONG\r\n" {
			return nil
		}
	}
	return fmt.Errorf("not ready within %v", limit)
}

// Ended is closed when the process has ended.
func (g *Gateway) Ended() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

// Running reports whether the process runs.
func (g *Gateway) Running() bool {
	select {
	case <-g.Ended():
		return false
	default:
		return true
	}
}

// Signal sends a signal to the gateway's process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd.Process.Signal(s)
}

// Kill ends the process and waits for its end.
func (g *Gateway) Kill() {
	g.Signal(syscall.SIGCONT)
	g.Signal(syscall.SIGKILL)
	<-g.Ended()
}

// AnonymousKB returns the anonymous memory of the process in KB: without the program's file and without what the kernel
// holds for its sockets.
func (g *Gateway) AnonymousKB() int {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(raw, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kb, _ := strconv.Atoi(string(bytes.Fields(rest)[0]))
			return kb
		}
	}
	return 0
}
