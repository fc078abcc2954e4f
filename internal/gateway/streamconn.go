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

// streamConn is a stream connection as the gateway uses it: one goroutine reads from it, and the loop writes to it
// without blocking.
type streamConn interface {
	net.Conn
	// TryWrite writes as much of b as is accepted without blocking. It is no error if nothing is accepted.
	TryWrite(b []byte) (n int, err error)
	// Quiet reports whether the connection is open and has no unread data.
	Quiet() bool
	// HungUp reports whether the remote end has closed its sending side or reset the connection. Earlier data may still
	// be unread. False means that the connection is open, or that its state can't be determined.
	HungUp() bool
	// Unsent returns how many written bytes the remote machine has not acknowledged yet, or 0 if that can't be
	// determined.
	Unsent() int
	// CloseWrite closes the sending side.
	CloseWrite() error
}

// transientRetryDelay is the pause before the retry of a system call that failed because this machine temporarily
// lacked a resource.
const transientRetryDelay = 2 * time.Millisecond

// tcpConn is a streamConn over TCP.
type tcpConn struct {
	*net.TCPConn
	raw syscall.RawConn
}

func newTCPConn(conn net.Conn) (tcpConn, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return tcpConn{}, fmt.Errorf("connection %T is not TCP", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return tcpConn{}, fmt.Errorf("getting the raw connection: %w", err)
	}
	return tcpConn{tcp, raw}, nil
}

func (s tcpConn) TryWrite(b []byte) (n int, err error) {
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
		return true // never block
	})
	if platform.IsTransient(err) { // the rest may be accepted in a moment
		err = nil
	}
	return n, errors.Join(opErr, err)
}

func (s tcpConn) Quiet() bool {
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

func (s tcpConn) Unsent() int {
	n := 0
	var err error
	opErr := s.raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if opErr != nil || err != nil {
		return 0
	}
	return n
}

func (s tcpConn) HungUp() (hungUp bool) {
	const hangUpEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	opErr := s.raw.Control(func(fd uintptr) { hungUp = pollNow(fd, unix.POLLRDHUP)&hangUpEvents != 0 })
	return opErr != nil || hungUp
}

// pollNow returns the events that hold for a descriptor now, of those requested and those that poll always reports. It
// returns 0 if they can't be determined.
func pollNow(fd uintptr, events int16) int16 {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(fds, 0)
	if err != nil || n <= 0 {
		return 0
	}
	return fds[0].Revents
}

// Read reads what has arrived, or blocks until something does. It retries while this machine temporarily lacks a
// resource: that says nothing about the connection, and closing it would lose the answers that are pending on it.
func (s tcpConn) Read(b []byte) (int, error) {
	for {
		n, err := s.readOnce(b)
		if n > 0 || !platform.IsTransient(err) {
			return n, err
		}
		time.Sleep(transientRetryDelay)
	}
}

func (s tcpConn) readOnce(b []byte) (int, error) {
	if err := platform.InjectedError(platform.CallRead); err != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
	}
	return s.TCPConn.Read(b[:platform.LimitBytes(platform.CallRead, len(b))])
}

// Write writes all of b, unless the connection breaks or its write deadline passes.
func (s tcpConn) Write(b []byte) (int, error) {
	if err := platform.InjectedError(platform.CallWrite); err != nil {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", err)}
	}
	return s.TCPConn.Write(b)
}

// writeOnce makes one write system call.
func writeOnce(fd uintptr, b []byte) (int, error) {
	if err := platform.InjectedError(platform.CallWrite); err != nil {
		return 0, err
	}
	return syscall.Write(int(fd), b[:platform.LimitBytes(platform.CallWrite, len(b))])
}
