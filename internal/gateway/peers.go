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

const datagramMost = 256 // bytes of a message between gateways

// A gateway takes in so many times the stated intake of messages, counted over peerSpan: the network keeps to that intake
// itself, but whoever can send to the port may not, and every word on a new customer takes memory for seconds.
const (
	peerOver = 4
	peerSpan = time.Second

	peerReadRetry = 5 * time.Millisecond // after a failed read, whose reason may stay for a while
)

// peerLink is the socket to the other gateways.
type peerLink struct {
	conn  *net.UDPConn
	raw   syscall.RawConn
	ipv4  bool // the socket's family
	addrs []netip.AddrPort
	ranks map[netip.AddrPort]int
	most  int // messages in a span; 0: no limit
}

// datagram hands a peer's message to the loop.
type datagram struct {
	from int
	text string
}

func (d datagram) apply(l *loop) { l.feed(decide.PeerMessage{From: d.from, Text: d.text}) }

func openPeers(listen netip.AddrPort, addrs []netip.AddrPort) (*peerLink, error) {
	conn, err := platform.ListenUDP(listen)
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("reaching the descriptor: %w", err)
	}
	p := &peerLink{conn: conn, raw: raw, ipv4: listen.Addr().Unmap().Is4(), addrs: addrs, ranks: map[netip.AddrPort]int{}}
	for i, a := range addrs {
		p.ranks[a] = i
	}
	return p, nil
}

// tell sends a message to a gateway by its number. It may be lost, as any datagram; the loop calls it, so where the socket's
// buffer is full it is dropped and not waited for.
func (p *peerLink) tell(to int, text string) error {
	if to < 0 || to >= len(p.addrs) || len(text) > datagramMost {
		return fmt.Errorf("message of %d bytes to gateway %d can't be sent", len(text), to)
	}
	var sendErr error
	err := p.raw.Write(func(fd uintptr) bool {
		sendErr = unix.Sendto(int(fd), []byte(text), unix.MSG_DONTWAIT, p.sockaddr(p.addrs[to]))
		return true // never wait
	})
	if err := errors.Join(err, sendErr); err != nil {
		return fmt.Errorf("telling gateway %d: %w", to, err)
	}
	return nil
}

// sockaddr is an address in the form that the socket's family wants. An IPv6 socket takes IPv4 addresses as mapped ones.
func (p *peerLink) sockaddr(addr netip.AddrPort) unix.Sockaddr {
	ip := addr.Addr().Unmap()
	if p.ipv4 && ip.Is4() {
		return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}
	}
	return &unix.SockaddrInet6{Port: int(addr.Port()), Addr: ip.As16()}
}

// read hands on the messages of known gateways until the socket is closed. What comes from elsewhere or is
// too long is dropped: anyone may send to the port.
func (p *peerLink) read(post func(event), log *slog.Logger) {
	buf := make([]byte, datagramMost+1)
	taken, since := 0, time.Now()
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Debug("reading from peers", "err", err)
			time.Sleep(peerReadRetry)
			continue
		}
		rank, ok := p.ranks[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok || n > datagramMost {
			continue
		}
		if now := time.Now(); now.Sub(since) >= peerSpan {
			taken, since = 0, now
		}
		if taken++; p.most > 0 && taken > p.most {
			continue
		}
		post(datagram{rank, string(buf[:n])})
	}
}
