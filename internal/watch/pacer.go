package watch

import (
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// AnswerTimeout is the time that an agent's answer may take once it has begun, before the next call is made. It equals
	// the longest timeout of a call that is not a watch.
	AnswerTimeout = maxCallTimeout

	// MaxUpdateDelay is the operators' limit for the time until a gateway receives a change. The package comment says
	// how it is counted.
	MaxUpdateDelay = 6 * time.Second
	// answerReserve is the part of MaxUpdateDelay that is kept for the last call: its time in the queue, its answer,
	// and the delivery of the list in the gateway.
	answerReserve = time.Second

	// Defaults of Config. A watch needs a timeout because a discovery that is down does not answer.
	watchWait         = 4 * time.Second        // how long a watch waits for changes
	watchGrace        = 500 * time.Millisecond // a watch times out this long after its wait
	agentCheckTimeout = 200 * time.Millisecond // timeout of a call to an agent that is not a watch
	// maxCallTimeout is the timeout of a call that is not a watch. Discovery also works on calls that timed out, and a
	// caller that calls again while it is queued joins the end of the same queue. So the timeout covers a full queue of
	// 2 s and the round trip. A shorter configured timeout doubles up to this value.
	maxCallTimeout = 2200 * time.Millisecond

	// RetryPause is the pause after the first failure, after each immediate failure of an agent, and before the next
	// call to a discovery that answers a watch at once with no changes. Without an agent it doubles with each further
	// failure, up to maxRetryPause.
	RetryPause    = 50 * time.Millisecond
	maxRetryPause = time.Second

	// MaxLateCalls is how many calls that timed out may stay open for their late answers. Beyond that the oldest one is
	// given up.
	MaxLateCalls = 4
	// lateCallSpacing is the least time between the starts of two calls that stay open, except for watches. So a call that
	// stays open is given up only after MaxLateCalls times as long, which is MaxUpdateDelay.
	lateCallSpacing = MaxUpdateDelay / MaxLateCalls
	// LateAnswerTimeout is how long after its timeout a call may stay open.
	LateAnswerTimeout = 10 * time.Second

	// maxTimeoutPause is the longest pause after a call that timed out. The pause is random, because gateways that lost
	// discovery at the same moment would otherwise call again at the same moment.
	maxTimeoutPause = 300 * time.Millisecond

	// FirstRefusalPause and MaxRefusalPause are the first and the greatest upper limit of the pause after a refusal.
	// The limit doubles with each refusal, and an answer halves it. The pause is random, between half the limit and the
	// limit. The first limit is short, because little of MaxUpdateDelay may be left. The greatest limit and a full
	// queue make 4.5 s.
	FirstRefusalPause = 800 * time.Millisecond
	MaxRefusalPause   = 2500 * time.Millisecond
)

// ErrNoBaseList is the error for an answer with changes when the gateway holds no list to apply them to.
var ErrNoBaseList = errors.New("discovery sent changes, but this gateway holds no list to apply them to")

// Config configures how a gateway calls discovery. A duration of 0 means the default.
type Config struct {
	Agent        bool          // discovery pushes lists to an agent on this machine; calls to it cost nothing
	HasList      bool          // the gateway already holds a full list, of the given Version
	Version      uint64        // of the list that the gateway holds
	WatchWait    time.Duration // how long a watch waits for changes; default 4 s
	WatchGrace   time.Duration // a watch times out this long after its wait; default 0.5 s
	CheckTimeout time.Duration // first timeout of other calls; default 2.2 s, with an agent 0.2 s
}

// Kind is what a call requests.
type Kind int

const (
	FullList Kind = iota // the full list
	Watch                // changes; discovery waits until there are some
	Check                // changes, answered at once; unlike a watch it shows whether discovery is up
)

// Call is a call to make to discovery.
type Call struct {
	Kind    Kind
	After   uint64        // Watch and Check: request changes since this version
	Wait    time.Duration // Watch: how long discovery waits for changes
	Timeout time.Duration // of the whole call
}

// Outcome is how a call ended.
type Outcome int

const (
	Answered Outcome = iota // with a valid list
	Refused                 // discovery is up but overloaded
	Failed                  // at once: connection failure, reset, unexpected status, or invalid list
	TimedOut                // no answer yet, or no connection, within the call's timeout
)

// String returns the value of the outcome in metrics.
func (o Outcome) String() string { return [...]string{"answered", "refused", "failed", "timed_out"}[o] }

// Result describes a completed call. Version, Full and Entries are set if it was answered.
type Result struct {
	Outcome Outcome
	Version uint64
	Full    bool // the answer holds the full list, not changes
	Entries int
}

// Step is what to do after a call.
type Step struct {
	HasChanges bool          // the answer holds a list or changes to apply
	UpToDate   bool          // after applying the answer the gateway holds discovery's current list
	Err        error         // ErrNoBaseList or nil
	Pause      time.Duration // before the next call

	// VersionsRestarted means that the answers of all other open calls belong to a numbering of versions that is no
	// longer valid. They must not be used.
	VersionsRestarted bool
	// CallNow follows a late answer: the call or pause in progress must be ended, and the next call be made at once.
	CallNow bool
}

// Pacer schedules the calls of one gateway, one at a time. Its random numbers come from the given source. It is not
// safe for concurrent use.
type Pacer struct {
	cfg               Config
	rng               *rand.Rand
	hasList           bool
	version           uint64
	failing           bool          // the next call is no watch; its immediate answer shows whether discovery is up
	callTimeout       time.Duration // of calls other than watches
	retryPauseLimit   time.Duration // upper limit of the pause after the next failure
	emptyPauseLimit   time.Duration // upper limit of the pause after the next immediate answer without changes
	refusalPauseLimit time.Duration // upper limit of the pause after the next refusal
	call              Call
	calledAt          time.Duration
	inProgress        bool          // call has not ended yet
	nextCallBy        time.Duration // latest time of the call after the next refusal; 0: no limit
	hasLateCall       bool          // a call has stayed open for its late answer
	lateCalledAt      time.Duration // when the last such call was made
}

// New returns a Pacer for a gateway that has made no call yet.
func New(cfg Config, rng *rand.Rand) *Pacer {
	check := maxCallTimeout
	if cfg.Agent {
		check = agentCheckTimeout
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{{&cfg.WatchWait, watchWait}, {&cfg.WatchGrace, watchGrace}, {&cfg.CheckTimeout, check}} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	p := &Pacer{cfg: cfg, rng: rng, hasList: cfg.HasList, version: cfg.Version}
	p.resetBackoff()
	p.failing = cfg.Agent // a watch could not show whether the agent is up
	return p
}

// resetBackoff resets the state after an answer. The limit of the refusal pause is only halved: a gateway that has just
// received an answer can wait longer than one that has not.
func (p *Pacer) resetBackoff() {
	p.failing, p.callTimeout, p.retryPauseLimit, p.refusalPauseLimit, p.nextCallBy =
		false, p.cfg.CheckTimeout, RetryPause, max(p.refusalPauseLimit/2, FirstRefusalPause), 0
}

// Next returns the call to make now. All times are offsets from one arbitrary moment. A watch can't distinguish a
// discovery that is down from a server list that does not change. So after a failure the next call is a Check (or
// FullList, if the gateway holds no list), which is answered at once. After a refusal the watch itself is repeated:
// discovery is known to be up, and a Check would only add load.
func (p *Pacer) Next(now time.Duration) Call {
	switch {
	case !p.hasList:
		p.call = Call{Kind: FullList, Timeout: p.callTimeout}
	case p.failing:
		p.call = Call{Kind: Check, After: p.version, Timeout: p.callTimeout}
	default:
		p.call = Call{Kind: Watch, After: p.version, Wait: p.cfg.WatchWait, Timeout: p.cfg.WatchWait + p.cfg.WatchGrace}
	}
	p.calledAt, p.inProgress = now, true
	return p.call
}

// Done reports the result of the last call and returns what to do next.
func (p *Pacer) Done(now time.Duration, r Result) Step {
	p.inProgress = false
	switch r.Outcome {
	case Answered:
		return p.onAnswer(now, r)
	case Refused:
		return Step{Pause: p.onRefusal(now)}
	case TimedOut:
		return Step{Pause: p.onTimeout()}
	}
	return Step{Pause: p.onFailure()}
}

// KeepOpen reports whether the last call, which timed out or is replaced by another one, should stay open. Its answer
// may be on its way, and is then reported to LateAnswer. If each call to a discovery whose answers take longer than the
// timeout were given up, no answer would ever be received.
func (p *Pacer) KeepOpen() bool {
	if p.call.Kind != Watch && p.hasLateCall && p.calledAt-p.lateCalledAt < lateCallSpacing {
		return false // one that was made shortly before and stays open tells nearly as much
	}
	p.hasLateCall, p.lateCalledAt = true, p.calledAt
	return true
}

// LateAnswer reports the answer of a call that stayed open, and returns what to do. Other results of such a call are
// not reported: later calls have shown or will show how discovery is.
func (p *Pacer) LateAnswer(call Call, r Result) Step {
	// A watch in progress waits for the next change. Any other call only finds out whether discovery is up, and that
	// is known now. A refusal keeps its pause.
	callNow := p.failing || p.inProgress && p.call.Kind != Watch
	s := p.takeAnswer(call, r)
	if s.Err != nil {
		return Step{} // changes to a list that is no longer held
	}
	p.resetBackoff()
	s.CallNow = callNow || s.VersionsRestarted
	return s
}

// onAnswer returns what to do after an answer to the last call.
func (p *Pacer) onAnswer(now time.Duration, r Result) Step {
	s := p.takeAnswer(p.call, r)
	if s.Err != nil {
		s.Pause = p.onFailure()
		return s
	}
	p.resetBackoff()
	switch {
	case !p.hasList: // the full list is needed at once
	case s.HasChanges || now-p.calledAt >= RetryPause:
		p.emptyPauseLimit = RetryPause
	case p.call.Kind == Check:
		s.Pause = RetryPause
	default: // avoid a busy loop if discovery answers watches at once
		p.emptyPauseLimit = max(p.emptyPauseLimit, RetryPause)
		s.Pause, p.emptyPauseLimit = p.jitter(p.emptyPauseLimit), p.nextPause(p.emptyPauseLimit, maxRetryPause)
	}
	return s
}

// takeAnswer updates the version held after the answer to a call, and returns what to do with the answer itself. The
// calls may be answered in another order than they were made.
func (p *Pacer) takeAnswer(call Call, r Result) Step {
	if !p.hasList && !r.Full {
		return Step{Err: ErrNoBaseList}
	}
	overtaken := p.hasList && (call.Kind == FullList || call.After != p.version) // another call was answered meanwhile
	older := call.Kind != FullList && r.Version < call.After
	switch {
	case older && (overtaken || !r.Full): // versions restarted: these changes do not fit the held list
		p.hasList = false
		return Step{VersionsRestarted: true}
	case overtaken && r.Version <= p.version:
		return Step{UpToDate: true}
	}
	p.hasList, p.version = true, r.Version
	return Step{HasChanges: r.Full || r.Entries > 0, UpToDate: true, VersionsRestarted: older}
}

// onRefusal returns the pause after a refusal. Its limit doubles, because the number of calling gateways is not known
// here. The pause is random, because equal pauses would make all gateways call again at once. The time that the refusal
// took counts as a part of the pause.
func (p *Pacer) onRefusal(now time.Duration) time.Duration {
	limit := p.refusalPauseLimit
	if p.nextCallBy > now { // little of MaxUpdateDelay is left, so this pause is short; the next one need not be
		limit = max(min(limit, p.nextCallBy-now), RetryPause)
	}
	p.failing, p.nextCallBy = false, 0
	p.refusalPauseLimit = min(2*p.refusalPauseLimit, MaxRefusalPause)
	pause := p.jitter(limit)
	if waited := now - p.calledAt; waited > RetryPause { // the gateway has not called meanwhile either
		pause = max(pause-waited, RetryPause)
	}
	return pause
}

// onTimeout returns the pause after a call that timed out.
func (p *Pacer) onTimeout() time.Duration {
	p.nextCallBy = p.calledAt + MaxUpdateDelay - answerReserve
	if p.call.Kind != Watch && !p.cfg.Agent {
		p.callTimeout = min(2*p.callTimeout, max(maxCallTimeout, p.cfg.CheckTimeout))
	}
	p.failing = true
	switch {
	case p.call.Kind == Watch: // it has used its time, and the watches of the gateways end at different times
		return RetryPause
	case p.cfg.Agent:
		return 0
	}
	return RetryPause + time.Duration(p.rng.Int64N(int64(maxTimeoutPause-RetryPause)))
}

// onFailure returns the pause after a call that failed at once.
func (p *Pacer) onFailure() time.Duration {
	pause := p.jitter(p.retryPauseLimit)
	p.failing, p.retryPauseLimit = true, p.nextPause(p.retryPauseLimit, maxRetryPause)
	return pause
}

// nextPause returns the limit that follows d: 2 d, but at most maxPause. With an agent it returns d: calls to an agent
// cost nothing, and a change that it gets when discovery returns must be received at once. For the same reason the
// timeout of calls to an agent does not grow.
func (p *Pacer) nextPause(d, maxPause time.Duration) time.Duration {
	if p.cfg.Agent {
		return d
	}
	return min(2*d, maxPause)
}

// jitter returns a random duration between d/2 and d.
func (p *Pacer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.rng.Int64N(int64(d/2)+1))
}
