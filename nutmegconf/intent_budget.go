package nutmegconf

import (
	"fmt"
	"strings"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const (
	workspaceBudgetPrefix = "workspace/"
	ownerBudgetPrefix     = "owner/"
)

// budgetOwner returns the owner of a budget, and false if its workspace or owner
// does not exist.
func (c *Config) budgetOwner(id nutmegid.BudgetID) (nutmegid.Owner, bool) {
	if name, ok := strings.CutPrefix(string(id), ownerBudgetPrefix); ok {
		_, exists := c.Owners[nutmegid.Owner(name)]
		return nutmegid.Owner(name), exists
	}
	if name, ok := strings.CutPrefix(string(id), workspaceBudgetPrefix); ok {
		w, exists := c.Workspaces[nutmegid.Workspace(name)]
		return w.Owner, exists
	}
	return "", false
}

// readBudget reads a budget after checking that the actor may change it.
func (b *planBuilder) readBudget(id nutmegid.BudgetID) (BudgetState, bool) {
	owner, ok := b.config.budgetOwner(id)
	if !ok {
		b.addError("name workspace/NAME or owner/NAME of an existing workspace or owner", "budget %q has no workspace or owner", id)
		return BudgetState{}, false
	}
	if !b.mayChange(owner) {
		return BudgetState{}, false
	}
	state, err := b.fleet.Budget(b.ctx, id)
	if err != nil {
		b.addError("try again once the store answers", "budget %q could not be read: %v", id, err)
		return BudgetState{}, false
	}
	return state, true
}

// String returns the state as it is shown in a plan.
func (s BudgetState) String() string {
	if !s.Exists {
		return "none"
	}
	return fmt.Sprintf("prepaid %d, spent %d, leased %d to %d instances", s.Prepaid, s.Spent, s.Leased, s.Holders)
}

func topUp(b *planBuilder, i Intent) {
	if i.Tokens <= 0 || i.Tokens > maxTokens {
		b.addError(fmt.Sprintf("give a number from 1 to %d", maxTokens), "tokens is %d", i.Tokens)
		return
	}
	state, ok := b.readBudget(i.Budget)
	if !ok {
		return
	}
	if state.Prepaid > maxTokens-i.Tokens {
		b.addError(fmt.Sprintf("keep the budget under %d", maxTokens), "budget %q would overflow", i.Budget)
		return
	}
	b.addEffect(Effect{Kind: EffectTopUp, Budget: i.Budget, Tokens: i.Tokens})
	b.addChange(state.String(), fmt.Sprintf("prepaid %d", state.Prepaid+i.Tokens), "budget %s", i.Budget)
}

// lowerBudget takes back tokens that are not spent. Leased tokens are taken back as
// instances return them; once the plan is confirmed, no more tokens are leased.
func lowerBudget(b *planBuilder, i Intent) {
	state, ok := b.readBudget(i.Budget)
	if !ok {
		return
	}
	switch {
	case !state.Exists:
		b.addError("add it first", "budget %q does not exist", i.Budget)
		return
	case i.Tokens < 0 || i.Tokens >= state.Prepaid:
		b.addError("use top_up to raise a budget", "tokens %d is not between 0 and the prepaid %d", i.Tokens, state.Prepaid)
		return
	case i.Tokens < state.Spent:
		b.addError(fmt.Sprintf("lower it to %d at least", state.Spent), "budget %q has spent %d tokens", i.Budget, state.Spent)
		return
	}
	if i.Tokens < state.Spent+state.Leased {
		b.addWarning("budget %q has %d tokens leased; %d of them are taken back as instances return them, and what they spend meanwhile stays spent",
			i.Budget, state.Leased, state.Spent+state.Leased-i.Tokens)
	}
	b.addEffect(Effect{Kind: EffectLower, Budget: i.Budget, Tokens: state.Prepaid - i.Tokens})
	b.addChange(state.String(), fmt.Sprintf("prepaid %d", i.Tokens), "budget %s", i.Budget)
}

func removeBudget(b *planBuilder, i Intent) {
	state, ok := b.readBudget(i.Budget)
	if !ok {
		return
	}
	if !state.Exists {
		b.addError("name an existing budget", "budget %q does not exist", i.Budget)
		return
	}
	if state.Leased > 0 {
		b.addError("lower it to what is spent first, wait until its leases return, then remove it", "budget %q has %d tokens leased", i.Budget, state.Leased)
		return
	}
	b.addEffect(Effect{Kind: EffectRemoveBudget, Budget: i.Budget})
	b.addChange(state.String(), "removed", "budget %s", i.Budget)
	b.addWarning("%d tokens of budget %q are given up", state.Prepaid-state.Spent, i.Budget)
}

// releaseInstance ends the leases of an incarnation that no longer exists.
func releaseInstance(b *planBuilder, i Intent) {
	n, alive := b.fleet.Instances(i.Incarnation)
	if alive {
		b.addError("stop the instance first; a clean stop returns its leases", "incarnation %q is alive", i.Incarnation)
		return
	}
	held, err := b.fleet.LeasedTokens(b.ctx, i.Incarnation)
	if err != nil {
		b.addError("name an incarnation that status shows, or try again once the store answers", "leases of %q could not be read: %v", i.Incarnation, err)
		return
	}
	b.addEffect(Effect{Kind: EffectRelease, Incarnation: i.Incarnation})
	b.addChange(fmt.Sprintf("holds %d tokens in leases", held), "released", "incarnation %s", i.Incarnation)
	b.addWarning("you state that the machine of incarnation %q is gone; what it may have spent of %d tokens counts as spent", i.Incarnation, held)
	b.addAffectedOwners("leases of incarnation %s end; %d instances go on", i.Incarnation, n)
}
