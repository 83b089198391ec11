package nutmegconn

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"
)

// endedTimeout limits the check whether a process has ended. A host that does
// not answer at all says nothing about the process.
const endedTimeout = 150 * time.Millisecond

// closingTime is how long a process that ends may still accept connections after it
// has closed some.
const closingTime = 50 * time.Millisecond

// IsConnectionLost reports whether an error of Send or of a response's body means
// that the remote end closed the connection before the response was complete.
func IsConnectionLost(err error) bool {
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}

// EndedWithConnection reports whether the process at an address has ended together with
// a connection that it has just closed. It waits for closingTime before it asks.
func (p *Pool) EndedWithConnection(ctx context.Context, address string) bool {
	select {
	case <-p.cfg.After(closingTime):
	case <-ctx.Done():
	}
	p.liveness.Forget(address) // a check that is under way began too early
	return p.HasEnded(ctx, address)
}

// HasEnded reports whether the process at an address has ended: its host refuses
// connections. It makes one attempt for all callers that ask at the same time. A
// connection that is accepted joins the pool.
func (p *Pool) HasEnded(ctx context.Context, address string) bool {
	ended, _, _ := p.liveness.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endedTimeout)
		defer cancel()
		raw, err := p.cfg.Dial(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED), nil
		}
		p.cfg.OnOpen()
		p.put(newConn(raw, address, p.cfg.IdleTimeout))
		return false, nil
	})
	return ended == true
}
