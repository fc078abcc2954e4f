package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
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
	// CloseWrite ends the sending.
	CloseWrite() error
}

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
			m, err = syscall.Write(int(fd), b[n:])
			if m > 0 {
				n += m
			}
			if err != nil && !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		return true // never wait
	})
	if errors.Is(err, syscall.EAGAIN) {
		err = nil
	}
	return n, errors.Join(opErr, err)
}

func (s socket) Quiet() bool {
	var err error
	opErr := s.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return opErr == nil && errors.Is(err, syscall.EAGAIN)
}

func (s socket) HungUp() (gone bool) {
	const signs = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	opErr := s.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		gone = err == nil && n > 0 && fds[0].Revents&signs != 0
	})
	return opErr != nil || gone
}

// dialTCP makes a connection to a server.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}
