package watch

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(1, seed)) }

// driver drives one Pacer on its own clock.
type driver struct {
	pacer *Pacer
	rng   *rand.Rand
	now   time.Duration
	call  Call
}

// next starts the next call.
func (d *driver) next() { d.call = d.pacer.Next(d.now) }

// finish ends the current call the given time after its start, passes the pause, and starts the next call.
func (d *driver) finish(after time.Duration, r Result) {
	d.now += after
	d.now += d.pacer.Done(d.now, r).Pause
	d.next()
}

// randomHistory ends up to 7 calls with random outcomes. They precede the moment from which the delay is counted.
func (d *driver) randomHistory() {
	for range d.rng.IntN(8) {
		switch d.rng.IntN(4) {
		case 0:
			d.finish(d.call.Wait, Result{Outcome: Answered, Version: 1})
		case 1:
			d.finish(0, Result{Outcome: Refused})
		case 2:
			d.finish(0, Result{Outcome: Failed})
		case 3:
			d.finish(d.call.Timeout, Result{Outcome: TimedOut})
		}
	}
}

// After any history, the call that returns a change must start early enough to keep MaxUpdateDelay. Discovery has the
// change and is reachable from a random moment on. The call that is open then does not return it: it times out (a watch
// is silent), fails or is refused. The first call after that may be refused as well. The rest of MaxUpdateDelay is for
// the queue and the answer.
func TestRetryPathsKeepMaxUpdateDelay(t *testing.T) {
	for _, agent := range []bool{false, true} {
		worst := map[string]time.Duration{}
		for seed := range uint64(20_000) {
			sim := &driver{pacer: New(Config{Agent: agent, HasList: true, Version: 1}, newRand(seed)), rng: newRand(seed + 1<<32)}
			sim.next()
			sim.randomHistory()
			from := sim.now // the worst case: the call has just started and does not return the change
			isWatch := sim.call.Kind == Watch
			name := "call"
			if isWatch {
				name = "watch"
			}
			switch sim.rng.IntN(3) {
			case 0:
				name += " timed out"
				sim.finish(sim.call.Timeout, Result{Outcome: TimedOut})
			case 1:
				name += " failed"
				sim.finish(0, Result{Outcome: Failed})
			case 2:
				name += " refused"
				sim.finish(0, Result{Outcome: Refused})
			}
			worst[name] = max(worst[name], sim.now-from)
			if name == "call refused" || name == "watch refused" {
				continue
			}
			sim.finish(0, Result{Outcome: Refused})
			worst[name+", refused"] = max(worst[name+", refused"], sim.now-from)
		}
		for name, d := range worst {
			limit := MaxUpdateDelay - answerReserve
			if name == "call timed out" || name == "call failed" || name == "call refused" || name == "watch refused" {
				limit = 2500 * time.Millisecond // 4.5 s with a full queue of 2 s
			}
			t.Logf("agent %v, %s: the next call starts after %v", agent, name, d)
			if d > limit {
				t.Errorf("agent %v, %s: the next call starts after %v, want at most %v", agent, name, d, limit)
			}
		}
		if len(worst) != 10 {
			t.Errorf("agent %v: %d kinds of paths occurred, want 10", agent, len(worst))
		}
	}
}

// The timeout of calls to an agent must not grow with calls that time out. The agent answers at once, and a change that
// it gets when discovery returns must be received at once. Without an agent the timeout doubles up to its maximum,
// because discovery serves all gateways.
func TestCallTimeoutStaysBounded(t *testing.T) {
	for name, tc := range map[string]struct {
		agent bool
		want  time.Duration
	}{"agent": {true, agentCheckTimeout}, "no agent": {false, maxCallTimeout}} {
		sim := &driver{pacer: New(Config{Agent: tc.agent, CheckTimeout: agentCheckTimeout}, newRand(1))}
		sim.next()
		for range 8 {
			last := sim.call.Timeout
			sim.finish(last, Result{Outcome: TimedOut})
			if sim.call.Timeout != min(2*last, tc.want) {
				t.Errorf("%s: the timeout is %v after one of %v", name, sim.call.Timeout, last)
			}
		}
		if sim.call.Timeout != tc.want {
			t.Errorf("%s: the timeout is %v after eight calls that timed out, want %v", name, sim.call.Timeout, tc.want)
		}
	}
}

// Each outcome must lead to the right next call. Only answers that apply to the list held may be applied.
func TestNextCallAfterOutcome(t *testing.T) {
	const held = 41
	for name, tc := range map[string]struct {
		noList     bool
		result     Result
		hasChanges bool
		err        error
		next       Call
	}{
		"changes":            {false, Result{Outcome: Answered, Version: 42, Entries: 1}, true, nil, Call{Watch, 42, watchWait, watchWait + watchGrace}},
		"no changes":         {false, Result{Outcome: Answered, Version: held}, false, nil, Call{Watch, held, watchWait, watchWait + watchGrace}},
		"full list":          {false, Result{Outcome: Answered, Version: 7, Full: true}, true, nil, Call{Watch, 7, watchWait, watchWait + watchGrace}},
		"lower version":      {false, Result{Outcome: Answered, Version: 9, Entries: 1}, false, nil, Call{FullList, 0, 0, maxCallTimeout}},
		"refused":            {false, Result{Outcome: Refused}, false, nil, Call{Watch, held, watchWait, watchWait + watchGrace}},
		"failed":             {false, Result{Outcome: Failed}, false, nil, Call{Check, held, 0, maxCallTimeout}},
		"timed out":          {false, Result{Outcome: TimedOut}, false, nil, Call{Check, held, 0, maxCallTimeout}},
		"no list, full list": {true, Result{Outcome: Answered, Version: 3, Full: true}, true, nil, Call{Watch, 3, watchWait, watchWait + watchGrace}},
		"no list, changes":   {true, Result{Outcome: Answered, Version: 3, Entries: 1}, false, ErrNoBaseList, Call{FullList, 0, 0, maxCallTimeout}},
		"no list, refused":   {true, Result{Outcome: Refused}, false, nil, Call{FullList, 0, 0, maxCallTimeout}},
	} {
		p := New(Config{HasList: !tc.noList, Version: held}, newRand(1))
		p.Next(0)
		s := p.Done(0, tc.result)
		if s.HasChanges != tc.hasChanges || !errors.Is(s.Err, tc.err) {
			t.Errorf("%s: got %+v", name, s)
		}
		if next := p.Next(s.Pause); next != tc.next {
			t.Errorf("%s: the next call is %+v, want %+v", name, next, tc.next)
		}
	}
}

// A discovery that answers each watch at once without changes must not be called in a busy loop. Without an agent the
// pauses double up to their maximum. An answer with changes resets them.
func TestImmediateEmptyAnswersCauseNoBusyLoop(t *testing.T) {
	for _, tc := range []struct {
		agent    bool
		maxPause time.Duration
	}{{false, maxRetryPause}, {true, RetryPause}} {
		sim := &driver{pacer: New(Config{Agent: tc.agent, HasList: true, Version: 1}, newRand(1))}
		sim.next()
		var last time.Duration
		for range 8 {
			before := sim.now
			sim.finish(0, Result{Outcome: Answered, Version: 1})
			last = sim.now - before
		}
		if last < tc.maxPause/2 || last > tc.maxPause {
			t.Errorf("agent %v: the eighth pause is %v, want %v to %v", tc.agent, last, tc.maxPause/2, tc.maxPause)
		}
		sim.finish(0, Result{Outcome: Answered, Version: 2, Entries: 1})
		before := sim.now
		sim.finish(0, Result{Outcome: Answered, Version: 2})
		if d := sim.now - before; d > RetryPause {
			t.Errorf("agent %v: the pause after changes is %v, want at most %v", tc.agent, d, RetryPause)
		}
	}
}

// A change that an agent gets when discovery returns must be received at once, and a drain takes effect 0.25 s later.
// So calls that the agent does not answer must follow one another closely enough to leave time for the answer of the
// next call. This holds from the first call of a process on, because a process may start while discovery is down.
func TestSilentAgentIsPolledWithinDrainGrace(t *testing.T) {
	const grace, answer = 250 * time.Millisecond, 50 * time.Millisecond
	sim := &driver{pacer: New(Config{Agent: true, HasList: true, Version: 1}, newRand(1))}
	sim.next()
	for n := range 50 {
		before := sim.now
		sim.finish(sim.call.Timeout, Result{Outcome: TimedOut})
		if gap := sim.now - before; gap > grace-answer {
			t.Fatalf("call %d timed out: the next one starts after %v, want at most %v", n+1, gap, grace-answer)
		}
	}
}

// Answers that come in another order than the calls were made must neither take the gateway back to an older list nor
// be taken for a discovery that has restarted its versions. A real restart must lead to the full list.
func TestLateAnswerKeepsNewestList(t *testing.T) {
	const held = 41
	changes := func(version uint64) Result { return Result{Outcome: Answered, Version: version, Entries: 1} }
	full := func(version uint64) Result { return Result{Outcome: Answered, Version: version, Full: true} }
	for name, tc := range map[string]struct {
		first, second Result // the answers to the first and to the second call; the second one comes first
		step          Step
		next          uint64 // the version that the next call names; 0: the full list
	}{
		"older changes":               {changes(42), changes(43), Step{UpToDate: true}, 43},
		"the same changes":            {changes(43), changes(43), Step{UpToDate: true}, 43},
		"newer changes":               {changes(44), changes(43), Step{HasChanges: true, UpToDate: true}, 44},
		"no changes before changes":   {Result{Outcome: Answered, Version: held}, changes(43), Step{UpToDate: true}, 43},
		"older full list":             {full(42), changes(43), Step{UpToDate: true}, 43},
		"newer full list":             {full(44), changes(43), Step{HasChanges: true, UpToDate: true}, 44},
		"changes after no changes":    {changes(42), Result{Outcome: Answered, Version: held}, Step{HasChanges: true, UpToDate: true}, 42},
		"versions restarted":          {changes(9), Result{Outcome: Answered, Version: held}, Step{VersionsRestarted: true, CallNow: true}, 0},
		"restarted, full list":        {full(9), Result{Outcome: Answered, Version: held}, Step{HasChanges: true, UpToDate: true, VersionsRestarted: true, CallNow: true}, 9},
		"restarted between, full":     {full(9), changes(43), Step{VersionsRestarted: true, CallNow: true}, 0},
		"changes, no list held since": {changes(43), changes(9), Step{}, 0},
	} {
		p := New(Config{Agent: true, HasList: true, Version: held}, newRand(1))
		first := p.Next(0)
		p.Done(agentCheckTimeout, Result{Outcome: TimedOut})
		if !p.KeepOpen() {
			t.Errorf("%s: the first call that times out is given up", name)
		}
		p.Next(agentCheckTimeout)
		p.Done(2*agentCheckTimeout, tc.second)
		p.Next(2 * agentCheckTimeout)
		if s := p.LateAnswer(first, tc.first); s != tc.step {
			t.Errorf("%s: got %+v, want %+v", name, s, tc.step)
		}
		next := p.Next(3 * agentCheckTimeout)
		if next.After != tc.next || (next.Kind == FullList) != (tc.next == 0) {
			t.Errorf("%s: the next call is %+v, want version %d", name, next, tc.next)
		}
	}
}

// A late answer must end a call or a pause that only finds out whether discovery is up, and begin a watch at once. It
// must not end a watch, nor the pause after a refusal.
func TestLateAnswerBeginsWatch(t *testing.T) {
	for name, tc := range map[string]struct {
		noList  bool
		result  Result // of the second call; none if the late answer comes while that is in progress
		callNow bool
	}{
		"check in progress":     {false, Result{Outcome: -1}, true},
		"full list in progress": {true, Result{Outcome: -1}, true},
		"pause after a failure": {false, Result{Outcome: Failed}, true},
		"pause after a timeout": {false, Result{Outcome: TimedOut}, true},
		"pause after a refusal": {false, Result{Outcome: Refused}, false},
	} {
		for _, agent := range []bool{true, false} {
			p := New(Config{Agent: agent, HasList: !tc.noList, Version: 1}, newRand(1))
			first := p.Next(0)
			p.Done(first.Timeout, Result{Outcome: TimedOut})
			second := p.Next(first.Timeout)
			if tc.result.Outcome >= 0 {
				p.Done(first.Timeout+second.Timeout, tc.result)
			}
			if s := p.LateAnswer(first, Result{Outcome: Answered, Version: 1, Full: tc.noList}); s.CallNow != tc.callNow {
				t.Errorf("%s, agent %v: got %+v", name, agent, s)
			}
			if next := p.Next(first.Timeout + second.Timeout); next.Kind != Watch {
				t.Errorf("%s, agent %v: the next call is %+v, want a watch", name, agent, next)
			}
			if s := p.LateAnswer(second, Result{Outcome: Answered, Version: 1}); s.CallNow {
				t.Errorf("%s, agent %v: a late answer ends a watch", name, agent)
			}
		}
	}
}

// Few calls may stay open, and each long enough for an answer that comes within MaxUpdateDelay.
func TestLateCallsStayOpenForMaxUpdateDelay(t *testing.T) {
	const limit = 6 * time.Second // "a change counts as told at the latest 6 s after discovery had it"
	p := New(Config{Agent: true, HasList: true, Version: 1}, newRand(1))
	var open []time.Duration // when the calls that stay open were made
	for now := time.Duration(0); now < time.Minute; now += agentCheckTimeout {
		p.Next(now)
		p.Done(now+agentCheckTimeout, Result{Outcome: TimedOut})
		if !p.KeepOpen() {
			continue
		}
		if len(open) == MaxLateCalls {
			if age := now - open[0]; age < limit {
				t.Errorf("a call is given up after %v", age)
			}
			open = open[1:]
		}
		open = append(open, now)
		if len(open) > 1 && now-open[len(open)-2] > 2*time.Second {
			t.Errorf("no call between %v and %v stays open", open[len(open)-2], now)
		}
	}
}
