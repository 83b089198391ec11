package nutmegbudget

import (
	"cmp"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Stranded is a lease whose holder is not believed to be up.
type Stranded struct {
	Budget      nutmegid.BudgetID    `json:"budget"`
	Incarnation nutmegid.Incarnation `json:"incarnation"`
	Instance    nutmegid.Instance    `json:"instance"`
	Tokens      nutmegid.Tokens      `json:"tokens"`
}

// StrandedTokens returns the leases of holders that are not in live.
func (s *Shard) StrandedTokens(live []nutmegid.Incarnation) []Stranded {
	var stranded []Stranded
	for id, b := range s.Budgets {
		if b == nil {
			continue
		}
		for inc, l := range b.Leases {
			if l == nil || l.Released || l.Tokens <= 0 || slices.Contains(live, inc) {
				continue
			}
			found := Stranded{Budget: id, Incarnation: inc, Tokens: l.Tokens}
			if r := s.Holders[inc]; r != nil {
				found.Instance = r.Instance
			}
			stranded = append(stranded, found)
		}
	}
	slices.SortFunc(stranded, func(a, b Stranded) int {
		return cmp.Or(cmp.Compare(a.Budget, b.Budget), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return stranded
}

func (c *committer) updateStranded(s *Shard) {
	if c.holder.cfg.Peers == nil {
		return
	}
	live := append(slices.Clone(c.holder.cfg.Peers.Live()), c.holder.cfg.Incarnation)
	stranded := s.StrandedTokens(live)
	c.stranded.Store(&stranded)
}

// Stranded returns the leases of holders that are not believed to be up, as of the
// latest commits.
func (h *Holder) Stranded() []Stranded {
	var all []Stranded
	for _, c := range h.committers {
		if stranded := c.stranded.Load(); stranded != nil {
			all = append(all, *stranded...)
		}
	}
	return all
}
