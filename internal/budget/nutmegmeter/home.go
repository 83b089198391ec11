package nutmegmeter

import (
	"context"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegrelay"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

const (
	maxHomeAttempts = 2                      // homes that a request tries
	homeTimeout     = 150 * time.Millisecond // per home, which may have to wait for the store
	settleInterval  = time.Second            // between batches of settlements
	settleGrace     = 5 * time.Second        // added to a request's deadline so that its settlement can arrive
	flushTimeout    = 400 * time.Millisecond
)

// Homes locates and calls the home instances of workspaces. A home leases a
// workspace's tokens on behalf of other instances.
type Homes interface {
	// Homes returns the homes of a workspace in order of preference. It returns
	// none if this instance leases the workspace's tokens itself.
	Homes(w nutmegid.Workspace) []nutmegview.Instance
	// Reserve asks a home to reserve tokens.
	Reserve(ctx context.Context, home nutmegview.Instance, req nutmegpeer.ReserveRequest) (nutmegpeer.ReserveReply, error)
	// Settle reports the tokens used by finished requests to their home.
	Settle(ctx context.Context, home nutmegview.Instance, settlements []nutmegpeer.Settlement) error
}

// homeReservation is a reservation held by a home instance.
type homeReservation struct {
	outbox  *outbox
	home    nutmegview.Instance
	id      nutmegid.ReservationID
	expires time.Time
}

// Settle implements nutmegrelay.Reservation.
func (r *homeReservation) Settle(used nutmegid.Tokens) {
	r.outbox.add(r.home, nutmegpeer.Settlement{Reservation: r.id, Used: used}, r.expires)
}

// reserveAtHome reserves a request's tokens at the first home that answers. Homes
// leaves out a home that did not answer in lists for later requests.
func (m *Meter) reserveAtHome(ctx context.Context, homes []nutmegview.Instance, call *nutmegcall.Call) (nutmegrelay.Reservation, *nutmegcall.Refusal) {
	for _, home := range homes[:min(len(homes), maxHomeAttempts)] {
		r := &homeReservation{
			outbox: m.outbox, home: home, id: nutmegid.NewReservationID(), expires: call.Deadline.Add(settleGrace),
		}
		reply, err := m.reserveWithTimeout(ctx, home, nutmegpeer.ReserveRequest{
			Reservation: r.id, Request: call.ID, Workspace: call.Workspace, Tokens: call.Prompt.MaxTokens(),
			Priority: call.Route.Priority, MaxDuration: time.Until(r.expires),
		})
		if err != nil {
			// The home may have reserved the tokens; none were used.
			r.Settle(0)
			m.cfg.OnHomeUnreachable(home, call, err)
			continue
		}
		if refusal := homeRefusal(home, reply); refusal != nil {
			return nil, refusal
		}
		return r, nil
	}
	return nil, budgetUnreachable("no instance that leases the workspace's tokens has answered", defaultRetryAfter)
}

func (m *Meter) reserveWithTimeout(ctx context.Context, home nutmegview.Instance, req nutmegpeer.ReserveRequest) (nutmegpeer.ReserveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	return m.cfg.Homes.Reserve(ctx, home, req)
}

// homeRefusal converts a home's reply to a refusal. It returns nil if the home
// reserved the tokens.
func homeRefusal(home nutmegview.Instance, reply nutmegpeer.ReserveReply) *nutmegcall.Refusal {
	detail := string(home.Name) + ": " + reply.Detail
	switch reply.Outcome {
	case nutmegpeer.ReserveHeld:
		return nil
	case nutmegpeer.ReserveExhausted:
		return &nutmegcall.Refusal{Reason: nutmegcall.ReasonBudgetExhausted, Detail: detail}
	}
	return budgetUnreachable(detail, reply.RetryAfter)
}

// ReserveForPeer reserves tokens for a request served by a peer.
func (m *Meter) ReserveForPeer(ctx context.Context, req nutmegpeer.ReserveRequest) nutmegpeer.ReserveReply {
	now := time.Now()
	r, refusal := m.reserveLocally(ctx, tokenRequest{workspace: req.Workspace, tokens: req.Tokens, priority: req.Priority, at: now})
	if refusal != nil {
		outcome := nutmegpeer.ReserveRetryLater
		if refusal.Reason == nutmegcall.ReasonBudgetExhausted {
			outcome = nutmegpeer.ReserveExhausted
		}
		return nutmegpeer.ReserveReply{Outcome: outcome, RetryAfter: refusal.RetryAfter, Detail: refusal.Detail}
	}
	if ctx.Err() != nil {
		r.Settle(0)
		return nutmegpeer.ReserveReply{Outcome: nutmegpeer.ReserveRetryLater, Detail: "the peer does not wait any more"}
	}
	m.reserved.add(req.Reservation, r, now.Add(req.MaxDuration))
	return nutmegpeer.ReserveReply{Outcome: nutmegpeer.ReserveHeld}
}

// SettleForPeer settles reservations made by peers.
func (m *Meter) SettleForPeer(settlements []nutmegpeer.Settlement) {
	m.reserved.settle(settlements)
}

// PeerReservations returns the number of unsettled reservations made by peers.
func (m *Meter) PeerReservations() int {
	return m.reserved.count()
}

// loop periodically sends settlements to homes and expires reservations that
// peers have not settled.
func (m *Meter) loop() {
	defer close(m.done)
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.quit:
			return
		case now := <-ticker.C:
			m.flush(context.Background(), now)
			if expired := m.reserved.expire(now); expired > 0 {
				m.cfg.OnReservationsExpired(expired)
			}
		}
	}
}

func (m *Meter) flush(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	m.outbox.flush(ctx, now)
}
