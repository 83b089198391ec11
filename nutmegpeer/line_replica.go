package nutmegpeer

import (
	"context"
	"errors"

	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// LineReplica stores copies of the ledger lines of peers.
type LineReplica interface {
	// StoreLines stores an encoded batch and returns the number of the last line
	// before the first gap.
	StoreLines(batch []byte) (uint64, error)
}

// ReplicateLines sends an encoded batch of ledger lines to a peer, which stores a
// copy. It returns the number of the last line that the peer holds before the first
// gap.
func (p *Peers) ReplicateLines(ctx context.Context, address string, batch []byte) (uint64, error) {
	req := &peerpb.LinesRequest{Fleet: p.cfg.Fleet, Batch: batch}
	var err error
	if req.Mac, err = sign(p.cfg.Key, req); err != nil {
		return 0, err
	}
	var reply *peerpb.LinesReply
	err = p.callContext(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.KeepLines(ctx, req)
		return err
	})
	if err != nil {
		return 0, err
	}
	return reply.GetHeld(), p.verify(reply)
}

// errNoLineStorage rejects ledger lines where the instance stores none for peers.
var errNoLineStorage = errors.New("this instance keeps no ledger lines; ask another peer")

// KeepLines implements peerpb.DRPCPeerServer.
func (s *server) KeepLines(_ context.Context, r *peerpb.LinesRequest) (*peerpb.LinesReply, error) {
	if err := s.peers.verify(r); err != nil {
		return nil, err
	}
	if s.peers.cfg.LineReplica == nil {
		return nil, errNoLineStorage
	}
	held, err := s.peers.cfg.LineReplica.StoreLines(r.GetBatch())
	if err != nil {
		return nil, err
	}
	reply := &peerpb.LinesReply{Fleet: s.peers.cfg.Fleet, Held: held}
	reply.Mac, err = sign(s.peers.cfg.Key, reply)
	return reply, err
}
