package faultsoak

import (
	"os"
	"strings"
	"syscall"
	"time"

	"winghatch/internal/platform"
)

// faultScenario is one fault that a run injects. act injects it and returns when the fault is over. The name appears in
// reports and is matched by --only.
type faultScenario struct {
	name   string
	weight int
	act    func(f *fleet)
}

// faultScenarios are drawn by weight, two or three at a time, so that they overlap.
var faultScenarios = []faultScenario{
	{"planned restart of a gateway", 6, plannedRestart},
	{"kill of a gateway", 3, killRandomGateway},
	{"pause of a gateway", 3, pauseGateway},
	{"new configuration", 5, newConfiguration},
	{"card servers hang", 5, serverModeFault(ModeHang)},
	{"card servers turn away", 2, serverModeFault(ModeBusy)},
	{"card servers fail", 2, serverModeFault(ModeFail)},
	{"card servers send noise", 2, serverModeFault(ModeNoise)},
	{"card servers answer twice", 2, serverModeFault(ModeTwice)},
	{"card servers stop in an answer", 2, serverModeFault(ModeTrickle)},
	{"card servers reset", 2, serverModeFault(ModeReset)},
	{"card server restarts", 5, restartOneServer},
	{"most card servers restart", 2, restartMostServers},
	{"card server drains", 4, drainServer},
	{"card server stands still", 3, pauseServer},
	{"idle connections are closed", 3, closeIdleConnections},
	{"silent route", 3, routeModeFault(RouteSilent)},
	{"routes reset", 2, routeModeFault(RouteReset)},
	{"routes in fragments", 2, routeModeFault(RouteFragment)},
	{"discovery silent", 2, discoveryModeFault(DiscoverySilent)},
	{"discovery turns away", 2, discoveryModeFault(DiscoveryBusy)},
	{"discovery resets", 1, discoveryModeFault(DiscoveryReset)},
	{"discovery is slow", 2, discoveryModeFault(DiscoverySlow)},
	{"kill of a gateway, discovery is slow", 2, killWhileDiscoveryIsSlow},
	{"watches fall silent", 2, silenceWatches},
	{"slow readers", 3, slowReaders},
	{"crowd of pipelines", 3, pipelineClients},
	{"clients that go", 3, burstClients},
	{"bad clients", 3, misbehavingClients},
}

// scenariosMatching returns the scenarios whose name contains a text.
func scenariosMatching(text string) []faultScenario {
	var matching []faultScenario
	for _, scenario := range faultScenarios {
		if strings.Contains(scenario.name, text) {
			matching = append(matching, scenario)
		}
	}
	return matching
}

// drawScenario draws a scenario from a non-empty list by weight.
func drawScenario(rng *lockedRand, scenarios []faultScenario) faultScenario {
	total := 0
	for _, scenario := range scenarios {
		total += scenario.weight
	}
	n := rng.intN(total)
	for _, scenario := range scenarios {
		if n -= scenario.weight; n < 0 {
			return scenario
		}
	}
	return scenarios[0]
}

// randomGateway draws one of the gateways.
func (f *fleet) randomGateway() *gateway { return f.gateways[f.rng.intN(len(f.gateways))] }

// claimServers claims random card servers for a scenario, so that no other scenario uses them: at most the given number
// of tenths of all servers, and at least one if any is unclaimed.
func (f *fleet) claimServers(tenths int) []*server {
	limit := max(1, len(f.servers)*tenths/10)
	var claimed []*server
	for _, i := range f.rng.perm(len(f.servers)) {
		s := f.servers[i]
		s.mu.Lock()
		if !s.claimed && len(claimed) < limit {
			s.claimed = true
			claimed = append(claimed, s)
		}
		s.mu.Unlock()
	}
	return claimed
}

// release makes a claimed card server available to other scenarios.
func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claimed = false
}

func (l *lockedRand) perm(n int) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Perm(n)
}

func plannedRestart(f *fleet)    { f.restartGateway(f.randomGateway()) }
func killRandomGateway(f *fleet) { f.killGateway(f.randomGateway()) }

// killWhileDiscoveryIsSlow kills a gateway whose next process has to wait for discovery, because its saved list is out
// of date. Clients keep connecting to it meanwhile, as if the load balancer had not yet noticed that the previous
// process is gone.
func killWhileDiscoveryIsSlow(f *fleet) {
	restartOneServer(f) // so that the list has changed
	f.discovery.send(DiscoveryCommand{Mode: DiscoverySlow})
	g := f.randomGateway()
	f.clients.tasks.Go(func() {
		for range 40 {
			f.clients.tasks.Go(func() { newConnectionClient(f.clients, g.number) })
			time.Sleep(30 * time.Millisecond)
		}
	})
	f.killGateway(g)
	time.Sleep(time.Second)
	f.discovery.send(DiscoveryCommand{Mode: DiscoveryServe})
}

// pauseGateway stops a gateway's process one to four times for 20 to 110 ms, which the specification allows (see
// maxSchedulingDelay).
func pauseGateway(f *fleet) {
	g := f.randomGateway()
	for range 1 + f.rng.intN(4) {
		g.mu.Lock()
		p := g.proc
		g.mu.Unlock()
		p.signal(syscall.SIGSTOP)
		time.Sleep(f.rng.between(20*time.Millisecond, 110*time.Millisecond))
		p.signal(syscall.SIGCONT)
		time.Sleep(f.rng.between(50*time.Millisecond, 400*time.Millisecond))
	}
}

// newConfiguration changes the discovery address in a gateway's configuration file and sends SIGHUP. The file may be
// incomplete when the signal arrives.
func newConfiguration(f *fleet) {
	g := f.randomGateway()
	for range 1 + f.rng.intN(2) {
		g.mu.Lock()
		p := g.proc
		if !p.running() || p.isExpected() {
			g.mu.Unlock()
			return
		}
		g.discoveryAddress = (g.discoveryAddress + 1) % discoveryAddrsPerGateway
		address := g.discoveryAddress
		g.mu.Unlock()
		config := f.config(g)
		incomplete := f.rng.chance(0.4)
		initial := config
		if incomplete {
			initial = config[:len(config)/2]
		}
		if err := os.WriteFile(f.configPath(g), initial, 0o600); err != nil {
			f.log("writing a gateway's configuration: %v", err)
			return
		}
		p.signal(syscall.SIGHUP)
		if incomplete {
			time.Sleep(f.rng.between(10*time.Millisecond, 200*time.Millisecond))
			if err := os.WriteFile(f.configPath(g), config, 0o600); err != nil {
				f.log("writing a gateway's configuration: %v", err)
				return
			}
		}
		at := Now()
		time.Sleep(f.rng.between(500*time.Millisecond, 5*time.Second))
		g.mu.Lock()
		unchanged := g.proc == p && g.discoveryAddress == address && p.running() && !p.isExpected()
		g.mu.Unlock()
		if !unchanged {
			return
		}
		f.oracle.withLock(func() {
			f.oracle.reloads = append(f.oracle.reloads, reload{gateway: g.number, address: address, at: at, until: Now()})
		})
	}
}

// serverModeFault puts up to 40 % of the card servers into a mode for 0.3 to 3 s.
func serverModeFault(mode ServerMode) func(f *fleet) {
	return func(f *fleet) {
		claimed := f.claimServers(4)
		for _, s := range claimed {
			s.proc.send(ServerCommand{Mode: mode})
		}
		time.Sleep(f.rng.between(300*time.Millisecond, 3*time.Second))
		for _, s := range claimed {
			s.proc.send(ServerCommand{Mode: ModeServe})
			s.release()
		}
	}
}

// drawClockOffset draws how far a machine's wall clock is ahead of the true time. A third of the draws are 0.
func drawClockOffset(f *fleet) time.Duration {
	offsets := []time.Duration{0, 0, -10 * time.Second, 10 * time.Second, -time.Hour, time.Hour}
	return offsets[f.rng.intN(len(offsets))]
}

func restartOneServer(f *fleet) { restartServers(f, 1) }

func restartMostServers(f *fleet) { restartServers(f, 7) }

// restartServers restarts the given number of tenths of the card servers one after the other, all with the same clock
// offset.
func restartServers(f *fleet, tenths int) {
	clockOffset := drawClockOffset(f)
	f.log("card servers restart with their wall clocks %v ahead", clockOffset)
	for _, s := range f.claimServers(tenths) {
		f.restartServer(s, f.rng.between(0, 300*time.Millisecond), clockOffset)
		s.release()
	}
}

// drainServer reports card servers as draining while they keep answering, and later restarts them as up.
func drainServer(f *fleet) {
	claimed := f.claimServers(3)
	for _, s := range claimed {
		f.announceState(s, "draining")
	}
	time.Sleep(f.rng.between(time.Second, 6*time.Second))
	for _, s := range claimed {
		f.restartServer(s, 0, 0)
		s.release()
	}
}

// pauseServer stops the processes of some card servers for up to 4 s.
func pauseServer(f *fleet) {
	claimed := f.claimServers(3)
	begun := Now()
	for _, s := range claimed {
		s.proc.signal(syscall.SIGSTOP)
	}
	time.Sleep(f.rng.between(300*time.Millisecond, 4*time.Second))
	for _, s := range claimed {
		s.proc.signal(syscall.SIGCONT)
		f.oracle.withLock(func() {
			f.oracle.pauses[s.entry.ID] = append(f.oracle.pauses[s.entry.ID], pause{begun, Now()})
		})
		s.release()
	}
}

// closeIdleConnections makes card servers close their idle connections, repeatedly and at random.
func closeIdleConnections(f *fleet) {
	for range 20 {
		for _, s := range f.servers {
			if f.rng.chance(0.5) {
				s.proc.send(ServerCommand{CloseIdle: true})
			}
		}
		time.Sleep(f.rng.between(20*time.Millisecond, 200*time.Millisecond))
	}
}

// routeModeFault puts the proxy's routes to up to 40 % of the card servers into a mode for 0.3 to 3 s.
func routeModeFault(mode ProxyMode) func(f *fleet) {
	return func(f *fleet) {
		claimed := f.claimServers(4)
		for _, s := range claimed {
			f.proxy.send(ProxyCommand{s.entry.ID, mode})
		}
		time.Sleep(f.rng.between(300*time.Millisecond, 3*time.Second))
		for _, s := range claimed {
			f.proxy.send(ProxyCommand{s.entry.ID, RoutePass})
			s.release()
		}
	}
}

// discoveryModeFault puts discovery into a mode for 0.5 to 5 s.
func discoveryModeFault(mode DiscoveryMode) func(f *fleet) {
	return func(f *fleet) {
		f.discovery.send(DiscoveryCommand{Mode: mode})
		time.Sleep(f.rng.between(500*time.Millisecond, 5*time.Second))
		f.discovery.send(DiscoveryCommand{Mode: DiscoveryServe})
	}
}

// silenceWatches makes discovery never answer the long polls that are open. With a probability of 0.3 discovery also
// sends full lists for the rest of the run.
func silenceWatches(f *fleet) {
	f.discovery.send(DiscoveryCommand{SilenceWatches: true, FullLists: f.rng.chance(0.3)})
}

// launchClients starts n clients with the same behaviour at one gateway at once.
func launchClients(f *fleet, n int, act func(c *clients, gateway int)) {
	gateway := f.randomGateway().number
	for range n {
		f.clients.tasks.Go(func() { act(f.clients, gateway) })
	}
	time.Sleep(500 * time.Millisecond)
}

func slowReaders(f *fleet)     { launchClients(f, 1+f.rng.intN(3), slowReaderClient) }
func pipelineClients(f *fleet) { launchClients(f, 3+f.rng.intN(8), pipelineClient) }
func burstClients(f *fleet)    { launchClients(f, 1+f.rng.intN(4), burstThenDisconnectClient) }

func misbehavingClients(f *fleet) {
	launchClients(f, 2+f.rng.intN(4), truncatedCommandClient)
	launchClients(f, 2+f.rng.intN(4), malformedCommandClient)
}

// startFaults draws the faults injected into a gateway process from its start: a wall clock offset, system calls that
// fail during short periods, and short reads and writes.
func (f *fleet) startFaults() platform.Script {
	script := platform.Script{}
	if f.rng.chance(0.3) {
		script.WallOffsetMS = drawClockOffset(f).Milliseconds()
	}
	if f.rng.chance(0.5) {
		return script
	}
	addShortFault := func(call platform.Call, chance float64, errnos ...syscall.Errno) {
		if !f.rng.chance(0.3) {
			return
		}
		from := int64(f.rng.intN(2)) * int64(f.rng.intN(4000))
		script.Rules = append(script.Rules, platform.Rule{Call: call, Errno: int(errnos[f.rng.intN(len(errnos))]), FromMS: from,
			ToMS: from + 100 + int64(f.rng.intN(900)), Chance: chance})
	}
	addShortFault(platform.CallListen, 1, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRINUSE)
	addShortFault(platform.CallListenPacket, 1, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL)
	addShortFault(platform.CallReadFile, 1, syscall.EIO, syscall.ENFILE, syscall.EINTR)
	addShortFault(platform.CallAccept, []float64{0.5, 1}[f.rng.intN(2)], syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS)
	addShortFault(platform.CallConnect, 0.5, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EAGAIN)
	addShortFault(platform.CallWrite, 0.3, syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM)
	addShortFault(platform.CallRead, 0.2, syscall.ENOBUFS, syscall.ENOMEM)
	if f.rng.chance(0.3) {
		script.Rules = append(script.Rules,
			platform.Rule{Call: platform.CallWrite, MaxBytes: 1 + f.rng.intN(100), ToMS: 1 << 40, Chance: 0.3},
			platform.Rule{Call: platform.CallRead, MaxBytes: 1 + f.rng.intN(100), ToMS: 1 << 40, Chance: 0.3})
	}
	return script
}

// logMode draws where a gateway's log goes. One in eight logs is blocked and one in eight is closed.
func (f *fleet) logMode() LogMode {
	switch f.rng.intN(8) {
	case 0:
		return LogBlocked
	case 1:
		return LogClosed
	}
	return LogFile
}
