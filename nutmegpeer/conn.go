package nutmegpeer

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcconn"

	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// conn is the connection to one peer. Calls on it run one after another.
type conn struct {
	address string
	dialer  DialFunc
	turn    chan struct{} // holds one token while a call runs

	drpc *drpcconn.Conn

	mu   sync.Mutex
	used time.Time
}

func newConn(address string, dialer DialFunc) *conn {
	return &conn{address: address, dialer: dialer, turn: make(chan struct{}, 1)}
}

// call runs fn, dialing first where there is no connection. A call that fails
// or gets no answer until ctx ends closes the connection, so that the next one
// dials anew: a connection that went silent lasts no longer than one call. The
// caller holds the turn, which the call gives back.
func (c *conn) call(ctx context.Context, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	defer func() { <-c.turn }()
	c.touch()
	if err := c.dial(ctx); err != nil {
		return err
	}
	err := fn(ctx, peerpb.NewDRPCPeerClient(c.drpc))
	if err != nil {
		c.drop()
	}
	return err
}

// takeTurn takes the turn if nobody has it.
func (c *conn) takeTurn() bool {
	select {
	case c.turn <- struct{}{}:
		return true
	default:
		return false
	}
}

func (c *conn) dial(ctx context.Context) error {
	if c.drpc != nil && !isClosed(c.drpc) {
		return nil
	}
	c.drop()
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

// drop closes the connection. The caller holds the turn.
func (c *conn) drop() {
	if c.drpc != nil {
		_ = c.drpc.Close()
		c.drpc = nil
	}
}

func (c *conn) touch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = time.Now()
}

func (c *conn) idleSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

// close ends the connection after the call that runs on it.
func (c *conn) close() {
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	c.drop()
}

// connPool holds the connections to peers that were called lately: several to
// one peer where calls overlap.
type connPool struct {
	dialer DialFunc

	mu    sync.Mutex
	conns map[string][]*conn
}

func newConnPool(dialer DialFunc) *connPool {
	return &connPool{dialer: dialer, conns: make(map[string][]*conn)}
}

// call runs fn on a connection to a peer that no other call uses. With the most
// connections in use it waits for one.
func (p *connPool) call(ctx context.Context, address string, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	c, mine := p.take(address)
	if !mine {
		select {
		case c.turn <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return c.call(ctx, fn)
}

// take returns a connection and whether the caller has its turn already.
func (p *connPool) take(address string) (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.conns[address]
	for _, c := range conns {
		if c.takeTurn() {
			return c, true
		}
	}
	if len(conns) >= maxPeerConns {
		return conns[rand.IntN(len(conns))], false
	}
	c := newConn(address, p.dialer)
	c.takeTurn()
	p.conns[address] = append(conns, c)
	return c, true
}

// closeIdle closes connections that were not used since a time. Those with a
// call under way stay, so that nobody waits for them.
func (p *connPool) closeIdle(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.conns {
		kept := slices.DeleteFunc(conns, func(c *conn) bool {
			if c.idleSince().After(since) || !c.takeTurn() {
				return false
			}
			c.drop()
			<-c.turn
			return true
		})
		if p.conns[address] = kept; len(kept) == 0 {
			delete(p.conns, address)
		}
	}
}

// close closes all connections after the calls that run on them.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.conns {
		for _, c := range conns {
			c.close()
		}
	}
	clear(p.conns)
}

// quietListener closes accepted connections that are silent for too long, so
// that dead ones do not gather, and counts their bytes.
type quietListener struct {
	net.Listener
	timeout time.Duration
	traffic *traffic
}

// Accept implements net.Listener.
func (l quietListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return quietConn{Conn: countedConn{Conn: c, traffic: l.traffic}, timeout: l.timeout}, nil
}

type quietConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements net.Conn with a timeout of silence.
func (c quietConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// traffic counts the bytes of all connections to and from peers.
type traffic struct {
	received metrics.Counter
	sent     metrics.Counter
}

func newTraffic(r metrics.Registry) *traffic {
	return &traffic{
		received: metrics.GetOrRegisterCounter("peer_bytes_received", r),
		sent:     metrics.GetOrRegisterCounter("peer_bytes_sent", r),
	}
}

// dialer returns dial with counted connections.
func (t *traffic) dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: c, traffic: t}, nil
	}
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Inc(int64(n))
	return n, err
}
