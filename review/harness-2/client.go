package main

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// request is a request of a client.
type request struct {
	command, customer, id, class, plan string
	deadlineMS, units, spread, first   int
}

func (q request) encode(body ...string) []byte {
	values := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d,spread=%d,first=%d", q.class, q.plan, q.deadlineMS, q.units, q.spread,
		q.first)
	return encodeCommand(append([]string{q.command, q.customer, q.id, values}, body...)...)
}

// clientConn is a client's connection to a gateway. It has one request open at a time.
type clientConn struct {
	net.Conn
	r *bufio.Reader
}

func dialGateway(addr string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// ask sends a command and reads its answer.
func (c *clientConn) ask(command []byte, timeout time.Duration) (reply, error) {
	c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write(command); err != nil {
		return reply{}, err
	}
	return readReply(c.r)
}

// asker sends one request after the other to a gateway, on a new connection after each failure. It records all answers
// but refusals, of which there are thousands.
type asker struct {
	gateway *gateway
	record  *recorder
	pause   time.Duration // after each answer
	next    func() request
}

// run asks until the time is over.
func (a asker) run(until time.Time) {
	var conn *clientConn
	for time.Now().Before(until) {
		if conn == nil {
			var err error
			if conn, err = dialGateway(a.gateway.listen); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		q := a.next()
		answer, err := conn.ask(q.encode(), 5*time.Second)
		if err != nil {
			a.record.printf("client: %s at n%d got no answer: %v", q.id, a.gateway.number, err)
			conn.Close()
			conn = nil
			continue
		}
		if !answer.refused() {
			a.record.printf("client: %s at n%d %s", q.id, a.gateway.number, answer.result())
		}
		time.Sleep(a.pause)
	}
	if conn != nil {
		conn.Close()
	}
}
