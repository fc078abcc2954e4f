// Command faultsoak injects random, overlapping faults into a fleet of real gateway processes on loopback, and checks
// the observed behaviour against the rules of the protocol. It exits with code 1 if a rule was violated.
//
//	go build -o /tmp/soak/ ./cmd/faultsoak
//	go build -tags faultinjection -o /tmp/soak/ ./cmd/sloepick
//	/tmp/soak/faultsoak run --gateway /tmp/soak/sloepick --dir /tmp/soak/logs --seed 1 --seeds 20
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"winghatch/internal/faultsoak"
)

func main() {
	root := &cobra.Command{Use: "faultsoak", Short: "Soak test: random faults in a fleet of real gateway processes", SilenceUsage: true}
	root.AddCommand(runCommand(), roleCommand(faultsoak.RoleServer, runServer), roleCommand(faultsoak.RoleDiscovery, runDiscovery),
		roleCommand(faultsoak.RoleProxy, runProxy))
	if root.Execute() != nil {
		os.Exit(1)
	}
}

func runCommand() *cobra.Command {
	var o faultsoak.Options
	var seeds int
	var verbose bool
	cmd := &cobra.Command{Use: "run", Short: "Run the test for one or more seeds, one after the other", Args: cobra.NoArgs}
	flags := cmd.Flags()
	flags.Uint64Var(&o.Seed, "seed", 1, "first seed")
	flags.IntVar(&seeds, "seeds", 1, "number of consecutive seeds")
	flags.DurationVar(&o.Duration, "duration", 20*time.Second, "duration of the traffic for each seed")
	flags.IntVar(&o.Gateways, "gateways", 4, "number of gateway processes")
	flags.IntVar(&o.Servers, "servers", 8, "number of card server processes")
	flags.Float64Var(&o.Rate, "rate", 40, "mean number of client actions started per second at each gateway")
	flags.IntVar(&o.ServiceMS, "service-ms", 30, "mean service time of a card server for a request, in milliseconds")
	flags.IntVar(&o.Workers, "workers", 2, "number of requests that a card server processes concurrently")
	flags.StringVar(&o.GatewayProgram, "gateway", "", "path of the gateway program, built with -tags faultinjection")
	flags.StringVar(&o.Dir, "dir", os.TempDir(), "folder for logs and reports")
	flags.StringVar(&o.Only, "only", "", "inject only faults whose name contains this text")
	flags.BoolVar(&verbose, "verbose", false, "print each fault and each violation")
	if err := cmd.MarkFlagRequired("gateway"); err != nil {
		panic(err) // the flag is declared above
	}
	cmd.RunE = func(*cobra.Command, []string) error {
		self, err := os.Executable()
		if err != nil {
			return fmt.Errorf("finding the path of this program: %w", err)
		}
		o.Self = self
		return play(o, seeds, verbose)
	}
	return cmd
}

// play runs the seeds one after the other and prints a summary. It returns an error if a seed failed.
func play(o faultsoak.Options, seeds int, verbose bool) error {
	red := 0
	for range seeds {
		report, err := playSeed(o, verbose)
		if err != nil {
			return err
		}
		verdict := "passed"
		if len(report.Violations) > 0 {
			red++
			verdict = "FAILED: " + report.Rules()
		}
		fmt.Printf("seed %d: %d requests, %d served, %d refused, %d failed, %d without an answer, %d attempts, %d troubles: %s\n", report.Seed,
			report.Requests, report.Served, report.Refused, report.Failed, report.Other, report.Attempts, len(report.Troubles), verdict)
		o.Seed++
	}
	fmt.Printf("%d passed, %d failed\n", seeds-red, red)
	if red > 0 {
		return fmt.Errorf("%d of %d seeds failed", red, seeds)
	}
	return nil
}

// playSeed runs one seed. Unless verbose, its log goes to a file.
func playSeed(o faultsoak.Options, verbose bool) (faultsoak.Report, error) {
	path := fmt.Sprintf("%s/seed%d.log", o.Dir, o.Seed)
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return faultsoak.Report{}, err
	}
	log, err := os.Create(path)
	if err != nil {
		return faultsoak.Report{}, err
	}
	defer log.Close()
	o.Log = log
	if verbose {
		o.Log = os.Stdout
	}
	return faultsoak.Run(o)
}

// roleCommand returns the command of a stand-in process, which the run command starts with its configuration as JSON.
func roleCommand(role string, serve func(config []byte) error) *cobra.Command {
	return &cobra.Command{Use: role + " CONFIG", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return serve([]byte(args[0])) }}
}

func runServer(config []byte) error {
	var c faultsoak.ServerConfig
	if err := json.Unmarshal(config, &c); err != nil {
		return err
	}
	return faultsoak.RunServer(c, os.Stdin, os.Stdout)
}

func runDiscovery(config []byte) error {
	var c faultsoak.DiscoveryConfig
	if err := json.Unmarshal(config, &c); err != nil {
		return err
	}
	return faultsoak.RunDiscovery(c.Addrs, c.Entries, os.Stdin, os.Stdout)
}

func runProxy(config []byte) error {
	var routes []faultsoak.Route
	if err := json.Unmarshal(config, &routes); err != nil {
		return err
	}
	return faultsoak.RunProxy(routes, os.Stdin, os.Stdout)
}
