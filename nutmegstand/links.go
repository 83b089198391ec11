package nutmegstand

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// errCut is the cause of a dial over a cut link.
var errCut = errors.New("link is cut")

// Links stand in for the network between processes: each process dials through
// its own dialer. Links from one process to one address can be cut and delayed,
// the open connections on them silenced, and all links of a process frozen.
type Links struct {
	mu     sync.Mutex
	cut    map[link]bool
	frozen map[string]chan struct{} // by process or address; closed at the thaw
	conns  map[link]map[*linkConn]struct{}
	delay  func(from, to string) time.Duration
}

// link is one direction of dialling: who dials which address.
type link struct {
	from string
	to   string
}

// AllAddresses stands for every address in Cut, Heal and Silence.
const AllAddresses = "*"

// NewLinks returns links that are all whole.
func NewLinks() *Links {
	return &Links{
		cut:    make(map[link]bool),
		frozen: make(map[string]chan struct{}),
		conns:  make(map[link]map[*linkConn]struct{}),
		delay:  func(string, string) time.Duration { return 0 },
	}
}

// SetDelay gives new connections the one-way delay that fn returns for who
// dials which address.
func (l *Links) SetDelay(fn func(from, to string) time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = fn
}

// Dialer returns the dial function of one process.
func (l *Links) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		at := link{from: from, to: address}
		if err := l.waitThaw(at, ctx.Done()); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
		if l.isCut(at) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errCut}
		}
		var d net.Dialer
		raw, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return l.add(at, raw), nil
	}
}

// Cut breaks the open connections of a link and refuses new ones.
func (l *Links) Cut(from, to string) {
	l.mu.Lock()
	l.cut[link{from: from, to: to}] = true
	conns := l.matching(from, to)
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Heal lets new connections through again.
func (l *Links) Heal(from, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cut, link{from: from, to: to})
}

// Silence makes the open connections of a link pass nothing more, for good.
// New connections work.
func (l *Links) Silence(from, to string) {
	l.mu.Lock()
	conns := l.matching(from, to)
	l.mu.Unlock()
	for _, c := range conns {
		c.silence()
	}
}

// Freeze holds back all data from and to the named processes and addresses
// until Thaw. Nothing is lost.
func (l *Links) Freeze(ends ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, end := range ends {
		if l.frozen[end] == nil {
			l.frozen[end] = make(chan struct{})
		}
	}
}

// Thaw lets the data of the named processes and addresses pass again.
func (l *Links) Thaw(ends ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, end := range ends {
		if thawed, ok := l.frozen[end]; ok {
			close(thawed)
			delete(l.frozen, end)
		}
	}
}

// waitThaw returns once neither end is frozen, or with an error when given up.
func (l *Links) waitThaw(at link, giveUp <-chan struct{}) error {
	for {
		l.mu.Lock()
		thawed, ok := l.frozen[at.from]
		if !ok {
			thawed, ok = l.frozen[at.to]
		}
		l.mu.Unlock()
		if !ok {
			return nil
		}
		select {
		case <-thawed:
		case <-giveUp:
			return net.ErrClosed
		}
	}
}

func (l *Links) isCut(at link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[at] || l.cut[link{from: at.from, to: AllAddresses}]
}

func (l *Links) matching(from, to string) []*linkConn {
	var conns []*linkConn
	for at, open := range l.conns {
		if at.from != from || (to != AllAddresses && at.to != to) {
			continue
		}
		for c := range open {
			conns = append(conns, c)
		}
	}
	return conns
}

func (l *Links) add(at link, raw net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.delay(at.from, at.to); d > 0 {
		raw = newDelayedConn(raw, d)
	}
	c := &linkConn{Conn: raw, links: l, at: at, closed: make(chan struct{}), silent: make(chan struct{})}
	if l.conns[at] == nil {
		l.conns[at] = make(map[*linkConn]struct{})
	}
	l.conns[at][c] = struct{}{}
	return c
}

func (l *Links) remove(c *linkConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns[c.at], c)
}

// linkConn is one connection over a link.
type linkConn struct {
	net.Conn
	links *Links
	at    link

	closeOnce   sync.Once
	closed      chan struct{}
	silenceOnce sync.Once
	silent      chan struct{}

	mu       sync.Mutex
	deadline time.Time // of reads
}

func (c *linkConn) silence() {
	c.silenceOnce.Do(func() {
		close(c.silent)
		_ = c.Conn.SetReadDeadline(time.Now()) // wakes a blocked read
	})
}

// Read passes data on; on a silent connection it blocks until a deadline or the close.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if frozen := c.links.waitThaw(c.at, c.closed); frozen != nil {
		return 0, frozen
	}
	select {
	case <-c.silent:
		return 0, c.blockRead()
	default:
		return n, err
	}
}

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

// Write drops the data of a silent connection.
func (c *linkConn) Write(b []byte) (int, error) {
	if frozen := c.links.waitThaw(c.at, c.closed); frozen != nil {
		return 0, frozen
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
