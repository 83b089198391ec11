package nutmegpeer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcconn"

	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// conn is one connection to a peer. It runs one call at a time.
type conn struct {
	address string
	dialer  DialFunc
	sem     chan struct{} // semaphore; full while a call runs

	drpc   *drpcconn.Conn // nil when not connected; used only while acquired
	closed bool           // no new calls; used only while acquired

	mu     sync.Mutex
	usedAt time.Time
}

func newConn(address string, dialer DialFunc) *conn {
	return &conn{address: address, dialer: dialer, sem: make(chan struct{}, 1)}
}

// call runs fn and dials first if there is no open connection. A call that fails
// or is not answered before ctx ends closes the connection, so that the next call
// dials again: a connection that no longer answers fails at most one call. The
// caller must have acquired c; call releases it.
func (c *conn) call(ctx context.Context, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	defer func() { <-c.sem }()
	c.markUsed()
	if err := c.dial(ctx); err != nil {
		return err
	}
	if err := fn(ctx, peerpb.NewDRPCPeerClient(c.drpc)); err != nil {
		c.disconnect()
		return callError(ctx, err)
	}
	return nil
}

// callError adds the end of ctx to the error of a call that it has ended. DRPC reports
// such a call as EOF if it had not sent its message yet, which looks like a broken peer.
func callError(ctx context.Context, err error) error {
	ended := ctx.Err()
	if ended == nil || errors.Is(err, ended) {
		return err
	}
	return fmt.Errorf("%w: %w", ended, err)
}

// tryAcquire acquires c unless a call is running on it.
func (c *conn) tryAcquire() bool {
	select {
	case c.sem <- struct{}{}:
		return true
	default:
		return false
	}
}

// dial connects to the peer unless an open connection exists. The caller must
// have acquired c.
func (c *conn) dial(ctx context.Context) error {
	if c.closed {
		return errPoolClosed
	}
	if c.drpc != nil && !isClosed(c.drpc) {
		return nil
	}
	c.disconnect()
	raw, err := c.dialer(ctx, "tcp", c.address)
	if err != nil {
		return err
	}
	c.drpc = drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	return nil
}

func isClosed(d *drpcconn.Conn) bool {
	select {
	case <-d.Closed():
		return true
	default:
		return false
	}
}

// disconnect closes the connection. The caller must have acquired c.
func (c *conn) disconnect() {
	if c.drpc != nil {
		_ = c.drpc.Close()
		c.drpc = nil
	}
}

// markUsed records the time of the latest call.
func (c *conn) markUsed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usedAt = time.Now()
}

// lastUsed returns the time of the latest call.
func (c *conn) lastUsed() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usedAt
}

// errPoolClosed means that the instance makes no more calls to peers.
var errPoolClosed = errors.New("the connections to peers are closed")

// close waits for the running call and closes the connection for good: calls that
// wait for it fail.
func (c *conn) close() {
	c.sem <- struct{}{}
	defer func() { <-c.sem }()
	c.closed = true
	c.disconnect()
}

// connPool holds the connections to recently called peers. A peer has several
// connections when calls to it overlap.
type connPool struct {
	dialer DialFunc

	mu     sync.Mutex
	closed bool
	conns  map[string][]*conn
}

func newConnPool(dialer DialFunc) *connPool {
	return &connPool{dialer: dialer, conns: make(map[string][]*conn)}
}

// call runs fn on a connection to the peer that no other call uses. When
// maxPeerConns connections are in use, it waits for one of them.
func (p *connPool) call(ctx context.Context, address string, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	c, acquired := p.selectConn(address)
	if c == nil {
		return errPoolClosed
	}
	if !acquired {
		select {
		case c.sem <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return c.call(ctx, fn)
}

// selectConn returns a connection to the peer and reports whether it is already
// acquired for the caller. It returns nil if the pool is closed.
func (p *connPool) selectConn(address string) (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false
	}
	conns := p.conns[address]
	for _, c := range conns {
		if c.tryAcquire() {
			return c, true
		}
	}
	if len(conns) >= maxPeerConns {
		return conns[rand.IntN(len(conns))], false
	}
	c := newConn(address, p.dialer)
	c.tryAcquire()
	p.conns[address] = append(conns, c)
	return c, true
}

// closeIdle closes the connections that have not been used after since. It skips
// connections with a running call, so that it never waits for a call while it
// holds mu.
func (p *connPool) closeIdle(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.conns {
		remaining := slices.DeleteFunc(conns, func(c *conn) bool {
			if c.lastUsed().After(since) || !c.tryAcquire() {
				return false
			}
			c.disconnect()
			<-c.sem
			return true
		})
		if p.conns[address] = remaining; len(remaining) == 0 {
			delete(p.conns, address)
		}
	}
}

// close waits for the running calls and closes all connections.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.conns {
		for _, c := range conns {
			c.close()
		}
	}
	clear(p.conns)
}

// idleTimeoutListener counts the bytes of accepted connections. It fails a read
// that gets no data within the timeout, so that the server closes dead connections
// and they do not accumulate.
type idleTimeoutListener struct {
	net.Listener
	timeout time.Duration
	traffic *trafficCounters
}

// Accept implements net.Listener.
func (l idleTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return idleTimeoutConn{Conn: countingConn{Conn: c, traffic: l.traffic}, timeout: l.timeout}, nil
}

// idleTimeoutConn fails a read that gets no data within the timeout.
type idleTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements net.Conn. It fails if no data arrives within the timeout.
func (c idleTimeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// trafficCounters counts the bytes received and sent on all connections to and
// from peers.
type trafficCounters struct {
	received metrics.Counter
	sent     metrics.Counter
}

func newTrafficCounters(r metrics.Registry) *trafficCounters {
	return &trafficCounters{
		received: metrics.GetOrRegisterCounter("peer_bytes_received", r),
		sent:     metrics.GetOrRegisterCounter("peer_bytes_sent", r),
	}
}

// dialer returns a DialFunc that counts the bytes of the connections that dial
// opens.
func (t *trafficCounters) dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: c, traffic: t}, nil
	}
}

// countingConn counts the bytes that it reads and writes.
type countingConn struct {
	net.Conn
	traffic *trafficCounters
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Inc(int64(n))
	return n, err
}
