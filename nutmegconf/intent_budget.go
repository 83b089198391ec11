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

// budgetOwner returns the owner of a budget, false where it has none.
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

// budget checks that the actor may change a budget and reads it.
func (d *draft) budget(id nutmegid.BudgetID) (BudgetState, bool) {
	owner, ok := d.config.budgetOwner(id)
	if !ok {
		d.fault("name workspace/NAME or owner/NAME of an existing workspace or owner", "budget %q has no workspace or owner", id)
		return BudgetState{}, false
	}
	if !d.mayChange(owner) {
		return BudgetState{}, false
	}
	state, err := d.live.Budget(d.ctx, id)
	if err != nil {
		d.fault("try again once the store answers", "budget %q could not be read: %v", id, err)
		return BudgetState{}, false
	}
	return state, true
}

func (s BudgetState) String() string {
	if !s.Exists {
		return "none"
	}
	return fmt.Sprintf("prepaid %d, spent %d, leased %d to %d instances", s.Prepaid, s.Spent, s.Leased, s.Holders)
}

func topUp(d *draft, i Intent) {
	if i.Tokens <= 0 || i.Tokens > maxTokens {
		d.fault(fmt.Sprintf("give a number from 1 to %d", maxTokens), "tokens is %d", i.Tokens)
		return
	}
	state, ok := d.budget(i.Budget)
	if !ok {
		return
	}
	if state.Prepaid > maxTokens-i.Tokens {
		d.fault(fmt.Sprintf("keep the budget under %d", maxTokens), "budget %q would overflow", i.Budget)
		return
	}
	d.effect(Effect{Kind: EffectTopUp, Budget: i.Budget, Tokens: i.Tokens})
	d.change(state.String(), fmt.Sprintf("prepaid %d", state.Prepaid+i.Tokens), "budget %s", i.Budget)
}

// lowerBudget takes tokens back that are not spent. What is leased is taken as
// it returns: from the confirm on, nothing more is leased.
func lowerBudget(d *draft, i Intent) {
	state, ok := d.budget(i.Budget)
	if !ok {
		return
	}
	switch {
	case !state.Exists:
		d.fault("add it first", "budget %q does not exist", i.Budget)
		return
	case i.Tokens < 0 || i.Tokens >= state.Prepaid:
		d.fault("use top_up to raise a budget", "tokens %d is not between 0 and the prepaid %d", i.Tokens, state.Prepaid)
		return
	case i.Tokens < state.Spent:
		d.fault(fmt.Sprintf("lower it to %d at least", state.Spent), "budget %q has spent %d tokens", i.Budget, state.Spent)
		return
	}
	if i.Tokens < state.Spent+state.Leased {
		d.warn("budget %q has %d tokens leased; %d of them are taken back as instances return them, and what they spend meanwhile stays spent",
			i.Budget, state.Leased, state.Spent+state.Leased-i.Tokens)
	}
	d.effect(Effect{Kind: EffectLower, Budget: i.Budget, Tokens: state.Prepaid - i.Tokens})
	d.change(state.String(), fmt.Sprintf("prepaid %d", i.Tokens), "budget %s", i.Budget)
}

func removeBudget(d *draft, i Intent) {
	state, ok := d.budget(i.Budget)
	if !ok {
		return
	}
	if !state.Exists {
		d.fault("name an existing budget", "budget %q does not exist", i.Budget)
		return
	}
	if state.Leased > 0 {
		d.fault("lower it to what is spent first, wait until its leases return, then remove it", "budget %q has %d tokens leased", i.Budget, state.Leased)
		return
	}
	d.effect(Effect{Kind: EffectRemoveBudget, Budget: i.Budget})
	d.change(state.String(), "removed", "budget %s", i.Budget)
	d.warn("%d tokens of budget %q are given up", state.Prepaid-state.Spent, i.Budget)
}

// releaseInstance ends the leases of an incarnation that is gone.
func releaseInstance(d *draft, i Intent) {
	n, alive := d.live.Instances(i.Incarnation)
	if alive {
		d.fault("stop the instance first; a clean stop returns its leases", "incarnation %q is alive", i.Incarnation)
		return
	}
	held, err := d.live.Holding(d.ctx, i.Incarnation)
	if err != nil {
		d.fault("name an incarnation that status shows, or try again once the store answers", "leases of %q could not be read: %v", i.Incarnation, err)
		return
	}
	d.effect(Effect{Kind: EffectRelease, Incarnation: i.Incarnation})
	d.change(fmt.Sprintf("holds %d tokens in leases", held), "released", "incarnation %s", i.Incarnation)
	d.warn("you state that the machine of incarnation %q is gone; what it may have spent of %d tokens counts as spent", i.Incarnation, held)
	d.affectAll("leases of incarnation %s end; %d instances go on", i.Incarnation, n)
}
