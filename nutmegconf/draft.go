package nutmegconf

import (
	"context"
	"fmt"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Actor is the operator who asks.
type Actor struct {
	Name  string
	Owner nutmegid.Owner // empty for operators of the shared part
}

// holds reports whether the actor may change what the owner holds.
func (a Actor) holds(owner nutmegid.Owner) bool {
	return a.Owner == "" || a.Owner == owner
}

// BudgetState is what the store holds of a budget.
type BudgetState struct {
	Exists  bool
	Prepaid nutmegid.Tokens
	Spent   nutmegid.Tokens
	Leased  nutmegid.Tokens
	Holders int
}

// Live tells what a plan would affect at the time that it is made.
type Live interface {
	// Budget reads a budget from the store.
	Budget(ctx context.Context, id nutmegid.BudgetID) (BudgetState, error)
	// Holding returns the tokens that an incarnation holds in leases.
	Holding(ctx context.Context, incarnation nutmegid.Incarnation) (nutmegid.Tokens, error)
	// InFlight returns the requests in progress at this instance.
	InFlight() int
	// Instances returns the number of live instances, and whether one of them
	// is the given incarnation.
	Instances(incarnation nutmegid.Incarnation) (int, bool)
}

// Change is one part of a plan, as shown to the operator.
type Change struct {
	What   string `json:"what"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Affected says what a plan means for one owner.
type Affected struct {
	Owner  nutmegid.Owner `json:"owner"`
	Detail string         `json:"detail"`
}

// IntentError is one fault of an intent.
type IntentError struct {
	Index  int // of the intent in the request
	Kind   IntentKind
	Detail string
	Remedy string
}

// Error names the intent, what is wrong and the remedy.
func (e *IntentError) Error() string {
	return fmt.Sprintf("intent %d %q: %s; %s", e.Index+1, e.Kind, e.Detail, e.Remedy)
}

// draft is a plan in the making.
type draft struct {
	ctx    context.Context
	actor  Actor
	live   Live
	plan   nutmegid.PlanID
	orders bool // engines take orders
	before *Config
	config *Config // before with the intents applied
	past   func(ctx context.Context, revision nutmegid.Revision) (*Config, error)

	index    int
	kind     IntentKind
	effects  []Effect
	changes  []Change
	affected []Affected
	warnings []string
	consent  nutmegid.Owner // whose operator has to confirm
	faults   []error
}

// apply applies all intents, or gathers all faults.
func (d *draft) apply(intents []Intent) {
	for n, i := range intents {
		d.index, d.kind = n, i.Kind
		if !i.checkFields(d) {
			continue
		}
		spec, _ := specOf(i.Kind)
		spec.apply(d, i)
	}
	if len(d.faults) == 0 {
		d.check()
	}
}

func (d *draft) fault(remedy, format string, args ...any) {
	d.faults = append(d.faults, &IntentError{Index: d.index, Kind: d.kind, Detail: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (d *draft) change(before, after, format string, args ...any) {
	d.changes = append(d.changes, Change{What: fmt.Sprintf(format, args...), Before: before, After: after})
}

func (d *draft) warn(format string, args ...any) {
	d.warnings = append(d.warnings, fmt.Sprintf(format, args...))
}

func (d *draft) affect(owner nutmegid.Owner, format string, args ...any) {
	a := Affected{Owner: owner, Detail: fmt.Sprintf(format, args...)}
	if !slices.Contains(d.affected, a) {
		d.affected = append(d.affected, a)
	}
}

// affectAll shows a change of the shared part to every owner.
func (d *draft) affectAll(format string, args ...any) {
	for _, owner := range sortedKeys(d.config.Owners) {
		d.affect(owner, format, args...)
	}
}

// effect adds something to be carried out once the plan is confirmed.
func (d *draft) effect(e Effect) {
	e.ID = EffectID(fmt.Sprintf("%s/%d", d.plan, len(d.effects)))
	d.effects = append(d.effects, e)
}

// mayChange checks that the actor holds what belongs to the owner.
func (d *draft) mayChange(owner nutmegid.Owner) bool {
	if d.actor.holds(owner) {
		return true
	}
	d.fault("ask an operator of that owner", "operator %q belongs to owner %q and may not change what %q holds", d.actor.Name, d.actor.Owner, owner)
	return false
}

// mayChangeFleet checks that the actor looks after the shared part alone.
func (d *draft) mayChangeFleet() bool {
	if d.actor.Owner == "" {
		return true
	}
	d.fault("ask an operator without owner", "operator %q belongs to owner %q and may not change owners or operators of others", d.actor.Name, d.actor.Owner)
	return false
}

// check refuses a configuration that would break a promise or serve nobody.
func (d *draft) check() {
	d.checkRemovedWorkspaces()
	d.checkReferences()
	d.checkRoutes()
	d.checkKeys()
	d.checkOperators()
}

// checkRemovedWorkspaces refuses to remove a workspace with spend in flight.
func (d *draft) checkRemovedWorkspaces() {
	for _, name := range sortedKeys(d.before.Workspaces) {
		if _, ok := d.config.Workspaces[name]; ok {
			continue
		}
		state, err := d.live.Budget(d.ctx, nutmegid.WorkspaceBudget(name))
		switch {
		case err != nil:
			d.fault("try again once the store answers", "budget of workspace %q could not be read: %v", name, err)
		case !d.before.Workspaces[name].Closed:
			d.fault("confirm a close_workspace intent first, wait until its leases return, then remove it", "workspace %q takes requests", name)
		case state.Leased > 0:
			d.fault("wait until its leases return, or release dead instances", "workspace %q has %d tokens leased", name, state.Leased)
		}
	}
}

func (d *draft) checkReferences() {
	for _, name := range sortedKeys(d.config.Workspaces) {
		w := d.config.Workspaces[name]
		if _, ok := d.config.Owners[w.Owner]; !ok {
			d.fault("move or remove its workspaces first", "workspace %q would belong to owner %q, which does not exist", name, w.Owner)
		}
	}
	for _, name := range sortedKeys(d.config.Operators) {
		o := d.config.Operators[name]
		if _, ok := d.config.Owners[o.Owner]; !ok && o.Owner != "" {
			d.fault("remove its operators first", "operator %q would belong to owner %q, which does not exist", name, o.Owner)
		}
	}
}

// checkRoutes refuses to take a route's or a model's last upstream away.
func (d *draft) checkRoutes() {
	before, after := d.before.served(), d.config.served()
	for _, name := range sortedKeys(d.config.Routes) {
		key := "route " + string(name)
		if before[key] && !after[key] {
			d.fault("add or restore another upstream for it, or remove the route in the same plan", "route %q would have no upstream", name)
		}
		if !after[key] && !before[key] {
			d.warn("route %q has no upstream yet; its requests are refused as not run", name)
		}
	}
	for _, name := range sortedKeys(d.config.Models) {
		key := "model " + string(name)
		if before[key] && !after[key] {
			d.fault("add or restore another upstream for it, or remove the model in the same plan", "model %q would have no upstream", name)
		}
	}
}

// served names the routes and models that have an upstream in service.
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

// checkKeys refuses a key that would open two workspaces or operators.
func (d *draft) checkKeys() {
	holders := make(map[string]string)
	claim := func(hash, holder string) {
		if first, ok := holders[hash]; ok {
			d.fault("give each its own key", "%s and %s would have the same key", first, holder)
		}
		holders[hash] = holder
	}
	for _, name := range sortedKeys(d.config.Workspaces) {
		for _, hash := range d.config.Workspaces[name].KeyHashes {
			claim(hash, "workspace "+string(name))
		}
	}
	for _, name := range sortedKeys(d.config.Operators) {
		claim(d.config.Operators[name].KeyHash, "operator "+name)
	}
}

// checkOperators refuses to leave the fleet without anybody who may change it.
func (d *draft) checkOperators() {
	if len(d.before.Operators) == 0 && len(d.config.Operators) == 0 {
		return
	}
	for _, o := range d.config.Operators {
		if o.Role == RoleOperator {
			return
		}
	}
	d.fault("keep one operator with the role operator", "nobody could change the configuration any more")
}
