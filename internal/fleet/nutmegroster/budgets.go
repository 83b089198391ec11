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
	given, err := peers.Transfer(ctx, address, nutmegpeer.TransferAsk(ask))
	r.called(to, err)
	return given, err
}

// Acknowledge implements nutmegbudget.Peers.
func (r *Roster) Acknowledge(context.Context, nutmegid.Incarnation, nutmegbudget.Slices) (bool, error) {
	return false, errNotSupported
}

// Commit implements nutmegbudget.Peers.
func (r *Roster) Commit(context.Context, nutmegid.Incarnation, int, nutmegbudget.Batch) (nutmegbudget.Result, error) {
	return nutmegbudget.Result{}, errNotSupported
}
