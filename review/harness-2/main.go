// Command harness runs the cases of the second review. Each case starts gateways as the deploy file says, plays clients,
// card servers and discovery for them on loopback addresses, and checks one rule. It exits with code 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
//
//	harness CASE ROOT RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration limits how long a case runs.
const maxDuration = 115 * time.Second

// testCase is one case while it runs.
type testCase struct {
	root           string
	record         *recorder
	trouble        bool
	deployment     *deployment
	discovery      *discovery
	memoryMB       int           // each gateway's limit; 0: defaultMemoryMB
	discoveryDelay time.Duration // of each of discovery's answers
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*testCase) (verdict, error){
	"ceiling-spelling": ceilingSpelling,
	"stop-slow-lines":  stopSlowLines,
	"send-and-leave":   sendAndLeave,
	"slow-discovery":   slowDiscovery,
	"stop-mid-request": stopMidRequest,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	record, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	c := &testCase{root: os.Args[2], record: record, trouble: os.Getenv("TROUBLE") != "0"}
	code := c.play(cases[os.Args[1]])
	record.close()
	os.Exit(code)
}

// play runs a case, ends its processes and returns the exit code.
func (c *testCase) play(run func(*testCase) (verdict, error)) int {
	signal.Ignore(syscall.SIGPIPE) // the result may be written to a pipe that nobody reads any more
	type outcome struct {
		verdict verdict
		err     error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := run(c)
		done <- outcome{v, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	var o outcome
	select {
	case o = <-done:
	case s := <-stopped:
		o.err = fmt.Errorf("stopped by %v", s)
	case <-time.After(maxDuration):
		o.err = fmt.Errorf("not finished within %v", maxDuration)
	}
	if c.deployment != nil {
		c.deployment.stop()
	}
	return c.conclude(o.verdict, o.err)
}

// conclude records and prints the result and returns the exit code.
func (c *testCase) conclude(v verdict, err error) int {
	code, text := exitHeld, "the rule held: "+v.text
	switch {
	case err != nil:
		code, text = exitNotRun, "the case could not run: "+err.Error()
	case v.broken:
		code, text = exitBroken, "the rule was broken: "+v.text
	}
	c.record.printf("%s", text)
	fmt.Println(text)
	return code
}

// startFleet starts card servers, discovery and gateways, and waits until the gateways are ready.
func (c *testCase) startFleet(gateways, servers int, settings map[string]any,
	handle func(*cardServer, *serverConn, []string)) error {
	var entries []entry
	for number := range servers {
		s, err := startCardServer(number, []string{"hall-a", "hall-b"}[number%2], handle)
		if err != nil {
			return err
		}
		entries = append(entries, s.entry)
	}
	known := list{Version: 1, Full: true, Servers: slices.Clone(entries)}
	var err error
	if c.discovery, err = startDiscovery(entries, c.discoveryDelay); err != nil {
		return err
	}
	if c.deployment, err = newDeployment(c.root, c.record, gateways, settings, known, c.discovery.addr); err != nil {
		return err
	}
	if c.memoryMB > 0 {
		c.deployment.memoryMB = c.memoryMB
	}
	return c.deployment.start()
}
