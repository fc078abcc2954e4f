//go:build !race

// The race detector's runtime fails in tests with many testing/synctest bubbles. It ended with "CHECK failed:
// tsan_rtl.cpp:346" or a fault in its stack depot in one of about ten runs, and in both runs with -count=20. So these
// tests are built without it, and CI runs them in a separate call.

package gateway

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidwall/redcon"
	"pgregory.net/rapid"

	"winghatch/decide"
	"winghatch/internal/settings"
)

// A randomized search for races between events. It runs a gateway's loop with its readers and writers on a virtual
// clock, with clients and servers in memory, and performs a random sequence of actions. After each action it checks
// the invariants that hold for every gateway. While the loop is paused, events accumulate and are then handled in one
// iteration of the loop, as on a busy core.

// The limits that are checked. Comments in quotation marks quote the requirements.
const (
	clientGoneGrace = 100 * time.Millisecond // no attempt starts later than this after its client has closed
	// No request goes to a server later than this after it is reported as draining: grace period and slack.
	drainGrace  = 300 * time.Millisecond
	answerSlack = 60 * time.Millisecond // an answer may be late by this much
	// "Between requests, a gateway may close [a connection]; if that crosses a request it has not read, the client sends
	// that request once more." The bytes of the simulation take no time; the gateway may end a connection for this long.
	closeCrossing = finalReadGrace
	// "At most what is left to the client, with 0.15 s of slack."
	deadlineSlack   = 150 * time.Millisecond
	maxShutdownTime = 4 * time.Second // from SIGTERM to the loop's end: the longest deadline plus 0.7 s, and a linger
	// "SIGKILL comes no sooner than the longest deadline and 0.7 s more after SIGTERM": here the longest deadline is
	// 2 s.
	killAfter = 2700 * time.Millisecond
	// "What SIGKILL finds unanswered [is lost], if that request came more than 0.7 s after SIGTERM."
	lateRequestCutoff = 700 * time.Millisecond
)

// A slow client that keeps reading reads slowReadBytes in each slowReadInterval.
const (
	slowReadBytes    = 24
	slowReadInterval = 40 * time.Millisecond
	// A stopping gateway must end this long after the last such client has its answers.
	slowReadGrace = 500 * time.Millisecond
)

// actionKind is a kind of action.
type actionKind int

const (
	actConnect actionKind = iota
	actSend
	actPartial
	actGarbage
	actClose
	actReset
	actBreakOnWrite
	actHalfClose
	actStall
	actSlowRead
	actAnswer
	actAnswerAll
	actServerIdle
	actDialMode
	actServerUpdate
	actPeerMessage
	actWait
	actPauseLoop
	actResumeLoop
	actPanic
	actStop
	actCount
)

var actNames = [actCount]string{"connect", "send", "partial", "garbage", "close", "reset", "break on write",
	"half-close", "stall", "slow read", "answer", "answer all", "server idle", "dial mode", "server update",
	"peer message", "wait", "pause loop", "resume loop", "panic", "stop"}

// action is one step of a scenario. A and B select the client or server and the variant.
type action struct {
	Kind actionKind
	A, B int
}

func (a action) String() string { return fmt.Sprintf("%s(%d,%d)", actNames[a.Kind], a.A, a.B) }

// actionWeights are the relative frequencies of the kinds of action.
var actionWeights = [actCount]int{actConnect: 4, actSend: 14, actPartial: 4, actGarbage: 2, actClose: 3, actReset: 3,
	actBreakOnWrite: 3, actHalfClose: 2, actStall: 5, actSlowRead: 3, actAnswer: 8, actAnswerAll: 5, actServerIdle: 3,
	actDialMode: 5, actServerUpdate: 4, actPeerMessage: 4, actWait: 12, actPauseLoop: 4, actResumeLoop: 3, actPanic: 1,
	actStop: 1}

// actions generates random actions, their kinds drawn by actionWeights.
func actions() *rapid.Generator[action] {
	var all []actionKind
	for a, n := range actionWeights {
		all = append(all, slices.Repeat([]actionKind{actionKind(a)}, n)...)
	}
	return rapid.Custom(func(t *rapid.T) action {
		return action{rapid.SampledFrom(all).Draw(t, "act"), rapid.IntRange(0, 7).Draw(t, "a"),
			rapid.IntRange(0, 255).Draw(t, "b")}
	})
}

// scenario holds the parameters that are drawn once for each run: the number of gateways, the limit of descriptors, the
// refill rate of plan p, whether attempts may be cancelled and may run in parallel (0 or 1), and the limit of open
// requests.
type scenario struct{ Gateways, Sockets, Rate, Cancel, Parallel, Open int }

const simSettings = `{"Classes":[
 {"Name":"look","Effect":"safe","AimNs":900000000,"GiveUpNs":2000000000,"Importance":1,"LateWorth":0.2},
 {"Name":"book","Effect":"keyed","Group":"cell","WindowNs":400000000,"AimNs":900000000,"GiveUpNs":2000000000,"Importance":3,"LateWorth":0.2},
 {"Name":"pay","Effect":"unsafe","AimNs":900000000,"GiveUpNs":2000000000,"Importance":3,"LateWorth":0.2}],
"Extra":{"PeerIntake":40,"UnitsTop":8},"Instances":%d,"Rank":0,"Zone":"a",
"Limits":{"SendCap":4,"MayCancel":%v,"ParallelTries":%v,"Peers":true,"RetryAfter":true,"MaxRetryAfterNs":1000000000,
 "ConnectTimeoutNs":800000000,"ConnIdleNs":3000000000,"OpenCap":%d},
"Safety":{"ColdNs":5000000000,"FallNs":1000000000,"FallMultiple":4,"ColdFrom":0.2},
"Prices":{"Handshake":0.05},
"TiersOfService":[{"Name":"p","Refill":%d,"MostAtOnce":%d,"Pays":1},
 {"Name":"q","Refill":20,"MostAtOnce":16,"NeverOverRate":40,"NeverOverDepth":32,"HardSlack":8,"Pays":2}]}`

var simClasses = []string{"look", "book", "pay"}

// clientRequest is a request as its client knows it.
type clientRequest struct {
	id, class          string
	client             *simClient
	endOffset          int           // offset in the client's output just after its last byte
	timeout            time.Duration // how long the client waits
	sentAt             time.Time     // when its last byte was written; zero before that
	noAnswerDue        bool          // it follows malformed input or was itself sent too late, so no answer is due
	read               bool          // the gateway has read all of it ...
	readDespiteBacklog bool          // ... though the client's window was full, or many answers before it were pending
	answeredAt         time.Time
	arrivals           []*arrival
}

// arrival is an attempt that has arrived completely at a server.
type arrival struct {
	server      *simServer
	request     *clientRequest
	firstByteAt time.Time // when its first byte was written
	neverRan    bool      // the server reported that it did not run
	ended       bool
}

// simClient is a client of the simulation, with its connection.
type simClient struct {
	near, far       *memConn
	unwritten       []byte // to be written when there is room
	written         int
	pending         []*clientRequest // unanswered commands; nil stands for PING
	received        []byte
	partial         []byte // the rest of a command that was begun
	partialAt       time.Time
	malformed       bool // has sent malformed input: commands after it need no answer, those before it do
	stalled         bool // has read nothing for so long that it may be closed: "one that takes nothing is not alive"
	notReading      bool // does not read ...
	notReadingSince time.Time
	windowFull      bool // its receive window was full when its bytes were last moved
	slowReader      bool // reads slowly but steadily
	wasSlow         bool // did not read all at once at some time
	lastSlowRead    time.Time
	goneAt          time.Time // when it disconnected; zero while connected
	closed          bool
	lastAnswerAt    time.Time
}

// simConn is the server's end of a connection between the gateway and a server.
type simConn struct {
	far          *memConn
	received     []byte
	parsedBytes  int // total length of the commands that were parsed
	pending      []*arrival
	restOfAnswer string // the rest of an answer that was begun
	closed       bool
	outOfSync    bool // the server sent something other than exactly one answer on it
}

// simServer is a card server of the simulation.
type simServer struct {
	id, addr        string
	cell, moves     int
	dialMode        int // for new connections; see simulation.dial
	conns           []*simConn
	state           string
	notServingSince time.Time // when it was last reported as draining or removed; zero while it is up
	startedMS       int64
}

// simulation is a gateway's loop with clients and servers in memory.
type simulation struct {
	loop             *loop
	scenario         scenario
	clients          []*simClient
	servers          []*simServer
	requests         map[string]*clientRequest
	peerMessages     []string
	listVersion      uint64
	paused           chan struct{} // blocks the loop until it is closed; nil while the loop runs
	result           chan string   // how the loop ended: "", or the panic
	ended            bool
	stoppedAt        time.Time
	killChecked      bool      // the check at the time of SIGKILL has been made
	slowReaderSeenAt time.Time // when a steadily reading slow client was last waiting for answers
	nextID           int
	failures         []string
	mu               sync.Mutex // protects what dials and closes change
	openFDs          int
	maxFDs           int
	listenerClosed   bool
}

// failf records a violation. The scenario ends after the action in which the first one occurs.
func (x *simulation) failf(format string, args ...any) {
	x.failures = append(x.failures, fmt.Sprintf(format, args...))
}

// loopFunc is an event that runs a function in the loop.
type loopFunc func(l *loop)

func (p loopFunc) apply(l *loop) { p(l) }

// messageRecorder records the latest messages that the engine sends to other gateways.
type messageRecorder struct{ x *simulation }

func (r messageRecorder) send(_ int, text string) error {
	r.x.mu.Lock()
	defer r.x.mu.Unlock()
	if r.x.peerMessages = append(r.x.peerMessages, text); len(r.x.peerMessages) > 8 {
		r.x.peerMessages = r.x.peerMessages[1:]
	}
	return nil
}

// closeOnlyListener is a listener that can only be closed.
type closeOnlyListener struct{ x *simulation }

func (l closeOnlyListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (l closeOnlyListener) Addr() net.Addr            { return &net.TCPAddr{} }
func (l closeOnlyListener) Close() error {
	l.x.mu.Lock()
	defer l.x.mu.Unlock()
	if !l.x.listenerClosed {
		l.x.listenerClosed = true
		go l.x.loop.inbox.post(acceptEnded{})
	}
	return nil
}

// newSimulation starts a gateway's loop with four servers and no client.
func newSimulation(s scenario) (*simulation, error) {
	set, err := settings.Parse(json.RawMessage(fmt.Sprintf(simSettings, s.Gateways, s.Cancel == 1, s.Parallel == 1, s.Open,
		s.Rate, max(16, 2*s.Rate))))
	if err != nil {
		return nil, err
	}
	x := &simulation{scenario: s, requests: map[string]*clientRequest{}, listVersion: 1, result: make(chan string, 1)}
	for i := range 4 {
		x.servers = append(x.servers, &simServer{id: fmt.Sprint("s-", i), addr: fmt.Sprintf("10.0.0.%d:1", i),
			cell: i, state: "up"})
	}
	cfg := Config{Name: "n0", Cores: 1, MemoryMB: 64, Sockets: s.Sockets, Settings: set, Seed: 1, Known: x.list(x.servers...)}
	if x.loop, err = newLoop(cfg, slog.New(slog.DiscardHandler)); err != nil {
		return nil, err
	}
	x.loop.dial, x.loop.peers, x.loop.acceptingRequests = x.dial, messageRecorder{x}, true
	go func() {
		defer func() {
			if p := recover(); p != nil {
				x.loop.inbox.close()
				x.result <- fmt.Sprintf("the loop panicked: %v\n%s", p, debug.Stack())
			}
		}()
		x.loop.run()
		x.loop.shutdown()
		x.result <- ""
	}()
	return x, nil
}

// list returns a full list of the given servers, as discovery sends it.
func (x *simulation) list(servers ...*simServer) serverList {
	l := serverList{Version: x.listVersion, Full: true}
	for _, s := range servers {
		l.Servers = append(l.Servers, serverEntry{ID: s.id, Addr: s.addr, Zone: "a", Cell: s.cell, State: s.state, Weight: 1,
			StartedMS: s.startedMS})
	}
	return l
}

// trackDescriptor counts a file descriptor of the gateway until it is closed.
func (x *simulation) trackDescriptor(e *memConn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.openFDs++
	x.maxFDs = max(x.maxFDs, x.openFDs)
	e.onClose = func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.openFDs--
	}
}

// dial connects to a server according to the server's dialMode: immediately, late, refused, or never.
func (x *simulation) dial(ctx context.Context, addr string) (net.Conn, error) {
	s, mode := x.serverAt(addr)
	wait := time.Duration(0)
	switch mode {
	case 1:
		wait = 180 * time.Millisecond
	case 2:
		return nil, syscall.ECONNREFUSED
	case 3:
		wait = time.Hour
	case 4:
		wait = 600 * time.Millisecond
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	near, far := newMemPipe(4 << 10)
	x.trackDescriptor(near)
	x.mu.Lock()
	defer x.mu.Unlock()
	s.conns = append(s.conns, &simConn{far: far})
	return near, nil
}

// serverAt returns the server with an address, and its mode for new connections.
func (x *simulation) serverAt(addr string) (*simServer, int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.servers {
		if s.addr == addr {
			return s, s.dialMode
		}
	}
	return nil, 2 // the server has moved to another address
}

// perform performs one action.
func (x *simulation) perform(a action) {
	switch a.Kind {
	case actConnect:
		x.connect(a)
	case actAnswer:
		x.serverAnswer(a.A, a.B)
	case actAnswerAll:
		for range 100 {
			if !x.serverAnswer(a.A, a.B%8) { // only whole answers, some of them long
				break
			}
		}
	case actServerIdle:
		x.serverIdleAction(x.servers[a.A%len(x.servers)], a.B)
	case actDialMode:
		x.mu.Lock()
		x.servers[a.A%len(x.servers)].dialMode = a.B % 5
		x.mu.Unlock()
	case actServerUpdate:
		x.updateServer(x.servers[a.A%len(x.servers)], a.B)
	case actPeerMessage:
		x.deliverPeerMessage(a.B)
	case actWait:
		waits := []time.Duration{1, 4, 12, 40, 110, 260, 600, 2100}
		x.wait(waits[a.B%len(waits)] * time.Millisecond)
	case actPauseLoop:
		if x.paused == nil {
			resume := make(chan struct{})
			x.paused = resume
			x.loop.inbox.post(loopFunc(func(*loop) { <-resume }))
		}
	case actResumeLoop:
		x.resumeLoop()
	case actPanic:
		x.loop.inbox.post(loopFunc(func(l *loop) {
			l.engine = &decide.Gateway{} // not created by New, so it panics
			l.enqueue(decide.FleetUpdate{Servers: []decide.Server{{ID: "s"}}})
		}))
	case actStop:
		x.stop()
	default:
		x.clientAction(a)
	}
	x.settle()
}

// resumeLoop lets a paused loop handle the events that have accumulated.
func (x *simulation) resumeLoop() {
	if x.paused != nil {
		close(x.paused)
		x.paused = nil
		synctest.Wait()
	}
}

// stop sends the gateway the stop request, once.
func (x *simulation) stop() {
	if x.stoppedAt.IsZero() {
		x.stoppedAt = time.Now()
		x.loop.inbox.post(stopRequested{closeOnlyListener{x}})
	}
}

// wait lets time pass. The loop is resumed if it was paused. No action is performed meanwhile.
func (x *simulation) wait(d time.Duration) {
	x.resumeLoop()
	for interval := 40 * time.Millisecond; d > 0; d -= interval {
		time.Sleep(min(d, interval))
		x.settle()
	}
}

// connect connects one or more clients, as far as the gateway accepts them now. Half of the variants give the client a
// receive window of only 256 bytes.
func (x *simulation) connect(a action) {
	x.mu.Lock()
	closed := x.listenerClosed
	x.mu.Unlock()
	if closed || len(x.clients) > 400 {
		return
	}
	window := 64 << 10
	if a.B%2 == 1 {
		window = 256
	}
	for range 1 + a.B/2%4*a.A { // some arrive in crowds
		select {
		case x.loop.acceptSlots <- struct{}{}:
		default:
			return
		}
		near, far := newMemPipe(window)
		x.trackDescriptor(near)
		c, err := newClient(near)
		if err != nil {
			x.failf("creating a client: %v", err)
			return
		}
		x.clients = append(x.clients, &simClient{near: near, far: far})
		x.loop.inbox.post(clientConnected{c})
	}
}

// clientAction performs an action of one of the latest clients.
func (x *simulation) clientAction(a action) {
	if len(x.clients) == 0 {
		return
	}
	c := x.clients[len(x.clients)-1-a.A%min(len(x.clients), 3)]
	if !c.goneAt.IsZero() || c.closed {
		return
	}
	switch a.Kind {
	case actSend:
		x.finishPartial(c)
		n := 1 + a.B%4
		if a.B >= 128 {
			n = a.B
		}
		for i := range n {
			if (a.B+i)%9 == 5 {
				c.unwritten = append(c.unwritten, "*1\r\n$4\r\nPING\r\n"...)
				c.pending = append(c.pending, nil)
				continue
			}
			x.queueRequest(c, a.A+i, a.B+i)
		}
	case actPartial:
		if c.partial != nil {
			x.finishPartial(c)
			break
		}
		from := len(c.unwritten)
		x.queueRequest(c, a.A, a.B)
		cut := from + (len(c.unwritten)-from)*(1+a.B%6)/8
		c.partial, c.unwritten, c.partialAt = slices.Clone(c.unwritten[cut:]), c.unwritten[:cut], time.Now()
	case actGarbage:
		x.finishPartial(c)
		c.malformed = true
		c.unwritten = append(c.unwritten, []string{"*x\r\n", "*1\r\n$-9\r\n", "GET / HTTP/1.1\r\n",
			"*1\r\n$4\r\nPINGPONG"}[a.B%4]...)
	case actClose:
		c.goneAt = time.Now()
		c.far.Close()
	case actReset:
		c.goneAt = time.Now()
		c.far.abort(a.B%2 == 0)
	case actBreakOnWrite: // takes effect in the middle of an iteration of the loop
		c.near.resetAfterWrites(1 + a.B%64)
	case actHalfClose:
		c.goneAt = time.Now()
		if err := c.far.CloseWrite(); err != nil {
			c.far.Close()
		}
	case actStall:
		if c.notReading = !c.notReading; c.notReading {
			c.notReadingSince = time.Now()
		} else if time.Since(c.notReadingSince) >= clientWriteTimeout-100*time.Millisecond {
			c.stalled = true
		}
	case actSlowRead:
		c.slowReader = !c.slowReader
	}
}

// finishPartial queues the rest of a command that was begun. If that is later than the time limit for a command, the
// gateway may have rejected the command.
func (x *simulation) finishPartial(c *simClient) {
	if c.partial != nil {
		if time.Since(c.partialAt) > defaultClientTimeouts.command-100*time.Millisecond {
			c.malformed = true // the command ended too late
			for _, r := range c.pending {
				if r != nil && r.sentAt.IsZero() {
					r.noAnswerDue = true
				}
			}
		}
		c.unwritten, c.partial = append(c.unwritten, c.partial...), nil
	}
}

// queueRequest queues a request of a client, to be written when there is room.
func (x *simulation) queueRequest(c *simClient, a, b int) {
	x.nextID++
	class := a % len(simClasses)
	name, list := "Q.DO", fmt.Sprintf("c=%s,t=%c,d=%d,units=%d,spread=2,first=0", simClasses[class], "pq"[a/3%2],
		300+b*7%1500, 1+b%3)
	if class == 0 {
		name = "Q.ASK"
	}
	if class == 1 {
		list += ",k=" + strconv.Itoa(x.nextID)
	}
	r := &clientRequest{id: fmt.Sprint("id-", x.nextID), class: simClasses[class], client: c,
		timeout: time.Duration(300+b*7%1500) * time.Millisecond, noAnswerDue: c.malformed}
	args := []string{name, fmt.Sprintf("%016x", 1+b%5), r.id, list}
	if class > 0 && b%16 == 7 {
		args = append(args, strings.Repeat("B", 6<<10)) // more than a connection to a server accepts in one write
	}
	c.unwritten = redcon.AppendArray(c.unwritten, len(args))
	for _, arg := range args {
		c.unwritten = redcon.AppendBulkString(c.unwritten, arg)
	}
	r.endOffset = c.written + len(c.unwritten)
	x.requests[r.id] = r
	c.pending = append(c.pending, r)
}

// updateServer changes the state of a server and posts it to the gateway, as a delta or as a full list.
func (x *simulation) updateServer(s *simServer, b int) {
	x.listVersion++
	notServing := true
	switch b % 6 {
	case 0, 1:
		s.state = "draining"
	case 2:
		s.state = "removed"
	case 3:
		s.state, notServing = "up", false
	case 4:
		s.state, s.startedMS, notServing = "up", time.Now().UnixMilli(), false
	case 5:
		s.moves++
		x.mu.Lock()
		s.addr = fmt.Sprintf("10.0.%d.%d:1", s.moves, s.cell)
		x.mu.Unlock()
		s.state, notServing = "up", false
	}
	if s.notServingSince = (time.Time{}); notServing {
		s.notServingSince = time.Now()
	}
	update := listReceived{decide.FleetDelta, x.list(s)}
	if update.list.Full = false; b >= 128 {
		var listed []*simServer
		for _, other := range x.servers {
			if other.state != "removed" {
				listed = append(listed, other)
			}
		}
		update = listReceived{decide.FleetFull, x.list(listed...)}
	}
	x.loop.inbox.post(update)
}

// deliverPeerMessage delivers a message from another gateway: noise, one that this gateway has sent, or a quota
// owner's response to a query.
func (x *simulation) deliverPeerMessage(b int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	text := "r" + strings.Repeat("z", b%40)
	if n := len(x.peerMessages); n > 0 && b%4 > 0 {
		text = x.peerMessages[b%n]
		if len(text) >= 10 && text[0] == 'a' && b%4 > 1 {
			text = "r" + text[1:10] + []string{"W0", "WG"}[b%2] + "W0W0W0" // refused, admitted
		}
	}
	x.loop.inbox.post(peerDatagram{1 + b%(x.scenario.Gateways-1), text})
}

// serverAnswer makes a server send something for the oldest pending command of one of its connections. It reports
// whether there was one.
func (x *simulation) serverAnswer(a, b int) bool {
	s := x.servers[a%len(x.servers)]
	var c *simConn
	x.mu.Lock()
	for _, other := range s.conns {
		if len(other.pending) > 0 && !other.closed {
			c = other
		}
	}
	x.mu.Unlock()
	if c == nil {
		return false
	}
	arrived := c.pending[0]
	if c.restOfAnswer != "" {
		c.far.TryWrite([]byte(c.restOfAnswer))
		c.restOfAnswer, c.pending, arrived.ended = "", c.pending[1:], true
		return true
	}
	value := servedReply("v:" + arrived.request.id + ":" + strings.Repeat("v", b%4*300))
	reply := value
	switch b / 8 % 14 {
	case 3:
		reply = "-ERR failed\r\n"
	case 4:
		reply, arrived.neverRan = "-BUSY\r\n", true
	case 5:
		reply, c.outOfSync = value+value, true
	case 6:
		c.far.TryWrite([]byte(value[:len(value)/2]))
		c.restOfAnswer = value[len(value)/2:]
		return true
	case 7:
		c.far.abort(b%2 == 0)
		c.closed, arrived.ended = true, true
		return true
	case 8:
		c.far.Close()
		c.closed, arrived.ended = true, true
		return true
	case 9:
		reply, c.outOfSync = "%noise\r\n", true
	case 10:
		c.far.TryWrite([]byte(value[:len(value)/2]))
		c.far.Close()
		c.closed, arrived.ended = true, true
		return true
	case 11:
		reply, c.outOfSync = "*3\r\n$60000\r\nxxxxxx", true
	}
	c.far.TryWrite([]byte(reply))
	c.pending, arrived.ended = c.pending[1:], true
	return true
}

// serverIdleAction makes a server act on a connection on which no answer is pending.
func (x *simulation) serverIdleAction(s *simServer, b int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range s.conns {
		if c.closed || len(c.pending) > 0 || len(c.received) > 0 {
			continue
		}
		switch b % 3 {
		case 0:
			c.far.Close()
			c.closed = true
		case 1:
			c.far.TryWrite([]byte(servedReply("v:late copy")))
			c.outOfSync = true
		case 2:
			c.far.CloseWrite()
			c.outOfSync = true
		}
		return
	}
}

// settle moves bytes until nothing more happens, and checks the results.
func (x *simulation) settle() {
	for moved := true; moved; {
		synctest.Wait()
		moved = false
		for _, c := range x.clients {
			c.recordBreak()
		}
		for _, s := range x.servers { // closes first: an attempt may end before the next one starts
			x.mu.Lock()
			s.conns = slices.DeleteFunc(s.conns, func(c *simConn) bool { return c.closed })
			conns := slices.Clone(s.conns)
			x.mu.Unlock()
			for _, c := range conns {
				moved = c.receive() || moved
			}
		}
		for _, s := range x.servers {
			for _, c := range s.conns {
				x.parseCommands(s, c)
			}
		}
		for _, c := range x.clients {
			moved = x.moveClientBytes(c) || moved
		}
	}
	for _, c := range x.clients { // once nothing more can move
		if c.goneAt.IsZero() && !c.stalled && !c.notReading && !c.slowReader && !c.closed && !x.ended {
			x.checkLateAnswers(c)
		}
	}
	select {
	case panicText := <-x.result:
		x.ended = true
		if panicText != "" {
			x.failf("%s", panicText)
		} else if x.stoppedAt.IsZero() {
			x.failf("the loop ended without a stop request")
		}
	default:
	}
	if n := x.loop.metrics.Violations.Total(); n > 0 {
		x.failf("the gateway reported an invariant violation: %s", x.loop.metrics.Summary())
	}
	if x.paused == nil && !x.ended {
		x.loop.inbox.post(loopFunc(x.checkBounds))
		synctest.Wait()
	}
	if !x.stoppedAt.IsZero() && !x.killChecked && time.Since(x.stoppedAt) >= killAfter {
		x.checkKill()
	}
	if x.slowReaderPending() {
		x.slowReaderSeenAt = time.Now()
	}
	if !x.stoppedAt.IsZero() && !x.ended && time.Since(x.stoppedAt) > maxShutdownTime &&
		time.Since(x.slowReaderSeenAt) > slowReadGrace {
		x.failf("the gateway still runs %v after SIGTERM", time.Since(x.stoppedAt))
	}
}

// checkKill checks what a SIGKILL would lose now. The gateway is not killed, so that its normal end is checked as
// well. Only requests count that the gateway read although it knew that it could not answer them soon
// (readDespiteBacklog). The slow clients of the simulation read 600 bytes a second through a window of 256, and
// nothing distinguishes them from other clients until a window is full.
func (x *simulation) checkKill() {
	x.killChecked = true
	cutoff := x.stoppedAt.Add(lateRequestCutoff)
	for _, c := range x.clients {
		if c.closed || c.notReading || c.stalled || !c.goneAt.IsZero() {
			continue
		}
		// What has arrived at the client's machine counts as answered. It outlives the gateway, and the client
		// decides when to read it.
		arrived := countAnswers(slices.Concat(c.received, c.far.peek()))
		for _, r := range c.pending[min(arrived, len(c.pending)):] {
			if r != nil && !r.noAnswerDue && r.sentAt.After(cutoff) && r.readDespiteBacklog {
				x.failf("%s was sent %v after SIGTERM, was read and has no answer at the time of SIGKILL", r.id,
					r.sentAt.Sub(x.stoppedAt))
			}
		}
	}
}

// slowReaderPending reports whether a steadily reading slow client is waiting for answers.
func (x *simulation) slowReaderPending() bool {
	return slices.ContainsFunc(x.clients, func(c *simClient) bool { return c.slowReader && !c.closed && c.goneAt.IsZero() && len(c.pending) > 0 })
}

// checkBounds checks the loop's tables. It runs in the loop.
func (x *simulation) checkBounds(l *loop) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if answers := heldAnswers(l); answers != l.memory.heldAnswers.inUse() {
		x.failf("%d bytes of answers are held, %d are counted", answers, l.memory.heldAnswers.inUse())
	}
	open, held := 0, 0
	for _, r := range l.requests {
		if !r.done {
			open++
			held += r.cmd.size() + commandOverhead
		}
	}
	for c := range l.pool.open {
		held += c.writeReserved
	}
	switch {
	case x.maxFDs > l.cfg.Sockets-reservedSockets:
		x.failf("%d connections with %d descriptors", x.maxFDs, l.cfg.Sockets)
	case open > l.cfg.Settings.OpenCap || open != len(l.openIDs) || held != l.memory.commands.inUse():
		x.failf("%d requests are open of %d allowed, %d ids are in the table, %d bytes counted as %d",
			open, l.cfg.Settings.OpenCap, len(l.openIDs), held, l.memory.commands.inUse())
	case len(l.clients) > l.cfg.Sockets-minSockets || l.pool.connCount > l.pool.maxConns:
		x.failf("%d clients, %d connections to servers", len(l.clients), l.pool.connCount)
	}
}

// receive takes the bytes that have arrived on a connection, and its close.
func (c *simConn) receive() bool {
	if c.closed {
		return false
	}
	b, open := c.far.readAvailable()
	c.received = append(c.received, b...)
	if !open {
		c.closed = true
		for _, w := range c.pending {
			w.ended = true
		}
	}
	return len(b) > 0
}

// parseCommands takes the complete commands that a server has received on a connection.
func (x *simulation) parseCommands(s *simServer, c *simConn) {
	for len(c.received) > 0 {
		used, args, err := parseCommand(c.received, nil)
		if err != nil {
			x.failf("%s got malformed input: %q", s.id, c.received)
		}
		if err != nil || used == 0 {
			return
		}
		x.checkArrival(s, c, string(args[idArg]), c.far.writtenAt(c.parsedBytes))
		x.checkDeadline(string(args[idArg]), string(args[listArg]), c.far.writtenAt(c.parsedBytes+used-1))
		c.received, c.parsedBytes = c.received[used:], c.parsedBytes+used
	}
}

// checkArrival checks that a request was allowed to go to a server. Its first byte was written at the time first.
func (x *simulation) checkArrival(s *simServer, c *simConn, id string, first time.Time) {
	request := x.requests[id]
	if request == nil {
		x.failf("%s got %q, which no client sent", s.id, id)
		return
	}
	if gone := request.client.goneAt; !gone.IsZero() && first.After(gone.Add(clientGoneGrace)) {
		x.failf("%s (%s) was started %v after its client had disconnected", id, request.class, first.Sub(gone))
	}
	if !request.answeredAt.IsZero() && first.After(request.answeredAt) {
		x.failf("%s (%s) was started %v after its answer", id, request.class, first.Sub(request.answeredAt))
	}
	if !s.notServingSince.IsZero() && first.After(s.notServingSince.Add(drainGrace)) {
		x.failf("%s was sent to %s %v after that was reported as draining or removed", id, s.id, first.Sub(s.notServingSince))
	}
	if c.outOfSync || len(c.pending) > 0 {
		x.failf("%s was sent on a connection that is out of step or has a pending answer", id)
	}
	for _, earlier := range request.arrivals {
		switch {
		case earlier.neverRan:
		case request.class == "pay":
			x.failf("%s must never run twice, but was sent to %s and %s", id, earlier.server.id, s.id)
		case request.class == "book" && (earlier.server != s || first.After(earlier.firstByteAt.Add(400*time.Millisecond))):
			x.failf("%s is recognized as a repeat only at %s and for 0.4 s, but was sent to %s %v later",
				id, earlier.server.id, s.id, first.Sub(earlier.firstByteAt))
		}
		if x.scenario.Parallel == 0 && !earlier.ended && !c.closed {
			x.failf("%s (%s) has two attempts in flight, at %s and %s", id, request.class, earlier.server.id, s.id)
		}
	}
	arrived := &arrival{server: s, request: request, firstByteAt: first, ended: c.closed}
	request.arrivals, c.pending = append(request.arrivals, arrived), append(c.pending, arrived)
}

// checkDeadline checks the time left that an attempt passed to its server, which counts from the attempt's last byte:
// "at most what is left to the client, with 0.15 s of slack".
func (x *simulation) checkDeadline(id, list string, last time.Time) {
	request := x.requests[id]
	if request == nil || request.sentAt.IsZero() {
		return
	}
	for _, pair := range strings.Split(list, ",") {
		name, value, _ := strings.Cut(pair, "=")
		if name != "d" {
			continue
		}
		ms, err := strconv.Atoi(value)
		if err != nil {
			x.failf("%s came with d=%s", id, value)
		}
		passed, left := time.Duration(ms)*time.Millisecond, request.sentAt.Add(request.timeout).Sub(last)
		if passed > left+deadlineSlack {
			x.failf("%s (%s) passed %v to its server with %v left", id, request.class, passed, left)
		}
	}
}

// moveClientBytes moves a client's bytes in both directions and checks the answers.
func (x *simulation) moveClientBytes(c *simClient) bool {
	if c.closed || (!c.goneAt.IsZero() && c.far.isClosed()) {
		return false
	}
	c.recordReads()
	defer func() {
		c.windowFull = c.far.full()
		c.wasSlow = c.wasSlow || c.windowFull || c.slowReader || c.notReading
	}()
	n := 0
	if len(c.unwritten) > 0 && c.goneAt.IsZero() {
		n, _ = c.far.TryWrite(c.unwritten)
		c.unwritten, c.written = c.unwritten[n:], c.written+n
		for _, r := range c.pending {
			if r != nil && r.sentAt.IsZero() && r.endOffset <= c.written {
				r.sentAt = time.Now()
			}
		}
	}
	if c.notReading {
		return n > 0
	}
	b, open := x.take(c)
	c.received = append(c.received, b...)
	for x.checkAnswer(c) {
	}
	if !open {
		c.recordBreak() // the break may have happened since the bytes above were written
		c.closed = true
		for _, r := range c.pending {
			if r == nil || r.noAnswerDue || c.stalled || !c.goneAt.IsZero() {
				continue
			}
			if r.endOffset <= c.near.bytesRead() {
				x.failf("%s is lost: its connection was closed without an answer", r.id)
			} else if !r.sentAt.IsZero() && time.Since(r.sentAt) > closeCrossing && !c.wasSlow {
				x.failf("%s is lost: it was sent %v before its connection was closed, and not read", r.id, time.Since(r.sentAt))
			}
		}
	}
	return n > 0 || len(b) > 0
}

// recordReads records which requests the gateway has read since the client's bytes were last moved.
func (c *simClient) recordReads() {
	taken := c.near.bytesRead()
	for before, r := range c.pending {
		if r != nil && !r.read && r.endOffset <= taken {
			r.read, r.readDespiteBacklog = true, c.windowFull || before >= 2*maxPendingAnswers
		}
	}
}

// take reads what the client reads now, and reports whether more may follow.
func (x *simulation) take(c *simClient) (b []byte, open bool) {
	if !c.slowReader {
		return c.far.readAvailable()
	}
	if time.Since(c.lastSlowRead) < slowReadInterval {
		return nil, true
	}
	c.lastSlowRead = time.Now()
	return c.far.readUpTo(slowReadBytes)
}

// recordBreak records that the client broke its connection during a write by the gateway.
func (c *simClient) recordBreak() {
	if at := c.near.breakTime(); c.goneAt.IsZero() && !at.IsZero() {
		c.goneAt = at
	}
}

// checkLateAnswers checks that no answer is late: "the time spent waiting for those before one does not count".
func (x *simulation) checkLateAnswers(c *simClient) {
	var deadline time.Time
	for _, r := range c.pending {
		if r == nil {
			continue
		}
		if r.sentAt.IsZero() || r.noAnswerDue {
			return
		}
		if end := r.sentAt.Add(r.timeout); end.After(deadline) {
			deadline = end
		}
		if x.paused == nil && time.Now().After(deadline.Add(answerSlack)) &&
			time.Since(c.lastAnswerAt) > r.timeout+answerSlack {
			x.failf("%s has no answer %v after its deadline", r.id, time.Since(deadline))
		}
	}
}

// checkAnswer checks one answer of a client against the next pending command. It reports whether there was a complete
// answer.
func (x *simulation) checkAnswer(c *simClient) bool {
	text, rest, ok := nextAnswer(c.received)
	if !ok {
		return false
	}
	c.received, c.lastAnswerAt = rest, time.Now()
	if strings.HasPrefix(text, "-ERR protocol error") {
		if !c.malformed && (c.partial == nil || time.Since(c.partialAt) < defaultClientTimeouts.command-100*time.Millisecond) {
			x.failf("a well-behaved client got %q; it waits for %d answers, %d bytes are not written", text,
				len(c.pending), len(c.unwritten))
		}
		for _, r := range c.pending {
			if r != nil && !r.noAnswerDue && !r.sentAt.IsZero() {
				x.failf("%s got no answer before the protocol error for the input after it", r.id)
			}
		}
		c.malformed, c.pending = true, nil
		return true
	}
	if len(c.pending) == 0 {
		if !c.malformed {
			x.failf("a client that waits for nothing got %q", text)
		}
		return true
	}
	r := c.pending[0]
	c.pending = c.pending[1:]
	switch {
	case r == nil && text == "+PONG":
	case r == nil, text == "+PONG":
		x.failf("answers are out of order: %q", text)
	case text[0] == '$':
		if !strings.HasPrefix(text, "$v:"+r.id+":") {
			x.failf("%s was served %.40q", r.id, text)
		}
	case strings.HasPrefix(text, "-BUSY"):
		if r.class != "look" && slices.ContainsFunc(r.arrivals, func(w *arrival) bool { return !w.neverRan }) {
			x.failf("%s (%s) was refused though it may have run", r.id, r.class)
		}
	case text != "-ERR failed" && text != "-ERR internal error":
		x.failf("%s got %q", r.id, text)
	}
	if r != nil {
		r.answeredAt = time.Now()
	}
	return true
}

// finish stops the gateway if it is still running, and checks that nothing is left over.
func (x *simulation) finish() {
	x.resumeLoop()
	x.stop()
	x.settle()
	if x.slowReaderPending() {
		x.wait(killAfter + 2*slowReadInterval)
	}
	for _, c := range x.clients {
		c.slowReader = false
		if c.notReading {
			c.notReading, c.stalled = false, c.stalled || time.Since(c.notReadingSince) >= clientWriteTimeout-100*time.Millisecond
		}
	}
	x.wait(maxShutdownTime + 100*time.Millisecond)
	if !x.ended || len(x.failures) > 0 {
		return
	}
	for _, c := range x.clients {
		c.far.Close()
	}
	for _, s := range x.servers {
		for _, c := range s.conns {
			c.far.Close()
		}
	}
	synctest.Wait()
	l := x.loop
	if n := len(l.requests) + len(l.openIDs) + len(l.clients) + l.memory.commands.inUse() + l.memory.heldAnswers.inUse() +
		l.memory.serverAnswers.inUse() + l.memory.readBuffers.inUse() + l.pool.connCount; n > 0 {
		x.failf("left over: %d requests, %d ids, %d clients, %d bytes of commands and %d of answers, %d connections",
			len(l.requests), len(l.openIDs), len(l.clients), l.memory.commands.inUse(), l.memory.heldAnswers.inUse(),
			l.pool.connCount)
	}
	if x.openFDs > 0 {
		x.failf("%d connections are still open", x.openFDs)
	}
}

// runScenario performs the actions on a new gateway and returns what went wrong, or "".
func runScenario(t *testing.T, s scenario, steps []action) (failure string) {
	// A failed run may leave goroutines that block for good. synctest.Test, which provides the virtual clock, then
	// panics. That panic is recovered here; if no failure was found before, it is the failure.
	defer func() {
		if p := recover(); p != nil && failure == "" {
			failure = fmt.Sprint(p)
		}
	}()
	synctest.Test(t, func(*testing.T) {
		x, err := newSimulation(s)
		if err != nil {
			failure = err.Error()
			return
		}
		x.settle()
		for i, a := range steps {
			if x.perform(a); x.ended || len(x.failures) > 0 {
				if len(x.failures) > 0 {
					failure = fmt.Sprintf("step %d, %v: %s", i, a, x.failures[0])
				}
				break
			}
		}
		if failure == "" {
			if x.finish(); len(x.failures) > 0 {
				failure = "at the end: " + x.failures[0]
			}
		}
	})
	return failure
}

// TestCrossings searches at random for races that violate an invariant. Without flags it runs the same sequences each
// time. With -rapid.checks and -rapid.seed it runs as many other sequences as wanted.
func TestCrossings(t *testing.T) {
	hasRapidFlags := false
	flag.Visit(func(f *flag.Flag) { hasRapidFlags = hasRapidFlags || strings.HasPrefix(f.Name, "rapid.") })
	if !hasRapidFlags {
		for name, value := range map[string]string{"rapid.checks": "3000", "rapid.seed": "8", "rapid.nofailfile": "true"} {
			previous := flag.Lookup(name).Value.String()
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
			defer flag.Set(name, previous)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := scenario{
			Gateways: rapid.SampledFrom([]int{2, 30}).Draw(rt, "gateways"),
			Sockets:  rapid.SampledFrom([]int{256, 112}).Draw(rt, "sockets"),
			Rate:     rapid.SampledFrom([]int{1000, 8}).Draw(rt, "rate"),
			Cancel:   rapid.SampledFrom([]int{1, 0}).Draw(rt, "cancel"),
			Parallel: rapid.SampledFrom([]int{1, 0}).Draw(rt, "parallel"),
			Open:     rapid.SampledFrom([]int{1000, 20}).Draw(rt, "open"),
		}
		steps := rapid.SliceOfN(actions(), 1, 60).Draw(rt, "steps")
		if failure := runScenario(t, s, steps); failure != "" {
			rt.Fatalf("%+v\n%v\n%s", s, steps, failure)
		}
	})
}
