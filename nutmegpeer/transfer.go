package nutmegpeer

import (
	"context"
	"errors"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// TransferAsk is a peer's request for tokens.
type TransferAsk struct {
	Transfer nutmegid.TransferID
	Budget   nutmegid.BudgetID
	Receiver nutmegid.Incarnation
	Tokens   nutmegid.Tokens
	Revision nutmegid.Revision
}

// Giver gives tokens to peers.
type Giver interface {
	Give(ask TransferAsk) nutmegid.Tokens
	Acknowledged(id nutmegid.TransferID, receiver nutmegid.Incarnation)
}

// Transfer asks one peer for tokens and returns what it gave.
func (p *Peers) Transfer(ctx context.Context, address string, ask TransferAsk) (nutmegid.Incarnation, nutmegid.Tokens, error) {
	req := &peerpb.TransferRequest{
		Fleet:    p.cfg.Fleet,
		Transfer: string(ask.Transfer),
		Budget:   string(ask.Budget),
		Receiver: string(ask.Receiver),
		Tokens:   int64(ask.Tokens),
		Revision: uint64(ask.Revision),
	}
	var err error
	if req.Mac, err = sign(p.cfg.Key, req); err != nil {
		return "", 0, err
	}
	var reply *peerpb.TransferReply
	err = p.callContext(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Transfer(ctx, req)
		return err
	})
	if err != nil {
		return "", 0, err
	}
	return nutmegid.Incarnation(reply.GetGiver()), nutmegid.Tokens(reply.GetTokens()), nil
}

// Acknowledge tells the giver that a transfer has arrived.
func (p *Peers) Acknowledge(ctx context.Context, address string, id nutmegid.TransferID) error {
	ack := &peerpb.TransferAck{Fleet: p.cfg.Fleet, Transfer: string(id), Receiver: string(p.cfg.Self.Incarnation)}
	var err error
	if ack.Mac, err = sign(p.cfg.Key, ack); err != nil {
		return err
	}
	return p.callContext(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		_, err := client.Acknowledge(ctx, ack)
		return err
	})
}

// Transfer implements peerpb.DRPCPeerServer.
func (s *server) Transfer(_ context.Context, r *peerpb.TransferRequest) (*peerpb.TransferReply, error) {
	if err := s.peers.verify(r); err != nil {
		return nil, err
	}
	if s.peers.cfg.Giver == nil {
		return nil, errors.New("this instance gives no tokens; ask another peer")
	}
	given := s.peers.cfg.Giver.Give(TransferAsk{
		Transfer: nutmegid.TransferID(r.GetTransfer()),
		Budget:   nutmegid.BudgetID(r.GetBudget()),
		Receiver: nutmegid.Incarnation(r.GetReceiver()),
		Tokens:   nutmegid.Tokens(r.GetTokens()),
		Revision: nutmegid.Revision(r.GetRevision()),
	})
	return &peerpb.TransferReply{Giver: string(s.peers.cfg.Self.Incarnation), Tokens: int64(given)}, nil
}

// Acknowledge implements peerpb.DRPCPeerServer.
func (s *server) Acknowledge(_ context.Context, a *peerpb.TransferAck) (*peerpb.Empty, error) {
	if err := s.peers.verify(a); err != nil {
		return nil, err
	}
	if s.peers.cfg.Giver != nil {
		s.peers.cfg.Giver.Acknowledged(nutmegid.TransferID(a.GetTransfer()), nutmegid.Incarnation(a.GetReceiver()))
	}
	return &peerpb.Empty{}, nil
}
