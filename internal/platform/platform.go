// Package platform is the seam between the gateway and the operating system: the wall clock, files, and the system calls
// on sockets that may fail for a moment. In the usual build each function is a thin wrapper. A build with the tag
// faultinjection lets a test decide when these calls fail, and with which error, without touching the machine.
package platform

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"
)

// Call names an operation that may be made to fail.
type Call string

// The operations.
const (
	CallListen       Call = "listen"        // socket, bind and listen for clients
	CallListenPacket Call = "listen_packet" // socket and bind for peers
	CallAccept       Call = "accept"
	CallConnect      Call = "connect"
	CallRead         Call = "read"
	CallWrite        Call = "write"
	CallReadFile     Call = "read_file"
)

// ReadFile reads a whole file. Its errors are those of os.ReadFile.
func ReadFile(path string) ([]byte, error) {
	if err := Fault(CallReadFile); err != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	data, err := os.ReadFile(path)
	return cut(CallReadFile, data), err
}

// Listen opens a TCP listener.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	if err := Fault(CallListen); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", err)}
	}
	var config net.ListenConfig
	ln, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("opening the listener: %w", err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("listener %T is not TCP", ln)
	}
	return listener{tcp}, nil
}

// ListenUDP opens a socket for datagrams.
func ListenUDP(addr netip.AddrPort) (*net.UDPConn, error) {
	if err := Fault(CallListenPacket); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: os.NewSyscallError("socket", err)}
	}
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
}

// DialTCP opens a TCP connection without keep-alive probes.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	if err := Fault(CallConnect); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

// listener is a net.Listener whose Accept may be made to fail.
type listener struct{ *net.TCPListener }

func (l listener) Accept() (net.Conn, error) {
	if err := Fault(CallAccept); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.TCPListener.Accept()
}

// Now reads the wall clock, which an operator may step. Only use it to compare with other machines' clocks.
func Now() time.Time { return time.Now().Add(wallOffset()) }
