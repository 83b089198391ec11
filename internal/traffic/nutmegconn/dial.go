package nutmegconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DefaultDialTimeout limits the time to establish a connection.
	DefaultDialTimeout = 700 * time.Millisecond
	// DefaultUserTimeout is how long sent data or keep-alive probes may stay
	// unacknowledged before a connection is closed.
	DefaultUserTimeout = 2500 * time.Millisecond

	probeIdle     = time.Second // idle time before the first keep-alive probe
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// DialerConfig configures a Dialer.
type DialerConfig struct {
	Timeout     time.Duration // DefaultDialTimeout when zero
	UserTimeout time.Duration // TCP user timeout; DefaultUserTimeout when zero
	Traffic     *Traffic      // counts the connections' bytes; may be nil
}

// Dialer opens TCP connections that fail when the remote host stops
// acknowledging.
type Dialer struct {
	dialer  net.Dialer
	traffic *Traffic
}

// NewDialer returns a Dialer, with defaults for the zero fields of cfg.
func NewDialer(cfg DialerConfig) *Dialer {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultDialTimeout
	}
	if cfg.UserTimeout == 0 {
		cfg.UserTimeout = DefaultUserTimeout
	}
	return &Dialer{traffic: cfg.Traffic, dialer: net.Dialer{
		Timeout:         cfg.Timeout,
		KeepAliveConfig: KeepAlive(),
		Control:         userTimeout(cfg.UserTimeout),
	}}
}

// Dial connects to the address. It matches PoolConfig.Dial.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.traffic.count(c), nil
}

// KeepAlive returns the keep-alive settings for TCP connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// userTimeout returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT,
// the limit on how long sent data may stay unacknowledged.
func userTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// isReusable reports whether an idle connection is still open and has no unread
// bytes. A raw read returns EAGAIN only in that case.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = control.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := unix.Read(int(fd), buf[:])
		reusable = err == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}
