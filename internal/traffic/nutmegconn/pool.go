// Package nutmegconn sends HTTP/1.1 requests to upstreams over pooled
// connections, and reports with each failure how much of the request was sent.
//
// Unlike http.Transport, it never retries a request, never returns a response
// that belongs to an earlier request, and closes a connection that holds
// unsolicited bytes.
//
// # Usage
//
//	pool := nutmegconn.NewPool(nutmegconn.PoolConfig{Dial: nutmegconn.NewDialer(nutmegconn.DialerConfig{}).Dial})
//	resp, err := pool.Send(ctx, nutmegconn.Request{Address: "10.1.0.9:8080", HTTP: req, Body: body, Check: check})
//	// read resp.Body to EOF, so that the connection can be reused
//	resp.Close()
//
// Errors returned by Send are of type *Error.
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

	"golang.org/x/sync/singleflight"
)

const (
	// DefaultMaxIdle is the maximum number of idle connections per upstream.
	DefaultMaxIdle = 16
	// DefaultIdleTimeout is how long an idle connection is kept if the upstream
	// sends no Keep-Alive timeout.
	DefaultIdleTimeout = 4 * time.Second

	idleMargin         = 400 * time.Millisecond // closes idle connections before the upstream does
	readBufferSize     = 4 << 10
	singleWriteSize    = 64 << 10  // bytes; requests with bodies up to this size are sent in a single write
	maxUnexpected      = 2         // unrelated responses that are discarded before the expected one
	maxInterim         = 32        // interim responses that are discarded before the final one
	maxHeadBytes       = 64 << 10  // limit on the heads that are read for one response
	maxUnexpectedBytes = 256 << 10 // limit on the body of a discarded response
	sweepInterval      = 2 * time.Second
)

// Sent states how much of a request was sent.
type Sent int

// The values of Sent.
const (
	// SentNothing means that the upstream cannot have received any of the request.
	SentNothing Sent = iota
	// SentPart means that the request may have been sent in part.
	SentPart
	// SentAll means that the upstream may have received the whole request.
	SentAll
)

// String returns the value written to logs.
func (s Sent) String() string {
	switch s {
	case SentNothing:
		return "nothing"
	case SentPart:
		return "part"
	case SentAll:
		return "all"
	}
	return fmt.Sprintf("Sent(%d)", int(s))
}

// Error reports that a request got no response.
type Error struct {
	Address string
	Sent    Sent
	Reused  bool // the connection had served an earlier request
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("request to %s failed: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// ErrUnexpectedResponse means that the connection returned responses to other
// requests in place of the expected one.
var ErrUnexpectedResponse = errors.New("the connection holds answers to other requests")

// Errors of Request.Check.
var (
	// ErrOtherRequest means that a response answers another request.
	ErrOtherRequest = errors.New("the response answers another request")
	// ErrNoRequest means that a response does not name the request that it answers.
	// The connection is not used for another request.
	ErrNoRequest = errors.New("the response names no request")
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	MaxIdle     int                                  // DefaultMaxIdle when zero
	IdleTimeout time.Duration                        // DefaultIdleTimeout when zero
	Now         func() time.Time                     // time.Now when nil
	OnOpen      func()                               // called for each new connection; may be nil
	After       func(time.Duration) <-chan time.Time // time.After when nil
}

// Pool is a pool of connections to upstreams. It is safe for concurrent use.
type Pool struct {
	cfg  PoolConfig
	stop chan struct{}
	done chan struct{}

	liveness singleflight.Group // of HasEnded, by address

	mu   sync.Mutex
	idle map[string][]*conn // by address; the most recently used last
}

// NewPool returns a Pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = DefaultMaxIdle
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.After == nil {
		cfg.After = time.After
	}
	if cfg.OnOpen == nil {
		cfg.OnOpen = func() {}
	}
	return &Pool{cfg: cfg, stop: make(chan struct{}), done: make(chan struct{}), idle: make(map[string][]*conn)}
}

// Start begins to close expired idle connections periodically, until Stop.
func (p *Pool) Start() {
	go p.loop()
}

// Stop ends the periodic closing and closes all idle connections.
func (p *Pool) Stop() {
	close(p.stop)
	<-p.done
	p.sweep(func(*conn) bool { return true })
}

func (p *Pool) loop() {
	defer close(p.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			now := p.cfg.Now()
			p.sweep(func(c *conn) bool { return c.expired(now) })
		}
	}
}

// sweep closes and removes the idle connections for which drop returns true.
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

// Request is an HTTP request with its destination.
type Request struct {
	Address string
	HTTP    *http.Request // without a body
	Body    []byte
	// Check returns an error if a response does not answer this request. After
	// ErrOtherRequest and ErrNoRequest, the next response is checked; after any other
	// error, Send fails with it. If Check is nil, every response answers the request.
	// On a reused connection, a response that does not identify its request may be a
	// second copy of an earlier one.
	Check func(resp *http.Response, reused bool) error
	// MaxIdleAge limits how long a pooled connection may have been idle; zero
	// means no limit besides the connection's own timeout.
	MaxIdleAge time.Duration
	// NewConnection keeps the request off connections that have served earlier ones:
	// a late copy of the answer to its own earlier attempt would pass Check.
	NewConnection bool
}

// Send sends a request and returns the response once its header has been read.
// If ctx ends, reading the body fails.
func (p *Pool) Send(ctx context.Context, r Request) (*Response, error) {
	c, err := p.take(ctx, r)
	if err != nil {
		return nil, &Error{Address: r.Address, Sent: SentNothing, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	sent, err := c.write(r)
	if err == nil {
		var resp *Response
		if resp, err = p.readResponse(c, r, stop); err == nil {
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

// take returns a reusable idle connection or dials a new one.
func (p *Pool) take(ctx context.Context, r Request) (*conn, error) {
	for c := p.pop(r); c != nil; c = p.pop(r) {
		if c.isReusable() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.cfg.Dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	p.cfg.OnOpen()
	return newConn(raw, r.Address, p.cfg.IdleTimeout), nil
}

// pop removes and returns the most recently used idle connection, or nil if there
// is none, it has been idle for too long, or the request needs a new one.
func (p *Pool) pop(r Request) *conn {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[r.Address]
	if len(conns) == 0 || r.NewConnection {
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

// put adds an idle connection to the pool. If the pool is full it closes the least
// recently used one.
func (p *Pool) put(c *conn) {
	c.idleSince = p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.address]
	if len(conns) >= p.cfg.MaxIdle {
		_ = conns[0].Close()
		conns = append(conns[:0], conns[1:]...)
	}
	p.idle[c.address] = append(conns, c)
}

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	address     string
	limit       *limitReader // source of reader
	reader      *bufio.Reader
	uses        int  // completed requests
	spoiled     bool // has held a response that names no request
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(raw net.Conn, address string, idleTimeout time.Duration) *conn {
	limit := &limitReader{from: raw, left: unlimited}
	return &conn{Conn: raw, address: address, limit: limit, reader: bufio.NewReaderSize(limit, readBufferSize), idleTimeout: idleTimeout}
}

// expired reports whether the connection has been idle beyond its limit.
func (c *conn) expired(now time.Time) bool {
	return now.Sub(c.idleSince) > c.idleTimeout
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends the request and returns how much of it was sent.
func (c *conn) write(r Request) (Sent, error) {
	if len(r.Body) > 0 {
		r.HTTP.Body = io.NopCloser(bytes.NewReader(r.Body))
		r.HTTP.ContentLength = int64(len(r.Body))
	}
	if len(r.Body) > singleWriteSize {
		w := bufio.NewWriterSize(c.Conn, singleWriteSize)
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

// readResponse reads the header of the response to the request. It first discards
// interim responses and up to maxUnexpected responses that belong to earlier
// requests.
func (p *Pool) readResponse(c *conn, r Request, stop func() bool) (*Response, error) {
	for range maxUnexpected + 1 {
		resp, err := c.readHead(r.HTTP)
		if err != nil {
			return nil, err
		}
		if err = c.check(r, resp); err == nil {
			return newResponse(p, c, resp, stop), nil
		}
		if !errors.Is(err, ErrOtherRequest) && !errors.Is(err, ErrNoRequest) {
			return nil, err
		}
		if err := discard(resp); err != nil {
			return nil, err
		}
	}
	return nil, ErrUnexpectedResponse
}

// check returns an error if a response does not answer the request.
func (c *conn) check(r Request, resp *http.Response) error {
	if r.Check == nil {
		return nil
	}
	err := r.Check(resp, c.uses > 0)
	if errors.Is(err, ErrNoRequest) {
		c.spoiled = true
	}
	return err
}

// readHead reads the head of the next final response, in at most maxHeadBytes
// together with interim responses before it.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.limit.left = maxHeadBytes
	defer func() { c.limit.left = unlimited }()
	for range maxInterim + 1 {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if !isInterim(resp.StatusCode) {
			return resp, nil
		}
	}
	return nil, ErrUnexpectedResponse
}

// isInterim reports whether a final response follows one with the status. After
// a switch of protocols none does.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// discard reads the body of a response to another request to its end.
func discard(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnexpectedBytes))
	if err != nil || n == maxUnexpectedBytes || resp.Close {
		return ErrUnexpectedResponse
	}
	return nil
}

// responseIdleTimeout returns how long the connection may stay idle, based on the
// response's Keep-Alive header, or fallback if the header has no timeout.
func responseIdleTimeout(resp *http.Response, fallback time.Duration) time.Duration {
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
	return fallback
}
