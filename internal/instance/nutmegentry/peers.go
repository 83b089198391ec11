package nutmegentry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// budgetServer answers peers that ask for tokens.
type budgetServer struct {
	entry *Entry
}

// GrantTokens implements nutmegpeer.Budgets.
func (b budgetServer) GrantTokens(ctx context.Context, ask nutmegpeer.TransferRequest) nutmegid.Tokens {
	given := b.entry.meter.Give(ctx, nutmegbudget.Ask(ask))
	b.entry.count("budget_asks_of_peers")
	if given == 0 {
		return 0
	}
	b.entry.event("budget_gave").WithFields(logrus.Fields{
		"budget": ask.Budget, "receiver": ask.Receiver, "need": ask.Need, "given": given, "transfer": ask.Transfer,
	}).Info("a peer was given tokens")
	return given
}

// Acknowledge implements nutmegpeer.Budgets. Leases are not witnessed here.
func (budgetServer) Acknowledge(nutmegpeer.SliceRequest) bool {
	return false
}

// reservationServer holds tokens for requests of peers.
type reservationServer struct {
	entry *Entry
}

// Reserve implements nutmegpeer.Reservations. A stopping instance holds nothing
// new: it may end before the request does.
func (s reservationServer) Reserve(ctx context.Context, ask nutmegpeer.ReserveRequest) nutmegpeer.ReserveReply {
	e := s.entry
	answer := nutmegpeer.ReserveReply{Outcome: nutmegpeer.ReserveTryOtherPeer, Detail: "the instance stops"}
	if e.stopping.Load() == nil {
		answer = e.meter.ReserveFor(ctx, ask)
	}
	e.reservedFor(ask, answer)
	return answer
}

// Settle implements nutmegpeer.Reservations.
func (s reservationServer) Settle(settlements []nutmegpeer.Settlement) {
	s.entry.meter.SettleFor(settlements)
}

// budgetShards returns over how many objects a new fleet spreads the budgets of
// its workspaces, 0 before the configuration is known.
func (e *Entry) budgetShards() int {
	c := e.view.Config()
	if c == nil {
		return 0
	}
	return max((len(c.Workspaces)+budgetsPerShard-1)/budgetsPerShard, 1)
}

// library answers peers that ask for the configuration in force.
type library struct {
	entry *Entry
}

// Revision implements nutmegpeer.Library.
func (l library) Revision() (nutmegid.Revision, []byte) {
	c := l.entry.view.Config()
	if c == nil {
		return 0, nil
	}
	return c.Revision, c.Raw
}

// Segment implements nutmegpeer.Library. A configuration is one piece here.
func (library) Segment(context.Context, string) ([]byte, error) {
	return nil, errNoSegments
}

// askPeersLoop takes the configuration from peers while the store is away.
func (e *Entry) askPeersLoop(ctx context.Context) {
	defer close(e.askedPeers)
	ticker := time.NewTicker(askPeersPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !e.client.Up() {
				e.askPeers(ctx)
			}
		}
	}
}

func (e *Entry) askPeers(ctx context.Context) {
	value, ok := e.roster.FetchConfig(ctx)
	if !ok {
		return
	}
	config, err := e.cfg.Platform.DecodeConfig(value)
	if err != nil {
		e.event("config_unreadable").WithError(err).Error("a peer's configuration can't be read; the present one stays")
		return
	}
	if e.view.Apply(config) {
		e.event("config_from_peer").WithField("revision", config.Revision).Info("a peer has told a newer configuration")
	}
}
