package nutmegnode

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

func (n *Node) buildBudget() {
	b := n.cfg.Settings.Budget
	peers := budgetPeers{n}
	n.leaseHolder = nutmegbudget.NewHolder(nutmegbudget.HolderConfig{
		Writer:         n.writer,
		Incarnation:    n.incarnation,
		Instance:       n.cfg.Settings.Instance.Name,
		Shards:         b.Shards,
		Terms:          n.terms,
		Peers:          peers,
		Witnesses:      b.Witnesses,
		CommitInterval: time.Duration(b.CommitInterval),
		OnCommit:       n.recordCommit,
		OnTransfer: func(id nutmegid.BudgetID, t nutmegbudget.Transfer) {
			n.recordTransfer("received", id, t.Tokens, t.Giver)
		},
	})
	n.witness = nutmegbudget.NewWitness(nutmegbudget.WitnessConfig{
		Writer:      n.writer,
		Incarnation: n.incarnation,
		Interval:    time.Duration(b.CommitInterval),
		Live:        func(inc nutmegid.Incarnation) bool { return slices.Contains(peers.Live(), inc) },
		OnClose:     n.recordClosedLeases,
	})
	_ = n.metrics.Register("budget_stranded_tokens", metrics.NewFunctionalGauge(n.strandedTokens))
}

// terms returns the lease terms for a budget: its owner's settings where given,
// else the defaults.
func (n *Node) terms(id nutmegid.BudgetID) nutmegbudget.Terms {
	b := n.cfg.Settings.Budget
	o := b.Owners[n.ownerOf(id)]
	return nutmegbudget.Terms{
		Policy: nutmegbudget.RateProportional{
			Horizon:  time.Duration(valueOr(o.Horizon, b.Horizon)),
			MinLease: valueOr(o.MinLease, b.MinLease),
		},
		Share: valueOr(o.Share, b.Share),
		Slice: time.Duration(valueOr(o.Slice, b.Slice)),
	}
}

func valueOr[T any](value *T, fallback T) T {
	if value != nil {
		return *value
	}
	return fallback
}

// ownerOf returns the owner whose settings apply to a budget.
func (n *Node) ownerOf(id nutmegid.BudgetID) nutmegid.Owner {
	for owner := range n.cfg.Settings.Budget.Owners {
		if nutmegid.OwnerBudget(owner) == id {
			return owner
		}
	}
	config := n.view.Current()
	if config == nil {
		return ""
	}
	name := strings.TrimPrefix(string(id), string(nutmegid.WorkspaceBudget("")))
	return config.Workspaces[nutmegid.Workspace(name)].Owner
}

func (n *Node) strandedTokens() int64 {
	var sum nutmegid.Tokens
	for _, s := range n.leaseHolder.StrandedLeases() {
		sum += s.Tokens
	}
	return int64(sum)
}

func (n *Node) recordTransfer(direction string, id nutmegid.BudgetID, tokens nutmegid.Tokens, peer nutmegid.Incarnation) {
	n.ring.Record(nutmegtime.Event{
		Kind: nutmegtime.KindTransfer, Budget: id, Tokens: tokens, Detail: fmt.Sprintf("%s, peer %s", direction, peer),
	})
}

func (n *Node) recordClosedLeases(holder nutmegid.Incarnation, shard int) {
	n.count("budget_leases_closed")
	n.ring.Record(nutmegtime.Event{
		Kind: nutmegtime.KindReturn, Detail: fmt.Sprintf("closed leases of silent %s in shard %d", holder, shard),
	})
}

func (n *Node) recordCommit(c nutmegbudget.BudgetCommit) {
	n.ring.Record(nutmegtime.Event{
		Kind: nutmegtime.KindLease, Budget: c.Budget, Tokens: c.Granted,
		Detail: fmt.Sprintf("settled %d, returned %d", c.Settled, c.Returned),
	})
}
