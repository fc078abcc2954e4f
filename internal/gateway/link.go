package gateway

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"winghatch/internal/platform"
)

// link is a stream connection as the gateway uses it: read by one goroutine, written by the loop without waiting.
type link interface {
	net.Conn
	// TryWrite writes what is taken at once. Taking nothing is no error.
	TryWrite(b []byte) (n int, err error)
	// Quiet reports whether the connection is open and nothing has come on it that was not read.
	Quiet() bool
	// HungUp reports whether the peer has ended its sending or reset the connection, though what came before that
	// may still be unread. False means that it is open, or that this can't be told.
	HungUp() bool
	// Unsent is how many bytes were written that the peer's machine has not taken yet; 0 if this can't be told.
	Unsent() int
	// CloseWrite ends the sending.
	CloseWrite() error
}

// transientPause is how long a call that failed for a passing want of the machine is put off.
const transientPause = 2 * time.Millisecond

// socket is a link over TCP.
type socket struct {
	*net.TCPConn
	raw syscall.RawConn
}

func newSocket(conn net.Conn) (socket, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return socket{}, fmt.Errorf("connection %T is not TCP", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return socket{}, fmt.Errorf("reaching the descriptor: %w", err)
	}
	return socket{tcp, raw}, nil
}

func (s socket) TryWrite(b []byte) (n int, err error) {
	opErr := s.raw.Write(func(fd uintptr) bool {
		for n < len(b) {
			var m int
			m, err = writeOnce(fd, b[n:])
			if m > 0 {
				n += m
			}
			if err != nil && !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		return true // never wait
	})
	if platform.IsTransient(err) { // the rest may be taken in a moment
		err = nil
	}
	return n, errors.Join(opErr, err)
}

func (s socket) Quiet() bool {
	var err error
	opErr := s.raw.Control(func(fd uintptr) {
		var b [1]byte
		for {
			_, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !errors.Is(err, syscall.EINTR) {
				return
			}
		}
	})
	return opErr == nil && errors.Is(err, syscall.EAGAIN)
}

func (s socket) Unsent() int {
	n := 0
	var err error
	opErr := s.raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if opErr != nil || err != nil {
		return 0
	}
	return n
}

func (s socket) HungUp() (gone bool) {
	const signs = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	opErr := s.raw.Control(func(fd uintptr) { gone = pollNow(fd, unix.POLLRDHUP)&signs != 0 })
	return opErr != nil || gone
}

// pollNow returns what holds of a descriptor now, of the events asked for and those that poll always tells. It is 0 where this
// can't be told.
func pollNow(fd uintptr, events int16) int16 {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(fds, 0)
	if err != nil || n <= 0 {
		return 0
	}
	return fds[0].Revents
}

// Read reads what has come, and waits for it if nothing has. A passing want of the machine is waited out: it says nothing of
// the connection, and to end that would lose what is owed on it.
func (s socket) Read(b []byte) (int, error) {
	for {
		n, err := s.readOnce(b)
		if n > 0 || !platform.IsTransient(err) {
			return n, err
		}
		time.Sleep(transientPause)
	}
}

func (s socket) readOnce(b []byte) (int, error) {
	if err := platform.Fault(platform.CallRead); err != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
	}
	return s.TCPConn.Read(b[:platform.Limit(platform.CallRead, len(b))])
}

// Write writes all of b, unless the connection breaks or its write deadline passes.
func (s socket) Write(b []byte) (int, error) {
	if err := platform.Fault(platform.CallWrite); err != nil {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", err)}
	}
	return s.TCPConn.Write(b)
}

// writeOnce makes one system call.
func writeOnce(fd uintptr, b []byte) (int, error) {
	if err := platform.Fault(platform.CallWrite); err != nil {
		return 0, err
	}
	return syscall.Write(int(fd), b[:platform.Limit(platform.CallWrite, len(b))])
}
