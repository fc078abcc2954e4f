package lab

import (
	"net"
	"time"
)

// chunk is data on its way through a proxy.
type chunk struct {
	due  time.Time
	data []byte
}

// DelayingProxy forwards connections to an address. Each direction takes the given time, as between two halls.
func (l *Lab) DelayingProxy(target string, oneWay time.Duration) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.NotRun("proxy: %v", err)
	}
	l.Cleanup(func() { ln.Close() })
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.Dial("tcp", target)
				if err != nil {
					near.Close()
					return
				}
				go forward(near, far, oneWay)
				forward(far, near, oneWay)
			}()
		}
	}()
	return ln.Addr().String()
}

// forward passes data on, each piece oneWay after it came, and then the end of the connection.
func forward(from, to net.Conn, oneWay time.Duration) {
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- chunk{time.Now().Add(oneWay), buf[:n]}
			}
			if err != nil {
				chunks <- chunk{due: time.Now().Add(oneWay)}
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if len(c.data) == 0 {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	to.Close()
	from.Close()
	for range chunks {
	}
}
