package faultsoak

import (
	"os"
	"strings"
	"syscall"
	"time"

	"winghatch/internal/platform"
)

// trouble is one thing that goes wrong. It returns when all is well again.
type trouble struct {
	name   string
	weight int
	act    func(f *fleet)
}

// troubles are drawn two or three at a time, so that they overlap.
var troubles = []trouble{
	{"planned restart of a gateway", 6, plannedRestart},
	{"kill of a gateway", 3, killOne},
	{"pause of a gateway", 3, pauseGateway},
	{"new configuration", 5, newConfiguration},
	{"card servers hang", 5, modeTrouble(ModeHang)},
	{"card servers turn away", 2, modeTrouble(ModeBusy)},
	{"card servers fail", 2, modeTrouble(ModeFail)},
	{"card servers send noise", 2, modeTrouble(ModeNoise)},
	{"card servers answer twice", 2, modeTrouble(ModeTwice)},
	{"card servers stop in an answer", 2, modeTrouble(ModeTrickle)},
	{"card servers reset", 2, modeTrouble(ModeReset)},
	{"card server restarts", 5, restartOneServer},
	{"most card servers restart", 2, restartMostServers},
	{"card server drains", 4, drainServer},
	{"card server stands still", 3, pauseServer},
	{"idle connections are closed", 3, closeIdleConnections},
	{"silent route", 3, routeTrouble(RouteSilent)},
	{"routes reset", 2, routeTrouble(RouteReset)},
	{"routes in fragments", 2, routeTrouble(RouteFragment)},
	{"discovery silent", 2, discoveryTrouble(DiscoverySilent)},
	{"discovery turns away", 2, discoveryTrouble(DiscoveryBusy)},
	{"discovery resets", 1, discoveryTrouble(DiscoveryReset)},
	{"discovery is slow", 2, discoveryTrouble(DiscoverySlow)},
	{"kill of a gateway, discovery is slow", 2, killWhileDiscoveryIsSlow},
	{"watches fall silent", 2, dropWatches},
	{"slow readers", 3, slowReaders},
	{"crowd of pipelines", 3, crowdOfPipelines},
	{"clients that go", 3, clientsThatGo},
	{"bad clients", 3, badClients},
}

// troublesNamed returns the troubles whose name holds a text.
func troublesNamed(text string) []trouble {
	var named []trouble
	for _, t := range troubles {
		if strings.Contains(t.name, text) {
			named = append(named, t)
		}
	}
	return named
}

// drawTrouble draws one of a list that is not empty, by their weights.
func drawTrouble(rng *lockedRand, from []trouble) trouble {
	total := 0
	for _, t := range from {
		total += t.weight
	}
	n := rng.intN(total)
	for _, t := range from {
		if n -= t.weight; n < 0 {
			return t
		}
	}
	return from[0]
}

func (f *fleet) anyGateway() *gateway { return f.gateways[f.rng.intN(len(f.gateways))] }

// someServers takes a part of the card servers for a trouble: at most so many of ten, and at least one if any is free.
func (f *fleet) someServers(tenths int) []*server {
	most := max(1, len(f.servers)*tenths/10)
	var taken []*server
	for _, i := range f.rng.perm(len(f.servers)) {
		s := f.servers[i]
		s.mu.Lock()
		if !s.busy && len(taken) < most {
			s.busy = true
			taken = append(taken, s)
		}
		s.mu.Unlock()
	}
	return taken
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
}

func (l *lockedRand) perm(n int) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Perm(n)
}

func plannedRestart(f *fleet) { f.restartGateway(f.anyGateway()) }
func killOne(f *fleet)        { f.killGateway(f.anyGateway()) }

// killWhileDiscoveryIsSlow kills a gateway whose next process has to wait for what its list lacks, while clients connect to it:
// the front has not noticed yet that the process before is gone.
func killWhileDiscoveryIsSlow(f *fleet) {
	restartOneServer(f) // so that there is something to tell
	f.discovery.send(DiscoveryCommand{Mode: DiscoverySlow})
	g := f.anyGateway()
	f.clients.tasks.Go(func() {
		for range 40 {
			f.clients.tasks.Go(func() { newcomerClient(f.clients, g.number) })
			time.Sleep(30 * time.Millisecond)
		}
	})
	f.killGateway(g)
	time.Sleep(time.Second)
	f.discovery.send(DiscoveryCommand{Mode: DiscoveryServe})
}

// pauseGateway holds a gateway up for as long as the pages allow.
func pauseGateway(f *fleet) {
	g := f.anyGateway()
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

// newConfiguration moves a gateway's discovery. The file may be half written as the signal comes.
func newConfiguration(f *fleet) {
	g := f.anyGateway()
	for range 1 + f.rng.intN(2) {
		g.mu.Lock()
		p := g.proc
		if !p.running() || p.isExpected() {
			g.mu.Unlock()
			return
		}
		g.address = (g.address + 1) % discoveryAddrs
		address := g.address
		g.mu.Unlock()
		config := f.config(g)
		half := f.rng.chance(0.4)
		first := config
		if half {
			first = config[:len(config)/2]
		}
		if err := os.WriteFile(f.configPath(g), first, 0o600); err != nil {
			f.log("%v", err)
			return
		}
		p.signal(syscall.SIGHUP)
		if half {
			time.Sleep(f.rng.between(10*time.Millisecond, 200*time.Millisecond))
			if err := os.WriteFile(f.configPath(g), config, 0o600); err != nil {
				f.log("%v", err)
				return
			}
		}
		at := Now()
		time.Sleep(f.rng.between(500*time.Millisecond, 5*time.Second))
		g.mu.Lock()
		same := g.proc == p && g.address == address && p.running() && !p.isExpected()
		g.mu.Unlock()
		if !same {
			return
		}
		f.oracle.change(func() {
			f.oracle.reloads = append(f.oracle.reloads, reload{gateway: g.number, address: address, at: at, until: Now()})
		})
	}
}

func modeTrouble(mode ServerMode) func(f *fleet) {
	return func(f *fleet) {
		taken := f.someServers(4)
		for _, s := range taken {
			s.proc.send(ServerCommand{Mode: mode})
		}
		time.Sleep(f.rng.between(300*time.Millisecond, 3*time.Second))
		for _, s := range taken {
			s.proc.send(ServerCommand{Mode: ModeServe})
			s.release()
		}
	}
}

// stepOfClock draws how far a machine's wall clock is off. Most are right.
func stepOfClock(f *fleet) time.Duration {
	steps := []time.Duration{0, 0, -10 * time.Second, 10 * time.Second, -time.Hour, time.Hour}
	return steps[f.rng.intN(len(steps))]
}

func restartOneServer(f *fleet) { restartServers(f, 1) }

func restartMostServers(f *fleet) { restartServers(f, 7) }

func restartServers(f *fleet, tenths int) {
	step := stepOfClock(f)
	f.log("card servers restart with a wall clock %v ahead", step)
	for _, s := range f.someServers(tenths) {
		f.restartServer(s, f.rng.between(0, 300*time.Millisecond), step)
		s.release()
	}
}

// drainServer drains a card server, which goes on answering, and takes the drain back later.
func drainServer(f *fleet) {
	taken := f.someServers(3)
	for _, s := range taken {
		f.tell(s, "draining")
	}
	time.Sleep(f.rng.between(time.Second, 6*time.Second))
	for _, s := range taken {
		f.restartServer(s, 0, 0)
		s.release()
	}
}

func pauseServer(f *fleet) {
	taken := f.someServers(3)
	begun := Now()
	for _, s := range taken {
		s.proc.signal(syscall.SIGSTOP)
	}
	time.Sleep(f.rng.between(300*time.Millisecond, 4*time.Second))
	for _, s := range taken {
		s.proc.signal(syscall.SIGCONT)
		f.oracle.change(func() {
			f.oracle.pauses[s.entry.ID] = append(f.oracle.pauses[s.entry.ID], pause{begun, Now()})
		})
		s.release()
	}
}

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

func routeTrouble(mode ProxyMode) func(f *fleet) {
	return func(f *fleet) {
		taken := f.someServers(4)
		for _, s := range taken {
			f.proxy.send(ProxyCommand{s.entry.ID, mode})
		}
		time.Sleep(f.rng.between(300*time.Millisecond, 3*time.Second))
		for _, s := range taken {
			f.proxy.send(ProxyCommand{s.entry.ID, RoutePass})
			s.release()
		}
	}
}

func discoveryTrouble(mode DiscoveryMode) func(f *fleet) {
	return func(f *fleet) {
		f.discovery.send(DiscoveryCommand{Mode: mode})
		time.Sleep(f.rng.between(500*time.Millisecond, 5*time.Second))
		f.discovery.send(DiscoveryCommand{Mode: DiscoveryServe})
	}
}

func dropWatches(f *fleet) {
	f.discovery.send(DiscoveryCommand{DropWatch: true, WholeLists: f.rng.chance(0.3)})
}

// crowd lets clients of one kind act together at a gateway.
func crowd(f *fleet, n int, act func(c *clients, gateway int)) {
	g := f.anyGateway().number
	for range n {
		f.clients.tasks.Go(func() { act(f.clients, g) })
	}
	time.Sleep(500 * time.Millisecond)
}

func slowReaders(f *fleet)      { crowd(f, 1+f.rng.intN(3), slowReaderClient) }
func crowdOfPipelines(f *fleet) { crowd(f, 3+f.rng.intN(8), pipelineClient) }
func clientsThatGo(f *fleet)    { crowd(f, 1+f.rng.intN(4), burstAndGoClient) }

func badClients(f *fleet) {
	crowd(f, 2+f.rng.intN(4), halfCommandClient)
	crowd(f, 2+f.rng.intN(4), garbageClient)
}

// startFaults draws what goes wrong on the machine of a gateway as it starts.
func (f *fleet) startFaults() platform.Script {
	script := platform.Script{}
	if f.rng.chance(0.3) {
		script.WallOffsetMS = stepOfClock(f).Milliseconds()
	}
	if f.rng.chance(0.5) {
		return script
	}
	brief := func(call platform.Call, chance float64, errnos ...syscall.Errno) {
		if !f.rng.chance(0.3) {
			return
		}
		from := int64(f.rng.intN(2)) * int64(f.rng.intN(4000))
		script.Rules = append(script.Rules, platform.Rule{Call: call, Errno: int(errnos[f.rng.intN(len(errnos))]), FromMS: from,
			ToMS: from + 100 + int64(f.rng.intN(900)), Chance: chance})
	}
	brief(platform.CallListen, 1, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRINUSE)
	brief(platform.CallListenPacket, 1, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL)
	brief(platform.CallReadFile, 1, syscall.EIO, syscall.ENFILE, syscall.EINTR)
	brief(platform.CallAccept, []float64{0.5, 1}[f.rng.intN(2)], syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS)
	brief(platform.CallConnect, 0.5, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EAGAIN)
	brief(platform.CallWrite, 0.3, syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM)
	brief(platform.CallRead, 0.2, syscall.ENOBUFS, syscall.ENOMEM)
	if f.rng.chance(0.3) {
		script.Rules = append(script.Rules,
			platform.Rule{Call: platform.CallWrite, MostBytes: 1 + f.rng.intN(100), ToMS: 1 << 40, Chance: 0.3},
			platform.Rule{Call: platform.CallRead, MostBytes: 1 + f.rng.intN(100), ToMS: 1 << 40, Chance: 0.3})
	}
	return script
}

// logMode draws what becomes of a gateway's log.
func (f *fleet) logMode() LogMode {
	switch f.rng.intN(8) {
	case 0:
		return LogBlocked
	case 1:
		return LogClosed
	}
	return LogFile
}
