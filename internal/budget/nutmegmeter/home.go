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
	homeTries    = 2                      // homes that one request asks
	homeTimeout  = 150 * time.Millisecond // for one home's answer, which may wait for the store
	settlePause  = time.Second            // between reports of what was used
	settleSlack  = 5 * time.Second        // after a request's deadline, for its settlement to arrive
	flushTimeout = 400 * time.Millisecond
)

// Homes finds and reaches the instances that lease the tokens of workspaces for
// others.
type Homes interface {
	// Homes returns the homes of a workspace, the best first, and none where
	// this instance leases its tokens itself.
	Homes(w nutmegid.Workspace) []nutmegview.Instance
	// Reserve asks a home to hold tokens.
	Reserve(ctx context.Context, home nutmegview.Instance, ask nutmegpeer.ReserveRequest) (nutmegpeer.ReserveReply, error)
	// Settle tells a home what requests have used.
	Settle(ctx context.Context, home nutmegview.Instance, settlements []nutmegpeer.Settlement) error
}

// reservationAtHome is tokens that a home holds.
type reservationAtHome struct {
	outbox *outbox
	home   nutmegview.Instance
	id     nutmegid.ReservationID
	until  time.Time
}

// Settle implements nutmegrelay.Reservation.
func (r *reservationAtHome) Settle(used nutmegid.Tokens) {
	r.outbox.add(r.home, nutmegpeer.Settlement{Reservation: r.id, Used: used}, r.until)
}

// reserveAtHome asks homes for a request's tokens. Homes that do not answer are
// left out of later requests' lists.
func (m *Meter) reserveAtHome(ctx context.Context, homes []nutmegview.Instance, call *nutmegcall.Call) (nutmegrelay.Reservation, *nutmegcall.Refusal) {
	for _, home := range homes[:min(len(homes), homeTries)] {
		r := &reservationAtHome{
			outbox: m.outbox, home: home, id: nutmegid.NewReservationID(), until: call.Deadline.Add(settleSlack),
		}
		answer, err := m.askHome(ctx, home, nutmegpeer.ReserveRequest{
			Reservation: r.id, Request: call.ID, Workspace: call.Workspace, Tokens: call.Prompt.Bound(),
			Urgent: call.Route.Priority == mostUrgent, MaxDuration: time.Until(r.until),
		})
		if err != nil {
			// The home may hold the tokens, of which nothing is used.
			r.Settle(0)
			m.cfg.OnHomeLost(home, call, err)
			continue
		}
		if refusal := homeRefusal(home, answer); refusal != nil {
			return nil, refusal
		}
		return r, nil
	}
	return nil, unreachable("no instance that leases the workspace's tokens has answered", retryAfter)
}

func (m *Meter) askHome(ctx context.Context, home nutmegview.Instance, ask nutmegpeer.ReserveRequest) (nutmegpeer.ReserveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	return m.cfg.Homes.Reserve(ctx, home, ask)
}

// homeRefusal is the refusal in a home's answer, nil where it holds the tokens.
func homeRefusal(home nutmegview.Instance, answer nutmegpeer.ReserveReply) *nutmegcall.Refusal {
	detail := string(home.Name) + ": " + answer.Detail
	switch answer.Outcome {
	case nutmegpeer.ReserveHeld:
		return nil
	case nutmegpeer.ReserveExhausted:
		return &nutmegcall.Refusal{Reason: nutmegcall.ReasonBudget, Detail: detail}
	}
	return unreachable(detail, answer.RetryAfter)
}

// ReserveFor holds tokens for a request of a peer.
func (m *Meter) ReserveFor(ctx context.Context, ask nutmegpeer.ReserveRequest) nutmegpeer.ReserveReply {
	now := time.Now()
	r, refusal := m.reserveHere(ctx, want{workspace: ask.Workspace, tokens: ask.Tokens, urgent: ask.Urgent, at: now})
	if refusal != nil {
		outcome := nutmegpeer.ReserveRetryLater
		if refusal.Reason == nutmegcall.ReasonBudget {
			outcome = nutmegpeer.ReserveExhausted
		}
		return nutmegpeer.ReserveReply{Outcome: outcome, RetryAfter: refusal.RetryAfter, Detail: refusal.Detail}
	}
	if ctx.Err() != nil {
		r.Settle(0)
		return nutmegpeer.ReserveReply{Outcome: nutmegpeer.ReserveRetryLater, Detail: "the peer does not wait any more"}
	}
	m.lent.add(ask.Reservation, r, now.Add(ask.MaxDuration))
	return nutmegpeer.ReserveReply{Outcome: nutmegpeer.ReserveHeld}
}

// SettleFor ends reservations of peers.
func (m *Meter) SettleFor(settlements []nutmegpeer.Settlement) {
	m.lent.settle(settlements)
}

// Lent returns how many requests of peers this instance holds tokens for.
func (m *Meter) Lent() int {
	return m.lent.count()
}

// loop reports what was used to homes, and ends reservations that no peer has
// settled.
func (m *Meter) loop() {
	defer close(m.done)
	ticker := time.NewTicker(settlePause)
	defer ticker.Stop()
	for {
		select {
		case <-m.quit:
			return
		case now := <-ticker.C:
			m.flush(now)
			if expired := m.lent.expire(now); expired > 0 {
				m.cfg.OnExpired(expired)
			}
		}
	}
}

func (m *Meter) flush(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	m.outbox.flush(ctx, now)
}
