package nutmegtrace

import (
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// spend is tokens that were used by a time, or that a running request may use.
type spend struct {
	workspace nutmegid.Workspace
	owner     nutmegid.Owner
	from      time.Time
	to        time.Time
	used      nutmegid.Tokens
	bound     nutmegid.Tokens // held while the request runs
}

// countBudgets counts overspend and stranded tokens on both levels, and the
// refusals that one global counter would not have made.
func (j *judge) countBudgets() {
	spends := j.spends()
	for budget, spent := range j.spentByBudget(spends) {
		j.countOverspend(budget, spent)
	}
	for _, s := range j.requests {
		if s.Step.Do != ActionChat || !s.Refused() {
			continue
		}
		if j.covered(s, spends, 0) {
			j.m.FalseRefusals++
		}
		if j.covered(s, spends, earlyShare) {
			j.m.EarlyRefusals++
		}
	}
	j.countStranded()
}

// spends lists every run of the engines with its owner.
func (j *judge) spends() []spend {
	ends := make(map[nutmegid.RequestID]*Sent)
	for _, s := range j.requests {
		for _, a := range s.Attempts {
			ends[a.Request] = s
		}
	}
	var spends []spend
	for _, runs := range j.records.Runs {
		for _, r := range runs {
			spends = append(spends, j.spendOf(r, ends[nutmegid.RequestID(r.Request)]))
		}
	}
	slices.SortFunc(spends, func(a, b spend) int { return a.to.Compare(b.to) })
	return spends
}

// spendOf dates a run by the engine's start and the caller's end.
func (j *judge) spendOf(r nutmegstand.EngineRun, s *Sent) spend {
	at := spend{
		workspace: nutmegid.Workspace(r.Workspace), from: r.StartedAt, to: r.StartedAt,
		used: tokensOf(r), bound: tokensOf(r),
	}
	accepted := r.StartedAt
	if s != nil {
		at.to, at.bound, accepted = s.End, max(at.bound, s.bound()), s.Due
	}
	at.owner = j.ownerAt(at.workspace, accepted)
	if line, ok := j.billed[nutmegid.RequestID(r.Request)]; ok {
		at.owner = line.Owner // around a move, the owner whose revision was in force
	}
	return at
}

// spentByBudget groups the runs by the budgets that pay for them, on both levels.
func (j *judge) spentByBudget(spends []spend) map[nutmegid.BudgetID][]spend {
	by := make(map[nutmegid.BudgetID][]spend)
	for _, s := range spends {
		for _, id := range []nutmegid.BudgetID{nutmegid.WorkspaceBudget(s.workspace), nutmegid.OwnerBudget(s.owner)} {
			by[id] = append(by[id], s)
		}
	}
	return by
}

// countOverspend finds the most that the spend was over what was prepaid by
// then. A later top-up does not excuse it.
func (j *judge) countOverspend(budget nutmegid.BudgetID, spends []spend) {
	var spent, worst nutmegid.Tokens
	for _, s := range spends {
		spent += s.used
		worst = max(worst, spent-j.prepaidAt(budget, s.to))
	}
	if worst > 0 {
		j.m.OverspendTokens += int64(worst)
		j.detail("budget %q was overspent by %d tokens", budget, worst)
	}
}

func (j *judge) prepaidAt(budget nutmegid.BudgetID, at time.Time) nutmegid.Tokens {
	var prepaid nutmegid.Tokens
	for _, g := range j.prepaid {
		if g.budget == budget && !g.at.After(at) {
			prepaid += g.tokens
		}
	}
	return prepaid
}

// covered reports whether one global counter on each level, which holds the
// bound of every running request, had the tokens for a refused request
// throughout its attempts, and at least a share of what was prepaid.
func (j *judge) covered(s *Sent, spends []spend, share float64) bool {
	owner := j.ownerAt(s.Step.Workspace, s.Due)
	for _, id := range []nutmegid.BudgetID{nutmegid.WorkspaceBudget(s.Step.Workspace), nutmegid.OwnerBudget(owner)} {
		var held nutmegid.Tokens
		for _, other := range spends {
			if nutmegid.WorkspaceBudget(other.workspace) != id && nutmegid.OwnerBudget(other.owner) != id {
				continue
			}
			held += other.heldBetween(s.Due, s.End)
		}
		prepaid := j.prepaidAt(id, s.Due)
		if prepaid-held < max(s.bound(), nutmegid.Tokens(share*float64(prepaid))) {
			return false
		}
	}
	return true
}

// heldBetween is what a global counter holds for a run in a span of time.
func (s spend) heldBetween(from, to time.Time) nutmegid.Tokens {
	switch {
	case s.from.After(to):
		return 0
	case s.to.Before(from):
		return s.used
	}
	return s.bound
}

// countStranded adds up the workspaces' tokens in leases of instances that are gone.
func (j *judge) countStranded() {
	for _, shard := range j.records.Shards {
		for id, budget := range shard.Budgets {
			if !isWorkspaceBudget(id) {
				continue
			}
			for incarnation, lease := range budget.Leases {
				if !j.live[incarnation] && !lease.Released {
					j.m.StrandedTokens += int64(lease.Tokens)
				}
			}
		}
	}
}

func isWorkspaceBudget(id nutmegid.BudgetID) bool {
	prefix := nutmegid.WorkspaceBudget("")
	return len(id) > len(prefix) && id[:len(prefix)] == prefix
}
