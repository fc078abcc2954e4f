package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"winghatch/decide"
	"winghatch/internal/telemetry"
	"winghatch/internal/watch"
)

const (
	discoveryConnectTimeout = 500 * time.Millisecond // timeout for connecting to discovery
	maxResponseHeaderBytes  = 64 << 10               // size limit of a response's headers, in bytes
)

// errDiscoveryBusy means that discovery is up but rejected a call because it has too many calls.
var errDiscoveryBusy = errors.New("discovery rejected the call as overloaded")

// listReceived passes a server list to the loop.
type listReceived struct {
	kind decide.FleetKind
	list serverList
}

func (n listReceived) apply(l *loop) { l.updateServers(n.kind, n.list) }

// discoveryWatcher keeps the server list up to date. It makes the calls to discovery that a pacer of package watch
// schedules, and posts the lists that they return.
type discoveryWatcher struct {
	client *http.Client
	url    string
	// For each of the next three, 0 selects the default of package watch.
	watchWait    time.Duration // how long a watch call waits for changes
	watchGrace   time.Duration // timeout of a watch call, counted from the end of its wait
	checkTimeout time.Duration // initial timeout of a call that does not wait
	usesAgent    bool          // the calls go to an agent, to which discovery pushes the lists
	hasList      bool          // the gateway already has the list of this version
	version      uint64
	pause        func(context.Context, time.Duration)
	post         func(event)
	warmup       discoveryWarmup // notified when discovery answers
	metrics      *telemetry.Metrics
	log          *slog.Logger
}

func newDiscoveryWatcher(addr netip.AddrPort, post func(event), log *slog.Logger) *discoveryWatcher {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: discoveryConnectTimeout}).DialContext,
		MaxIdleConns: 1, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes}
	return &discoveryWatcher{client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		url: "http://" + addr.String() + "/v1/servers", pause: sleep, post: post, warmup: newDiscoveryWarmup(),
		metrics: telemetry.New(), log: log}
}

// refuseRedirect refuses redirects: server lists come only from the configured address.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// followDiscovery watches discovery at the configured address, and after each move at the new address. A move cancels
// the call to the old address. The watcher of the new address starts after the old one has ended, with the full list:
// the versions of the two addresses are unrelated, so their changes must never be mixed. Until the new address answers,
// the last list stays in use.
//
// At startup the watch continues from the list in the configuration, if that is a full list. Otherwise a fleet that is
// restarted all at once would request every list twice: once in full and once to watch it.
func followDiscovery(ctx context.Context, cfg Config, addresses <-chan netip.AddrPort, post func(event),
	metrics *telemetry.Metrics, warmup discoveryWarmup, log *slog.Logger) {
	addr, known := cfg.Discovery, cfg.Known
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		w, ended := newDiscoveryWatcher(addr, post, log), make(chan struct{})
		w.usesAgent, w.warmup, w.metrics = !cfg.Settings.Decide.Subscribe, warmup, metrics
		w.hasList, w.version = known.Full && len(known.Servers) > 0, known.Version
		known = serverList{}
		go func() {
			defer close(ended)
			w.run(watchCtx)
		}()
		select {
		case addr = <-addresses:
		case <-ctx.Done():
		}
		cancel()
		<-ended
	}
}

// callOutcome classifies the error that fetch returned for a call.
func callOutcome(err error) watch.Outcome {
	var netErr net.Error
	switch {
	case err == nil:
		return watch.Answered
	case errors.Is(err, errDiscoveryBusy):
		return watch.Refused
	case errors.As(err, &netErr) && netErr.Timeout(): // context.DeadlineExceeded is a net.Error too
		return watch.TimedOut
	}
	return watch.Failed
}

// fetch makes one call to discovery. The timeout covers the response's body too, except for an agent's. An agent that
// has begun to answer is not silent, and gets the time that a long list takes on a busy machine. begun, which may be
// nil, is signalled when discovery begins to answer. fetch fails with errDiscoveryBusy if discovery rejects the call, and
// with errListTooLong if the list is longer than maxServerListBytes.
//
// A truncated response is an error. A response with a length or with chunks shows the truncation by itself. Where the
// end of the connection ends the response, a reset is not a regular end, and an object without its closing brace is not
// valid JSON. A list that is cut off after that brace is complete. Anything but white space after the brace is an
// error.
func (w *discoveryWatcher) fetch(ctx context.Context, url string, timeout time.Duration, begun chan struct{}) (serverList, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	req, err := http.NewRequestWithContext(callCtx, http.MethodGet, url, nil)
	if err != nil {
		return serverList{}, fmt.Errorf("creating the request: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return serverList{}, fmt.Errorf("calling discovery: %w", callError(callCtx, err))
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		signal(begun)
		signal(w.warmup.answering)
		if w.usesAgent {
			timer.Reset(watch.LateAnswerTimeout)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		io.CopyN(io.Discard, resp.Body, maxResponseHeaderBytes) // lets the connection be reused; on error it is not
		return serverList{}, fmt.Errorf("%w: %s", errDiscoveryBusy, resp.Status)
	default:
		return serverList{}, fmt.Errorf("discovery answered %s", resp.Status)
	}
	list, err := readList(resp.Body, resp.ContentLength)
	if err != nil {
		return serverList{}, callError(callCtx, err)
	}
	return list, nil
}

// callError returns why a call failed with err. If its timeout has passed, the result wraps context.DeadlineExceeded.
func callError(callCtx context.Context, err error) error {
	if cause := context.Cause(callCtx); errors.Is(cause, context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
