package nutmegpeer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// endingEncoding ends a call when its message is about to be sent, and gives DRPC time
// to notice.
type endingEncoding struct {
	drpc.Encoding
	end func()
}

// Marshal implements drpc.Encoding.
func (e endingEncoding) Marshal(drpc.Message) ([]byte, error) {
	e.end()
	time.Sleep(100 * time.Millisecond)
	return []byte("message"), nil
}

// TestCallThatEndsBeforeItsMessageIsSent guards against calls that end by themselves and
// look like a broken peer: their callers would avoid that peer.
func TestCallThatEndsBeforeItsMessageIsSent(t *testing.T) {
	for name, c := range map[string]struct {
		context func() (context.Context, context.CancelFunc)
		end     func(context.Context, context.CancelFunc)
		want    error
	}{
		"canceled": {
			func() (context.Context, context.CancelFunc) { return context.WithCancel(t.Context()) },
			func(_ context.Context, cancel context.CancelFunc) { cancel() },
			context.Canceled,
		},
		"timed out": {
			func() (context.Context, context.CancelFunc) {
				return context.WithTimeout(t.Context(), 20*time.Millisecond)
			},
			func(ctx context.Context, _ context.CancelFunc) { <-ctx.Done() },
			context.DeadlineExceeded,
		},
	} {
		local, remote := net.Pipe()
		defer func() { _ = remote.Close() }()
		go discard(remote)
		ctx, cancel := c.context()
		defer cancel()
		pool := newConnPool(func(context.Context, string, string) (net.Conn, error) { return local, nil })
		err := pool.call(ctx, "peer", func(ctx context.Context, client peerpb.DRPCPeerClient) error {
			encoding := endingEncoding{end: func() { c.end(ctx, cancel) }}
			return client.DRPCConn().Invoke(ctx, "/nutmegwind.Peer/Permit", encoding, nil, nil)
		})
		if !errors.Is(err, c.want) {
			t.Errorf("%s: the call returned %v; want %v", name, err, c.want)
		}
	}
}

// discard reads all that arrives on a connection.
func discard(c net.Conn) {
	buffer := make([]byte, 1024)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}
