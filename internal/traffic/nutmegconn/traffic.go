package nutmegconn

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of TCP connections, so that an instance can determine
// the utilization of its network link.
type Traffic struct {
	received atomic.Int64
	sent     atomic.Int64
}

// Received returns the number of bytes received on all counted connections.
func (t *Traffic) Received() int64 {
	return t.received.Load()
}

// Sent returns the number of bytes sent on all counted connections.
func (t *Traffic) Sent() int64 {
	return t.sent.Load()
}

// Listener returns a listener that counts the bytes of connections accepted by l.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return countedListener{Listener: l, traffic: t}
}

// count returns a connection that counts the bytes of c. It returns c itself if c
// is not a TCP connection or t is nil.
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

// countedConn counts the bytes of a TCP connection. It embeds *net.TCPConn, so
// that the other methods of the connection remain available.
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
