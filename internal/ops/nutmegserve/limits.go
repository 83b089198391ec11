package nutmegserve

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/instance/nutmegaccount"
)

const (
	// What a request takes in memory beside its connection, from its first byte until it is
	// answered.
	requestMemory  nutmegaccount.Bytes = 48 << 10 // for its records and for a connection to an upstream
	headByteMemory nutmegaccount.Bytes = 2        // for each byte of its head
	headLineMemory nutmegaccount.Bytes = 160      // for each line of its head

	maxRefusalWrites  = 32                     // connections that are turned away at once with an answer
	refusalTimeout    = 200 * time.Millisecond // for such an answer to leave
	refusalDrainBytes = 64 << 10               // that are read behind a refused request, so that its refusal arrives
)

// Refusal is why a server refuses a request or connection before net/http sees it.
type Refusal string

// The refusals.
const (
	// RefusedConnection means that too many connections are open.
	RefusedConnection Refusal = "connection"
	// RefusedMemory means that too little memory is left for the head of a request.
	RefusedMemory Refusal = "memory"
	// RefusedHeadSize means that the head of a request has too many bytes.
	RefusedHeadSize Refusal = "head_size"
)

// HeadLimits limit what one caller may send and for how long. Zero means the server's own
// limit.
type HeadLimits struct {
	Bytes       int // of a request's head
	Timeout     time.Duration
	IdleTimeout time.Duration
}

// Limits bound what the callers of a server cost together.
type Limits struct {
	Account *nutmegaccount.Account
	Elapsed func() time.Duration // monotonic time since a fixed start
	Head    func() HeadLimits    // may be nil
	// Refuse returns the whole answer to a refused request or connection, which the
	// server closes after it. It may be nil.
	Refuse func(Refusal) []byte
}

// errRefused ends the reading of a request that has been refused.
var errRefused = errors.New("the request has been refused")

// limitedListener accepts only connections that its account has room for.
type limitedListener struct {
	net.Listener
	limits   *Limits
	refusals chan struct{} // semaphore
}

func limitListener(l net.Listener, limits *Limits) net.Listener {
	return limitedListener{Listener: l, limits: limits, refusals: make(chan struct{}, maxRefusalWrites)}
}

// Accept implements net.Listener. It turns connections away while there is no room.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitedConn{Conn: raw, limits: l.limits}
		account, ok := l.limits.Account.Open(raw, l.limits.Elapsed())
		if ok {
			c.account = account
			return c, nil
		}
		l.turnAway(c)
	}
}

// turnAway closes a connection, with an answer unless many are being turned away.
func (l limitedListener) turnAway(c *limitedConn) {
	select {
	case l.refusals <- struct{}{}:
		go l.runRefusal(c)
	default:
		_ = c.Conn.Close()
	}
}

func (l limitedListener) runRefusal(c *limitedConn) {
	c.answer(RefusedConnection)
	_ = c.Conn.Close()
	<-l.refusals
}

// limitedConn counts what a caller's connection takes, and refuses requests over the
// limits before net/http has parsed them.
type limitedConn struct {
	net.Conn
	limits  *Limits
	account *nutmegaccount.Conn

	inRequest atomic.Bool // from the end of a request's head until its answer has ended
	// Only the goroutine that reads heads uses the rest.
	head    headMeter
	served  bool // has answered a request
	refused bool
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.inRequest.Load() {
		return c.Conn.Read(p)
	}
	if c.refused {
		return 0, readError(errRefused)
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if refusal := c.count(p[:n]); refusal != "" {
		c.refused = true
		c.answer(refusal)
		return 0, readError(errRefused)
	}
	return n, err
}

// count counts a part of a head, and returns why it is refused, if it is.
func (c *limitedConn) count(part []byte) Refusal {
	before := c.head
	c.head.add(part)
	memory := headByteMemory*nutmegaccount.Bytes(c.head.bytes-before.bytes) + headLineMemory*nutmegaccount.Bytes(c.head.lines-before.lines)
	if before.bytes == 0 {
		memory += requestMemory
		c.limitTime()
	}
	switch limits := c.headLimits(); {
	case limits.Bytes > 0 && c.head.bytes > limits.Bytes:
		return RefusedHeadSize
	case !c.account.Read(memory, c.limits.Elapsed()):
		return RefusedMemory
	}
	return ""
}

// limitTime lets the rest of a head that has not come whole arrive in time. net/http
// begins to count when the first bytes have come.
func (c *limitedConn) limitTime() {
	if c.head.ended {
		return
	}
	if timeout := c.headLimits().Timeout; timeout > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(timeout))
	}
}

// SetReadDeadline implements net.Conn. Before a request has been read, the deadline is
// not after that of the limits.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if c.inRequest.Load() || t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.headLimits()
	timeout := limits.Timeout
	if c.served && c.head.bytes == 0 {
		timeout = limits.IdleTimeout
	}
	if last := time.Now().Add(timeout); timeout > 0 && t.After(last) {
		t = last
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *limitedConn) headLimits() HeadLimits {
	if c.limits.Head == nil {
		return HeadLimits{}
	}
	return c.limits.Head()
}

// track follows the state of the connection in its server.
func (c *limitedConn) track(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.begin()
	case http.StateIdle:
		c.end()
	}
}

// begin records that a request's head has been read.
func (c *limitedConn) begin() {
	c.inRequest.Store(true)
	if c.head.bytes == 0 { // all of it came behind the request before
		c.account.Take(requestMemory, c.limits.Elapsed())
	}
	c.account.Begin(c.limits.Elapsed())
}

// end records that a request has been answered.
func (c *limitedConn) end() {
	c.head = headMeter{}
	c.served = true
	c.account.End(c.limits.Elapsed())
	c.inRequest.Store(false)
}

// answer sends a refusal and waits a little until the caller has it: closing a connection
// with unread bytes would take it back.
func (c *limitedConn) answer(r Refusal) {
	if c.limits.Refuse == nil {
		return
	}
	if c.SetDeadline(time.Now().Add(refusalTimeout)) != nil {
		return
	}
	if _, err := c.Write(c.limits.Refuse(r)); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, refusalDrainBytes)
	}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if c.account != nil {
		c.account.Close()
	}
	return c.Conn.Close()
}

// readError returns an error that net/http takes for the end of the connection, so that
// it sends no answer of its own.
func readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}
