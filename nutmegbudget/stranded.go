package nutmegbudget

import (
	"cmp"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// StrandedLease is a lease whose holder is not believed to be up.
type StrandedLease struct {
	Budget      nutmegid.BudgetID    `json:"budget"`
	Incarnation nutmegid.Incarnation `json:"incarnation"`
	Instance    nutmegid.Instance    `json:"instance"`
	Tokens      nutmegid.Tokens      `json:"tokens"`
}

// StrandedLeases returns the leases of holders that are not in live.
func (s *Shard) StrandedLeases(live []nutmegid.Incarnation) []StrandedLease {
	var stranded []StrandedLease
	for id, b := range s.Budgets {
		if b == nil {
			continue
		}
		for inc, l := range b.Leases {
			if l == nil || l.Released || l.Tokens <= 0 || slices.Contains(live, inc) {
				continue
			}
			found := StrandedLease{Budget: id, Incarnation: inc, Tokens: l.Tokens}
			if r := s.Holders[inc]; r != nil {
				found.Instance = r.Instance
			}
			stranded = append(stranded, found)
		}
	}
	slices.SortFunc(stranded, func(a, b StrandedLease) int {
		return cmp.Or(cmp.Compare(a.Budget, b.Budget), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return stranded
}

func (c *committer) updateStranded(s *Shard) {
	if c.holder.cfg.Peers == nil {
		return
	}
	live := append(slices.Clone(c.holder.cfg.Peers.Live()), c.holder.cfg.Incarnation)
	stranded := s.StrandedLeases(live)
	c.stranded.Store(&stranded)
}

// StrandedLeases returns the leases of holders that are not believed to be up,
// as of the latest commits.
func (h *Holder) StrandedLeases() []StrandedLease {
	var all []StrandedLease
	for _, c := range h.committers {
		if stranded := c.stranded.Load(); stranded != nil {
			all = append(all, *stranded...)
		}
	}
	return all
}
