// Command memory is case 1: clients send hundreds of commands at once, and the gateway needs more memory than it may.
package main

import (
	"strings"
	"sync"
	"time"

	"cherryhook-review/lab"
)

const (
	// The pages give 32 to 192 MB and 256 to 1,024 descriptors.
	memoryMB = 96
	sockets  = 256
	// Together with the usual clients, under a third of the descriptors.
	badClients   = 70
	commands     = 200      // "hundreds of commands at once"
	bodySize     = 64 << 10 // the longest value
	usualRate    = 40.0     // requests a second for each gateway
	usualSeconds = 3
	badSeconds   = 10
	sampleEvery  = 5 * time.Millisecond
)

func main() {
	l := lab.New()
	_, entries := l.StartCardServers(12, nil)
	fleet := l.StartFleet(2, lab.Limits{Cores: 1, MemoryMB: memoryMB, Sockets: sockets}, l.StartAgent(entries))
	attacked := fleet.Gateways[0]
	var platform sync.WaitGroup
	platform.Go(func() { enforceLimit(l, attacked) })

	var usual, bad lab.Tally
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, g := range fleet.Gateways {
		clients.Go(func() {
			l.Front(g.Addr, 2, usualRate, stop, usual.Add)
		})
	}
	time.Sleep(usualSeconds * time.Second)
	if l.Trouble {
		for range badClients {
			clients.Go(func() { sendAtOnce(l, attacked, &bad) })
		}
	}
	select {
	case <-attacked.Ended():
		time.Sleep(time.Second)
	case <-time.After(badSeconds * time.Second):
	}
	attacked.Kill()
	close(stop)
	clients.Wait()
	platform.Wait()
	l.Recordf("usual clients: %s; clients that send much at once: %s", &usual, &bad)
	l.Finish()
}

// enforceLimit is the platform: over its limit the gateway is killed. Only anonymous memory is counted, without the
// program's file and the kernel's buffers.
func enforceLimit(l *lab.Lab, g *lab.Gateway) {
	peak := 0
	for g.Running() {
		kb := g.AnonymousKB()
		peak = max(peak, kb)
		if kb > memoryMB<<10 {
			l.Broken("gateway 0 held %d KB of anonymous memory, its limit is %d KB: killed", kb, memoryMB<<10)
			g.Kill()
		}
		time.Sleep(sampleEvery)
	}
	l.Recordf("largest anonymous memory of gateway 0: %d KB, limit %d KB", peak, memoryMB<<10)
}

// sendAtOnce is a client that sends hundreds of commands at once, reads the answers, and does it again.
func sendAtOnce(l *lab.Lab, g *lab.Gateway, tally *lab.Tally) {
	body := strings.Repeat("x", bodySize)
	for until := time.Now().Add(badSeconds * time.Second); g.Running() && time.Now().Before(until); {
		var answers sync.WaitGroup
		c, err := lab.Dial(g.Addr, func(r *lab.Request) {
			tally.Add(r)
			answers.Done()
		})
		if err != nil {
			continue
		}
		requests := make([]*lab.Request, commands)
		for i := range requests {
			requests[i] = lab.NewRequest("redeem", 2, lab.RandomWait(), body)
		}
		first, last := requests[0].ID, requests[commands-1].ID
		l.Recordf("client that sends much at once: %d commands, %s to %s", commands, first, last)
		answers.Add(commands)
		c.Send(requests...)
		answers.Wait()
		var batch lab.Tally
		for _, r := range requests {
			batch.Add(r)
		}
		l.Recordf("client that sends much at once: %s to %s: %s", first, last, &batch)
		c.Close()
	}
}
