package watch

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

func newSource(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(1, seed)) }

// path drives one pacer by hand on a clock of its own.
type path struct {
	p    *Pacer
	rng  *rand.Rand
	now  time.Duration
	call Call
}

func (x *path) next() { x.call = x.p.Next(x.now) }

// ends lets the open call end that long after it began, and the pause pass.
func (x *path) ends(after time.Duration, r Result) {
	x.now += after
	x.now += x.p.Done(x.now, r).Pause
	x.next()
}

// history is any sequence of ends before the moment that the bound counts from.
func (x *path) history() {
	for range x.rng.IntN(8) {
		switch x.rng.IntN(4) {
		case 0:
			x.ends(x.call.Wait, Result{End: Answered, Version: 1})
		case 1:
			x.ends(0, Result{End: Refused})
		case 2:
			x.ends(0, Result{End: Failed})
		case 3:
			x.ends(x.call.Within, Result{End: TimedOut})
		}
	}
}

// Whatever went before, the call that tells a change goes out in time: discovery has it and could be reached from a
// random moment on, of which the open call, or the pause behind it, gains nothing; and the first call after that may
// be refused. A watch that is open then counts as silent. What is left to the bound is for line and answer.
func TestEveryPathLeavesTimeForTheAnswer(t *testing.T) {
	for _, agent := range []bool{false, true} {
		worst := map[string]time.Duration{}
		for seed := range uint64(20_000) {
			x := &path{p: New(Config{Agent: agent, Held: true, Version: 1}, newSource(seed)), rng: newSource(seed + 1<<32)}
			x.next()
			x.history()
			from := x.now // worst: as the call has just gone out, in vain
			silent := x.call.Kind == Watch
			name := "call"
			if silent {
				name = "watch"
			}
			switch x.rng.IntN(3) {
			case 0:
				name += " in vain"
				x.ends(x.call.Within, Result{End: TimedOut})
			case 1:
				name += " failed"
				x.ends(0, Result{End: Failed})
			case 2:
				name += " refused"
				x.ends(0, Result{End: Refused})
			}
			worst[name] = max(worst[name], x.now-from)
			if name == "call refused" || name == "watch refused" {
				continue
			}
			x.ends(0, Result{End: Refused})
			worst[name+", refused"] = max(worst[name+", refused"], x.now-from)
		}
		for name, d := range worst {
			most := Bound - reserve
			if name == "call in vain" || name == "call failed" || name == "call refused" || name == "watch refused" {
				most = 2500 * time.Millisecond // with a full line of 2 s: 4.5 s
			}
			t.Logf("agent %v, %s: the next call is out after %v", agent, name, d)
			if d > most {
				t.Errorf("agent %v, %s: the next call is out after %v, want %v at most", agent, name, d, most)
			}
		}
		if len(worst) != 10 {
			t.Errorf("agent %v: %d kinds of paths were seen, want 10", agent, len(worst))
		}
	}
}

// Where lists are pushed the agent on the gateway's machine answers at once, and what it gets when discovery
// returns counts as told: calls in vain must not make the next one wait for longer. A discovery that serves the
// whole fleet is given more time.
func TestPatienceWithDiscovery(t *testing.T) {
	for name, tc := range map[string]struct {
		agent bool
		want  time.Duration
	}{"agent": {true, agentCheck}, "asked": {false, patienceMost}} {
		x := &path{p: New(Config{Agent: tc.agent, Check: agentCheck}, newSource(1))}
		x.next()
		for range 8 {
			last := x.call.Within
			x.ends(last, Result{End: TimedOut})
			if x.call.Within != min(2*last, tc.want) {
				t.Errorf("%s: a call is given %v after one that had %v", name, x.call.Within, last)
			}
		}
		if x.call.Within != tc.want {
			t.Errorf("%s: a call is given %v after eight in vain, want %v", name, x.call.Within, tc.want)
		}
	}
}

// What the next call is, and what is taken of an answer.
func TestSteps(t *testing.T) {
	const held = 41
	for name, tc := range map[string]struct {
		unheld bool
		result Result
		take   bool
		err    error
		next   Call
	}{
		"news":       {false, Result{End: Answered, Version: 42, Entries: 1}, true, nil, Call{Watch, 42, watchWait, watchWait + watchOver}},
		"no news":    {false, Result{End: Answered, Version: held}, false, nil, Call{Watch, held, watchWait, watchWait + watchOver}},
		"whole":      {false, Result{End: Answered, Version: 7, Full: true}, true, nil, Call{Watch, 7, watchWait, watchWait + watchOver}},
		"began anew": {false, Result{End: Answered, Version: 9, Entries: 1}, false, nil, Call{Whole, 0, 0, patienceMost}},
		"refused":    {false, Result{End: Refused}, false, nil, Call{Watch, held, watchWait, watchWait + watchOver}},
		"failed":     {false, Result{End: Failed}, false, nil, Call{Check, held, 0, patienceMost}},
		"in vain":    {false, Result{End: TimedOut}, false, nil, Call{Check, held, 0, patienceMost}},
		"first list": {true, Result{End: Answered, Version: 3, Full: true}, true, nil, Call{Watch, 3, watchWait, watchWait + watchOver}},
		"changes":    {true, Result{End: Answered, Version: 3, Entries: 1}, false, ErrUnheld, Call{Whole, 0, 0, patienceMost}},
		"unheld":     {true, Result{End: Refused}, false, nil, Call{Whole, 0, 0, patienceMost}},
	} {
		p := New(Config{Held: !tc.unheld, Version: held}, newSource(1))
		p.Next(0)
		s := p.Done(0, tc.result)
		if s.Take != tc.take || !errors.Is(s.Err, tc.err) {
			t.Errorf("%s: got %+v", name, s)
		}
		if next := p.Next(s.Pause); next != tc.next {
			t.Errorf("%s: the next call is %+v, want %+v", name, next, tc.next)
		}
	}
}

// Discovery that answers each watch at once with nothing is asked ever more seldom, where it is asked for lists; news
// ends that.
func TestDiscoveryThatDoesNotWait(t *testing.T) {
	for _, tc := range []struct {
		agent bool
		most  time.Duration
	}{{false, retryMost}, {true, Retry}} {
		x := &path{p: New(Config{Agent: tc.agent, Held: true, Version: 1}, newSource(1))}
		x.next()
		var last time.Duration
		for range 8 {
			before := x.now
			x.ends(0, Result{End: Answered, Version: 1})
			last = x.now - before
		}
		if last < tc.most/2 || last > tc.most {
			t.Errorf("agent %v: the eighth pause is %v, want %v to %v", tc.agent, last, tc.most/2, tc.most)
		}
		x.ends(0, Result{End: Answered, Version: 2, Entries: 1})
		before := x.now
		x.ends(0, Result{End: Answered, Version: 2})
		if d := x.now - before; d > Retry {
			t.Errorf("agent %v: the pause after news is %v, want %v at most", tc.agent, d, Retry)
		}
	}
}

// What an agent gets when discovery returns counts as told at once, and a drain has to be kept 0.25 s later: calls that it does not
// answer follow one another so closely that the next one leaves time for its answer. That holds from the first call of a
// process on, which may begin while discovery is down.
func TestSilentAgentIsAskedAgainInTime(t *testing.T) {
	const grace, answer = 250 * time.Millisecond, 50 * time.Millisecond
	x := &path{p: New(Config{Agent: true, Held: true, Version: 1}, newSource(1))}
	x.next()
	for n := range 50 {
		before := x.now
		x.ends(x.call.Within, Result{End: TimedOut})
		if gap := x.now - before; gap > grace-answer {
			t.Fatalf("call %d in vain: the next one is out after %v, want %v at most", n+1, gap, grace-answer)
		}
	}
}
