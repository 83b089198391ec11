package nutmegpeer

import (
	"context"
	"errors"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// TransferRequest asks a peer to transfer tokens of a budget.
type TransferRequest struct {
	Transfer nutmegid.TransferID
	Budget   nutmegid.BudgetID
	Receiver nutmegid.Incarnation
	Giver    nutmegid.Incarnation
	Need     nutmegid.Tokens // the minimum that is of use
	Want     nutmegid.Tokens // the maximum that the receiver can use
	Fetch    bool            // the receiver cannot reach the store
	Era      nutmegid.Era    // of the store, in which the receiver has stated its leases
}

// BudgetHandler answers the calls of peers on the budgets of an instance.
type BudgetHandler interface {
	// GrantTokens debits tokens in favour of a peer and returns their number.
	GrantTokens(ctx context.Context, request TransferRequest) nutmegid.Tokens
	// Acknowledge acknowledges slices of a peer's leases as their witness. It
	// returns false if the leases are closed.
	Acknowledge(s SliceRequest) bool
}

// errNoBudgets rejects calls on budgets where the instance serves none.
var errNoBudgets = errors.New("this instance serves no budgets to peers; ask another peer")

// Transfer asks a peer for tokens and returns the number that it transferred.
// After an error the peer may still have debited the tokens; once the peer has
// settled, the store shows whether it did.
func (p *Peers) Transfer(ctx context.Context, address string, request TransferRequest) (nutmegid.Tokens, error) {
	req := &peerpb.TransferRequest{
		Fleet:    p.cfg.Fleet,
		Transfer: string(request.Transfer),
		Budget:   string(request.Budget),
		Receiver: string(request.Receiver),
		Giver:    string(request.Giver),
		Need:     int64(request.Need),
		Want:     int64(request.Want),
		Fetch:    request.Fetch,
		Era:      uint64(request.Era),
	}
	var err error
	if req.Mac, err = sign(p.cfg.Key, req); err != nil {
		return 0, err
	}
	var reply *peerpb.TransferReply
	err = p.callContext(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Transfer(ctx, req)
		return err
	})
	if err != nil {
		return 0, err
	}
	if err := p.verify(reply); err != nil {
		return 0, err
	}
	if reply.GetTransfer() != req.GetTransfer() || reply.GetTokens() < 0 {
		return 0, errMalformed
	}
	return nutmegid.Tokens(reply.GetTokens()), nil
}

// Transfer implements peerpb.DRPCPeerServer.
func (s *server) Transfer(ctx context.Context, r *peerpb.TransferRequest) (*peerpb.TransferReply, error) {
	if err := s.peers.verify(r); err != nil {
		return nil, err
	}
	if s.peers.cfg.Budgets == nil {
		return nil, errNoBudgets
	}
	granted := s.peers.cfg.Budgets.GrantTokens(ctx, TransferRequest{
		Transfer: nutmegid.TransferID(r.GetTransfer()),
		Budget:   nutmegid.BudgetID(r.GetBudget()),
		Receiver: nutmegid.Incarnation(r.GetReceiver()),
		Giver:    nutmegid.Incarnation(r.GetGiver()),
		Need:     nutmegid.Tokens(r.GetNeed()),
		Want:     nutmegid.Tokens(r.GetWant()),
		Fetch:    r.GetFetch(),
		Era:      nutmegid.Era(r.GetEra()),
	})
	reply := &peerpb.TransferReply{Fleet: s.peers.cfg.Fleet, Transfer: r.GetTransfer(), Tokens: int64(granted)}
	var err error
	reply.Mac, err = sign(s.peers.cfg.Key, reply)
	return reply, err
}
