package nutmegpeer

import (
	"context"
	"errors"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// ReserveRequest asks a peer to reserve tokens for a request of this instance.
type ReserveRequest struct {
	Reservation nutmegid.ReservationID
	Request     nutmegid.RequestID // for logs only
	Workspace   nutmegid.Workspace
	Tokens      nutmegid.Tokens // the maximum that the request can use
	Priority    int             // among the requests of its workspace; 0 is the most urgent
	MaxDuration time.Duration   // the maximum duration of the request
}

// ReserveOutcome is the result of a reservation request.
type ReserveOutcome string

// The outcomes. Tokens are reserved only with ReserveHeld.
const (
	// ReserveHeld means that the tokens are reserved until they are settled.
	ReserveHeld ReserveOutcome = "held"
	// ReserveExhausted means that the workspace has too few tokens left.
	ReserveExhausted ReserveOutcome = "exhausted"
	// ReserveRetryLater means that the workspace has tokens, but they are not available now.
	ReserveRetryLater ReserveOutcome = "later"
	// ReserveTryOtherPeer means that this peer accepts no reservations; another peer may.
	ReserveTryOtherPeer ReserveOutcome = "elsewhere"
)

// ReserveReply is a peer's reply to a reservation request.
type ReserveReply struct {
	Outcome    ReserveOutcome
	RetryAfter time.Duration // with ReserveRetryLater, the time until tokens may be available
	Detail     string        // the reason, for logs
}

// Settlement reports the tokens that the request of a reservation has used.
type Settlement struct {
	Reservation nutmegid.ReservationID
	Used        nutmegid.Tokens
}

// ReservationHandler reserves tokens for requests of peers.
type ReservationHandler interface {
	// Reserve reserves tokens, or returns the reason why it does not.
	Reserve(ctx context.Context, request ReserveRequest) ReserveReply
	// Settle ends reservations and records the tokens used. It ignores unknown
	// reservations.
	Settle(settlements []Settlement)
}

// errNoReservations rejects calls where the instance reserves no tokens for peers.
var errNoReservations = errors.New("this instance holds no tokens for peers; ask another peer")

// Reserve asks a peer to reserve tokens. After an error the peer may still have
// reserved them.
func (p *Peers) Reserve(ctx context.Context, address string, request ReserveRequest) (ReserveReply, error) {
	req := &peerpb.ReserveRequest{
		Fleet:       p.cfg.Fleet,
		Reservation: string(request.Reservation),
		Request:     string(request.Request),
		Workspace:   string(request.Workspace),
		Tokens:      int64(request.Tokens),
		Priority:    int32(request.Priority),
		LastsMicros: request.MaxDuration.Microseconds(),
	}
	var err error
	if req.Mac, err = sign(p.cfg.Key, req); err != nil {
		return ReserveReply{}, err
	}
	var reply *peerpb.ReserveReply
	err = p.callContext(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Reserve(ctx, req)
		return err
	})
	if err != nil {
		return ReserveReply{}, err
	}
	if err := p.verify(reply); err != nil {
		return ReserveReply{}, err
	}
	if reply.GetReservation() != req.GetReservation() {
		return ReserveReply{}, errMalformed
	}
	return ReserveReply{
		Outcome:    ReserveOutcome(reply.GetOutcome()),
		RetryAfter: time.Duration(reply.GetRetryAfterMicros()) * time.Microsecond,
		Detail:     reply.GetDetail(),
	}, nil
}

// Settle reports to a peer what requests have used. It is idempotent.
func (p *Peers) Settle(ctx context.Context, address string, settlements []Settlement) error {
	req := &peerpb.SettleRequest{Fleet: p.cfg.Fleet}
	for _, s := range settlements {
		req.Settlements = append(req.Settlements, &peerpb.Settlement{Reservation: string(s.Reservation), Used: int64(s.Used)})
	}
	var err error
	if req.Mac, err = sign(p.cfg.Key, req); err != nil {
		return err
	}
	return p.callContext(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		_, err := client.Settle(ctx, req)
		return err
	})
}

// Reserve implements peerpb.DRPCPeerServer.
func (s *server) Reserve(ctx context.Context, r *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	if err := s.peers.verify(r); err != nil {
		return nil, err
	}
	if s.peers.cfg.Reservations == nil {
		return nil, errNoReservations
	}
	answer := s.peers.cfg.Reservations.Reserve(ctx, ReserveRequest{
		Reservation: nutmegid.ReservationID(r.GetReservation()),
		Request:     nutmegid.RequestID(r.GetRequest()),
		Workspace:   nutmegid.Workspace(r.GetWorkspace()),
		Tokens:      nutmegid.Tokens(r.GetTokens()),
		Priority:    int(r.GetPriority()),
		MaxDuration: time.Duration(r.GetLastsMicros()) * time.Microsecond,
	})
	reply := &peerpb.ReserveReply{
		Fleet: s.peers.cfg.Fleet, Reservation: r.GetReservation(), Outcome: string(answer.Outcome), Detail: answer.Detail,
		RetryAfterMicros: answer.RetryAfter.Microseconds(),
	}
	var err error
	reply.Mac, err = sign(s.peers.cfg.Key, reply)
	return reply, err
}

// Settle implements peerpb.DRPCPeerServer.
func (s *server) Settle(_ context.Context, r *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if err := s.peers.verify(r); err != nil {
		return nil, err
	}
	if s.peers.cfg.Reservations == nil {
		return nil, errNoReservations
	}
	settlements := make([]Settlement, 0, len(r.GetSettlements()))
	for _, settlement := range r.GetSettlements() {
		settlements = append(settlements, Settlement{
			Reservation: nutmegid.ReservationID(settlement.GetReservation()), Used: nutmegid.Tokens(settlement.GetUsed()),
		})
	}
	s.peers.cfg.Reservations.Settle(settlements)
	return &peerpb.SettleReply{}, nil
}
