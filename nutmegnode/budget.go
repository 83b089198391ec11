package nutmegnode

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

func (n *Node) buildBudget() {
	b := n.cfg.Settings.Budget
	policy := nutmegbudget.RateProportional{Horizon: time.Duration(b.Horizon), MinLease: b.MinLease}
	if policy.Horizon == 0 {
		policy.Horizon = nutmegbudget.DefaultHorizon
	}
	if policy.MinLease == 0 {
		policy.MinLease = nutmegbudget.DefaultMinLease
	}
	n.holder = nutmegbudget.NewHolder(nutmegbudget.HolderConfig{
		Writer:         n.writer,
		Incarnation:    n.incarnation,
		Instance:       n.cfg.Settings.Instance.Name,
		Shards:         b.Shards,
		Policy:         policy,
		CommitInterval: time.Duration(b.CommitInterval),
		OnCommit:       n.committed,
	})
}

func (n *Node) committed(c nutmegbudget.Committed) {
	n.ring.Record(nutmegtime.Event{
		Kind: nutmegtime.KindLease, Budget: c.Budget, Tokens: c.Granted,
		Detail: fmt.Sprintf("settled %d, returned %d", c.Settled, c.Returned),
	})
}

// topUps applies the budget part of confirmed plans.
type topUps struct {
	node *Node
}

// TopUp implements nutmegconf.Budgets.
func (t topUps) TopUp(ctx context.Context, topUp nutmegconf.TopUp) error {
	shard := nutmegbudget.ShardOf(topUp.Budget, t.node.cfg.Settings.Budget.Shards)
	key := nutmegstore.Key{Kind: nutmegbudget.ShardKind, Name: nutmegbudget.ShardName(shard)}
	_, err := nutmegstore.Update(ctx, t.node.writer, key, func(s *nutmegbudget.Shard) error {
		return s.TopUp(topUp.Budget, topUp.ID, topUp.Tokens)
	})
	return err
}
