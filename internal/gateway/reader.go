package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"time"

	"github.com/tidwall/redcon"

	"winghatch/internal/telemetry"
)

const (
	hangupCheckInterval = 25 * time.Millisecond // how often to check for a hangup while input is left unread
	maxDiscardBytes     = 256 << 10             // bytes that are read and discarded after the last command
	peekTTL             = time.Millisecond      // how long the result of peek stays valid
)

// clientTimeouts bound how long a connection may hold a descriptor without sending requests.
type clientTimeouts struct {
	command time.Duration // for the first command of a connection, and for the rest of a command that has begun
	idle    time.Duration // between commands, while no request is open
}

// defaultClientTimeouts suits clients that write each command in one go. A client that keeps a connection uses it
// again within seconds, or has abandoned it.
var defaultClientTimeouts = clientTimeouts{command: 2 * time.Second, idle: 5 * time.Second}

// clientReader reads the commands of one connection and posts them to the loop. It runs in its own goroutine.
type clientReader struct {
	client   *client
	cfg      *Config
	clock    clock
	timeouts clientTimeouts
	post     func(event)
	metrics  *telemetry.Metrics
	memory   *memoryBudgets
	buf      []byte          // received bytes that are not processed yet
	reserved int             // bytes reserved for buf
	starved  bool            // the buffer is full, and there was no memory for a larger one
	skipper  *commandSkipper // of the command that is being skipped for lack of memory, else nil
	// when memory for the current command was first lacking; zero if it never was
	starvedSince time.Time
	lastByteAt   time.Time // when bytes were last read
	args         [][]byte  // reused for the arguments of the next command
	// start of the current timeout: when run began, at the last complete command, or at the first byte in buf
	timeoutStart     time.Time
	sawCommand       bool          // at least one complete command was received
	times            receiveTimes  // of the bytes in buf
	kernelEmpty      bool          // the connection was open and the kernel held no unread bytes ...
	peekedAt         time.Duration // ... at this time of clock
	delivered        int64         // bytes that the client's machine had acknowledged at that time
	unseenPauseSince time.Duration // since when commands wait only because the client is unseen, or 0
	hangupCheckedAt  time.Time     // when checkHangup last checked the connection
}

// run reads until the client disconnects, sends malformed input or exceeds a timeout. One read deadline covers all
// timeouts. While the limit of pending answers is reached, run reads ahead up to the size of one command. Without
// that, the disconnect of a client that sends much at once would go unnoticed, and the gateway would still work on
// what it sent.
func (r *clientReader) run() {
	r.timeoutStart = time.Now()
	r.replaceBuffer(newReadBuffer(clientReadBuffer))
	defer r.dropBuffer()
	r.times.lastEmpty = r.clock.at(r.client.acceptedAt)
	for {
		// To wake the reader, the loop first changes readState or pendingAnswers and then sets an expired read
		// deadline. So the reader sets its own deadline before it looks at either of them; otherwise it could
		// overwrite a wake-up that it has not seen.
		err := r.client.conn.SetReadDeadline(r.wakeUpTime())
		r.updateUnseenPause()
		if err == nil {
			err = r.postCommands()
		}
		if err == nil && r.mayStop() {
			r.postBatch(commandBatch{last: true})
			r.awaitAnswers()
			return
		}
		blocked := r.paused() // so the command in buf is not late
		if err == nil && blocked {
			err = r.checkHangup()
		}
		if err == nil {
			err = r.read()
		}
		blocked = blocked || r.starved
		if blocked || !r.commandBegun() && r.client.pendingAnswers.Load() > 0 {
			blocked, r.timeoutStart = true, time.Now()
		}
		switch {
		case err == nil:
		case errors.Is(err, errFraming):
			r.sendProtocolError(err, true)
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			r.post(clientDisconnected{r.client})
			return
		// blocked by pending answers or for memory, or woken by the loop, or held up by the loop while the deadline passed
		case blocked, time.Now().Before(r.readDeadline()):
		case r.commandBegun():
			r.sendProtocolError(errCommandTimeout, false)
			return
		default:
			r.postBatch(commandBatch{last: true})
			return
		}
	}
}

// mayStop reports whether a connection that is to end may stop reading now. All complete commands have been posted by
// then. It may stop when no answer is pending and no input waits, or when the process is to end and the client is slow to
// accept its answers: further commands of such a client could not be answered in time, and the client resends elsewhere
// what is left unread.
func (r *clientReader) mayStop() bool {
	switch state := r.client.readState.load(); {
	case state == readNormal:
		return false
	case state == readStopped:
		return true
	case r.commandBegun():
		return false
	case state >= readRefuseExcess && r.client.tooSlow.Load():
		return true
	case state == readToEnd:
		return r.client.conn.Quiet()
	}
	return r.client.pendingAnswers.Load() == 0 && r.client.conn.Quiet()
}

// awaitAnswers watches a connection that is no longer read, until its pending answers are written. If the client
// disconnects meanwhile, awaitAnswers reports it, so that work on its requests ends.
func (r *clientReader) awaitAnswers() {
	r.dropBuffer()
	for r.client.pendingAnswers.Load() > 0 {
		if r.waitForCapacity() != nil {
			r.post(clientDisconnected{r.client})
			return
		}
	}
}

var errCommandTimeout = errors.New("protocol error: the command did not end in time")

// readDeadline returns when the current timeout expires.
func (r *clientReader) readDeadline() time.Time {
	if r.sawCommand && !r.commandBegun() {
		return r.timeoutStart.Add(r.timeouts.idle)
	}
	return r.timeoutStart.Add(r.timeouts.command)
}

// wakeUpTime returns when the reader stops waiting for input: when the current timeout expires, or to see whether others
// need the memory that it holds.
func (r *clientReader) wakeUpTime() time.Time {
	deadline := r.readDeadline()
	if check := time.Now().Add(stalledCheckInterval); r.reserved > 0 && check.Before(deadline) {
		return check
	}
	return deadline
}

// commandBegun reports whether a command has begun that is not complete or not posted yet.
func (r *clientReader) commandBegun() bool { return len(r.buf) > 0 || r.skipper != nil }

// tooManyPending reports whether the limit of pending answers is reached, counting those of queued more commands.
func (r *clientReader) tooManyPending(queued int) bool {
	return int(r.client.pendingAnswers.Load())+queued >= maxPendingAnswers
}

// paused reports that no further commands are processed for now: too many answers are pending, or the client may have left
// unnoticed.
func (r *clientReader) paused() bool {
	if r.refusesExcess() {
		return false
	}
	return r.tooManyPending(0) || r.awaitsSign()
}

// refusesExcess reports whether requests beyond the limit of pending answers are refused instead of waiting. Before the
// process ends every request has to be answered, and those before may be open until then, at servers that hang. A
// client that does not keep pace with its answers could not be answered in time. The refusals take memory until the answers
// before them are ready.
func (r *clientReader) refusesExcess() bool {
	state := r.client.readState.load()
	return state >= readToEnd || state == readRefuseExcess && r.client.accepting() && r.memory.heldAnswers.hasRoom(0)
}

// refusalReason returns why a request behind queued other commands of its batch is refused, or "".
func (r *clientReader) refusalReason(queued int) string {
	stopping := r.client.readState.load() >= readToEnd
	if !stopping && !r.refusesExcess() && r.clientUnseen() {
		return reasonUnseen
	}
	if stopping || r.refusesExcess() && (r.tooManyPending(queued) || r.client.slow.Load() || r.clientUnseen()) {
		return reasonStopping
	}
	return ""
}

// readBudget returns how many bytes may be read now. While the limit of pending answers is reached, it allows reading
// ahead up to the size of one command, so that the client's disconnect is noticed. On a connection that is to end, only
// the rest of a command that has begun is read then; if the process is to end, also while the client has not accepted
// all answers, as everything that is read has to be answered before the platform kills the gateway.
func (r *clientReader) readBudget() int {
	state, paused := r.client.readState.load(), r.paused()
	switch {
	case state >= readUntilIdle && paused, state >= readRefuseExcess && !r.client.accepting():
		return missingBytes(r.buf)
	case paused:
		return max(0, maxCommandBytes-len(r.buf))
	}
	return maxCommandBytes
}

// read appends to buf what has arrived, and waits for input if there is none.
func (r *clientReader) read() error {
	budget := r.readBudget()
	r.starved = budget > 0 && len(r.buf) == cap(r.buf) && !r.growBuffer()
	switch {
	case r.mustSkip():
		return r.beginSkipping()
	case r.starved:
		return r.waitForMemory()
	case budget == 0:
		return r.waitForCapacity()
	}
	if !r.kernelEmpty || r.clock.now()-r.peekedAt > peekTTL {
		r.peek()
	}
	room := r.buf[len(r.buf):cap(r.buf)]
	r.times.beforeRead(r.peekedAt, r.kernelEmpty)
	n, err := r.client.conn.Read(room[:min(len(room), budget)])
	if n > 0 {
		r.lastByteAt = time.Now()
		if !r.commandBegun() {
			r.timeoutStart = r.lastByteAt
		}
	}
	r.buf = r.buf[:len(r.buf)+n]
	r.times.afterRead(r.clock.now(), n, len(r.buf))
	r.peek()
	if r.kernelEmpty {
		return err
	}
	if err == nil && r.client.conn.HungUp() { // no work may begin for a client that has left
		return io.ErrUnexpectedEOF
	}
	runtime.Gosched() // a client that sends without a pause would keep the processor for a whole time slice
	return err
}

// waitForCapacity waits until the loop wakes the reader or hangupCheckInterval has passed. A disconnect of the client
// is queued behind unread input, so it is checked for separately.
func (r *clientReader) waitForCapacity() error {
	wait := hangupCheckInterval
	if !r.tooManyPending(0) && r.clientUnseen() {
		wait = unseenCheckInterval
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.client.wake:
	case <-r.client.done:
		return net.ErrClosed
	case <-timer.C:
	}
	r.peek()
	return r.checkHangup()
}

// checkHangup returns an error if the client has disconnected. It checks at most once per hangupCheckInterval,
// however often the loop wakes the reader. With the check only after a full wait, answers in quick succession would
// hide the disconnect until everything before it is read.
func (r *clientReader) checkHangup() error {
	now := time.Now()
	if now.Sub(r.hangupCheckedAt) < hangupCheckInterval {
		return nil
	}
	r.hangupCheckedAt = now
	if r.client.conn.HungUp() {
		return io.ErrUnexpectedEOF
	}
	return r.checkVanished()
}

// drainReads watches a connection from which no more commands are accepted, until its pending answers are written. If
// the client disconnects meanwhile, drainReads reports it, so that work on its requests ends. Input is read and
// discarded, so that the disconnect behind it is noticed. After maxDiscardBytes, input is left unread and checkHangup
// looks for the disconnect.
func (r *clientReader) drainReads() {
	r.dropBuffer()
	buf := make([]byte, clientReadBuffer)
	for remaining := maxDiscardBytes; r.client.pendingAnswers.Load() > 0; {
		if remaining <= 0 {
			if r.waitForCapacity() != nil {
				break
			}
			continue
		}
		err := r.client.conn.SetReadDeadline(time.Now().Add(hangupCheckInterval))
		if err == nil {
			var n int
			n, err = r.client.conn.Read(buf)
			remaining -= n
			r.peek()
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	if r.client.pendingAnswers.Load() > 0 {
		r.post(clientDisconnected{r.client})
	}
}

// postCommands posts the complete commands in buf to the loop, until too many answers are pending.
func (r *clientReader) postCommands() error {
	for len(r.buf) > 0 && !r.paused() {
		if r.skipper != nil {
			done, err := r.skipBuffered()
			if err != nil || !done {
				return err
			}
			continue
		}
		commands, used, err := r.parseBuffered()
		r.postBatch(commandBatch{commands: commands})
		if err != nil {
			return err
		}
		if used == 0 {
			break
		}
		r.commandsEnded()
		r.consume(used)
		if len(r.buf) == 0 && cap(r.buf) > clientReadBuffer {
			r.resetBuffer()
		}
	}
	return nil
}

// commandsEnded records that at least one complete command was received, so the next one has its own time.
func (r *clientReader) commandsEnded() {
	r.sawCommand, r.timeoutStart, r.starvedSince = true, time.Now(), time.Time{}
}

// consume removes the first n bytes of the buffer.
func (r *clientReader) consume(n int) {
	r.times.discard(n)
	r.buf = r.buf[:copy(r.buf, r.buf[n:])]
}

// parseBuffered parses the complete commands at the start of buf, at most maxPendingAnswers of them. It returns them
// with their total size in bytes.
func (r *clientReader) parseBuffered() (commands []receivedCommand, used int, err error) {
	for used < len(r.buf) && len(commands) < maxPendingAnswers {
		var n int
		if n, r.args, err = parseCommand(r.buf[used:], r.args); n == 0 {
			break
		}
		used += n
		receivedAt := r.times.receivedAt(used)
		commands = append(commands, interpret(r.cfg, &r.memory.commands, r.args, receivedAt, r.refusalReason(len(commands))))
	}
	return commands, used, err
}

// sendProtocolError posts an error reply as the connection's last answer, then drains its reads.
func (r *clientReader) sendProtocolError(cause error, malformed bool) {
	reply := redcon.AppendError(nil, "ERR "+cause.Error())
	r.postBatch(commandBatch{commands: []receivedCommand{{reply: reply}}, last: true, protocolError: malformed})
	r.drainReads()
}

// postBatch posts a batch to the loop and counts its answers as pending.
func (r *clientReader) postBatch(batch commandBatch) {
	if len(batch.commands) == 0 && !batch.last {
		return
	}
	batch.client = r.client
	r.client.pendingAnswers.Add(int32(len(batch.commands)))
	r.metrics.QueuedCommands.Add(batch.size())
	r.post(batch)
}
