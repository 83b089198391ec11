package nutmegconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DefaultDialTimeout bounds the making of a connection.
	DefaultDialTimeout = 700 * time.Millisecond
	// DefaultSilence is how long the other end's host may leave bytes or probes
	// unacknowledged before a connection is given up.
	DefaultSilence = 2500 * time.Millisecond

	probeIdle     = time.Second // of an idle connection, before the first probe
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// DialerConfig configures a dialer.
type DialerConfig struct {
	Timeout time.Duration // DefaultDialTimeout when zero
	Silence time.Duration // DefaultSilence when zero
	Traffic *Traffic      // counts the connections' bytes; nil for none
}

// Dialer opens connections that end when the other end's host falls silent.
type Dialer struct {
	dialer  net.Dialer
	traffic *Traffic
}

// NewDialer returns a dialer.
func NewDialer(cfg DialerConfig) *Dialer {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultDialTimeout
	}
	if cfg.Silence == 0 {
		cfg.Silence = DefaultSilence
	}
	return &Dialer{traffic: cfg.Traffic, dialer: net.Dialer{
		Timeout:         cfg.Timeout,
		KeepAliveConfig: KeepAlive(),
		Control:         userTimeout(cfg.Silence),
	}}
}

// Dial opens a connection.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.traffic.count(c), nil
}

// KeepAlive returns the probes of idle connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// userTimeout limits how long sent bytes may stay unacknowledged.
func userTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// quiet says whether a kept connection is open and holds no unread bytes.
func (c *conn) quiet() bool {
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
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := unix.Read(int(fd), one[:])
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
