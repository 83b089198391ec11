package nutmegroute

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// uploadConn is a connection whose reads fail after a failed write. The kernel reports a
// reset once: if a write gets it, the next read ends with io.EOF, which looks like the
// end of a response without a length.
type uploadConn struct {
	net.Conn

	mu       sync.Mutex // held by each write
	writeErr error      // first failed write
}

// dialUploads returns a DialFunc whose connections are of type uploadConn.
func dialUploads(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &uploadConn{Conn: c}, nil
	}
}

// Write implements net.Conn.
func (c *uploadConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. At the end of the connection it waits for a write that has
// begun, which may have been told why the connection ended.
func (c *uploadConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return n, c.writeErr
	}
	return n, err
}
