package nutmegpeer

import (
	"context"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// SliceRequest asks a witness to acknowledge that a holder may use its leases up
// to the given amounts, each counted from the start of the lease.
type SliceRequest struct {
	Holder nutmegid.Incarnation
	Shard  int
	Epoch  uint64
	UpTo   map[nutmegid.BudgetID]nutmegid.Tokens
}

// Acknowledge asks a witness to acknowledge slices. It returns false if the
// witness has closed the holder's leases.
func (p *Peers) Acknowledge(ctx context.Context, address string, request SliceRequest) (bool, error) {
	req := &peerpb.SliceRequest{
		Fleet:  p.cfg.Fleet,
		Holder: string(request.Holder),
		Shard:  int32(request.Shard),
		Epoch:  request.Epoch,
		UpTo:   make(map[string]int64, len(request.UpTo)),
	}
	for id, upTo := range request.UpTo {
		req.UpTo[string(id)] = int64(upTo)
	}
	var err error
	if req.Mac, err = sign(p.cfg.Key, req); err != nil {
		return false, err
	}
	var reply *peerpb.SliceReply
	err = p.callContext(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Acknowledge(ctx, req)
		return err
	})
	if err != nil {
		return false, err
	}
	if err := p.verify(reply); err != nil {
		return false, err
	}
	if reply.GetHolder() != req.GetHolder() || reply.GetEpoch() != req.GetEpoch() || reply.GetShard() != req.GetShard() {
		return false, errMalformed
	}
	return reply.GetAcknowledged(), nil
}

// Acknowledge implements peerpb.DRPCPeerServer.
func (s *server) Acknowledge(_ context.Context, r *peerpb.SliceRequest) (*peerpb.SliceReply, error) {
	if err := s.peers.verify(r); err != nil {
		return nil, err
	}
	if s.peers.cfg.Budgets == nil {
		return nil, errNoBudgets
	}
	request := SliceRequest{
		Holder: nutmegid.Incarnation(r.GetHolder()), Shard: int(r.GetShard()), Epoch: r.GetEpoch(),
		UpTo: make(map[nutmegid.BudgetID]nutmegid.Tokens, len(r.GetUpTo())),
	}
	for id, upTo := range r.GetUpTo() {
		request.UpTo[nutmegid.BudgetID(id)] = nutmegid.Tokens(upTo)
	}
	reply := &peerpb.SliceReply{
		Fleet: s.peers.cfg.Fleet, Holder: r.GetHolder(), Shard: r.GetShard(), Epoch: r.GetEpoch(),
		Acknowledged: s.peers.cfg.Budgets.Acknowledge(request),
	}
	var err error
	reply.Mac, err = sign(s.peers.cfg.Key, reply)
	return reply, err
}
