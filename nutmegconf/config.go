// Package nutmegconf holds the fleet's configuration: accepted revisions,
// operators' intents, the plans made from them, and each process's settings.
//
// # Usage
//
//	planner := nutmegconf.NewPlanner(nutmegconf.PlannerConfig{Store: writer, Rollout: rollout, Effects: effects, FleetState: fleetState})
//	plan, err := planner.Plan(ctx, actor, "raise the budget", []nutmegconf.Intent{{Kind: nutmegconf.IntentTopUp, ...}})
//	// show plan.Changes, plan.Affected and plan.Warnings; nothing has taken effect yet
//	done, err := planner.Confirm(ctx, actor, plan.ID)
//
//	rollout := nutmegconf.NewRollout(nutmegconf.RolloutConfig{View: view})
//	rollout.Offer(ctx, head, source) // false unless head has a higher revision
//
// The head object in the platform's store is the single source of truth: confirm
// is a compare-and-set on the revision that the plan was made against. The head
// refers to immutable segments by their hashes, so that an instance fetches only
// what changed. Instances apply only higher revisions, so an accepted
// configuration never reverts. The side effects of a plan (top-ups, releases,
// orders to engines) are written into the head together with the revision. Any
// instance can apply them from there; each takes effect once.
package nutmegconf

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// RetryPolicy defines whether the requests of a route may be retried.
type RetryPolicy string

// Retry policies of routes.
const (
	// RetryRepeatable allows a failed call to be retried.
	RetryRepeatable RetryPolicy = "repeatable"
	// RetryProtected runs a call at most once per idempotency key.
	RetryProtected RetryPolicy = "protected"
	// RetryNever sends a call once and never retries it.
	RetryNever RetryPolicy = "never"
)

// Priority orders waiting requests.
type Priority string

// Priorities, the most urgent first.
const (
	PriorityCheck  Priority = "check"
	PriorityLookUp Priority = "look_up"
	PrioritySteady Priority = "steady"
	PriorityBatch  Priority = "batch"
)

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind string

// Kinds of upstreams.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Role defines what an operator may do.
type Role string

// Roles of operators.
const (
	RoleReader   Role = "reader"
	RoleOperator Role = "operator"
)

// OwnerConfig configures one organisation that prepays budgets.
type OwnerConfig struct {
	BudgetPreference BudgetPreference `json:"weighing,omitempty"`
}

// BudgetPreference is the error that an owner prefers to avoid when overspend and
// false refusals cannot both be ruled out.
type BudgetPreference string

// Budget preferences of owners.
const (
	AvoidOverspend     BudgetPreference = "overspend"
	AvoidFalseRefusals BudgetPreference = "false_refusals"
)

// WorkspaceConfig configures one workspace. Caller keys are stored as SHA-256
// hashes.
type WorkspaceConfig struct {
	Owner     nutmegid.Owner `json:"owner"`
	KeyHashes []string       `json:"key_hashes"`
	Priority  Priority       `json:"priority,omitempty"`
	Closed    bool           `json:"closed,omitempty"` // refuses new requests
}

// RouteConfig configures the route of a plain service.
type RouteConfig struct {
	RetryPolicy RetryPolicy `json:"rule"`
	Priority    Priority    `json:"priority"`
}

// ModelConfig configures one model that engines serve.
type ModelConfig struct {
	MaxTokens nutmegid.Tokens `json:"max_tokens,omitempty"` // limit for one answer; unlimited when zero
	Priority  Priority        `json:"priority,omitempty"`
}

// UpstreamConfig configures one upstream.
type UpstreamConfig struct {
	Kind          UpstreamKind           `json:"kind"`
	URL           string                 `json:"url"`
	FailureDomain nutmegid.FailureDomain `json:"failure_domain"`
	Models        []nutmegid.Model       `json:"models,omitempty"`
	Routes        []nutmegid.Route       `json:"routes,omitempty"`
	Fencing       bool                   `json:"fencing,omitempty"`
	Retired       bool                   `json:"retired,omitempty"`
}

// OperatorConfig configures one operator. The key is stored as a SHA-256 hash. An
// operator without an owner manages the configuration that all owners share.
type OperatorConfig struct {
	Owner   nutmegid.Owner `json:"owner"`
	Role    Role           `json:"role"`
	KeyHash string         `json:"key_hash"`
}

// Config is one accepted revision of the configuration.
type Config struct {
	Revision         nutmegid.Revision                        `json:"revision"`
	Owners           map[nutmegid.Owner]OwnerConfig           `json:"owners"`
	Workspaces       map[nutmegid.Workspace]WorkspaceConfig   `json:"workspaces"`
	Routes           map[nutmegid.Route]RouteConfig           `json:"routes"`
	Models           map[nutmegid.Model]ModelConfig           `json:"models"`
	Upstreams        map[nutmegid.Upstream]UpstreamConfig     `json:"upstreams"`
	Operators        map[string]OperatorConfig                `json:"operators"`
	segments         map[Section]SegmentHash                  // segment that each section was read from
	workspaceByKey   map[string]nutmegid.Workspace            // workspace name by key hash
	operatorByKey    map[string]string                        // operator name by key hash
	workspaceBudgets map[nutmegid.Workspace]nutmegid.BudgetID // precomputed, so that the request path builds no IDs
	ownerBudgets     map[nutmegid.Workspace]nutmegid.BudgetID
}

// clone returns a copy whose maps can be modified.
func (c *Config) clone() *Config {
	n := &Config{
		Revision:   c.Revision,
		Owners:     maps.Clone(c.Owners),
		Workspaces: maps.Clone(c.Workspaces),
		Routes:     maps.Clone(c.Routes),
		Models:     maps.Clone(c.Models),
		Upstreams:  maps.Clone(c.Upstreams),
		Operators:  maps.Clone(c.Operators),
		segments:   maps.Clone(c.segments),
	}
	n.initMaps()
	return n
}

func (c *Config) initMaps() {
	c.Owners = nonNilMap(c.Owners)
	c.Workspaces = nonNilMap(c.Workspaces)
	c.Routes = nonNilMap(c.Routes)
	c.Models = nonNilMap(c.Models)
	c.Upstreams = nonNilMap(c.Upstreams)
	c.Operators = nonNilMap(c.Operators)
	c.segments = nonNilMap(c.segments)
}

func nonNilMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return m
}

// HashKey returns the hexadecimal SHA-256 under which a key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// index builds the lookup maps of the request path.
func (c *Config) index() {
	c.workspaceByKey = make(map[string]nutmegid.Workspace)
	c.workspaceBudgets = make(map[nutmegid.Workspace]nutmegid.BudgetID)
	c.ownerBudgets = make(map[nutmegid.Workspace]nutmegid.BudgetID)
	c.operatorByKey = make(map[string]string)
	for name, o := range c.Operators {
		c.operatorByKey[o.KeyHash] = name
	}
	for name, w := range c.Workspaces {
		if !w.Closed {
			c.addKeys(name, w)
		}
		c.workspaceBudgets[name] = nutmegid.WorkspaceBudget(name)
		c.ownerBudgets[name] = nutmegid.OwnerBudget(w.Owner)
	}
}

func (c *Config) addKeys(name nutmegid.Workspace, w WorkspaceConfig) {
	for _, hash := range w.KeyHashes {
		c.workspaceByKey[hash] = name
	}
}

// Caller describes an authenticated workspace and its budgets.
type Caller struct {
	Workspace       nutmegid.Workspace
	Owner           nutmegid.Owner
	WorkspaceBudget nutmegid.BudgetID
	OwnerBudget     nutmegid.BudgetID
	Priority        Priority
}

// Authenticate returns the caller that a key belongs to.
func (c *Config) Authenticate(key string) (Caller, bool) {
	name, ok := c.workspaceByKey[HashKey(key)]
	if !ok {
		return Caller{}, false
	}
	w := c.Workspaces[name]
	return Caller{
		Workspace:       name,
		Owner:           w.Owner,
		WorkspaceBudget: c.workspaceBudgets[name],
		OwnerBudget:     c.ownerBudgets[name],
		Priority:        w.Priority,
	}, true
}

// Operator returns the name and configuration of the operator that a key belongs to.
func (c *Config) Operator(key string) (string, OperatorConfig, bool) {
	name, ok := c.operatorByKey[HashKey(key)]
	return name, c.Operators[name], ok
}

// View holds the configuration in force at one instance. Its revision never
// decreases.
type View struct {
	current atomic.Pointer[Config]
	mu      sync.Mutex
	onApply []func(*Config)
}

// NewView returns a view without a configuration.
func NewView() *View {
	return &View{}
}

// Current returns the configuration in force, or nil before the first one is applied.
func (v *View) Current() *Config {
	return v.current.Load()
}

// OnApply registers fn to be called with each applied configuration.
func (v *View) OnApply(fn func(*Config)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onApply = append(v.onApply, fn)
}

// Apply makes c the current configuration if its revision is higher than the
// current one. It reports whether it did.
func (v *View) Apply(c *Config) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.current.Load()
	if current != nil && c.Revision <= current.Revision {
		return false
	}
	c.index()
	v.current.Store(c)
	for _, fn := range v.onApply {
		fn(c)
	}
	return true
}
