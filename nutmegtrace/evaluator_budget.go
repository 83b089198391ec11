package nutmegtrace

import (
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// tokenUsage is one run of an engine: when it held tokens, how many it used and
// how many were reserved for it.
type tokenUsage struct {
	workspace nutmegid.Workspace
	owner     nutmegid.Owner
	start     time.Time
	end       time.Time
	used      nutmegid.Tokens
	reserved  nutmegid.Tokens // while the request runs
}

// countBudgets counts overspent tokens of workspace and owner budgets, stranded
// tokens of workspace budgets, and the refusals that a single global counter per
// budget would not have made.
func (ev *evaluator) countBudgets() {
	usages := ev.tokenUsages()
	for budget, paidBy := range ev.usagesByBudget(usages) {
		ev.countOverspend(budget, paidBy)
	}
	for _, r := range ev.requests {
		if r.Step.Action != ActionChat || !r.Refused() {
			continue
		}
		if ev.hadBudgetFor(r, usages, 0) {
			ev.measures.FalseRefusals++
		}
		if ev.hadBudgetFor(r, usages, earlyRefusalShare) {
			ev.measures.EarlyRefusals++
		}
	}
	ev.countStranded()
}

// tokenUsages lists every engine run with its owner, in order of its end.
func (ev *evaluator) tokenUsages() []tokenUsage {
	byRequest := make(map[nutmegid.RequestID]*CallerRequest)
	for _, request := range ev.requests {
		for _, a := range request.Attempts {
			byRequest[a.Request] = request
		}
	}
	var usages []tokenUsage
	for _, runs := range ev.records.Runs {
		for _, r := range runs {
			usages = append(usages, ev.usageOfRun(r, byRequest[nutmegid.RequestID(r.Request)]))
		}
	}
	slices.SortFunc(usages, func(a, b tokenUsage) int { return a.end.Compare(b.end) })
	return usages
}

// usageOfRun returns the usage of one run. It starts when the engine started and
// ends when the caller had its outcome.
func (ev *evaluator) usageOfRun(r nutmegstand.EngineRun, request *CallerRequest) tokenUsage {
	usage := tokenUsage{
		workspace: nutmegid.Workspace(r.Workspace), start: r.StartedAt, end: r.StartedAt,
		used: runTokens(r), reserved: runTokens(r),
	}
	accepted := r.StartedAt
	if request != nil {
		usage.end, usage.reserved, accepted = request.EndedAt, max(usage.reserved, request.tokenBound()), request.DueAt
	}
	usage.owner = ev.ownerAt(usage.workspace, accepted)
	if line, ok := ev.billedLines[nutmegid.RequestID(r.Request)]; ok {
		usage.owner = line.Owner // while a workspace moves, the owner of the revision that was in force
	}
	return usage
}

// usagesByBudget groups the runs by the budgets that pay for them: each run
// counts for its workspace and for its owner.
func (ev *evaluator) usagesByBudget(usages []tokenUsage) map[nutmegid.BudgetID][]tokenUsage {
	by := make(map[nutmegid.BudgetID][]tokenUsage)
	for _, s := range usages {
		for _, id := range []nutmegid.BudgetID{nutmegid.WorkspaceBudget(s.workspace), nutmegid.OwnerBudget(s.owner)} {
			by[id] = append(by[id], s)
		}
	}
	return by
}

// countOverspend adds the largest amount by which usage exceeded the tokens
// prepaid at that time. A later top-up does not make up for it.
func (ev *evaluator) countOverspend(budget nutmegid.BudgetID, usages []tokenUsage) {
	var spent, worst nutmegid.Tokens
	for _, s := range usages {
		spent += s.used
		worst = max(worst, spent-ev.prepaidAt(budget, s.end))
	}
	if worst > 0 {
		ev.measures.OverspendTokens += int64(worst)
		ev.addDetail("budget %q was overspent by %d tokens", budget, worst)
	}
}

func (ev *evaluator) prepaidAt(budget nutmegid.BudgetID, at time.Time) nutmegid.Tokens {
	var prepaid nutmegid.Tokens
	for _, c := range ev.credits {
		if c.budget == budget && !c.at.After(at) {
			prepaid += c.tokens
		}
	}
	return prepaid
}

// hadBudgetFor reports whether the workspace and owner budgets could have paid
// for a refused request during all of its attempts. It assumes one global
// counter per budget that reserves the upper bound of every running request, and
// requires at least the given share of the prepaid tokens to be left.
func (ev *evaluator) hadBudgetFor(r *CallerRequest, usages []tokenUsage, share float64) bool {
	owner := ev.ownerAt(r.Step.Workspace, r.DueAt)
	for _, id := range []nutmegid.BudgetID{nutmegid.WorkspaceBudget(r.Step.Workspace), nutmegid.OwnerBudget(owner)} {
		var held nutmegid.Tokens
		for _, other := range usages {
			if nutmegid.WorkspaceBudget(other.workspace) != id && nutmegid.OwnerBudget(other.owner) != id {
				continue
			}
			held += other.reservedBetween(r.DueAt, r.EndedAt)
		}
		prepaid := ev.prepaidAt(id, r.DueAt)
		if prepaid-held < max(r.tokenBound(), nutmegid.Tokens(share*float64(prepaid))) {
			return false
		}
	}
	return true
}

// reservedBetween returns the most tokens that a global counter holds for a run
// between two times.
func (u tokenUsage) reservedBetween(from, to time.Time) nutmegid.Tokens {
	switch {
	case u.start.After(to):
		return 0
	case u.end.Before(from):
		return u.used
	}
	return u.reserved
}

// countStranded sums the workspace tokens in unreleased leases of incarnations
// that no longer run.
func (ev *evaluator) countStranded() {
	for _, shard := range ev.records.Shards {
		for id, budget := range shard.Budgets {
			if !isWorkspaceBudget(id) {
				continue
			}
			for incarnation, lease := range budget.Leases {
				if !ev.liveIncarnations[incarnation] && !lease.Released {
					ev.measures.StrandedTokens += int64(lease.Tokens)
				}
			}
		}
	}
}

func isWorkspaceBudget(id nutmegid.BudgetID) bool {
	prefix := nutmegid.WorkspaceBudget("")
	return len(id) > len(prefix) && id[:len(prefix)] == prefix
}
