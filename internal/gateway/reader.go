package gateway

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

const (
	lookEvery = 25 * time.Millisecond // a client's end that can't be read is looked for so often
	dropMost  = 256 << 10             // bytes that are read and dropped after the last command
	peekFresh = time.Millisecond      // a look at what is unread counts for so long
)

// clientLimits bound how long a connection may hold a descriptor and give nothing for it.
type clientLimits struct {
	command time.Duration // for the first command of a connection, and for the end of one that has begun
	idle    time.Duration // between commands, with nothing open
}

// usualLimits: clients write a command in one go. Those that keep a connection use it again within seconds, or
// have left it for good.
var usualLimits = clientLimits{command: 2 * time.Second, idle: 5 * time.Second}

// reader reads the commands of one connection and hands them to the loop. It runs in a goroutine of its own.
type reader struct {
	c      *client
	cfg    *Config
	clock  clock
	limits clientLimits
	post   func(event)
	buf    []byte        // of a command that is not whole yet
	args   [][]byte      // memory for the next command's
	since  time.Time     // the start, the last whole command, or the first byte of the one in buf
	heard  bool          // there was a whole command
	came   arrivals      // of the bytes in buf
	quiet  bool          // nothing was unread in the kernel ...
	seenAt time.Duration // ... at this time of the clock
	looked time.Time     // when the client's end was last looked for while too many answers were owed
}

// run reads until the client leaves, breaks the framing or lets a time limit pass. One read deadline holds all
// limits. While too many answers are owed it reads ahead, up to a command's most: a client that sends much at once
// and goes would else leave what it sent to be worked on.
func (r *reader) run() {
	r.buf, r.since = make([]byte, 0, clientBuffer), time.Now()
	r.came.emptyAt = r.clock.at(r.c.accepted)
	for {
		// The loop sets a mark, or takes what it has answered from what is owed, before it sets its own deadline; so
		// the reader sets this one before it looks at either.
		by := r.deadline()
		err := r.c.conn.SetReadDeadline(by)
		if err == nil {
			err = r.handOn()
		}
		if err == nil && r.mayStop() {
			r.hand(commands{last: true})
			r.stayUnread()
			return
		}
		waits := r.held() // for answers: what the client has sent meanwhile is not late
		if err == nil && waits {
			err = r.lookForEnd()
		}
		if err == nil {
			err = r.read()
		}
		if waits || len(r.buf) == 0 && r.c.owed.Load() > 0 {
			waits, r.since = true, time.Now()
		}
		switch {
		case err == nil:
		case errors.Is(err, errFraming):
			r.refuse(err, true)
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			r.post(left{r.c})
			return
		case waits, time.Now().Before(by): // or woken by the loop
		case len(r.buf) > 0:
			r.refuse(errLate, false)
			return
		default:
			r.hand(commands{last: true})
			return
		}
	}
}

// mayStop reports whether a connection that is to end may do so now, all that was read whole having been handed on: nothing is
// owed and nothing has come, or the client is slow to take what it is owed. What such a client goes on sending could not be
// answered in time, and what is left unread is sent again elsewhere.
func (r *reader) mayStop() bool {
	switch mode := r.c.reading.get(); {
	case mode == readOn:
		return false
	case mode == readNoMore:
		return true
	case len(r.buf) > 0:
		return false
	case mode == readBegun:
		return true
	}
	return r.c.slow.Load() || r.c.owed.Load() == 0 && r.c.conn.Quiet()
}

// stayUnread stays with a connection of which nothing more is read, for as long as answers are owed on it: work for a client
// that leaves must not go on.
func (r *reader) stayUnread() {
	for r.c.owed.Load() > 0 {
		if r.waitForRoom() != nil {
			r.post(left{r.c})
			return
		}
	}
}

var errLate = errors.New("protocol error: the command did not end in time")

func (r *reader) deadline() time.Time {
	if r.heard && len(r.buf) == 0 {
		return r.since.Add(r.limits.idle)
	}
	return r.since.Add(r.limits.command)
}

// held reports that so many answers are owed that no further command is handed on.
func (r *reader) held() bool { return r.c.owed.Load() >= owedMost && r.c.reading.get() < readBegun }

// readMost is how many bytes may be read now. While so many answers are owed that nothing is handed on, a command's most is read
// ahead, so that the client's end is found. Not so where the connection is to end: what is read then would have to be answered
// before the platform ends the gateway, so only the rest of a command that has begun is read, and from a slow client as well.
func (r *reader) readMost() int {
	mode, held := r.c.reading.get(), r.held()
	switch {
	case mode >= readBegun, mode == readToRest && (held || r.c.slow.Load()):
		return missing(r.buf)
	case held:
		return max(0, commandMost-len(r.buf))
	}
	return commandMost
}

// read takes what has come.
func (r *reader) read() error {
	most := r.readMost()
	if most == 0 {
		return r.waitForRoom()
	}
	if len(r.buf) == cap(r.buf) {
		r.buf = slices.Grow(r.buf, cap(r.buf))
	}
	if !r.quiet || r.clock.now()-r.seenAt > peekFresh {
		r.peek()
	}
	room := r.buf[len(r.buf):cap(r.buf)]
	r.came.beforeRead(r.seenAt, r.quiet)
	n, err := r.c.conn.Read(room[:min(len(room), most)])
	if len(r.buf) == 0 && n > 0 {
		r.since = time.Now()
	}
	r.buf = r.buf[:len(r.buf)+n]
	r.came.afterRead(r.clock.now(), n, len(r.buf))
	r.peek()
	if err == nil && !r.quiet && r.c.conn.HungUp() { // work for a client that has left must not begin
		return io.ErrUnexpectedEOF
	}
	return err
}

// peek looks whether anything is unread, be it the client's end.
func (r *reader) peek() { r.seenAt, r.quiet = r.clock.now(), r.c.conn.Quiet() }

// waitForRoom waits for a while until fewer answers are owed. The client's end lies behind what is unread, so it is
// looked for.
func (r *reader) waitForRoom() error {
	look := time.NewTimer(lookEvery)
	defer look.Stop()
	select {
	case <-r.c.wake:
	case <-r.c.gone:
		return net.ErrClosed
	case <-look.C:
	}
	return r.lookForEnd()
}

// lookForEnd looks whether the client has gone, at most once in lookEvery. How often the loop wakes the reader must not
// matter: with answers that come in quick succession the end would else be found only once everything before it is read.
func (r *reader) lookForEnd() error {
	now := time.Now()
	if now.Sub(r.looked) < lookEvery {
		return nil
	}
	r.looked = now
	if r.c.conn.HungUp() {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// drainReads stays with a connection of which nothing more is taken for as long as answers are owed on it: work for a
// client that leaves must not go on. What it still sends is dropped, so that its end can come through; of one that
// sends much the end is looked for.
func (r *reader) drainReads() {
	drop := make([]byte, clientBuffer)
	for most := dropMost; r.c.owed.Load() > 0; {
		if most <= 0 {
			if r.waitForRoom() != nil {
				break
			}
			continue
		}
		err := r.c.conn.SetReadDeadline(time.Now().Add(lookEvery))
		if err == nil {
			var n int
			n, err = r.c.conn.Read(drop)
			most -= n
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	if r.c.owed.Load() > 0 {
		r.post(left{r.c})
	}
}

// handOn hands on the commands that are whole, until too many answers are owed.
func (r *reader) handOn() error {
	for len(r.buf) > 0 && !r.held() {
		got, used, fault := r.split()
		r.hand(commands{got: got})
		if fault != nil {
			return fault
		}
		if used == 0 {
			break
		}
		r.heard, r.since = true, time.Now()
		r.came.drop(used)
		if r.buf = r.buf[:copy(r.buf, r.buf[used:])]; len(r.buf) == 0 && cap(r.buf) > clientBuffer {
			r.buf = make([]byte, 0, clientBuffer)
		}
	}
	return nil
}

// split reads the whole commands that the buffer begins with, as many as may be owed an answer at once.
func (r *reader) split() (got []received, used int, err error) {
	for used < len(r.buf) && len(got) < owedMost {
		var n int
		if n, r.args, err = nextCommand(r.buf[used:], r.args); n == 0 {
			break
		}
		used += n
		got = append(got, interpret(r.cfg, r.args, r.came.of(used)))
	}
	return got, used, err
}

// refuse answers what can't be read, as the last.
func (r *reader) refuse(why error, fault bool) {
	reply := redcon.AppendError(nil, "ERR "+why.Error())
	r.hand(commands{got: []received{{reply: reply}}, last: true, fault: fault})
	r.drainReads()
}

// hand posts commands.
func (r *reader) hand(e commands) {
	if len(e.got) == 0 && !e.last {
		return
	}
	e.c = r.c
	r.c.owed.Add(int32(len(e.got)))
	r.post(e)
}

// interpret turns a command into a request, or into its answer. Its last byte came at the time came.
func interpret(cfg *Config, args [][]byte, came time.Duration) received {
	if len(args) == 0 {
		return received{reply: redcon.AppendError(nil, "ERR empty command")}
	}
	name := strings.ToUpper(string(args[0][:min(len(args[0]), 16)]))
	switch name {
	case "Q.ASK", "Q.DO":
		cmd, err := parseRequest(cfg, name, args, came)
		if err != nil {
			return received{reply: redcon.AppendError(nil, "ERR "+err.Error())}
		}
		return received{cmd: cmd}
	case "PING":
		if len(args) == 2 {
			return received{reply: redcon.AppendBulk(nil, bytes.Clone(args[1]))}
		}
		return received{reply: redcon.AppendString(nil, "PONG")}
	case "CLIENT", "SELECT":
		return received{reply: redcon.AppendOK(nil)}
	}
	return received{reply: redcon.AppendError(nil, "ERR unknown command")}
}
