package gateway

import (
	"sync"
	"time"
)

// Sizes of a connection's read buffer, in bytes.
const (
	clientReadBuffer = 1 << 10                 // between commands
	smallReadBuffer  = 4 << 10                 // largest size without a reservation
	largeReadBuffer  = maxCommandBytes + 1<<10 // a command that is too long is rejected before it fills this
	maxReadBuffer    = 2 * largeReadBuffer     // commands that are read ahead, and the rest of the last one
)

const (
	// A command that lacks memory is refused after this time: its client has waited for nothing else so far.
	maxMemoryWait = 250 * time.Millisecond
	// A command of which nothing has arrived for this long gives up its memory if others wait for some.
	stalledCommandTime   = 200 * time.Millisecond
	stalledCheckInterval = 100 * time.Millisecond
)

// growBuffer enlarges the read buffer. It returns false if there is no memory for that now: the input then stays in the
// kernel for a while (waitForMemory). Reading ahead gets only half of the memory, because what is read ahead stays for as
// long as answers are pending. What is reserved follows what has arrived, and not what the command announces: else
// clients that stop after a few bytes would hold memory that nobody uses.
func (r *clientReader) growBuffer() bool {
	if cap(r.buf) >= maxReadBuffer {
		return false
	}
	size := min(2*cap(r.buf), largeReadBuffer)
	if cap(r.buf) >= largeReadBuffer {
		size = maxReadBuffer
	}
	budget := &r.memory.readBuffers
	limit := budget.limit
	if r.paused() {
		limit /= 2
	}
	reserve := size
	if size <= smallReadBuffer {
		reserve = 0
	}
	if reserve > r.reserved && !budget.tryReserveUpTo(reserve-r.reserved, limit) {
		return false
	}
	r.reserved = reserve
	r.replaceBuffer(append(newReadBuffer(size), r.buf...))
	return true
}

// waitForMemory waits a moment for others to release memory for read buffers.
func (r *clientReader) waitForMemory() error {
	if r.starvedSince.IsZero() {
		r.starvedSince = time.Now()
	}
	r.memory.readBufferWaits.Add(1)
	r.metrics.ReadBufferWaits.Add(1)
	defer r.memory.readBufferWaits.Add(-1)
	defer r.metrics.ReadBufferWaits.Add(-1)
	return r.waitForCapacity()
}

// mustSkip reports that the command that has begun must do without the memory that it needs or has: it has waited for
// memory for too long, or it has stalled while others wait. Otherwise clients that stop in the middle of a command could
// keep the commands of others from being read. While no commands are processed, it waits.
func (r *clientReader) mustSkip() bool {
	switch {
	case r.skipper != nil || len(r.buf) == 0 || r.paused():
		return false
	case r.starved:
		stopping := r.client.readState.load() >= readRefuseExcess
		return stopping || !r.starvedSince.IsZero() && time.Since(r.starvedSince) >= maxMemoryWait
	}
	return r.reserved > 0 && r.memory.readBufferWaits.Load() > 0 && time.Since(r.lastByteAt) >= stalledCommandTime
}

// beginSkipping starts to skip the command at the start of the buffer, and releases the buffer's memory.
func (r *clientReader) beginSkipping() error {
	complete, _, err := parseCommand(r.buf, nil)
	if err != nil || complete > 0 {
		return nil // postCommands handles it: since it last looked, answers have been written
	}
	skipper, used, err := newCommandSkipper(r.buf)
	if err != nil {
		return err
	}
	r.consume(used)
	r.replaceBuffer(append(newReadBuffer(smallReadBuffer), r.buf...))
	r.releaseMemory()
	r.skipper, r.starved = skipper, false
	return nil
}

// skipBuffered discards what the buffer holds of the command that is being skipped. At the end of the command it posts the
// refusal.
func (r *clientReader) skipBuffered() (done bool, err error) {
	used, done, err := r.skipper.skip(r.buf)
	if err != nil {
		return false, err
	}
	receivedAt := r.times.receivedAt(used)
	r.consume(used)
	if !done {
		return false, nil
	}
	refused := interpret(r.cfg, &r.memory.commands, r.skipper.args, receivedAt, reasonMemory)
	r.skipper = nil
	r.commandsEnded()
	r.postBatch(commandBatch{commands: []receivedCommand{refused}})
	return true, nil
}

// dropBuffer frees the read buffer and its reservation.
func (r *clientReader) dropBuffer() {
	r.replaceBuffer(nil)
	r.releaseMemory()
}

// resetBuffer replaces a read buffer that is empty by one for short commands.
func (r *clientReader) resetBuffer() {
	r.replaceBuffer(newReadBuffer(clientReadBuffer))
	r.releaseMemory()
}

// releaseMemory returns what was reserved for the read buffer.
func (r *clientReader) releaseMemory() {
	r.memory.readBuffers.release(r.reserved)
	r.reserved = 0
}

// replaceBuffer replaces the read buffer, which is used again for another connection.
func (r *clientReader) replaceBuffer(buf []byte) {
	r.metrics.ReadBufferBytes.Add(cap(buf) - cap(r.buf))
	freeReadBuffer(r.buf)
	r.buf = buf
}

// readBufferPools hold read buffers that are not in use, by their size. Without them, clients that send long commands at
// full speed make garbage faster than the runtime collects it, and the process passes its memory limit.
var readBufferPools = map[int]*sync.Pool{}

func init() {
	for size := clientReadBuffer; size < largeReadBuffer; size *= 2 {
		readBufferPools[size] = &sync.Pool{}
	}
	readBufferPools[largeReadBuffer] = &sync.Pool{}
	readBufferPools[maxReadBuffer] = &sync.Pool{}
}

// newReadBuffer returns an empty buffer of one of the sizes in readBufferPools.
func newReadBuffer(size int) []byte {
	if b, ok := readBufferPools[size].Get().(*[]byte); ok {
		return (*b)[:0]
	}
	return make([]byte, 0, size)
}

// freeReadBuffer makes a buffer available for another connection. Nothing may refer to its bytes any more.
func freeReadBuffer(b []byte) {
	if pool := readBufferPools[cap(b)]; pool != nil {
		pool.Put(&b)
	}
}
