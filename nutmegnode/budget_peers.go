package nutmegnode

import (
	"context"
	"fmt"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// budgetPeers sends budget requests to the other instances.
type budgetPeers struct {
	node *Node
}

var _ nutmegbudget.Peers = budgetPeers{}

// liveMembers returns the peers that are alive or leaving; both still answer.
func (b budgetPeers) liveMembers() []nutmegpeer.Member {
	if b.node.peers == nil {
		return nil
	}
	return slices.DeleteFunc(b.node.peers.Members(), func(m nutmegpeer.Member) bool {
		return m.State != nutmegpeer.StateAlive && m.State != nutmegpeer.StateLeaving
	})
}

// Holders implements nutmegbudget.Peers. Any instance may hold a lease on any
// budget.
func (b budgetPeers) Holders(nutmegid.BudgetID) []nutmegid.Incarnation {
	return b.Live()
}

// Live implements nutmegbudget.Peers.
func (b budgetPeers) Live() []nutmegid.Incarnation {
	return incarnations(b.liveMembers())
}

// Witnesses implements nutmegbudget.Peers. It returns the members in other failure
// domains that are alive and not leaving.
func (b budgetPeers) Witnesses() []nutmegid.Incarnation {
	domain := b.node.cfg.Settings.Instance.FailureDomain
	return incarnations(slices.DeleteFunc(b.liveMembers(), func(m nutmegpeer.Member) bool {
		return m.FailureDomain == domain || m.State != nutmegpeer.StateAlive
	}))
}

func incarnations(members []nutmegpeer.Member) []nutmegid.Incarnation {
	list := make([]nutmegid.Incarnation, 0, len(members))
	for _, m := range members {
		list = append(list, m.Incarnation)
	}
	return list
}

func (b budgetPeers) addressOf(inc nutmegid.Incarnation) (string, error) {
	for _, m := range b.liveMembers() {
		if m.Incarnation == inc {
			return m.Address, nil
		}
	}
	return "", fmt.Errorf("incarnation %q is not a live member of the fleet", inc)
}

// RequestTransfer implements nutmegbudget.Peers.
func (b budgetPeers) RequestTransfer(ctx context.Context, to nutmegid.Incarnation, request nutmegbudget.TransferRequest) (nutmegid.Tokens, error) {
	address, err := b.addressOf(to)
	if err != nil {
		return 0, err
	}
	b.node.count("budget_transfer_asks")
	return b.node.peers.Transfer(ctx, address, nutmegpeer.TransferRequest(request))
}

// Acknowledge implements nutmegbudget.Peers.
func (b budgetPeers) Acknowledge(ctx context.Context, to nutmegid.Incarnation, request nutmegbudget.AcknowledgeRequest) (bool, error) {
	address, err := b.addressOf(to)
	if err != nil {
		return false, err
	}
	return b.node.peers.Acknowledge(ctx, address, nutmegpeer.SliceRequest(request))
}

// budgetServer serves the budget requests of peers.
type budgetServer struct {
	node *Node
}

var _ nutmegpeer.BudgetHandler = budgetServer{}

// GrantTokens implements nutmegpeer.BudgetHandler.
func (b budgetServer) GrantTokens(ctx context.Context, request nutmegpeer.TransferRequest) nutmegid.Tokens {
	given := b.node.leaseHolder.GrantTokens(ctx, nutmegbudget.TransferRequest(request))
	if given > 0 {
		b.node.recordTransfer("gave", request.Budget, given, request.Receiver)
	}
	return given
}

// Acknowledge implements nutmegpeer.BudgetHandler.
func (b budgetServer) Acknowledge(request nutmegpeer.SliceRequest) bool {
	return b.node.witness.Acknowledge(nutmegbudget.AcknowledgeRequest(request))
}
