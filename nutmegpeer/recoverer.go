package nutmegpeer

import (
	"fmt"
	"runtime/debug"

	"storj.io/drpc"
)

// recoverer is a drpc.Handler that confines a panic to the call that caused it.
type recoverer struct {
	peers   *Peers
	handler drpc.Handler
}

// HandleRPC implements drpc.Handler.
func (r recoverer) HandleRPC(stream drpc.Stream, method string) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		r.peers.count("peer_panics")
		if r.peers.cfg.OnPanic != nil {
			r.peers.cfg.OnPanic(method, cause, debug.Stack())
		}
		err = fmt.Errorf("the call of %s panicked: %v", method, cause)
	}()
	return r.handler.HandleRPC(stream, method)
}
