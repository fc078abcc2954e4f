package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain runs main if SLOEPICK_TEST_MAIN is set. So the test binary also serves as the program, and tests can start
// and stop real processes.
func TestMain(m *testing.M) {
	if os.Getenv("SLOEPICK_TEST_MAIN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// newGatewayCommand returns a command that runs the gateway with the given configuration and additional environment
// variables.
func newGatewayCommand(t *testing.T, config string, env ...string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), "SLOEPICK_TEST_MAIN=1", "GW_CONFIG="+path), env...)
	return cmd
}

// A missing or invalid configuration must end the program with one line on stderr and exit code 1. A stack trace, or a
// gateway that runs but can't serve, would hide the cause.
func TestUnusableConfigFailsWithOneLine(t *testing.T) {
	for name, cmd := range map[string]*exec.Cmd{
		"no config":  newGatewayCommand(t, "", "GW_CONFIG="),
		"no file":    newGatewayCommand(t, "", "GW_CONFIG="+filepath.Join(t.TempDir(), "none")),
		"empty file": newGatewayCommand(t, ""),
		"no listen":  newGatewayCommand(t, `{"discovery":"127.0.0.1:1"}`, "GW_LISTEN="),
	} {
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		if exit, ok := err.(*exec.ExitError); !ok || exit.ExitCode() != 1 {
			t.Errorf("%s: ended with %v, want exit code 1", name, err)
		}
		if s := stderr.String(); !strings.HasPrefix(s, "sloepick: ") || strings.Count(s, "\n") != 1 {
			t.Errorf("%s: wrote %q to stderr, want one line", name, s)
		}
	}
}

// configTemplate is a valid configuration with placeholders for the listen address and the discovery address.
const configTemplate = `{"name":"n0","listen":"%s","discovery":"%s","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":128},
"known":{},"settings":{"Instances":1,"Rank":0,"Limits":{"SendCap":1},"Safety":{},
"Classes":[{"Name":"look","Effect":"safe","AimNs":1000000000}],"TiersOfService":[{"Name":"p"}]}}`

// After SIGTERM the gateway must close its client connections with EOF, not with a reset, and exit with code 0.
func TestSigtermExitsCleanly(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery != "" {
			<-req.Context().Done() // a watch: there are no changes
			return
		}
		fmt.Fprint(w, `{"version":1,"full":true,"servers":[]}`)
	}))
	defer discovery.Close()
	cmd := newGatewayCommand(t, fmt.Sprintf(configTemplate, addr, strings.TrimPrefix(discovery.URL, "http://")))
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	log := bufio.NewReader(stderr)
	var conn net.Conn
	for deadline := time.Now().Add(20 * time.Second); ; {
		if conn, err = net.Dial("tcp", addr); err == nil {
			break
		}
		if time.Now().After(deadline) {
			cmd.Process.Kill()
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	defer conn.Close()
	rd := bufio.NewReader(conn)
	fmt.Fprint(conn, "*1\r\n$4\r\nPING\r\n")
	if line, err := rd.ReadString('\n'); line != "+PONG\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if _, err := rd.ReadByte(); err == nil || err.Error() != "EOF" {
		t.Errorf("the connection ended with %v", err)
	}
	for err = nil; err == nil; {
		_, err = log.ReadString('\n')
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v, want exit code 0", err)
	}
}

// After SIGHUP the process must call discovery at the address in the configuration file, even if GW_DISCOVERY is set.
// An invalid file must cause one log line and change nothing. Without a handler SIGHUP would end the process.
func TestSighupMovesDiscovery(t *testing.T) {
	called := make(chan string, 64)
	newDiscovery := func(name string) string {
		discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.URL.RawQuery != "" {
				<-req.Context().Done() // a watch: there are no changes
				return
			}
			called <- name
			fmt.Fprint(w, `{"version":1,"full":true,"servers":[]}`)
		}))
		t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
		return strings.TrimPrefix(discovery.URL, "http://")
	}
	first, second := newDiscovery("first"), newDiscovery("second")
	cmd := newGatewayCommand(t, fmt.Sprintf(configTemplate, "127.0.0.1:0", first), "GW_DISCOVERY="+first)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	if got := <-called; got != "first" {
		t.Fatalf("the %s discovery was called, want the first", got)
	}
	reload := func(text string) {
		path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-2], "GW_CONFIG=")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	reload(`{"name"`)
	log := bufio.NewScanner(stderr)
	for log.Scan() && !strings.Contains(log.Text(), "reload failed") {
	}
	if log.Err() != nil {
		t.Fatal(log.Err())
	}
	reload(fmt.Sprintf(configTemplate, "127.0.0.1:0", second))
	if got := <-called; got != "second" {
		t.Errorf("the %s discovery was called, want the second", got)
	}
}
