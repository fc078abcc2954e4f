package gateway

import (
	"bytes"
	"errors"
	"net"
	"os"
	"time"
)

// Sizes of the read buffer of a connection to a server, in bytes.
const (
	initialReadBuffer = 1 << 10                // between answers
	smallAnswerBuffer = 4 << 10                // largest size without a reservation
	maxAnswerBuffer   = maxAnswerBytes + 1<<10 // an answer that is too long is rejected before it fills this
)

const (
	// Limits the time from the first byte of an answer to its last. A server writes an answer in one go. If one is
	// still incomplete after this time, the time left to the request is better spent otherwise.
	answerReadTimeout      = 250 * time.Millisecond
	answerMemoryRetryDelay = 2 * time.Millisecond // pause before memory for a long answer is asked for again
)

// errNoAnswerMemory means that there was no memory for a long answer before its time was over.
var errNoAnswerMemory = errors.New("no memory for the answer")

// answerReader reads the answers on a connection to a server and posts them to the loop. It runs in its own goroutine.
type answerReader struct {
	conn     *upstreamConn
	memory   *byteBudget // for answers from when they are longer than smallAnswerBuffer until the loop handles them
	post     func(event)
	buf      []byte
	reserved int // bytes reserved for the current answer
}

// run reads one answer for each request that is written, until the connection ends or something other than an
// answer arrives. Between answers it reads nothing: unsolicited data stays in the kernel, where sendRequest detects it.
// If it were read here, a duplicate answer held by the reader could be taken for the answer to the next request.
func (r *answerReader) run() {
	r.buf = make([]byte, 0, initialReadBuffer)
	for {
		select {
		case <-r.conn.wake:
		case <-r.conn.done:
			return
		}
		a, afterRequest, err := r.readAnswer()
		if err != nil {
			r.memory.release(r.reserved)
			r.post(readFailed{r.conn, errors.Is(err, errMalformedAnswer), errors.Is(err, errNoAnswerMemory)})
			return
		}
		if r.buf = r.buf[:0]; cap(r.buf) > initialReadBuffer {
			r.buf = make([]byte, 0, initialReadBuffer)
		}
		reserved := r.reserved
		r.reserved = 0
		r.post(answerReceived{r.conn, a, afterRequest, reserved})
		if !a.inSync {
			return // the loop closes it
		}
	}
}

// readAnswer reads one answer. The second result is whether it began after the last byte of the request was written.
func (r *answerReader) readAnswer() (_ answer, afterRequest bool, _ error) {
	conn := r.conn.conn
	var started time.Time // when the first byte was read
	extended := false
	for {
		if len(r.buf) == cap(r.buf) {
			if err := r.growBuffer(started); err != nil {
				return answer{}, afterRequest, err
			}
		}
		n, err := conn.Read(r.buf[len(r.buf):cap(r.buf)])
		if len(r.buf) == 0 {
			afterRequest = r.conn.requestWritten.Load()
		}
		r.buf = r.buf[:len(r.buf)+n]
		a, used, parseErr := parseAnswer(r.buf)
		switch {
		case parseErr == nil && !extended && errors.Is(err, os.ErrDeadlineExceeded) && !conn.Quiet():
			extended = true // this gateway was delayed: the missing bytes may be waiting in the kernel
			if err := conn.SetReadDeadline(time.Now().Add(answerReadTimeout)); err != nil {
				return a, afterRequest, err
			}
		case parseErr != nil, errors.Is(err, os.ErrDeadlineExceeded):
			return a, afterRequest, errMalformedAnswer
		case used > 0:
			a.value, a.inSync = bytes.Clone(a.value), a.inSync && used == len(r.buf) && err == nil
			if !started.IsZero() {
				err = conn.SetReadDeadline(time.Time{})
			}
			return a, afterRequest, err
		case err != nil:
			return a, afterRequest, err
		case started.IsZero():
			started = time.Now()
			if err := conn.SetReadDeadline(started.Add(answerReadTimeout)); err != nil {
				return a, afterRequest, err
			}
		}
	}
}

// growBuffer enlarges the read buffer. A large one needs a reservation. If there is no memory for it, growBuffer waits until
// answers have been handled, at most until answerReadTimeout after started.
func (r *answerReader) growBuffer(started time.Time) error {
	size := min(2*cap(r.buf), maxAnswerBuffer)
	for size > smallAnswerBuffer && r.reserved == 0 {
		if r.memory.tryReserve(maxAnswerBuffer) {
			r.reserved = maxAnswerBuffer
			break
		}
		if time.Since(started) >= answerReadTimeout {
			return errNoAnswerMemory
		}
		select {
		case <-time.After(answerMemoryRetryDelay):
		case <-r.conn.done:
			return net.ErrClosed
		}
	}
	larger := make([]byte, 0, size)
	r.buf = append(larger, r.buf...)
	return nil
}
