package nutmegstand

import (
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	delayQueue  = 256      // chunks under way in one direction
	delayBuffer = 16 << 10 // bytes of one chunk
)

// chunkAt is data that arrives at a time.
type chunkAt struct {
	data []byte
	err  error
	at   time.Time
}

// delayedConn gives both directions of a connection a one-way delay.
type delayedConn struct {
	net.Conn
	delay  time.Duration
	in     chan chunkAt
	out    chan chunkAt
	closed chan struct{}
	once   sync.Once

	rest []byte // read, but not yet taken

	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{} // closed when the deadline changes
	failed   error         // of the latest write
}

func newDelayedConn(raw net.Conn, delay time.Duration) *delayedConn {
	c := &delayedConn{
		Conn: raw, delay: delay, closed: make(chan struct{}), changed: make(chan struct{}),
		in: make(chan chunkAt, delayQueue), out: make(chan chunkAt, delayQueue),
	}
	go c.loop()
	go c.run()
	return c
}

// loop reads from the network into the queue of arrivals.
func (c *delayedConn) loop() {
	buffer := make([]byte, delayBuffer)
	for {
		n, err := c.Conn.Read(buffer)
		chunk := chunkAt{data: slices.Clone(buffer[:n]), err: err, at: time.Now().Add(c.delay)}
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

// run writes each chunk when its delay is over.
func (c *delayedConn) run() {
	for {
		select {
		case chunk := <-c.out:
			time.Sleep(time.Until(chunk.at))
			if _, err := c.Conn.Write(chunk.data); err != nil {
				c.mu.Lock()
				c.failed = err
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
	if len(c.rest) > 0 {
		n := copy(b, c.rest)
		c.rest = c.rest[n:]
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
			c.rest = chunk.data[n:]
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
	failed := c.failed
	c.mu.Unlock()
	if failed != nil {
		return 0, failed
	}
	select {
	case c.out <- chunkAt{data: slices.Clone(b), at: time.Now().Add(c.delay)}:
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
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
