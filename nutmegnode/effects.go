package nutmegnode

import (
	"context"
	"errors"
	"fmt"

	"github.com/rcrowley/go-metrics"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

type counter = metrics.Counter

func newCounter() metrics.Counter {
	return metrics.NewCounter()
}

// engineOrderFunc sends an order to an engine, once per effect ID. It reports
// false while the order is in progress.
type engineOrderFunc func(ctx context.Context, id nutmegconf.EffectID, u nutmegid.Upstream, o nutmegconf.EngineOrder) (bool, error)

// effectApplier executes the effects that confirmed plans have outside the
// configuration.
type effectApplier struct {
	node *Node
}

// Apply implements nutmegconf.EffectApplier.
func (a effectApplier) Apply(ctx context.Context, e nutmegconf.Effect) (bool, error) {
	switch e.Kind {
	case nutmegconf.EffectTopUp:
		return a.updateBudget(ctx, e, topUpBudget)
	case nutmegconf.EffectLower:
		return a.updateBudget(ctx, e, lowerBudget)
	case nutmegconf.EffectRemoveBudget:
		return a.updateBudget(ctx, e, removeBudget)
	case nutmegconf.EffectRelease:
		return a.releaseLeases(ctx, e)
	case nutmegconf.EffectOrder:
		return a.engineOrder(ctx, e)
	}
	return false, fmt.Errorf("effect %q has unknown kind %q; upgrade this instance", e.ID, e.Kind)
}

// updateBudget applies change to the shard that holds the effect's budget.
func (a effectApplier) updateBudget(ctx context.Context, e nutmegconf.Effect, change func(*nutmegbudget.Shard, nutmegconf.Effect) (bool, error)) (bool, error) {
	done := false
	key := a.node.shardKey(nutmegbudget.ShardOf(e.Budget, a.node.cfg.Settings.Budget.Shards))
	_, err := nutmegstore.Update(ctx, a.node.writer, key, func(s *nutmegbudget.Shard) error {
		var err error
		done, err = change(s, e)
		return err
	})
	return done, err
}

func topUpBudget(s *nutmegbudget.Shard, e nutmegconf.Effect) (bool, error) {
	return true, s.TopUp(e.Budget, nutmegid.TopUpID(e.ID), e.Tokens)
}

// lowerBudget removes as many of the effect's tokens as are currently free. The
// number removed so far is stored as a negative top-up under the effect's ID, so
// that the effect can be executed in steps and by several instances.
func lowerBudget(s *nutmegbudget.Shard, e nutmegconf.Effect) (bool, error) {
	b := s.Budgets[e.Budget]
	if b == nil || b.Removed {
		return true, nutmegstore.ErrUnchanged
	}
	id := nutmegid.TopUpID(e.ID)
	removed := -b.TopUps[id]
	amount := min(e.Tokens-removed, b.Remaining())
	if amount <= 0 {
		return lowerComplete(b, removed, e), nutmegstore.ErrUnchanged
	}
	if err := s.Lower(e.Budget, b.Prepaid-amount); err != nil {
		return false, err
	}
	b.TopUps[id] = -(removed + amount)
	return lowerComplete(b, removed+amount, e), nil
}

// lowerComplete reports whether no more tokens can be removed: all were removed,
// or the budget has neither leased nor free tokens left.
func lowerComplete(b *nutmegbudget.Budget, removed nutmegid.Tokens, e nutmegconf.Effect) bool {
	return removed >= e.Tokens || (b.Leased() == 0 && b.Remaining() == 0)
}

// removeBudget removes the free tokens until nothing is leased or in transfer, and
// then removes the budget, once per effect.
func removeBudget(s *nutmegbudget.Shard, e nutmegconf.Effect) (bool, error) {
	b := s.Budgets[e.Budget]
	id := nutmegid.TopUpID(e.ID)
	if b == nil || b.Removed {
		return true, nutmegstore.ErrUnchanged
	}
	if _, ok := b.TopUps[id]; ok {
		return true, nutmegstore.ErrUnchanged
	}
	if b.Leased() == 0 && len(b.Transfers) == 0 {
		b.TopUps[id] = 0
		return true, s.Remove(e.Budget)
	}
	if b.Remaining() == 0 {
		return false, nutmegstore.ErrUnchanged
	}
	return false, s.Lower(e.Budget, b.Prepaid-b.Remaining())
}

// releaseLeases releases the leases of an incarnation in all shards.
func (a effectApplier) releaseLeases(ctx context.Context, e nutmegconf.Effect) (bool, error) {
	for shard := range a.node.cfg.Settings.Budget.Shards {
		_, err := nutmegstore.Update(ctx, a.node.writer, a.node.shardKey(shard), func(s *nutmegbudget.Shard) error {
			_, err := s.Release(e.Incarnation)
			if nutmegbudget.IsKind(err, nutmegbudget.KindUnknownHolder) {
				return nutmegstore.ErrUnchanged
			}
			return err
		})
		if err != nil {
			return false, err
		}
	}
	return true, nil
}

func (a effectApplier) engineOrder(ctx context.Context, e nutmegconf.Effect) (bool, error) {
	if a.node.engineOrder == nil || e.Order == nil {
		return false, errors.New("this instance cannot send orders to engines; another instance has to execute the effect")
	}
	return a.node.engineOrder(ctx, e.ID, e.Upstream, *e.Order)
}

func (n *Node) shardKey(shard int) nutmegstore.Key {
	return nutmegstore.Key{Kind: nutmegbudget.ShardKind, Name: nutmegbudget.ShardName(shard)}
}

// fleetState is the state that plans are validated against. It reads each shard
// once.
type fleetState struct {
	node   *Node
	shards map[int]nutmegbudget.Shard
}

func (n *Node) newFleetState() nutmegconf.FleetState {
	return &fleetState{node: n, shards: make(map[int]nutmegbudget.Shard)}
}

func (f *fleetState) readShard(ctx context.Context, number int) (nutmegbudget.Shard, error) {
	if s, ok := f.shards[number]; ok {
		return s, nil
	}
	doc, err := nutmegstore.Read[nutmegbudget.Shard](ctx, f.node.writer, f.node.shardKey(number))
	if err != nil && !nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
		return doc.Body, err
	}
	f.shards[number] = doc.Body
	return doc.Body, nil
}

// Budget implements nutmegconf.FleetState.
func (f *fleetState) Budget(ctx context.Context, id nutmegid.BudgetID) (nutmegconf.BudgetState, error) {
	s, err := f.readShard(ctx, nutmegbudget.ShardOf(id, f.node.cfg.Settings.Budget.Shards))
	b := s.Budgets[id]
	if err != nil || b == nil || b.Removed {
		return nutmegconf.BudgetState{}, err
	}
	state := nutmegconf.BudgetState{Exists: true, Prepaid: b.Prepaid, Spent: b.Spent, Leased: b.Leased()}
	for _, lease := range b.Leases {
		if !lease.Released {
			state.Holders++
		}
	}
	return state, nil
}

// LeasedTokens implements nutmegconf.FleetState.
func (f *fleetState) LeasedTokens(ctx context.Context, incarnation nutmegid.Incarnation) (nutmegid.Tokens, error) {
	var held nutmegid.Tokens
	known := false
	for number := range f.node.cfg.Settings.Budget.Shards {
		s, err := f.readShard(ctx, number)
		if err != nil {
			return 0, err
		}
		for _, b := range s.Budgets {
			if lease := b.Leases[incarnation]; lease != nil && !lease.Released {
				held += lease.Tokens
				known = true
			}
		}
	}
	if !known {
		return 0, fmt.Errorf("incarnation %q holds no lease", incarnation)
	}
	return held, nil
}

// InFlight implements nutmegconf.FleetState.
func (f *fleetState) InFlight() int {
	return f.node.inFlight.count()
}

// Instances implements nutmegconf.FleetState.
func (f *fleetState) Instances(incarnation nutmegid.Incarnation) (int, bool) {
	alive, found := 1, incarnation == f.node.incarnation
	for _, m := range f.node.peers.Members() {
		if m.State == nutmegpeer.StateDead {
			continue
		}
		alive++
		found = found || (m.Incarnation == incarnation && m.State != nutmegpeer.StateSuspect)
	}
	return alive, found
}
