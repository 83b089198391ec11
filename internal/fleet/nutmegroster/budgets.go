package nutmegroster

import (
	"context"
	"errors"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

var (
	errNoPeer       = errors.New("the instance is not reachable")
	errElsewhere    = errors.New("the instance holds no tokens for others now")
	errNotSupported = errors.New("instances on the platform write to the store themselves")
)

var _ nutmegbudget.Peers = (*Roster)(nil)

// Live implements nutmegbudget.Peers.
func (r *Roster) Live() []nutmegid.Incarnation {
	var live []nutmegid.Incarnation
	for _, i := range r.reachable() {
		live = append(live, i.Incarnation)
	}
	return live
}

// Holders implements nutmegbudget.Peers.
func (r *Roster) Holders(id nutmegid.BudgetID) []nutmegid.Incarnation {
	var holders []nutmegid.Incarnation
	for _, i := range r.homesOfBudget(id) {
		if i.Name != r.cfg.Self.Name {
			holders = append(holders, i.Incarnation)
		}
	}
	shuffle(holders)
	return holders
}

// Witnesses implements nutmegbudget.Peers. Leases are not witnessed here.
func (r *Roster) Witnesses() []nutmegid.Incarnation {
	return nil
}

// Ask implements nutmegbudget.Peers.
func (r *Roster) Ask(ctx context.Context, to nutmegid.Incarnation, ask nutmegbudget.Ask) (nutmegid.Tokens, error) {
	peers := r.peers.Load()
	address := ""
	for _, i := range r.others() {
		if i.Incarnation == to {
			address = i.PeerAddress
		}
	}
	if peers == nil || address == "" {
		return 0, errNoPeer
	}
	given, err := peers.Transfer(ctx, address, nutmegpeer.TransferRequest(ask))
	r.called(to, err)
	return given, err
}

// Acknowledge implements nutmegbudget.Peers.
func (r *Roster) Acknowledge(context.Context, nutmegid.Incarnation, nutmegbudget.Slices) (bool, error) {
	return false, errNotSupported
}
