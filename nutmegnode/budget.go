package nutmegnode

import (
	"fmt"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
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
