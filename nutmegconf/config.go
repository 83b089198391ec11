// Package nutmegconf holds the fleet's configuration: accepted revisions,
// operators' intents, the plans made from them, and each process's settings.
//
// # Usage
//
//	book := nutmegconf.NewBook(nutmegconf.BookConfig{Store: writer, Rollout: rollout, Effects: effects, Live: live})
//	plan, err := book.Plan(ctx, actor, "more glass", []nutmegconf.Intent{{Kind: nutmegconf.IntentTopUp, ...}})
//	// show plan.Changes, plan.Affects and plan.Warnings; nothing has taken effect yet
//	done, err := book.Confirm(ctx, actor, plan.ID)
//
//	rollout := nutmegconf.NewRollout(nutmegconf.RolloutConfig{View: view})
//	rollout.Offer(ctx, head, source) // false unless head has a higher revision
//
// The platform's head object is the only arbiter: confirm is a compare and set
// on the revision that the plan was made against. The head names immutable
// segments by their hashes, so that an instance fetches only what changed.
// Instances apply only higher revisions, so an accepted configuration never
// reverts. What a plan does outside the head (top-ups, releases, orders to
// engines) is written into the head with the revision and carried out from
// there by any instance, each effect once.
package nutmegconf

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// RepeatRule tells which requests of a route may be sent again.
type RepeatRule string

// The repeat rules.
const (
	// RuleRepeatable lets a failed call be sent again.
	RuleRepeatable RepeatRule = "repeatable"
	// RuleProtected runs a call at most once under its key.
	RuleProtected RepeatRule = "protected"
	// RuleNever sends a call once and never again.
	RuleNever RepeatRule = "never"
)

// Priority orders waiting requests; lower values go first.
type Priority string

// The priorities, the most urgent first.
const (
	PriorityCheck  Priority = "check"
	PriorityLookUp Priority = "look_up"
	PrioritySteady Priority = "steady"
	PriorityBatch  Priority = "batch"
)

// UpstreamKind tells model engines from plain services.
type UpstreamKind string

// The kinds of upstreams.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Role is what an operator may do.
type Role string

// The roles.
const (
	RoleReader   Role = "reader"
	RoleOperator Role = "operator"
)

// OwnerConfig is one organisation that prepays budgets.
type OwnerConfig struct {
	Weighing Weighing `json:"weighing,omitempty"`
}

// Weighing is what an owner would rather avoid where both cannot be had.
type Weighing string

// The weighings.
const (
	WeighOverspend     Weighing = "overspend"
	WeighFalseRefusals Weighing = "false_refusals"
)

// WorkspaceConfig is one workspace. Caller keys are kept as SHA-256 hashes.
type WorkspaceConfig struct {
	Owner     nutmegid.Owner `json:"owner"`
	KeyHashes []string       `json:"key_hashes"`
	Priority  Priority       `json:"priority,omitempty"`
	Closed    bool           `json:"closed,omitempty"` // takes no new requests
}

// RouteConfig is one routed plain service.
type RouteConfig struct {
	Rule     RepeatRule `json:"rule"`
	Priority Priority   `json:"priority"`
}

// ModelConfig is one model that engines serve.
type ModelConfig struct {
	MaxTokens nutmegid.Tokens `json:"max_tokens,omitempty"` // of one answer; no bound when zero
	Priority  Priority        `json:"priority,omitempty"`
}

// UpstreamConfig is one back end.
type UpstreamConfig struct {
	Kind          UpstreamKind           `json:"kind"`
	URL           string                 `json:"url"`
	FailureDomain nutmegid.FailureDomain `json:"failure_domain"`
	Models        []nutmegid.Model       `json:"models,omitempty"`
	Routes        []nutmegid.Route       `json:"routes,omitempty"`
	Fencing       bool                   `json:"fencing,omitempty"`
	Retired       bool                   `json:"retired,omitempty"`
}

// OperatorConfig is one operator. The key is kept as a SHA-256 hash. An
// operator without an owner looks after the shared part.
type OperatorConfig struct {
	Owner   nutmegid.Owner `json:"owner"`
	Role    Role           `json:"role"`
	KeyHash string         `json:"key_hash"`
}

// Config is one accepted configuration.
type Config struct {
	Revision   nutmegid.Revision                        `json:"revision"`
	Owners     map[nutmegid.Owner]OwnerConfig           `json:"owners"`
	Workspaces map[nutmegid.Workspace]WorkspaceConfig   `json:"workspaces"`
	Routes     map[nutmegid.Route]RouteConfig           `json:"routes"`
	Models     map[nutmegid.Model]ModelConfig           `json:"models"`
	Upstreams  map[nutmegid.Upstream]UpstreamConfig     `json:"upstreams"`
	Operators  map[string]OperatorConfig                `json:"operators"`
	segments   map[Section]SegmentHash                  // where each section came from
	keys       map[string]nutmegid.Workspace            // by key hash
	operators  map[string]string                        // name by key hash
	budgets    map[nutmegid.Workspace]nutmegid.BudgetID // avoids building ids on the request path
	owners     map[nutmegid.Workspace]nutmegid.BudgetID
}

// clone copies a configuration so that its maps can be changed.
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
	n.makeMaps()
	return n
}

func (c *Config) makeMaps() {
	c.Owners = made(c.Owners)
	c.Workspaces = made(c.Workspaces)
	c.Routes = made(c.Routes)
	c.Models = made(c.Models)
	c.Upstreams = made(c.Upstreams)
	c.Operators = made(c.Operators)
	c.segments = made(c.segments)
}

func made[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return m
}

// HashKey returns the form in which keys are kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// index prepares the look-ups of the request path.
func (c *Config) index() {
	c.keys = make(map[string]nutmegid.Workspace)
	c.budgets = make(map[nutmegid.Workspace]nutmegid.BudgetID)
	c.owners = make(map[nutmegid.Workspace]nutmegid.BudgetID)
	c.operators = make(map[string]string)
	for name, o := range c.Operators {
		c.operators[o.KeyHash] = name
	}
	for name, w := range c.Workspaces {
		if !w.Closed {
			c.addKeys(name, w)
		}
		c.budgets[name] = nutmegid.WorkspaceBudget(name)
		c.owners[name] = nutmegid.OwnerBudget(w.Owner)
	}
}

func (c *Config) addKeys(name nutmegid.Workspace, w WorkspaceConfig) {
	for _, hash := range w.KeyHashes {
		c.keys[hash] = name
	}
}

// Caller is the workspace that a key belongs to, with its budgets.
type Caller struct {
	Workspace       nutmegid.Workspace
	Owner           nutmegid.Owner
	WorkspaceBudget nutmegid.BudgetID
	OwnerBudget     nutmegid.BudgetID
	Priority        Priority
}

// Authenticate returns the caller that a key belongs to.
func (c *Config) Authenticate(key string) (Caller, bool) {
	name, ok := c.keys[HashKey(key)]
	if !ok {
		return Caller{}, false
	}
	w := c.Workspaces[name]
	return Caller{
		Workspace:       name,
		Owner:           w.Owner,
		WorkspaceBudget: c.budgets[name],
		OwnerBudget:     c.owners[name],
		Priority:        w.Priority,
	}, true
}

// Operator returns the name and rights that an operator's key gives.
func (c *Config) Operator(key string) (string, OperatorConfig, bool) {
	name, ok := c.operators[HashKey(key)]
	return name, c.Operators[name], ok
}

// View is the configuration in force at one instance. Its revision never falls.
type View struct {
	current atomic.Pointer[Config]
	mu      sync.Mutex
	onApply []func(*Config)
}

// NewView returns a view without a configuration.
func NewView() *View {
	return &View{}
}

// Current returns the configuration in force, nil before the first.
func (v *View) Current() *Config {
	return v.current.Load()
}

// OnApply registers fn to be told of each applied configuration.
func (v *View) OnApply(fn func(*Config)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onApply = append(v.onApply, fn)
}

// Apply puts a configuration into force if its revision is higher.
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
