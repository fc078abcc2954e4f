// Package platform wraps the operating system services that the gateway uses: the wall clock, files, and the system
// calls on sockets that can fail transiently. In the default build each function is a thin wrapper. In a build with the
// tag faultinjection a test decides when these calls fail, and with which error, without changing the machine.
package platform

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"
)

// Call names an operation for which errors can be injected.
type Call string

// The operations, by the names that a Script uses.
const (
	CallListen       Call = "listen"        // socket, bind and listen for clients
	CallListenPacket Call = "listen_packet" // socket and bind for peers
	CallAccept       Call = "accept"
	CallConnect      Call = "connect"
	CallRead         Call = "read"
	CallWrite        Call = "write"
	CallReadFile     Call = "read_file"
)

// ReadFile reads a whole file. It returns the same errors as os.ReadFile.
func ReadFile(path string) ([]byte, error) {
	if err := InjectedError(CallReadFile); err != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	data, err := os.ReadFile(path)
	return truncate(CallReadFile, data), err
}

// Listen opens a TCP listener on addr.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	if err := InjectedError(CallListen); err != nil {
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

// ListenUDP opens a UDP socket on addr.
func ListenUDP(addr netip.AddrPort) (*net.UDPConn, error) {
	if err := InjectedError(CallListenPacket); err != nil {
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: os.NewSyscallError("socket", err)}
	}
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
}

// DialTCP opens a TCP connection without keep-alive probes.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	if err := InjectedError(CallConnect); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

// listener is a TCP listener whose Accept can return injected errors.
type listener struct{ *net.TCPListener }

func (l listener) Accept() (net.Conn, error) {
	if err := InjectedError(CallAccept); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.TCPListener.Accept()
}

// Now returns the wall clock time. An operator may step this clock, so use it only to compare with the clocks of other
// machines.
func Now() time.Time { return time.Now().Add(wallOffset()) }
