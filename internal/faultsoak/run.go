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

// The roles of this program's processes, which are its first arguments.
const (
	RoleServer    = "card-server"
	RoleDiscovery = "discovery"
	RoleProxy     = "proxy"
)

// Options say what a run is made of.
type Options struct {
	Seed           uint64
	Duration       time.Duration // of traffic and troubles
	Gateways       int
	Servers        int
	Rate           float64 // requests a second at each gateway
	ServiceMS      int     // of a card server for a request
	Workers        int     // of a card server
	GatewayProgram string  // built with the tag faultinjection
	Self           string  // this program, for the stand-ins
	Dir            string  // for logs; a folder of the run's own is made in it
	Only           string  // if set, only troubles whose name holds this are drawn
	Log            io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed                                     uint64
	Dir                                      string
	Requests, Served, Refused, Failed, Other int
	Attempts                                 int
	Troubles                                 []string
	Violations                               []Violation
}

// A run ends its troubles this long before its traffic, so that what they left behind shows.
const quietEnd = 3 * time.Second

// Run plays one seed.
func Run(o Options) (Report, error) {
	if len(troublesNamed(o.Only)) == 0 {
		return Report{}, fmt.Errorf("no trouble's name holds %q", o.Only)
	}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed%d", o.Seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Report{}, err
	}
	settings := drawProfile(rng, o.Gateways)
	settings.ServerRate = 1000 * float64(o.Workers) / float64(o.ServiceMS)
	random := &lockedRand{rng: rng}
	f := &fleet{options: o, dir: dir, settings: settings, oracle: newOracle(settings), rng: random, network: 16 + int(o.Seed%200)}
	begun := time.Now()
	var logMu sync.Mutex
	f.log = func(format string, args ...any) {
		logMu.Lock()
		defer logMu.Unlock()
		fmt.Fprintf(o.Log, "%7.3f ", time.Since(begun).Seconds())
		fmt.Fprintf(o.Log, format+"\n", args...)
	}
	f.clients = &clients{oracle: f.oracle, settings: settings, rng: random, idle: make([][]*clientConn, o.Gateways),
		usable: make([]bool, o.Gateways)}
	for i := range o.Gateways {
		f.clients.addrs = append(f.clients.addrs, f.addr(roleGateway, i, gatewayPort))
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return Report{}, err
	}
	f.log("seed %d: window %v, deadline %v, cold from %v for %v, multiple %v, server rate %.0f/s", o.Seed, settings.Window, settings.Deadline,
		settings.ColdFrom, settings.ColdFor, settings.FallMultiple, settings.ServerRate)
	until := time.Now().Add(o.Duration)
	for i := range o.Gateways {
		f.clients.tasks.Go(func() { f.clients.traffic(i, o.Rate, until) })
	}
	names := f.playTroubles(until.Add(-quietEnd))
	f.clients.tasks.Wait()
	time.Sleep(200 * time.Millisecond) // for the last events
	f.readMetrics()
	f.readLogs()
	report := f.report(begun)
	report.Troubles = names
	return report, writeReport(filepath.Join(dir, "report.json"), report)
}

// playTroubles draws scenes of two or three troubles that overlap.
func (f *fleet) playTroubles(until time.Time) []string {
	from := troublesNamed(f.options.Only)
	var names []string
	var tasks sync.WaitGroup
	for time.Now().Before(until) {
		for range 2 + f.rng.intN(2) {
			t := drawTrouble(f.rng, from)
			names = append(names, t.name)
			f.log("%s", t.name)
			tasks.Go(func() { t.act(f) })
			time.Sleep(f.rng.between(0, 400*time.Millisecond))
		}
		time.Sleep(f.rng.between(300*time.Millisecond, 2500*time.Millisecond))
	}
	tasks.Wait()
	return names
}

func (f *fleet) report(begun time.Time) Report {
	f.clients.closeIdle()
	violations := f.oracle.judge()
	r := Report{Seed: f.options.Seed, Dir: f.dir, Violations: violations}
	for _, request := range f.oracle.order {
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

// Rules returns the broken rules with their counts, as text.
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
