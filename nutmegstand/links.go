package nutmegstand

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// errCut is the error of a dial over a cut link.
var errCut = errors.New("link is cut")

// Links simulates the network between processes. Each process dials through its
// own dialer. The link from a process to an address can be cut or delayed, its
// open connections can be silenced, and all traffic of a process can be frozen.
type Links struct {
	mu     sync.Mutex
	cut    map[link]bool
	frozen map[string]chan struct{} // by process or address; closed by Thaw
	conns  map[link]map[*linkConn]struct{}
	delay  func(from, to string) time.Duration
}

// link identifies the connections that one process dials to one address.
type link struct {
	from string
	to   string
}

// AllAddresses matches every address in Cut, Heal and Silence.
const AllAddresses = "*"

// NewLinks returns a network without faults.
func NewLinks() *Links {
	return &Links{
		cut:    make(map[link]bool),
		frozen: make(map[string]chan struct{}),
		conns:  make(map[link]map[*linkConn]struct{}),
		delay:  func(string, string) time.Duration { return 0 },
	}
}

// SetDelay sets the function that returns the one-way delay of new connections
// by dialing process and address.
func (l *Links) SetDelay(fn func(from, to string) time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = fn
}

// Dialer returns the dial function of the process named from.
func (l *Links) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		key := link{from: from, to: address}
		if err := l.waitThaw(key, ctx.Done()); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
		if l.isCut(key) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errCut}
		}
		var d net.Dialer
		raw, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return l.add(key, raw), nil
	}
}

// Cut closes the open connections of a link and refuses new ones.
func (l *Links) Cut(from, to string) {
	l.mu.Lock()
	l.cut[link{from: from, to: to}] = true
	conns := l.matching(from, to)
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Heal reverts Cut: new connections are accepted again.
func (l *Links) Heal(from, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cut, link{from: from, to: to})
}

// Silence permanently stops all data on the open connections of a link without
// closing them. New connections are not affected.
func (l *Links) Silence(from, to string) {
	l.mu.Lock()
	conns := l.matching(from, to)
	l.mu.Unlock()
	for _, c := range conns {
		c.silence()
	}
}

// Freeze holds back all data from and to the named processes and addresses
// until Thaw. No data is lost.
func (l *Links) Freeze(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		if l.frozen[name] == nil {
			l.frozen[name] = make(chan struct{})
		}
	}
}

// Thaw reverts Freeze for the named processes and addresses.
func (l *Links) Thaw(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		if thawed, ok := l.frozen[name]; ok {
			close(thawed)
			delete(l.frozen, name)
		}
	}
}

// waitThaw blocks until neither end of the link is frozen. It returns
// net.ErrClosed if canceled is closed first.
func (l *Links) waitThaw(key link, canceled <-chan struct{}) error {
	for {
		l.mu.Lock()
		thawed, ok := l.frozen[key.from]
		if !ok {
			thawed, ok = l.frozen[key.to]
		}
		l.mu.Unlock()
		if !ok {
			return nil
		}
		select {
		case <-thawed:
		case <-canceled:
			return net.ErrClosed
		}
	}
}

func (l *Links) isCut(key link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[key] || l.cut[link{from: key.from, to: AllAddresses}]
}

// matching returns the open connections of a link. The caller holds l.mu.
func (l *Links) matching(from, to string) []*linkConn {
	var conns []*linkConn
	for key, open := range l.conns {
		if key.from != from || (to != AllAddresses && key.to != to) {
			continue
		}
		for c := range open {
			conns = append(conns, c)
		}
	}
	return conns
}

func (l *Links) add(key link, raw net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.delay(key.from, key.to); d > 0 {
		raw = newDelayedConn(raw, d)
	}
	c := &linkConn{Conn: raw, links: l, key: key, closed: make(chan struct{}), silent: make(chan struct{})}
	if l.conns[key] == nil {
		l.conns[key] = make(map[*linkConn]struct{})
	}
	l.conns[key][c] = struct{}{}
	return c
}

func (l *Links) remove(c *linkConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns[c.key], c)
}

// linkConn is an open connection of a link.
type linkConn struct {
	net.Conn
	links *Links
	key   link

	closeOnce   sync.Once
	closed      chan struct{}
	silenceOnce sync.Once
	silent      chan struct{}

	mu       sync.Mutex
	deadline time.Time // read deadline
}

func (c *linkConn) silence() {
	c.silenceOnce.Do(func() {
		close(c.silent)
		_ = c.Conn.SetReadDeadline(time.Now()) // unblocks a pending read
	})
}

// Read reads from the underlying connection. On a silent connection it blocks
// until the read deadline or until the connection is closed.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err := c.links.waitThaw(c.key, c.closed); err != nil {
		return 0, err
	}
	select {
	case <-c.silent:
		return 0, c.blockRead()
	default:
		return n, err
	}
}

// blockRead blocks until the read deadline or until the connection is closed.
func (c *linkConn) blockRead() error {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if deadline.IsZero() {
		<-c.closed
		return net.ErrClosed
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.closed:
		return net.ErrClosed
	case <-timer.C:
		return os.ErrDeadlineExceeded
	}
}

// Write writes to the underlying connection. On a silent connection it discards
// the data.
func (c *linkConn) Write(b []byte) (int, error) {
	if err := c.links.waitThaw(c.key, c.closed); err != nil {
		return 0, err
	}
	select {
	case <-c.silent:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// SetReadDeadline implements net.Conn.
func (c *linkConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *linkConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.links.remove(c)
	})
	return c.Conn.Close()
}
