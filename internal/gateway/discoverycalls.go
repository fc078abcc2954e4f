package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"winghatch/decide"
	"winghatch/internal/watch"
)

// errNoAnswerYet means that discovery has not answered a call within its timeout. The call may stay open.
var errNoAnswerYet = errors.New("discovery has not answered in time")

// discoveryCall is a call to discovery.
type discoveryCall struct {
	watch.Call
	cancel context.CancelFunc
	begun  chan struct{} // signalled when discovery begins to answer
}

// discoveryCallEnd is the end of a call: a list or an error.
type discoveryCallEnd struct {
	call *discoveryCall
	list serverList
	err  error
}

func (e *discoveryCallEnd) result() watch.Result {
	return watch.Result{Outcome: callOutcome(e.err), Version: e.list.Version, Full: e.list.Full, Entries: len(e.list.Servers)}
}

// discoveryCalls makes the calls of a watcher. One call is current. Calls that timed out may stay open beside it, as
// their answers may still come. Its methods run on one goroutine, and each call has a goroutine of its own.
type discoveryCalls struct {
	*discoveryWatcher
	pacer   *watch.Pacer
	started time.Time
	current *discoveryCall
	late    []*discoveryCall // oldest first
	ends    chan discoveryCallEnd
	running sync.WaitGroup
	failing bool // the last call failed, which was logged
	tooLong bool // the list of the last call was too long, which was logged
}

// run makes one call after another until the context ends.
func (w *discoveryWatcher) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	pacer := watch.New(watch.Config{Agent: w.usesAgent, HasList: w.hasList, Version: w.version, WatchWait: w.watchWait,
		WatchGrace: w.watchGrace, CheckTimeout: w.checkTimeout},
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	d := &discoveryCalls{discoveryWatcher: w, pacer: pacer, started: time.Now(), ends: make(chan discoveryCallEnd)}
	for ctx.Err() == nil {
		d.begin(ctx)
		if pause := d.awaitCurrent(ctx); pause > 0 {
			d.rest(ctx, pause)
		}
	}
	cancel()
	d.finish()
	w.client.CloseIdleConnections()
}

// begin makes the next call.
func (d *discoveryCalls) begin(ctx context.Context) {
	callCtx, cancel := context.WithCancel(ctx)
	call := &discoveryCall{Call: d.pacer.Next(time.Since(d.started)), cancel: cancel, begun: make(chan struct{}, 1)}
	d.current = call
	url := d.url
	if call.Kind != watch.FullList {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, call.After, call.Wait.Milliseconds())
	}
	d.running.Go(func() {
		defer cancel()
		list, err := d.fetch(callCtx, url, call.Timeout+watch.LateAnswerTimeout, call.begun)
		d.ends <- discoveryCallEnd{call, list, err}
	})
}

// finish waits for the end of all calls, which have been cancelled. An answer that was complete by then is still used: a
// starting gateway may be waiting for it.
func (d *discoveryCalls) finish() {
	go func() {
		d.running.Wait()
		close(d.ends)
	}()
	for end := range d.ends {
		if end.err == nil && (end.call == d.current || slices.Contains(d.late, end.call)) {
			d.use(d.pacer.LateAnswer(end.call.Call, end.result()), end.list)
		}
	}
}

// awaitCurrent waits until the current call has ended or timed out, or until a late answer makes it needless. It returns
// the pause before the next call.
func (d *discoveryCalls) awaitCurrent(ctx context.Context) (pause time.Duration) {
	timesOutAt := time.Now().Add(d.current.Timeout)
	timer := time.NewTimer(d.current.Timeout)
	defer timer.Stop()
	var begun <-chan struct{}
	if d.usesAgent { // an agent that has begun to answer is not silent
		begun = d.current.begun
	}
	for {
		select {
		case <-ctx.Done():
			return 0
		case <-begun:
			timer.Reset(max(time.Until(timesOutAt), watch.AnswerTimeout))
		case <-timer.C:
			d.metrics.DiscoveryCalls.Inc(watch.TimedOut.String())
			step := d.pacer.Done(time.Since(d.started), watch.Result{Outcome: watch.TimedOut})
			d.logError(errNoAnswerYet)
			d.setAside()
			return step.Pause
		case end := <-d.ends:
			if end.call == d.current {
				return d.endCurrent(ctx, end)
			}
			step := d.endLate(end)
			switch {
			case step.VersionsRestarted:
				d.current.cancel()
				return 0
			case step.CallNow:
				d.setAside()
				return 0
			}
		}
	}
}

// rest pauses, until a late answer makes that needless.
func (d *discoveryCalls) rest(ctx context.Context, pause time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rested := make(chan struct{})
	d.running.Go(func() {
		d.pause(ctx, pause)
		close(rested)
	})
	for {
		select {
		case <-rested:
			return
		case end := <-d.ends:
			if d.endLate(end).CallNow {
				return
			}
		}
	}
}

// endCurrent handles the end of the current call and returns the pause before the next one.
func (d *discoveryCalls) endCurrent(ctx context.Context, end discoveryCallEnd) (pause time.Duration) {
	result := end.result()
	d.metrics.DiscoveryCalls.Inc(result.Outcome.String())
	step := d.pacer.Done(time.Since(d.started), result)
	if ctx.Err() == nil {
		d.logError(cmp.Or(end.err, step.Err))
	}
	d.use(step, end.list)
	return step.Pause
}

// endLate handles the end of a call that stayed open after its timeout, and returns what the pacer demands.
func (d *discoveryCalls) endLate(end discoveryCallEnd) watch.Step {
	index := slices.Index(d.late, end.call)
	if index < 0 {
		return watch.Step{} // given up
	}
	d.late = slices.Delete(d.late, index, index+1)
	if end.err != nil {
		d.log.Debug("a call to discovery failed after its timeout", "err", end.err)
		return watch.Step{}
	}
	d.metrics.DiscoveryCalls.Inc(answeredLate)
	d.failing, d.tooLong = false, false
	step := d.pacer.LateAnswer(end.call.Call, end.result())
	d.use(step, end.list)
	return step
}

// answeredLate is the value in metrics for a call that was answered after it had been counted as timed out.
const answeredLate = "answered_late"

// use passes a list on to the loop, as the pacer's step demands.
func (d *discoveryCalls) use(step watch.Step, list serverList) {
	if step.VersionsRestarted {
		for _, call := range d.late {
			call.cancel()
		}
		d.late = nil
	}
	if step.HasChanges {
		kind := decide.FleetDelta
		if list.Full {
			kind = decide.FleetFull
		}
		d.post(listReceived{kind, list})
	}
	if step.UpToDate {
		signal(d.warmup.answered)
	}
}

// setAside leaves the current call open for its late answer, or gives it up, as the pacer decides.
func (d *discoveryCalls) setAside() {
	if !d.pacer.KeepOpen() {
		d.current.cancel()
		return
	}
	if len(d.late) == watch.MaxLateCalls {
		d.late[0].cancel()
		d.late = slices.Delete(d.late, 0, 1)
	}
	d.late = append(d.late, d.current)
}

// logError logs the error of a call, if any, unless the call before failed as well.
func (d *discoveryCalls) logError(err error) {
	tooLong := errors.Is(err, errListTooLong)
	switch {
	case tooLong && !d.tooLong: // more calls won't fix this
		d.log.Error("server list rejected, keeping the last one", "err", err)
	case err != nil && !d.failing:
		d.log.Warn("call to discovery failed, retrying", "err", err)
	}
	d.failing, d.tooLong = err != nil, tooLong || d.tooLong && err != nil
}
