package nutmegconn

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of TCP connections, for an instance to know how much
// of its link it uses.
type Traffic struct {
	received atomic.Int64
	sent     atomic.Int64
}

// Received returns the bytes received by all counted connections.
func (t *Traffic) Received() int64 {
	return t.received.Load()
}

// Sent returns the bytes sent by all counted connections.
func (t *Traffic) Sent() int64 {
	return t.sent.Load()
}

// Listener returns l with counted connections.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return countedListener{Listener: l, traffic: t}
}

// count returns c with counted bytes. Connections other than TCP's stay as they are.
func (t *Traffic) count(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if t == nil || !ok {
		return c
	}
	return &countedConn{TCPConn: tcp, traffic: t}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.count(c), nil
}

// countedConn keeps the methods of a TCP connection.
type countedConn struct {
	*net.TCPConn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
