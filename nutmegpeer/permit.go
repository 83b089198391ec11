package nutmegpeer

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// PermitRequest asks a peer to permit one request to an upstream that states a rate
// limit.
type PermitRequest struct {
	Process string        // of the upstream
	Rate    float64       // that the process has stated, in requests per second
	Age     time.Duration // since it has stated that to this instance
	Inform  bool          // no permit is asked for; the request only tells the rate
}

// PermitReply is a peer's reply to a PermitRequest.
type PermitReply struct {
	Permitted bool
	Wait      time.Duration // until there may be a permit; only if Permitted is false
}

// PermitHandler permits requests of peers to upstreams.
type PermitHandler interface {
	Permit(request PermitRequest) PermitReply
}

// errNoPermits rejects calls where the instance counts no requests for peers.
var errNoPermits = errors.New("this instance permits no requests of peers; ask another peer")

// Permit asks a peer for a permit. After an error the peer may still have counted
// the request.
func (p *Peers) Permit(ctx context.Context, address string, request PermitRequest) (PermitReply, error) {
	req := &peerpb.PermitRequest{Fleet: p.cfg.Fleet, Process: request.Process, Rate: request.Rate, AgeMicros: request.Age.Microseconds(), Inform: request.Inform}
	var err error
	if req.Mac, err = sign(p.cfg.Key, req); err != nil {
		return PermitReply{}, err
	}
	var reply *peerpb.PermitReply
	err = p.callContext(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Permit(ctx, req)
		return err
	})
	if err != nil {
		return PermitReply{}, err
	}
	if err := p.verify(reply); err != nil {
		return PermitReply{}, err
	}
	if reply.GetProcess() != req.GetProcess() || reply.GetWaitMicros() < 0 {
		return PermitReply{}, errMalformed
	}
	return PermitReply{Permitted: reply.GetPermitted(), Wait: time.Duration(reply.GetWaitMicros()) * time.Microsecond}, nil
}

// Permit implements peerpb.DRPCPeerServer.
func (s *server) Permit(_ context.Context, r *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	if err := s.peers.verify(r); err != nil {
		return nil, err
	}
	if s.peers.cfg.Permits == nil {
		return nil, errNoPermits
	}
	if rate := r.GetRate(); math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 || r.GetAgeMicros() < 0 {
		s.peers.count("peer_damaged_messages")
		return nil, errMalformed
	}
	answer := s.peers.cfg.Permits.Permit(PermitRequest{
		Process: r.GetProcess(), Rate: r.GetRate(), Age: time.Duration(r.GetAgeMicros()) * time.Microsecond, Inform: r.GetInform(),
	})
	reply := &peerpb.PermitReply{Fleet: s.peers.cfg.Fleet, Process: r.GetProcess(), Permitted: answer.Permitted, WaitMicros: answer.Wait.Microseconds()}
	var err error
	reply.Mac, err = sign(s.peers.cfg.Key, reply)
	return reply, err
}
