package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment: gateways as processes of the project's program, and the addresses of its stand-ins.
type deployment struct {
	root, dir string
	run       string // the command of the deploy file
	settings  map[string]any
	known     list
	discovery string
	record    *recorder
	gateways  []*gateway
	peerAddrs []string
	memoryMB  int        // limit of each gateway
	mu        sync.Mutex // held while a process is started
	stopped   bool       // no further process may be started
}

// The limits of a gateway on scored days.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// gateway is one gateway with its current process.
type gateway struct {
	d      *deployment
	number int
	listen string
	cmd    *exec.Cmd
	ended  chan struct{} // closed when the process has ended
	life   int
}

func newDeployment(root string, record *recorder, gateways int, settings map[string]any, known list, discoveryAddr string) (*deployment, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(raw)
	if match == nil {
		return nil, errors.New("the deploy file names no command for a gateway")
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, run: string(match[1]), settings: settings, known: known,
		discovery: discoveryAddr, record: record, memoryMB: defaultMemoryMB}
	for number := range gateways {
		listen, err := freePort("tcp")
		if err != nil {
			return nil, err
		}
		peer, err := freePort("udp")
		if err != nil {
			return nil, err
		}
		d.gateways = append(d.gateways, &gateway{d: d, number: number, listen: listen})
		d.peerAddrs = append(d.peerAddrs, peer)
	}
	return d, nil
}

// freePort returns a loopback address that is free now.
func freePort(network string) (string, error) {
	if network == "udp" {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer conn.Close()
		return conn.LocalAddr().String(), nil
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (g *gateway) config() ([]byte, error) {
	settings := map[string]any{}
	for name, value := range g.d.settings {
		settings[name] = value
	}
	settings["Rank"], settings["Instances"] = g.number, len(g.d.gateways)
	return json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", g.number), "listen": g.listen, "discovery": g.d.discovery,
		"seed":        fmt.Sprintf("%x", time.Now().UnixNano()&(1<<40-1)),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": g.d.memoryMB, "sockets": defaultSockets},
		"peer_listen": g.d.peerAddrs[g.number], "peers": g.d.peerAddrs, "known": g.d.known, "settings": settings})
}

// start starts the gateway's next process.
func (g *gateway) start() error {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	if g.d.stopped {
		return errors.New("the deployment has been stopped")
	}
	config, err := g.config()
	if err != nil {
		return err
	}
	path := filepath.Join(g.d.dir, fmt.Sprintf("gateway%d.json", g.number))
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(g.d.dir, fmt.Sprintf("gateway%d.%d.log", g.number, g.life)))
	if err != nil {
		return err
	}
	defer log.Close()
	g.life++
	g.cmd = exec.Command("/bin/sh", "-c", g.d.run)
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = g.d.root, log, log
	g.cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME="+fmt.Sprintf("n%d", g.number),
		"GW_LISTEN="+g.listen, "GW_DISCOVERY="+g.d.discovery, "TMPDIR="+g.d.dir)
	if err := g.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := g.cmd, make(chan struct{})
	g.ended = ended
	go func() {
		cmd.Wait()
		close(ended)
	}()
	g.d.record.printf("gateway n%d started, process %d", g.number, cmd.Process.Pid)
	return nil
}

// awaitReady waits until the gateway answers PING.
func (g *gateway) awaitReady() error {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		conn, err := dialGateway(g.listen)
		if err != nil {
			continue
		}
		answer, err := conn.ask(encodeCommand("PING"), time.Second)
		conn.Close()
		if err == nil && strings.HasPrefix(answer.line, "+PONG") {
			g.d.record.printf("gateway n%d ready", g.number)
			return nil
		}
	}
	return fmt.Errorf("gateway n%d is not ready", g.number)
}

// signal sends a signal to the gateway's process.
func (g *gateway) signal(s syscall.Signal) {
	g.d.record.printf("gateway n%d gets signal %v", g.number, s)
	g.cmd.Process.Signal(s)
}

// kill ends the gateway's process at once.
func (g *gateway) kill() {
	if g.cmd == nil {
		return
	}
	g.cmd.Process.Kill()
	<-g.ended
}

func (d *deployment) start() error {
	for _, g := range d.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all gateways and removes their files.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	for _, g := range d.gateways {
		g.kill()
	}
	os.RemoveAll(d.dir)
}
