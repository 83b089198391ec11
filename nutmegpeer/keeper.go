package nutmegpeer

import (
	"context"

	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// Commit hands an encoded batch of budget changes to a shard's keeper and
// returns the encoded result. After an error the batch may have been written.
func (p *Peers) Commit(ctx context.Context, address string, shard int, batch []byte) ([]byte, error) {
	req := &peerpb.BatchRequest{Fleet: p.cfg.Fleet, Shard: int32(shard), Batch: batch}
	var err error
	if req.Mac, err = sign(p.cfg.Key, req); err != nil {
		return nil, err
	}
	var reply *peerpb.BatchReply
	err = p.callContext(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Commit(ctx, req)
		return err
	})
	if err != nil {
		return nil, err
	}
	if err := p.verify(reply); err != nil {
		return nil, err
	}
	return reply.GetResult(), nil
}

// Commit implements peerpb.DRPCPeerServer.
func (s *server) Commit(ctx context.Context, r *peerpb.BatchRequest) (*peerpb.BatchReply, error) {
	if err := s.peers.verify(r); err != nil {
		return nil, err
	}
	if s.peers.cfg.Budgets == nil {
		return nil, errNoBudgets
	}
	result, err := s.peers.cfg.Budgets.Commit(ctx, int(r.GetShard()), r.GetBatch())
	if err != nil {
		return nil, err
	}
	reply := &peerpb.BatchReply{Fleet: s.peers.cfg.Fleet, Result: result}
	reply.Mac, err = sign(s.peers.cfg.Key, reply)
	return reply, err
}
