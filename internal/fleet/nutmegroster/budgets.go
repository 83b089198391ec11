package nutmegroster

import (
	"context"
	"errors"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

var (
	errNotConnected = errors.New("no address or connection is known for the instance")
	errNotAccepting = errors.New("the instance does not accept reservations now")
	errNotSupported = errors.New("platform instances do not acknowledge leases for each other")
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

// Witnesses implements nutmegbudget.Peers. Leases have no witnesses on the
// platform.
func (r *Roster) Witnesses() []nutmegid.Incarnation {
	return nil
}

// RequestTransfer implements nutmegbudget.Peers.
func (r *Roster) RequestTransfer(ctx context.Context, to nutmegid.Incarnation, req nutmegbudget.TransferRequest) (nutmegid.Tokens, error) {
	peers := r.peers.Load()
	address := ""
	for _, i := range r.others() {
		if i.Incarnation == to {
			address = i.PeerAddress
		}
	}
	if peers == nil || address == "" {
		return 0, errNotConnected
	}
	granted, err := peers.Transfer(ctx, address, nutmegpeer.TransferRequest(req))
	r.recordCall(ctx, to, err)
	return granted, err
}

// Acknowledge implements nutmegbudget.Peers.
func (r *Roster) Acknowledge(context.Context, nutmegid.Incarnation, nutmegbudget.AcknowledgeRequest) (bool, error) {
	return false, errNotSupported
}
