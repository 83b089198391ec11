// Package nutmegconn sends HTTP/1.1 requests to upstreams over connections
// that it keeps, and says of each failure how much of the request was sent.
//
// Unlike an http.Transport it never sends a request twice, never takes an
// answer that belongs to an earlier request, and drops a connection that has
// bytes which nobody asked for.
//
// # Usage
//
//	pool := nutmegconn.NewPool(nutmegconn.PoolConfig{Dial: nutmegconn.NewDialer(nutmegconn.DialerConfig{}).Dial})
//	resp, err := pool.Send(ctx, nutmegconn.Request{Address: "10.1.0.9:8080", HTTP: req, Body: body, Belongs: belongs})
//	// read resp.Body to its end; the connection is kept if it ended whole
//	resp.Close()
//
// Errors are of type *Error.
package nutmegconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// DefaultMaxIdle is how many unused connections to one upstream are kept.
	DefaultMaxIdle = 16
	// DefaultIdleLimit is how long an unused connection is kept where the
	// upstream states no limit.
	DefaultIdleLimit = 4 * time.Second

	idleMargin     = 400 * time.Millisecond // before the upstream's stated limit
	readBufferSize = 4 << 10
	oneWriteSize   = 64 << 10 // bytes; smaller requests go out in one write
	maxStrays      = 2        // answers to earlier requests that are skipped
	maxStrayBytes  = 256 << 10
	sweepInterval  = 2 * time.Second
)

// Sent tells how much of a request went out.
type Sent int

// How much of a request went out.
const (
	// SentNothing means that the upstream cannot have seen the request.
	SentNothing Sent = iota
	// SentPart means that the request's end was not sent.
	SentPart
	// SentAll means that the upstream may have the whole request.
	SentAll
)

// Error is a request without an answer.
type Error struct {
	Address string
	Sent    Sent
	Reused  bool // the connection had served another request before
	Err     error
}

// Error names the upstream's address and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("request to %s failed: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// ErrStray means that answers to other requests came in place of this one's.
var ErrStray = errors.New("the connection holds answers to other requests")

// PoolConfig configures a pool.
type PoolConfig struct {
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
	MaxIdle   int              // DefaultMaxIdle when zero
	IdleLimit time.Duration    // DefaultIdleLimit when zero
	Now       func() time.Time // time.Now when nil
	OnOpen    func()           // told of each new connection; may be nil
}

// Pool keeps connections to upstreams.
type Pool struct {
	cfg  PoolConfig
	quit chan struct{}
	done chan struct{}

	mu   sync.Mutex
	idle map[string][]*conn // the most recently used last
}

// NewPool returns a pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = DefaultMaxIdle
	}
	if cfg.IdleLimit == 0 {
		cfg.IdleLimit = DefaultIdleLimit
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.OnOpen == nil {
		cfg.OnOpen = func() {}
	}
	return &Pool{cfg: cfg, quit: make(chan struct{}), done: make(chan struct{}), idle: make(map[string][]*conn)}
}

// Start closes connections that nobody uses from time to time, until Stop.
func (p *Pool) Start() {
	go p.loop()
}

// Stop closes all unused connections.
func (p *Pool) Stop() {
	close(p.quit)
	<-p.done
	p.sweep(func(*conn) bool { return true })
}

func (p *Pool) loop() {
	defer close(p.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.quit:
			return
		case <-ticker.C:
			now := p.cfg.Now()
			p.sweep(func(c *conn) bool { return c.expired(now) })
		}
	}
}

func (p *Pool) sweep(drop func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if drop(c) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(conns[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Request is one request to send.
type Request struct {
	Address string
	HTTP    *http.Request // without a body
	Body    []byte
	// Belongs says whether an answer is this request's own.
	Belongs func(*http.Response) bool
	// MaxIdleAge is how long a kept connection may have been unused; zero sets
	// no limit.
	MaxIdleAge time.Duration
}

// Send sends a request and returns its answer's head. The answer's body ends
// early with an error when ctx ends.
func (p *Pool) Send(ctx context.Context, r Request) (*Response, error) {
	c, err := p.take(ctx, r)
	if err != nil {
		return nil, &Error{Address: r.Address, Sent: SentNothing, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	sent, err := c.write(r)
	if err == nil {
		var resp *Response
		if resp, err = p.readAnswer(c, r, stop); err == nil {
			return resp, nil
		}
	}
	stop()
	_ = c.Close()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return nil, &Error{Address: r.Address, Sent: sent, Reused: c.uses > 0, Err: err}
}

// take returns a kept connection that is still good, or a new one.
func (p *Pool) take(ctx context.Context, r Request) (*conn, error) {
	for c := p.pop(r); c != nil; c = p.pop(r) {
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.cfg.Dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	p.cfg.OnOpen()
	return &conn{Conn: raw, address: r.Address, reader: bufio.NewReaderSize(raw, readBufferSize), idleLimit: p.cfg.IdleLimit}, nil
}

// pop takes the most recently used connection that is young enough.
func (p *Pool) pop(r Request) *conn {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[r.Address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	if c.expired(now) || (r.MaxIdleAge > 0 && now.Sub(c.idleSince) > r.MaxIdleAge) {
		return nil
	}
	conns[len(conns)-1] = nil
	p.idle[r.Address] = conns[:len(conns)-1]
	return c
}

// put keeps a connection whose answer has ended whole.
func (p *Pool) put(c *conn) {
	c.idleSince = p.cfg.Now()
	c.uses++
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.address]
	if len(conns) >= p.cfg.MaxIdle {
		_ = conns[0].Close()
		conns = append(conns[:0], conns[1:]...)
	}
	p.idle[c.address] = append(conns, c)
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	uses      int
	idleSince time.Time
	idleLimit time.Duration
}

func (c *conn) expired(now time.Time) bool {
	return now.Sub(c.idleSince) > c.idleLimit
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends the whole request and tells how much of it went out.
func (c *conn) write(r Request) (Sent, error) {
	if len(r.Body) > 0 {
		r.HTTP.Body = io.NopCloser(bytes.NewReader(r.Body))
		r.HTTP.ContentLength = int64(len(r.Body))
	}
	if len(r.Body) > oneWriteSize {
		w := bufio.NewWriterSize(c.Conn, oneWriteSize)
		if err := errors.Join(r.HTTP.Write(w), w.Flush()); err != nil {
			return SentPart, err
		}
		return SentAll, nil
	}
	buf, _ := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buf)
	buf.Reset()
	if err := r.HTTP.Write(buf); err != nil {
		return SentNothing, err
	}
	n, err := c.Write(buf.Bytes())
	switch {
	case err == nil:
		return SentAll, nil
	case n == 0:
		return SentNothing, err
	}
	return SentPart, err
}

// readAnswer reads the head of the request's own answer and skips a few
// answers of earlier requests.
func (p *Pool) readAnswer(c *conn, r Request, stop func() bool) (*Response, error) {
	for range maxStrays + 1 {
		resp, err := http.ReadResponse(c.reader, r.HTTP)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusContinue || resp.StatusCode == http.StatusProcessing || resp.StatusCode == http.StatusEarlyHints {
			continue
		}
		if r.Belongs == nil || r.Belongs(resp) {
			return newResponse(p, c, resp, stop), nil
		}
		if err := skip(resp); err != nil {
			return nil, err
		}
	}
	return nil, ErrStray
}

// skip reads an answer of another request to its end.
func skip(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
	if err != nil || n == maxStrayBytes || resp.Close {
		return ErrStray
	}
	return nil
}

// idleLimitOf returns how long the upstream keeps an unused connection.
func idleLimitOf(resp *http.Response, otherwise time.Duration) time.Duration {
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil {
			continue
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, 0)
	}
	return otherwise
}
