package nutmegstand

import (
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	delayQueueLength = 256      // chunks in flight in one direction
	delayBufferBytes = 16 << 10 // maximum bytes of one chunk read from the network
)

// delayedChunk is data, or a read error, that is delivered at a set time.
type delayedChunk struct {
	data []byte
	err  error
	at   time.Time
}

// delayedConn delays the data of a connection, each direction by the same time.
type delayedConn struct {
	net.Conn
	delay     time.Duration
	in        chan delayedChunk
	out       chan delayedChunk
	closed    chan struct{}
	closeOnce sync.Once

	unread []byte // received data that Read has not returned yet

	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{} // closed when the deadline changes
	writeErr error         // error of the latest write to the network
}

func newDelayedConn(raw net.Conn, delay time.Duration) *delayedConn {
	c := &delayedConn{
		Conn: raw, delay: delay, closed: make(chan struct{}), changed: make(chan struct{}),
		in: make(chan delayedChunk, delayQueueLength), out: make(chan delayedChunk, delayQueueLength),
	}
	go c.readLoop()
	go c.writeLoop()
	return c
}

// readLoop reads from the network into the receive queue.
func (c *delayedConn) readLoop() {
	buffer := make([]byte, delayBufferBytes)
	for {
		n, err := c.Conn.Read(buffer)
		chunk := delayedChunk{data: slices.Clone(buffer[:n]), err: err, at: time.Now().Add(c.delay)}
		select {
		case c.in <- chunk:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// writeLoop writes each queued chunk to the network when its delay has passed.
func (c *delayedConn) writeLoop() {
	for {
		select {
		case chunk := <-c.out:
			time.Sleep(time.Until(chunk.at))
			if _, err := c.Conn.Write(chunk.data); err != nil {
				c.mu.Lock()
				c.writeErr = err
				c.mu.Unlock()
				return
			}
		case <-c.closed:
			return
		}
	}
}

// Read implements net.Conn.
func (c *delayedConn) Read(b []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(b, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	for {
		c.mu.Lock()
		deadline, changed := c.deadline, c.changed
		c.mu.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			timer := time.NewTimer(time.Until(deadline))
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case chunk := <-c.in:
			time.Sleep(time.Until(chunk.at))
			n := copy(b, chunk.data)
			c.unread = chunk.data[n:]
			return n, chunk.err
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Write implements net.Conn.
func (c *delayedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	writeErr := c.writeErr
	c.mu.Unlock()
	if writeErr != nil {
		return 0, writeErr
	}
	select {
	case c.out <- delayedChunk{data: slices.Clone(b), at: time.Now().Add(c.delay)}:
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// SetReadDeadline implements net.Conn.
func (c *delayedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// SetDeadline implements net.Conn.
func (c *delayedConn) SetDeadline(t time.Time) error {
	return c.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
