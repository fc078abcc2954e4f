package gateway

// Sizes of a connection's read buffer, in bytes.
const (
	clientReadBuffer = 1 << 10                 // between commands
	smallReadBuffer  = 4 << 10                 // largest size without a reservation
	largeReadBuffer  = maxCommandBytes + 1<<10 // a command that is too long is rejected before it fills this
	maxReadBuffer    = 2 * largeReadBuffer     // commands that are read ahead, and the rest of the last one
)

// growBuffer enlarges the read buffer. It returns false if there is no memory for that now: the input then stays in the
// kernel until other connections have their commands complete. That takes them at most the command timeout, or as long as
// they are at the limit of pending answers. Reading ahead gets only half of the memory, because what is read ahead stays for
// as long as answers are pending.
func (r *clientReader) growBuffer() bool {
	size, reserve := min(2*cap(r.buf), largeReadBuffer), largeReadBuffer
	switch {
	case cap(r.buf) >= maxReadBuffer:
		return false
	case cap(r.buf) >= largeReadBuffer:
		size, reserve = maxReadBuffer, maxReadBuffer
	case size <= smallReadBuffer:
		reserve = 0
	}
	budget := &r.memory.readBuffers
	limit := budget.limit
	if r.atPendingLimit() {
		limit /= 2
	}
	if reserve > r.reserved && !budget.tryReserveUpTo(reserve-r.reserved, limit) {
		return false
	}
	r.reserved = reserve
	larger := make([]byte, 0, size)
	r.setBuffer(append(larger, r.buf...))
	return true
}

// dropBuffer frees the read buffer and its reservation.
func (r *clientReader) dropBuffer() {
	r.setBuffer(nil)
	r.memory.readBuffers.release(r.reserved)
	r.reserved = 0
}

// setBuffer replaces the read buffer.
func (r *clientReader) setBuffer(buf []byte) {
	r.metrics.ReadBufferBytes.Add(cap(buf) - cap(r.buf))
	r.buf = buf
}
