package nutmegbudget

import (
	"fmt"
	"hash/fnv"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Shard is the body of one object in the store: many budgets that are
// committed together.
type Shard struct {
	Budgets map[nutmegid.BudgetID]*Budget `json:"budgets"`
	// Commits holds the number of the latest commit of each holder.
	Commits map[nutmegid.Incarnation]uint64 `json:"commits"`
}

// Budget is one prepaid amount and where its tokens are.
type Budget struct {
	Prepaid nutmegid.Tokens                      `json:"prepaid"`
	Spent   nutmegid.Tokens                      `json:"spent"`
	TopUps  map[nutmegid.TopUpID]nutmegid.Tokens `json:"top_ups"`
	Leases  map[nutmegid.Incarnation]*Lease      `json:"leases"`
}

// Lease is the unsettled share of a budget that one incarnation may spend.
type Lease struct {
	Instance nutmegid.Instance `json:"instance"`
	Tokens   nutmegid.Tokens   `json:"tokens"`
	Released bool              `json:"released,omitempty"`
}

// ShardOf returns the number of the shard that holds a budget.
func ShardOf(id nutmegid.BudgetID, shards int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % uint32(shards))
}

// ShardName returns the object name of a shard.
func ShardName(shard int) string {
	return fmt.Sprintf("shard-%04d", shard)
}

// Remaining returns the tokens that are neither spent nor leased.
func (b *Budget) Remaining() nutmegid.Tokens {
	return b.Prepaid - b.Spent - b.Leased()
}

// Leased returns the unsettled tokens of all leases.
func (b *Budget) Leased() nutmegid.Tokens {
	var sum nutmegid.Tokens
	for _, lease := range b.Leases {
		sum += lease.Tokens
	}
	return sum
}

// Check returns an error of KindInvariant unless every term is non-negative
// and prepaid covers what is spent and leased.
func (b *Budget) Check(id nutmegid.BudgetID) error {
	if b.Prepaid < 0 || b.Spent < 0 || b.Prepaid > maxTokens {
		return invariantError(id, fmt.Sprintf("prepaid %d and spent %d are out of range", b.Prepaid, b.Spent))
	}
	for incarnation, lease := range b.Leases {
		if lease.Tokens < 0 {
			return invariantError(id, fmt.Sprintf("lease of %s holds %d tokens", incarnation, lease.Tokens))
		}
	}
	if b.Remaining() < 0 {
		return invariantError(id, fmt.Sprintf("prepaid %d is below spent %d and leased %d", b.Prepaid, b.Spent, b.Leased()))
	}
	return nil
}

func invariantError(id nutmegid.BudgetID, detail string) error {
	return &Error{Kind: KindInvariant, Budget: id, Detail: detail, Remedy: "report this as a defect; the change was not written"}
}

// TopUp adds tokens to a budget, and makes the budget when it does not exist.
// A repeat of the same id and amount has no effect.
func (s *Shard) TopUp(id nutmegid.BudgetID, topUp nutmegid.TopUpID, amount nutmegid.Tokens) error {
	if amount <= 0 || amount > maxTokens {
		return &Error{
			Kind: KindBadAmount, Budget: id, Detail: fmt.Sprintf("top-up of %d tokens", amount),
			Remedy: fmt.Sprintf("give an amount from 1 to %d", int64(maxTokens)),
		}
	}
	b := s.budget(id)
	if applied, ok := b.TopUps[topUp]; ok {
		if applied == amount {
			return nil
		}
		return &Error{
			Kind: KindTopUpReused, Budget: id, Detail: fmt.Sprintf("top-up %q was applied with %d tokens", topUp, applied),
			Remedy: "use a new top-up id for another amount",
		}
	}
	if b.Prepaid+amount > maxTokens {
		return &Error{
			Kind: KindBadAmount, Budget: id, Detail: fmt.Sprintf("top-up of %d tokens overflows", amount),
			Remedy: fmt.Sprintf("keep the budget under %d", int64(maxTokens)),
		}
	}
	b.TopUps[topUp] = amount
	b.Prepaid += amount
	return b.Check(id)
}

func (s *Shard) budget(id nutmegid.BudgetID) *Budget {
	if s.Budgets == nil {
		s.Budgets = make(map[nutmegid.BudgetID]*Budget)
	}
	b, ok := s.Budgets[id]
	if !ok {
		b = &Budget{}
		s.Budgets[id] = b
	}
	if b.TopUps == nil {
		b.TopUps = make(map[nutmegid.TopUpID]nutmegid.Tokens)
	}
	if b.Leases == nil {
		b.Leases = make(map[nutmegid.Incarnation]*Lease)
	}
	return b
}

// Release closes the lease of an incarnation that an operator states to be
// gone. Its unsettled tokens return to the budget.
func (b *Budget) Release(incarnation nutmegid.Incarnation) nutmegid.Tokens {
	lease, ok := b.Leases[incarnation]
	if !ok {
		return 0
	}
	freed := lease.Tokens
	lease.Tokens = 0
	lease.Released = true
	return freed
}
