package nutmegentry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// budgetServer handles token transfers to peers.
type budgetServer struct {
	entry *Entry
}

// GrantTokens implements nutmegpeer.BudgetHandler.
func (b budgetServer) GrantTokens(ctx context.Context, req nutmegpeer.TransferRequest) nutmegid.Tokens {
	granted := b.entry.meter.GrantTokens(ctx, nutmegbudget.TransferRequest(req))
	b.entry.count("budget_asks_of_peers")
	if granted == 0 {
		return 0
	}
	b.entry.event("budget_gave").WithFields(logrus.Fields{
		"budget": req.Budget, "receiver": req.Receiver, "need": req.Need, "given": granted, "transfer": req.Transfer,
	}).Info("tokens sent to a peer")
	return granted
}

// Acknowledge implements nutmegpeer.BudgetHandler. Leases have no witnesses on the
// platform.
func (budgetServer) Acknowledge(nutmegpeer.SliceRequest) bool {
	return false
}

// reservationServer handles reservations made by peers.
type reservationServer struct {
	entry *Entry
}

// Reserve implements nutmegpeer.ReservationHandler. A stopping instance accepts no
// reservations, because it may exit before the request ends.
func (s reservationServer) Reserve(ctx context.Context, req nutmegpeer.ReserveRequest) nutmegpeer.ReserveReply {
	e := s.entry
	reply := nutmegpeer.ReserveReply{Outcome: nutmegpeer.ReserveTryOtherPeer, Detail: "the instance stops"}
	if e.drain.Load() == nil {
		reply = e.meter.ReserveForPeer(ctx, req)
	}
	e.peerReservationDecided(req, reply)
	return reply
}

// Settle implements nutmegpeer.ReservationHandler.
func (s reservationServer) Settle(settlements []nutmegpeer.Settlement) {
	s.entry.meter.SettleForPeer(settlements)
}

// budgetShards returns the number of budget shards for a new fleet, or 0 if the
// configuration is not known yet.
func (e *Entry) budgetShards() int {
	c := e.view.Config()
	if c == nil {
		return 0
	}
	return max((len(c.Workspaces)+budgetsPerShard-1)/budgetsPerShard, 1)
}

// configSource serves the configuration in force to peers.
type configSource struct {
	entry *Entry
}

// Revision implements nutmegpeer.ConfigSource.
func (s configSource) Revision() (nutmegid.Revision, []byte) {
	c := s.entry.view.Config()
	if c == nil {
		return 0, nil
	}
	return c.Revision, c.Raw
}

// Segment implements nutmegpeer.ConfigSource. The platform's configuration has no
// segments.
func (configSource) Segment(context.Context, string) ([]byte, error) {
	return nil, errNoSegments
}

// fetchConfigLoop fetches the configuration from peers while the store is
// unreachable.
func (e *Entry) fetchConfigLoop(ctx context.Context) {
	defer close(e.configFetchDone)
	ticker := time.NewTicker(fetchConfigInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !e.client.Up() {
				e.fetchConfig(ctx)
			}
		}
	}
}

func (e *Entry) fetchConfig(ctx context.Context) {
	value, ok := e.roster.FetchConfig(ctx)
	if !ok {
		return
	}
	config, err := e.cfg.Platform.DecodeConfig(value)
	if err != nil {
		e.event("config_unreadable").WithError(err).Error("cannot decode a peer's configuration; keeping the current one")
		return
	}
	if e.view.Apply(config) {
		e.event("config_from_peer").WithField("revision", config.Revision).Info("applied a newer configuration from a peer")
	}
}
