// Package watch decides when a gateway calls discovery and how: a pure state machine without I/O, clock or goroutine.
// Whoever makes the calls asks it for the next one, makes that, tells how it ended, and pauses as it says.
//
// # The bound
//
// A change counts as told 6 s after discovery had it and could be reached, and what a silent watch misses 6 s after it
// fell silent (2 s after its wait is over, if that is later), whatever failed, was refused or given up in between.
// These are all the paths from there to the answer where discovery is asked for lists, with each pause at its longest.
// A line is how long a call stands in line at discovery: none where it is spared, 2 s where its line is full.
//
//	a pause after refusals, 2.5 s, a call                                 2.5 s + line
//	a call in vain, 2.2 s, its pause, 0.3 s, a call                       2.5 s + line
//	a call in vain, a pause, a refusal, a pause that ends at 5 s, a call  5.0 s + line
//	a failed call's pause, 1 s, a call                                    1.0 s + line
//	a failed call's pause, 1 s, a refusal, a pause, 2.5 s, a call         3.5 s + line
//	a silent watch, 4.5 s, its pause, 0.05 s, a call                      4.55 s + line
//	a silent watch, a refusal, a pause that ends at 5 s, a call           5.0 s + line
//	a list that began anew: the call for the whole list comes on top      + line
//
// So the longest is 4.5 s with a full line in front, but for a silent watch, which leaves 1.5 s for the line, and for a
// refusal after a call in vain or a silent watch, which leaves 1 s. No path is longer unless discovery refuses twice
// after the moment that the bound counts from. One that goes on refusing is serving others; a gateway tries again 0.8,
// 2.4 and 4.9 s after the first refusal at the latest. With an agent of the gateway's own a call in vain takes 0.2 s
// and is followed by no pause; each other pause but those after refusals is 0.05 s at most.
//
// # What discovery needs
//
// Each gateway makes a call in 4 s and one more at each change, and where something befalls the whole fleet, all call
// at once. With n gateways discovery has to serve n/4 calls a second in a steady time, and a line of 2 s holds the
// whole fleet where it serves n/2: then nothing is refused for long, and all paths hold. With 0.3 n nine in ten were
// told within 9 s and all within 15 s in the model of the tests. Under n/4 calls are refused for as long as that lasts,
// and gateways are told in turn: those refused make no more than n/1.25 calls a second all together, and those in line
// are not given up, so that discovery works in vain for next to nobody.
//
// # Agents
//
// An agent on the gateway's own machine is silent while discovery is down, and what it gets at the return counts as told at
// once. So the calls that find out whether it is back follow one another without a pause: until the next one is out 0.2 s go by
// at most, which the grace of a drain, 0.25 s, has to cover. The first call of a process is such a call as well: a watch can't
// tell a silent agent from a fleet that does not change.
package watch

import (
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// AnswerWithin is how long the answer of an agent may take once it has begun. It is the longest that any call is given.
	AnswerWithin = patienceMost

	// Bound is within what a change has to be told, counted as the package comment says; the operators' term.
	Bound = 6 * time.Second
	// reserve is kept of the bound for the last call's line, answer and posting.
	reserve = time.Second

	watchWait  = 4 * time.Second        // a watch waits so long for news ...
	watchOver  = 500 * time.Millisecond // ... and is given up so long after: discovery that is down says nothing
	agentCheck = 200 * time.Millisecond // a call to an agent that need not wait is given up after this
	// On a call that was given up discovery works all the same, and who gives up while it stands in line comes back
	// to the end of the same line. So the time given is that of a full line, which was seen to be 2 s, and the way
	// there and back; a shorter one that was configured doubles to it. In the model, 1 s at first made up to 800 of
	// 300 gateways' calls vain in 30 s, 2.2 s none.
	patienceMost = 2200 * time.Millisecond

	// Retry is the pause after the first failure, after each one that an agent tells at once, and before discovery that does not
	// wait is asked again. From one failure to the next it doubles, where discovery is asked for lists.
	Retry     = 50 * time.Millisecond
	retryMost = time.Second
	// vainMost is the longest pause after a call that got no answer: spread, as a fleet that lost discovery at one
	// moment would else come back at one moment.
	vainMost = 300 * time.Millisecond

	// RefusedFirst and RefusedMost bound the pauses after refusals, which double, are halved by an answer, and are drawn
	// from their upper half.
	// The first is short, as little may be left of the bound. The last and a full line make 4.5 s. In the model, firsts of 0.4 to
	// 2.5 s differ by little where all of the fleet fits into the line, or in half of a fleet too large for it.
	RefusedFirst = 800 * time.Millisecond
	RefusedMost  = 2500 * time.Millisecond
)

// ErrUnheld says that discovery told changes to a list that the gateway does not hold.
var ErrUnheld = errors.New("changes to a list that this gateway does not hold")

// Config is how a gateway calls discovery. A duration of 0 stands for the default.
type Config struct {
	Agent   bool          // lists are pushed to an agent on the gateway's machine, which is asked at no cost
	Held    bool          // a whole list is held already, of the version
	Version uint64        // of the list that is held
	Wait    time.Duration // of a watch; 4 s
	Over    time.Duration // past its wait a watch is given up; 0.5 s
	Check   time.Duration // a call that does not wait is given up, at first; 2.2 s, with an agent 0.2 s
}

// Kind says what a call asks for.
type Kind int

const (
	Whole Kind = iota // the whole list
	Watch             // changes, and to wait for some
	Check             // changes, answered at once: it tells whether discovery is up, which a watch can't
)

// Call is what discovery is to be asked.
type Call struct {
	Kind   Kind
	After  uint64        // Watch, Check: changes since this version
	Wait   time.Duration // Watch: for news
	Within time.Duration // the call is given up then
}

// End says how a call ended.
type End int

const (
	Answered End = iota // with a list that can be used
	Refused             // discovery is up and has too many calls
	Failed              // at once: no connection, a reset, another status, a list that can't be used
	TimedOut            // no answer within the call's time, or no connection
)

// String is the end's name in metrics.
func (e End) String() string { return [...]string{"answered", "refused", "failed", "timed_out"}[e] }

// Result tells how a call ended. Version, Full and Entries are those of an answer.
type Result struct {
	End     End
	Version uint64
	Full    bool // the whole list
	Entries int
}

// Step is what follows a call.
type Step struct {
	Take  bool          // the answer's list holds news for the gateway
	Heard bool          // discovery was heard: the gateway holds what it knew
	Err   error         // ErrUnheld, or nil
	Pause time.Duration // before the next call
}

// Pacer paces one gateway's calls, one after the other. Random numbers come from the source that it is given; it is
// not safe for concurrent use.
type Pacer struct {
	cfg      Config
	rng      *rand.Rand
	held     bool
	version  uint64
	failing  bool          // a short call finds out whether discovery is up
	patience time.Duration // of a call that does not wait
	retry    time.Duration // the next failure's pause
	idle     time.Duration // the next pause for answers that come at once with nothing
	refused  time.Duration // the longest that the next refusal's pause may be
	call     Call
	called   time.Duration
	due      time.Duration // the call that follows the next refusal has to go out by then; 0: as the pause says
}

// New returns a pacer before its first call.
func New(cfg Config, rng *rand.Rand) *Pacer {
	check := patienceMost
	if cfg.Agent {
		check = agentCheck
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{{&cfg.Wait, watchWait}, {&cfg.Over, watchOver}, {&cfg.Check, check}} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	p := &Pacer{cfg: cfg, rng: rng, held: cfg.Held, version: cfg.Version}
	p.calm()
	p.failing = cfg.Agent // it has not been heard yet
	return p
}

// calm forgets failures, and refusals by half: a gateway that was told can better wait than one that was not.
func (p *Pacer) calm() {
	p.failing, p.patience, p.retry, p.refused, p.due = false, p.cfg.Check, Retry, max(p.refused/2, RefusedFirst), 0
}

// Next is the call to make now; times count from any one moment. A watch can't tell discovery that is down from a
// fleet that does not change, so after a failure short calls, which are answered at once, find out when discovery is
// back. Discovery that turns calls away is up, and a short call would only be one more for it: the watch is tried
// again itself.
func (p *Pacer) Next(now time.Duration) Call {
	switch {
	case !p.held:
		p.call = Call{Kind: Whole, Within: p.patience}
	case p.failing:
		p.call = Call{Kind: Check, After: p.version, Within: p.patience}
	default:
		p.call = Call{Kind: Watch, After: p.version, Wait: p.cfg.Wait, Within: p.cfg.Wait + p.cfg.Over}
	}
	p.called = now
	return p.call
}

// Done tells how the last call ended, and returns what follows.
func (p *Pacer) Done(now time.Duration, r Result) Step {
	switch {
	case r.End == Answered && !p.held && !r.Full:
		return Step{Err: ErrUnheld, Pause: p.failed()}
	case r.End == Answered:
		return p.answered(now, r)
	case r.End == Refused:
		return Step{Pause: p.turnedAway(now)}
	case r.End == TimedOut:
		return Step{Pause: p.inVain()}
	}
	return Step{Pause: p.failed()}
}

func (p *Pacer) answered(now time.Duration, r Result) Step {
	p.calm()
	if p.held && !r.Full && r.Version < p.version { // it has begun anew: what it calls changes would be lost on the list held
		p.held = false
		return Step{}
	}
	p.held, p.version = true, r.Version
	s := Step{Take: r.Full || r.Entries > 0, Heard: true}
	switch {
	case s.Take || now-p.called >= Retry:
		p.idle = Retry
	case p.call.Kind == Check:
		s.Pause = Retry
	default: // discovery that does not wait must not be asked without end
		p.idle = max(p.idle, Retry)
		s.Pause, p.idle = p.upper(p.idle), p.doubled(p.idle, retryMost)
	}
	return s
}

// turnedAway draws the pause after a refusal: doubling, as how many gateways call is not known here, and spread, as
// pauses that are alike would bring the whole fleet back at once.
func (p *Pacer) turnedAway(now time.Duration) time.Duration {
	most := p.refused
	if p.due > now { // little is left of the bound, so this one is short; the next need not be
		most = max(min(most, p.due-now), Retry)
	}
	p.failing, p.due = false, 0
	p.refused = min(2*p.refused, RefusedMost)
	return p.upper(most)
}

// inVain follows a call without an answer.
func (p *Pacer) inVain() time.Duration {
	p.due = p.called + Bound - reserve
	if p.call.Kind != Watch && !p.cfg.Agent {
		p.patience = min(2*p.patience, max(patienceMost, p.cfg.Check))
	}
	p.failing = true
	switch {
	case p.call.Kind == Watch: // its time is spent, and watches of a fleet end at different times
		return Retry
	case p.cfg.Agent:
		return 0
	}
	return Retry + time.Duration(p.rng.Int64N(int64(vainMost-Retry)))
}

// failed follows a call that failed at once.
func (p *Pacer) failed() time.Duration {
	pause := p.upper(p.retry)
	p.failing, p.retry = true, p.doubled(p.retry, retryMost)
	return pause
}

// doubled is the next longest pause, up to most. An agent's calls are free, and what it gets when discovery returns
// counts as told at once: there pauses stay as they are, as does the time that a call is given.
func (p *Pacer) doubled(d, most time.Duration) time.Duration {
	if p.cfg.Agent {
		return d
	}
	return min(2*d, most)
}

// upper draws from the upper half of a duration.
func (p *Pacer) upper(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.rng.Int64N(int64(d/2)+1))
}
