package nutmegconf

import (
	"context"
	"fmt"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Actor is the operator who makes a request.
type Actor struct {
	Name  string
	Owner nutmegid.Owner // empty for operators of the shared configuration
}

// canChange reports whether the actor may change what belongs to the owner.
func (a Actor) canChange(owner nutmegid.Owner) bool {
	return a.Owner == "" || a.Owner == owner
}

// BudgetState is the stored state of a budget.
type BudgetState struct {
	Exists  bool
	Prepaid nutmegid.Tokens
	Spent   nutmegid.Tokens
	Leased  nutmegid.Tokens
	Holders int
}

// FleetState reports the fleet's state, from which a plan derives what it would affect.
type FleetState interface {
	// Budget reads a budget from the store.
	Budget(ctx context.Context, id nutmegid.BudgetID) (BudgetState, error)
	// LeasedTokens returns the number of tokens that an incarnation has leased.
	LeasedTokens(ctx context.Context, incarnation nutmegid.Incarnation) (nutmegid.Tokens, error)
	// InFlight returns the number of requests in progress at this instance.
	InFlight() int
	// Instances returns the number of live instances, and whether one of them
	// is the given incarnation.
	Instances(incarnation nutmegid.Incarnation) (int, bool)
}

// Change describes one change of a plan to the operator.
type Change struct {
	Subject string `json:"what"`
	Before  string `json:"before"`
	After   string `json:"after"`
}

// Affected describes the consequences of a plan for one owner.
type Affected struct {
	Owner  nutmegid.Owner `json:"owner"`
	Detail string         `json:"detail"`
}

// IntentError describes one error in an intent.
type IntentError struct {
	Index  int // of the intent in the request
	Kind   IntentKind
	Detail string
	Remedy string
}

// Error returns the intent's position and kind, the problem and the remedy.
func (e *IntentError) Error() string {
	return fmt.Sprintf("intent %d %q: %s; %s", e.Index+1, e.Kind, e.Detail, e.Remedy)
}

// planBuilder applies intents to a copy of the configuration and collects the
// contents of a plan, or the errors in the intents.
type planBuilder struct {
	ctx          context.Context
	actor        Actor
	fleet        FleetState
	planID       nutmegid.PlanID
	engineOrders bool // engines accept orders
	before       *Config
	config       *Config // copy of before with the intents applied
	configAt     func(ctx context.Context, revision nutmegid.Revision) (*Config, error)

	index        int
	kind         IntentKind
	effects      []Effect
	changes      []Change
	affected     []Affected
	warnings     []string
	confirmOwner nutmegid.Owner // owner whose operator has to confirm; empty when any permitted operator may
	errs         []error
}

// apply applies all intents and collects the errors of those that are invalid. The
// resulting configuration is checked only if every intent is valid.
func (b *planBuilder) apply(intents []Intent) {
	for n, i := range intents {
		b.index, b.kind = n, i.Kind
		if !i.checkFields(b) {
			continue
		}
		spec, _ := specOf(i.Kind)
		spec.apply(b, i)
	}
	if len(b.errs) == 0 {
		b.checkConfig()
	}
}

func (b *planBuilder) addError(remedy, format string, args ...any) {
	b.errs = append(b.errs, &IntentError{Index: b.index, Kind: b.kind, Detail: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (b *planBuilder) addChange(before, after, format string, args ...any) {
	b.changes = append(b.changes, Change{Subject: fmt.Sprintf(format, args...), Before: before, After: after})
}

func (b *planBuilder) addWarning(format string, args ...any) {
	b.warnings = append(b.warnings, fmt.Sprintf(format, args...))
}

func (b *planBuilder) addAffected(owner nutmegid.Owner, format string, args ...any) {
	a := Affected{Owner: owner, Detail: fmt.Sprintf(format, args...)}
	if !slices.Contains(b.affected, a) {
		b.affected = append(b.affected, a)
	}
}

// addAffectedOwners records a change of the shared configuration for every owner.
func (b *planBuilder) addAffectedOwners(format string, args ...any) {
	for _, owner := range sortedKeys(b.config.Owners) {
		b.addAffected(owner, format, args...)
	}
}

// addEffect adds an effect that is applied once the plan is confirmed.
func (b *planBuilder) addEffect(e Effect) {
	e.ID = EffectID(fmt.Sprintf("%s/%d", b.planID, len(b.effects)))
	b.effects = append(b.effects, e)
}

// mayChange checks that the actor may change what belongs to the owner.
func (b *planBuilder) mayChange(owner nutmegid.Owner) bool {
	if b.actor.canChange(owner) {
		return true
	}
	b.addError("ask an operator of that owner", "operator %q belongs to owner %q and may not change what %q holds", b.actor.Name, b.actor.Owner, owner)
	return false
}

// mayChangeFleet checks that the actor may change the shared configuration.
func (b *planBuilder) mayChangeFleet() bool {
	if b.actor.Owner == "" {
		return true
	}
	b.addError("ask an operator without owner", "operator %q belongs to owner %q and may not change owners or operators of others", b.actor.Name, b.actor.Owner)
	return false
}

// checkConfig rejects a configuration that is inconsistent, drops leased tokens,
// leaves a route or model without an upstream, or leaves nobody able to change it.
func (b *planBuilder) checkConfig() {
	b.checkRemovedWorkspaces()
	b.checkReferences()
	b.checkRoutes()
	b.checkKeys()
	b.checkOperators()
}

// checkRemovedWorkspaces rejects the removal of a workspace that is open or has
// leased tokens.
func (b *planBuilder) checkRemovedWorkspaces() {
	for _, name := range sortedKeys(b.before.Workspaces) {
		if _, ok := b.config.Workspaces[name]; ok {
			continue
		}
		state, err := b.fleet.Budget(b.ctx, nutmegid.WorkspaceBudget(name))
		switch {
		case err != nil:
			b.addError("try again once the store answers", "budget of workspace %q could not be read: %v", name, err)
		case !b.before.Workspaces[name].Closed:
			b.addError("confirm a close_workspace intent first, wait until its leases return, then remove it", "workspace %q takes requests", name)
		case state.Leased > 0:
			b.addError("wait until its leases return, or release dead instances", "workspace %q has %d tokens leased", name, state.Leased)
		}
	}
}

// checkReferences rejects workspaces and operators whose owner does not exist.
func (b *planBuilder) checkReferences() {
	for _, name := range sortedKeys(b.config.Workspaces) {
		w := b.config.Workspaces[name]
		if _, ok := b.config.Owners[w.Owner]; !ok {
			b.addError("move or remove its workspaces first", "workspace %q would belong to owner %q, which does not exist", name, w.Owner)
		}
	}
	for _, name := range sortedKeys(b.config.Operators) {
		o := b.config.Operators[name]
		if _, ok := b.config.Owners[o.Owner]; !ok && o.Owner != "" {
			b.addError("remove its operators first", "operator %q would belong to owner %q, which does not exist", name, o.Owner)
		}
	}
}

// checkRoutes rejects the loss of the last upstream of a route or model.
func (b *planBuilder) checkRoutes() {
	before, after := b.before.served(), b.config.served()
	for _, name := range sortedKeys(b.config.Routes) {
		key := "route " + string(name)
		if before[key] && !after[key] {
			b.addError("add or restore another upstream for it, or remove the route in the same plan", "route %q would have no upstream", name)
		}
		if !after[key] && !before[key] {
			b.addWarning("route %q has no upstream yet; its requests are refused as not run", name)
		}
	}
	for _, name := range sortedKeys(b.config.Models) {
		key := "model " + string(name)
		if before[key] && !after[key] {
			b.addError("add or restore another upstream for it, or remove the model in the same plan", "model %q would have no upstream", name)
		}
	}
}

// served returns the routes and models that have an upstream in service, as
// "route NAME" and "model NAME".
func (c *Config) served() map[string]bool {
	served := make(map[string]bool)
	for _, u := range c.Upstreams {
		if u.Retired {
			continue
		}
		for _, route := range u.Routes {
			served["route "+string(route)] = true
		}
		for _, model := range u.Models {
			served["model "+string(model)] = true
		}
	}
	return served
}

// checkKeys rejects a key that is used by two workspaces or operators.
func (b *planBuilder) checkKeys() {
	holders := make(map[string]string)
	claim := func(hash, holder string) {
		if first, ok := holders[hash]; ok {
			b.addError("give each its own key", "%s and %s would have the same key", first, holder)
		}
		holders[hash] = holder
	}
	for _, name := range sortedKeys(b.config.Workspaces) {
		for _, hash := range b.config.Workspaces[name].KeyHashes {
			claim(hash, "workspace "+string(name))
		}
	}
	for _, name := range sortedKeys(b.config.Operators) {
		claim(b.config.Operators[name].KeyHash, "operator "+name)
	}
}

// checkOperators rejects a configuration that no operator could change.
func (b *planBuilder) checkOperators() {
	if len(b.before.Operators) == 0 && len(b.config.Operators) == 0 {
		return
	}
	for _, o := range b.config.Operators {
		if o.Role == RoleOperator {
			return
		}
	}
	b.addError("keep one operator with the role operator", "nobody could change the configuration any more")
}
