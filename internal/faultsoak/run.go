package faultsoak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// The roles of the stand-in processes. The role is the program's first argument.
const (
	RoleServer    = "card-server"
	RoleDiscovery = "discovery"
	RoleProxy     = "proxy"
)

// Options configures a run.
type Options struct {
	Seed           uint64
	Duration       time.Duration // of the traffic; see quietPeriod for the fault scenarios
	Gateways       int
	Servers        int
	Rate           float64 // mean number of client behaviours started per second at each gateway
	ServiceMS      int     // mean service time of a card server for a request, in milliseconds
	Workers        int     // number of requests that a card server processes concurrently
	GatewayProgram string  // built with the tag faultinjection
	Self           string  // path of this program, which also runs as the stand-ins
	Dir            string  // folder for logs; each run creates a folder of its own in it
	Only           string  // if set, only fault scenarios whose name contains this text are drawn
	Log            io.Writer
}

// Report is the result of a run. Other counts the requests without an answer. Troubles holds the names of the fault
// scenarios in the order in which they started.
type Report struct {
	Seed                                     uint64
	Dir                                      string
	Requests, Served, Refused, Failed, Other int
	Attempts                                 int
	Troubles                                 []string
	Violations                               []Violation
}

// quietPeriod is the time at the end of the traffic in which no new group of fault scenarios starts, so that the
// lasting effects of earlier faults show.
const quietPeriod = 3 * time.Second

// Run performs the run of one seed.
func Run(o Options) (Report, error) {
	if len(scenariosMatching(o.Only)) == 0 {
		return Report{}, fmt.Errorf("no fault scenario has a name that contains %q", o.Only)
	}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed%d", o.Seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Report{}, err
	}
	profile := drawProfile(rng, o.Gateways)
	profile.ServerRate = 1000 * float64(o.Workers) / float64(o.ServiceMS)
	random := &lockedRand{rng: rng}
	f := &fleet{options: o, dir: dir, profile: profile, oracle: newOracle(profile), rng: random, network: 16 + int(o.Seed%200)}
	begun := time.Now()
	var logMu sync.Mutex
	f.log = func(format string, args ...any) {
		logMu.Lock()
		defer logMu.Unlock()
		fmt.Fprintf(o.Log, "%7.3f ", time.Since(begun).Seconds())
		fmt.Fprintf(o.Log, format+"\n", args...)
	}
	f.clients = &clients{oracle: f.oracle, profile: profile, rng: random, idle: make([][]*clientConn, o.Gateways),
		usable: make([]bool, o.Gateways)}
	for i := range o.Gateways {
		f.clients.addrs = append(f.clients.addrs, f.addr(roleGateway, i, gatewayPort))
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return Report{}, err
	}
	f.log("seed %d: deduplication window %v, deadline %v, slow start from %v of the capacity for %v, bound multiple %v, server rate %.0f/s",
		o.Seed, profile.DedupWindow, profile.Deadline, profile.ColdFrom, profile.ColdFor, profile.FallMultiple, profile.ServerRate)
	until := time.Now().Add(o.Duration)
	for i := range o.Gateways {
		f.clients.tasks.Go(func() { f.clients.traffic(i, o.Rate, until) })
	}
	names := f.runScenarios(until.Add(-quietPeriod))
	f.clients.tasks.Wait()
	time.Sleep(200 * time.Millisecond) // for the last events to arrive
	f.checkMetrics()
	f.checkLogs()
	report := f.report(begun)
	report.Troubles = names
	return report, writeReport(filepath.Join(dir, "report.json"), report)
}

// runScenarios starts groups of two or three overlapping fault scenarios until the given time, waits for their ends and
// returns their names.
func (f *fleet) runScenarios(until time.Time) []string {
	scenarios := scenariosMatching(f.options.Only)
	var names []string
	var tasks sync.WaitGroup
	for time.Now().Before(until) {
		for range 2 + f.rng.intN(2) {
			scenario := drawScenario(f.rng, scenarios)
			names = append(names, scenario.name)
			f.log("%s", scenario.name)
			tasks.Go(func() { scenario.act(f) })
			time.Sleep(f.rng.between(0, 400*time.Millisecond))
		}
		time.Sleep(f.rng.between(300*time.Millisecond, 2500*time.Millisecond))
	}
	tasks.Wait()
	return names
}

// report lets the oracle check the run, logs its violations and counts the requests by answer.
func (f *fleet) report(begun time.Time) Report {
	f.clients.closeIdle()
	violations := f.oracle.judge()
	r := Report{Seed: f.options.Seed, Dir: f.dir, Violations: violations}
	for _, request := range f.oracle.requestsInOrder {
		r.Requests++
		switch request.Kind {
		case Served:
			r.Served++
		case Refused:
			r.Refused++
		case Failed:
			r.Failed++
		default:
			r.Other++
		}
	}
	for _, list := range f.oracle.attempts {
		r.Attempts += len(list)
	}
	start := Now().Add(-time.Since(begun))
	for _, v := range violations {
		f.log("VIOLATION at %.3f, %s: %s", v.At.Sub(start).Seconds(), v.Rule, v.Text)
	}
	return r
}

func writeReport(path string, r Report) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// Rules returns the violated rules with the number of violations of each, as text.
func (r Report) Rules() string {
	counts := map[Rule]int{}
	for _, v := range r.Violations {
		counts[v.Rule]++
	}
	var parts []string
	for rule, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", rule, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
