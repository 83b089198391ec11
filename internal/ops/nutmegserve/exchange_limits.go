package nutmegserve

import (
	"net"

	"github.com/nutmegwind/nutmegwind/internal/instance/nutmegaccount"
)

// exchangeByteMemory is what a received byte takes until it has been answered.
const exchangeByteMemory nutmegaccount.Bytes = 2

// LimitListener returns a listener for a protocol other than HTTP in which callers wait
// for an answer to what they have sent. Connections are turned away or closed without an
// answer; Limits.Head and Limits.Refuse are not used. A connection that waits for an
// answer counts as one whose request has not come whole, and may be closed to make room.
func LimitListener(l net.Listener, limits *Limits) net.Listener {
	return exchangeListener{Listener: l, limits: limits}
}

type exchangeListener struct {
	net.Listener
	limits *Limits
}

// Accept implements net.Listener.
func (l exchangeListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		account, ok := l.limits.Account.Open(c, l.limits.Elapsed())
		if ok {
			return &exchangeConn{Conn: c, limits: l.limits, account: account}, nil
		}
		_ = c.Close()
	}
}

// exchangeConn counts the bytes that have been received since the latest answer.
type exchangeConn struct {
	net.Conn
	limits  *Limits
	account *nutmegaccount.Conn
}

// Read implements net.Conn.
func (c *exchangeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.account.Read(exchangeByteMemory*nutmegaccount.Bytes(n), c.limits.Elapsed()) {
		return 0, readError(errRefused)
	}
	return n, err
}

// Write implements net.Conn.
func (c *exchangeConn) Write(p []byte) (int, error) {
	c.account.End(c.limits.Elapsed())
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *exchangeConn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}
