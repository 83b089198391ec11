package nutmegpeer

import (
	"context"
	"sync"

	"storj.io/drpc/drpcconn"

	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// conn is the connection to one peer. Calls on it run one after another.
type conn struct {
	address string
	dialer  DialFunc

	mu   sync.Mutex
	drpc *drpcconn.Conn
}

func newConn(address string, dialer DialFunc) *conn {
	return &conn{address: address, dialer: dialer}
}

// call runs fn, dialing first where there is no connection.
func (c *conn) call(ctx context.Context, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.dial(ctx); err != nil {
		return err
	}
	err := fn(ctx, peerpb.NewDRPCPeerClient(c.drpc))
	if err != nil {
		_ = c.drpc.Close()
		c.drpc = nil
	}
	return err
}

func (c *conn) dial(ctx context.Context) error {
	if c.drpc != nil {
		return nil
	}
	raw, err := c.dialer(ctx, "tcp", c.address)
	if err != nil {
		return err
	}
	c.drpc = drpcconn.New(raw)
	return nil
}

func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drpc != nil {
		_ = c.drpc.Close()
		c.drpc = nil
	}
}
