package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"winghatch/internal/platform"

	"winghatch/decide"
)

const maxDatagramBytes = 256 // size limit of a message between gateways, in bytes

// A gateway accepts at most peerRateFactor times the configured rate of peer messages (decide.Config.PeerIntake),
// counted over peerRateWindow. The network between gateways delivers no more than the configured rate and drops the
// rest, but whoever else can send to the port is not held to that. Every message about a new customer takes memory for
// seconds.
const (
	peerRateFactor = 4
	peerRateWindow = time.Second

	peerReadRetryDelay = 5 * time.Millisecond // pause after a failed read, whose cause may last for a while
)

// peerSocket is the UDP socket for messages from and to the other gateways, the peers.
type peerSocket struct {
	conn         *net.UDPConn
	raw          syscall.RawConn
	ipv4         bool                   // the socket's address family is IPv4
	addrs        []netip.AddrPort       // of the gateways, by rank
	ranks        map[netip.AddrPort]int // of the gateways, by address
	maxPerWindow int                    // messages accepted in each peerRateWindow; 0: no limit
}

// peerDatagram passes a peer's message to the loop.
type peerDatagram struct {
	from int // the sender's rank
	text string
}

func (d peerDatagram) apply(l *loop) { l.enqueue(decide.PeerMessage{From: d.from, Text: d.text}) }

func openPeerSocket(listen netip.AddrPort, addrs []netip.AddrPort) (*peerSocket, error) {
	conn, err := platform.ListenUDP(listen)
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("getting the raw connection: %w", err)
	}
	p := &peerSocket{conn: conn, raw: raw, ipv4: listen.Addr().Unmap().Is4(), addrs: addrs, ranks: map[netip.AddrPort]int{}}
	for i, a := range addrs {
		p.ranks[a] = i
	}
	return p, nil
}

// send sends a message to the gateway with the given rank. Like any datagram it may be lost. The loop calls send, so it
// must not block: if the socket's buffer is full, the message is dropped.
func (p *peerSocket) send(to int, text string) error {
	if to < 0 || to >= len(p.addrs) || len(text) > maxDatagramBytes {
		return fmt.Errorf("can't send a message of %d bytes to gateway %d", len(text), to)
	}
	var sendErr error
	err := p.raw.Write(func(fd uintptr) bool {
		sendErr = unix.Sendto(int(fd), []byte(text), unix.MSG_DONTWAIT, p.sockaddr(p.addrs[to]))
		return true // never block
	})
	if err := errors.Join(err, sendErr); err != nil {
		return fmt.Errorf("sending to gateway %d: %w", to, err)
	}
	return nil
}

// sockaddr returns an address in the form that the socket's family requires. An IPv6 socket takes IPv4 addresses in
// their IPv6-mapped form.
func (p *peerSocket) sockaddr(addr netip.AddrPort) unix.Sockaddr {
	ip := addr.Addr().Unmap()
	if p.ipv4 && ip.Is4() {
		return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}
	}
	return &unix.SockaddrInet6{Port: int(addr.Port()), Addr: ip.As16()}
}

// read posts the messages of known gateways until the socket is closed. It drops messages that are too long or come
// from elsewhere, because anyone may send to the port.
func (p *peerSocket) read(post func(event), log *slog.Logger) {
	buf := make([]byte, maxDatagramBytes+1)
	accepted, windowStart := 0, time.Now()
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Debug("failed to read a peer message", "err", err)
			time.Sleep(peerReadRetryDelay)
			continue
		}
		rank, ok := p.ranks[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok || n > maxDatagramBytes {
			continue
		}
		if now := time.Now(); now.Sub(windowStart) >= peerRateWindow {
			accepted, windowStart = 0, now
		}
		if accepted++; p.maxPerWindow > 0 && accepted > p.maxPerWindow {
			continue
		}
		post(peerDatagram{rank, string(buf[:n])})
	}
}
