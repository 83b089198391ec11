package nutmegserve

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/nutmegwind/nutmegwind/internal/instance/nutmegaccount"
)

// departureInterval is how often connections are checked whose end net/http does
// not see.
const departureInterval = 50 * time.Millisecond

// Watch returns a listener whose connections are watched until their caller leaves.
// Start does this itself; only a listener that is wrapped with TLS needs it before.
func Watch(l net.Listener) net.Listener {
	return watchedListener{l}
}

type watchedListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return watchConn(c), nil
}

// watchConn returns a watched connection, or c itself if there is no socket to ask:
// TLS lies over a connection that is watched.
func watchConn(c net.Conn) net.Conn {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return c
	}
	if raw, err := socket.SyscallConn(); err == nil {
		return &watchedConn{Conn: c, raw: raw}
	}
	return c // it has just ended, as its first read shows
}

// watchedConn is a caller's connection. While a request runs, net/http reads one byte
// ahead to see the connection end. Once that byte has come, nobody reads, and further
// bytes would hide the end.
type watchedConn struct {
	net.Conn
	raw        syscall.RawConn
	departures atomic.Pointer[departures] // nil until a server uses the connection
	active     atomic.Bool                // from the head of a request until its response has ended
	reads      atomic.Int32               // in flight

	mu     sync.Mutex
	cancel context.CancelFunc // of the request that is being handled; nil if there is none
}

// watchedConnOf returns the watched connection under c, nil if there is none.
func watchedConnOf(c net.Conn) *watchedConn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if l, ok := c.(*limitedConn); ok {
		c = l.Conn
	}
	w, _ := c.(*watchedConn)
	return w
}

// CloseWrite ends what this side sends, and leaves the other direction open.
func (c *watchedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.reads.Add(1)
	n, err := c.Conn.Read(p)
	c.reads.Add(-1)
	if n > 0 && c.active.Load() {
		c.departures.Load().add(c)
	}
	return n, err
}

func (c *watchedConn) setCancel(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

// cancelRequest cancels the request that is being handled and reports whether there
// was one.
func (c *watchedConn) cancelRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel == nil {
		return false
	}
	c.cancel()
	return true
}

// hasEnded reports whether the caller has closed or reset the connection, also while
// there are unread bytes. It takes none of them.
func (c *watchedConn) hasEnded() bool {
	ended := false
	err := c.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		// After an error, such as an interrupt, the next check asks again.
		ended = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || err != nil // an error means that this side has closed it
}

// HasLeft reports whether the caller of a request has closed its connection, also if
// net/http has not noticed it yet: on a busy machine a request may be handled long
// after its caller has left.
func HasLeft(ctx context.Context) bool {
	c, ok := ctx.Value(watchedConnKey{}).(*watchedConn)
	return ctx.Err() != nil || ok && c.hasEnded()
}

// departures cancels the requests of callers whose leaving net/http does not see.
type departures struct {
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	added    chan struct{} // receives when connections have been added

	mu    sync.Mutex
	conns map[*watchedConn]struct{} // that may hold bytes behind a running request
}

func newDepartures() *departures {
	return &departures{
		stop: make(chan struct{}), done: make(chan struct{}), added: make(chan struct{}, 1),
		conns: make(map[*watchedConn]struct{}),
	}
}

func (d *departures) add(c *watchedConn) {
	d.mu.Lock()
	d.conns[c] = struct{}{}
	d.mu.Unlock()
	select {
	case d.added <- struct{}{}:
	default:
	}
}

// loop checks the connections that have been added until none is left.
func (d *departures) loop() {
	defer close(d.done)
	for {
		select {
		case <-d.stop:
			return
		case <-d.added:
		}
		for remaining := true; remaining; {
			select {
			case <-d.stop:
				return
			case <-time.After(departureInterval):
			}
			remaining = d.check()
		}
	}
}

// check cancels the requests whose callers have left and reports whether
// connections remain to be checked.
func (d *departures) check() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		switch {
		case !c.active.Load(), c.reads.Load() > 0: // net/http sees the end
			delete(d.conns, c)
		case c.hasEnded() && c.cancelRequest():
			delete(d.conns, c)
		}
	}
	return len(d.conns) > 0
}

// close ends the loop. Calls after the first have no effect.
func (d *departures) close() {
	d.stopOnce.Do(func() { close(d.stop) })
	<-d.done
}

// track follows the state of a connection.
func (d *departures) track(c net.Conn, state http.ConnState) {
	if l, ok := c.(*limitedConn); ok {
		l.track(state)
	}
	w := watchedConnOf(c)
	if w == nil {
		return
	}
	w.departures.Store(d)
	w.active.Store(state == http.StateActive)
}

// AccountOf returns the account of the connection that a request came on, nil if there
// is none.
func AccountOf(ctx context.Context) *nutmegaccount.Conn {
	account, _ := ctx.Value(accountKey{}).(*nutmegaccount.Conn)
	return account
}

type (
	watchedConnKey struct{}
	accountKey     struct{}
)

// withConn returns a context that holds a connection, for watch, and its account.
func (d *departures) withConn(ctx context.Context, c net.Conn) context.Context {
	if l, ok := c.(*limitedConn); ok {
		ctx = context.WithValue(ctx, accountKey{}, l.account)
	}
	if w := watchedConnOf(c); w != nil {
		return context.WithValue(ctx, watchedConnKey{}, w)
	}
	return ctx
}

// watch returns a handler whose requests are canceled when their callers leave.
func (d *departures) watch(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(watchedConnKey{}).(*watchedConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		c.setCancel(cancel)
		defer c.setCancel(nil)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
