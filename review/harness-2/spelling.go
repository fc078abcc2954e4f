package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// spelledCustomer is one customer's number in the two spellings that its clients use.
var spelledCustomer = [...]string{"00000000b4d65521", "00000000B4D65521"}

// ceilingSpelling lets the clients of one customer write its number in lower and in upper case.
func ceilingSpelling(c *testCase) (verdict, error) {
	const gateways, rate, depth = 2, 17.0, 55.0
	store := newCeilingStore(rate, depth)
	if err := c.startFleet(gateways, 10, defaultSettings(), serveUnderCeiling(c.record, store, 60*time.Millisecond)); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // the ceiling's store is full at each gateway
	until := time.Now().Add(25 * time.Second)
	var wg sync.WaitGroup
	var number atomic.Int64
	for _, g := range c.deployment.gateways {
		for n := range 4 {
			spelling := spelledCustomer[0]
			if c.trouble {
				spelling = spelledCustomer[n%2]
			}
			next := func() request {
				return request{command: "Q.ASK", customer: spelling, id: fmt.Sprintf("r%d", number.Add(1)), class: classSafe,
					plan: planFull, deadlineMS: 2000, units: 4, spread: gateways}
			}
			wg.Go(func() { asker{g, c.record, 50 * time.Millisecond, next}.run(until) })
		}
	}
	wg.Wait()
	return ceilingVerdict(store), nil
}
