package nutmegnode

import (
	"context"
	"fmt"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// budgetPeers reaches the budgets of the other instances.
type budgetPeers struct {
	node *Node
}

var _ nutmegbudget.Peers = budgetPeers{}

// members are the peers that answer.
func (b budgetPeers) members() []nutmegpeer.Member {
	if b.node.peers == nil {
		return nil
	}
	return slices.DeleteFunc(b.node.peers.Members(), func(m nutmegpeer.Member) bool {
		return m.State != nutmegpeer.StateAlive && m.State != nutmegpeer.StateLeaving
	})
}

// Holders implements nutmegbudget.Peers. All instances lease all budgets here.
func (b budgetPeers) Holders(nutmegid.BudgetID) []nutmegid.Incarnation {
	return b.Live()
}

// Live implements nutmegbudget.Peers.
func (b budgetPeers) Live() []nutmegid.Incarnation {
	return incarnations(b.members())
}

// Witnesses implements nutmegbudget.Peers: members that stay, in other failure
// domains.
func (b budgetPeers) Witnesses() []nutmegid.Incarnation {
	domain := b.node.cfg.Settings.Instance.FailureDomain
	return incarnations(slices.DeleteFunc(b.members(), func(m nutmegpeer.Member) bool {
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

func (b budgetPeers) address(inc nutmegid.Incarnation) (string, error) {
	for _, m := range b.members() {
		if m.Incarnation == inc {
			return m.Address, nil
		}
	}
	return "", fmt.Errorf("incarnation %q is no live member", inc)
}

// Ask implements nutmegbudget.Peers.
func (b budgetPeers) Ask(ctx context.Context, to nutmegid.Incarnation, ask nutmegbudget.Ask) (nutmegid.Tokens, error) {
	address, err := b.address(to)
	if err != nil {
		return 0, err
	}
	b.node.count("budget_transfer_asks")
	return b.node.peers.Transfer(ctx, address, nutmegpeer.TransferRequest(ask))
}

// Acknowledge implements nutmegbudget.Peers.
func (b budgetPeers) Acknowledge(ctx context.Context, to nutmegid.Incarnation, s nutmegbudget.Slices) (bool, error) {
	address, err := b.address(to)
	if err != nil {
		return false, err
	}
	return b.node.peers.Acknowledge(ctx, address, nutmegpeer.SliceRequest(s))
}

// budgetServer answers the calls of peers on this instance's budgets.
type budgetServer struct {
	node *Node
}

var _ nutmegpeer.BudgetHandler = budgetServer{}

// GrantTokens implements nutmegpeer.Budgets.
func (b budgetServer) GrantTokens(ctx context.Context, ask nutmegpeer.TransferRequest) nutmegid.Tokens {
	given := b.node.holder.Give(ctx, nutmegbudget.Ask(ask))
	if given > 0 {
		b.node.transferred("gave", ask.Budget, given, ask.Receiver)
	}
	return given
}

// Acknowledge implements nutmegpeer.Budgets.
func (b budgetServer) Acknowledge(s nutmegpeer.SliceRequest) bool {
	return b.node.witness.Acknowledge(nutmegbudget.Slices(s))
}
