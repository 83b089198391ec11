package nutmegconf

import (
	"fmt"
	"maps"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// IntentKind names what an operator wants.
type IntentKind string

// The kinds of intents.
const (
	IntentAddOwner        IntentKind = "add_owner"
	IntentAddBudget       IntentKind = "add_budget"
	IntentTopUp           IntentKind = "top_up"
	IntentAddWorkspace    IntentKind = "add_workspace"
	IntentMoveWorkspace   IntentKind = "move_workspace"
	IntentAddRoute        IntentKind = "add_route"
	IntentAddUpstream     IntentKind = "add_upstream"
	IntentRetireUpstreams IntentKind = "retire_upstreams"
	IntentAddOperator     IntentKind = "add_operator"
)

// Intent is one typed statement of an operator. Each kind uses the fields that
// its name calls for.
type Intent struct {
	Kind      IntentKind          `json:"kind"`
	Owner     nutmegid.Owner      `json:"owner,omitempty"`
	Workspace nutmegid.Workspace  `json:"workspace,omitempty"`
	Budget    nutmegid.BudgetID   `json:"budget,omitempty"`
	Tokens    nutmegid.Tokens     `json:"tokens,omitempty"`
	KeyHashes []string            `json:"key_hashes,omitempty"`
	Priority  Priority            `json:"priority,omitempty"`
	Route     nutmegid.Route      `json:"route,omitempty"`
	Rule      RepeatRule          `json:"rule,omitempty"`
	Upstreams []nutmegid.Upstream `json:"upstreams,omitempty"`
	Upstream  *UpstreamConfig     `json:"upstream,omitempty"`
	Operator  string              `json:"operator,omitempty"`
	Role      Role                `json:"role,omitempty"`
}

// Change is one effect of a plan, as shown to the operator.
type Change struct {
	What   string `json:"what"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// IntentError says why an intent was refused.
type IntentError struct {
	Kind   IntentKind
	Detail string
	Remedy string
}

// Error names the intent, what is wrong and the remedy.
func (e *IntentError) Error() string {
	return fmt.Sprintf("intent %q: %s; %s", e.Kind, e.Detail, e.Remedy)
}

func refuse(kind IntentKind, remedy, format string, args ...any) error {
	return &IntentError{Kind: kind, Detail: fmt.Sprintf(format, args...), Remedy: remedy}
}

// clone copies a configuration so that intents can change the copy.
func (c *Config) clone() *Config {
	n := &Config{
		Revision:   c.Revision,
		Owners:     maps.Clone(c.Owners),
		Workspaces: maps.Clone(c.Workspaces),
		Routes:     maps.Clone(c.Routes),
		Upstreams:  maps.Clone(c.Upstreams),
		Operators:  maps.Clone(c.Operators),
		Plans:      maps.Clone(c.Plans),
	}
	n.makeMaps()
	return n
}

func (c *Config) makeMaps() {
	c.Owners = made(c.Owners)
	c.Workspaces = made(c.Workspaces)
	c.Routes = made(c.Routes)
	c.Upstreams = made(c.Upstreams)
	c.Operators = made(c.Operators)
	c.Plans = made(c.Plans)
}

func made[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return m
}

// apply makes the intent's change to c and describes it.
func (i Intent) apply(c *Config) (Change, error) {
	fn, ok := appliers[i.Kind]
	if !ok {
		return Change{}, refuse(i.Kind, fmt.Sprintf("use one of %v", slices.Sorted(maps.Keys(appliers))), "the kind is unknown")
	}
	return fn(i, c)
}

var appliers = map[IntentKind]func(Intent, *Config) (Change, error){
	IntentAddOwner:        applyAddOwner,
	IntentAddBudget:       applyBudget,
	IntentTopUp:           applyBudget,
	IntentAddWorkspace:    applyAddWorkspace,
	IntentMoveWorkspace:   applyMoveWorkspace,
	IntentAddRoute:        applyAddRoute,
	IntentAddUpstream:     applyAddUpstream,
	IntentRetireUpstreams: applyRetireUpstreams,
	IntentAddOperator:     applyAddOperator,
}

func applyAddOwner(i Intent, c *Config) (Change, error) {
	if i.Owner == "" {
		return Change{}, refuse(i.Kind, "name the owner", "owner is empty")
	}
	if _, ok := c.Owners[i.Owner]; ok {
		return Change{}, refuse(i.Kind, "choose another name", "owner %q exists", i.Owner)
	}
	c.Owners[i.Owner] = struct{}{}
	return Change{What: "owner " + string(i.Owner), After: "added"}, nil
}

// applyBudget checks a budget's change; the tokens are added to its shard after the confirm.
func applyBudget(i Intent, c *Config) (Change, error) {
	if i.Tokens <= 0 {
		return Change{}, refuse(i.Kind, "give a positive number of tokens", "tokens is %d", i.Tokens)
	}
	if !c.budgetExists(i.Budget) {
		return Change{}, refuse(i.Kind, "name workspace/NAME or owner/NAME of an existing workspace or owner", "budget %q has no workspace or owner", i.Budget)
	}
	return Change{What: "budget " + string(i.Budget), Before: "prepaid", After: fmt.Sprintf("prepaid + %d tokens", i.Tokens)}, nil
}

func (c *Config) budgetExists(id nutmegid.BudgetID) bool {
	for name := range c.Workspaces {
		if nutmegid.WorkspaceBudget(name) == id {
			return true
		}
	}
	for name := range c.Owners {
		if nutmegid.OwnerBudget(name) == id {
			return true
		}
	}
	return false
}

func applyAddWorkspace(i Intent, c *Config) (Change, error) {
	if i.Workspace == "" {
		return Change{}, refuse(i.Kind, "name the workspace", "workspace is empty")
	}
	if _, ok := c.Workspaces[i.Workspace]; ok {
		return Change{}, refuse(i.Kind, "choose another name", "workspace %q exists", i.Workspace)
	}
	if _, ok := c.Owners[i.Owner]; !ok {
		return Change{}, refuse(i.Kind, "add the owner first", "owner %q does not exist", i.Owner)
	}
	c.Workspaces[i.Workspace] = WorkspaceConfig{Owner: i.Owner, KeyHashes: i.KeyHashes, Priority: i.Priority}
	return Change{What: "workspace " + string(i.Workspace), After: "added for owner " + string(i.Owner)}, nil
}

func applyMoveWorkspace(i Intent, c *Config) (Change, error) {
	w, ok := c.Workspaces[i.Workspace]
	if !ok {
		return Change{}, refuse(i.Kind, "name an existing workspace", "workspace %q does not exist", i.Workspace)
	}
	if _, ok := c.Owners[i.Owner]; !ok {
		return Change{}, refuse(i.Kind, "add the owner first", "owner %q does not exist", i.Owner)
	}
	before := w.Owner
	w.Owner = i.Owner
	c.Workspaces[i.Workspace] = w
	return Change{What: "owner of workspace " + string(i.Workspace), Before: string(before), After: string(i.Owner)}, nil
}

func applyAddRoute(i Intent, c *Config) (Change, error) {
	if i.Route == "" {
		return Change{}, refuse(i.Kind, "name the route", "route is empty")
	}
	if _, ok := c.Routes[i.Route]; ok {
		return Change{}, refuse(i.Kind, "choose another name", "route %q exists", i.Route)
	}
	rules := []RepeatRule{RuleRepeatable, RuleProtected, RuleNever}
	if !slices.Contains(rules, i.Rule) {
		return Change{}, refuse(i.Kind, fmt.Sprintf("use one of %v", rules), "rule %q is unknown", i.Rule)
	}
	c.Routes[i.Route] = RouteConfig{Rule: i.Rule, Priority: i.Priority}
	return Change{What: "route " + string(i.Route), After: "added, " + string(i.Rule)}, nil
}

func applyAddUpstream(i Intent, c *Config) (Change, error) {
	if len(i.Upstreams) != 1 || i.Upstream == nil {
		return Change{}, refuse(i.Kind, "give one name in upstreams and the back end in upstream", "%d names given", len(i.Upstreams))
	}
	name := i.Upstreams[0]
	if _, ok := c.Upstreams[name]; ok {
		return Change{}, refuse(i.Kind, "choose another name", "upstream %q exists", name)
	}
	c.Upstreams[name] = *i.Upstream
	return Change{What: "upstream " + string(name), After: "added at " + i.Upstream.URL}, nil
}

func applyRetireUpstreams(i Intent, c *Config) (Change, error) {
	for _, name := range i.Upstreams {
		u, ok := c.Upstreams[name]
		if !ok {
			return Change{}, refuse(i.Kind, "name existing upstreams", "upstream %q does not exist", name)
		}
		u.Retired = true
		c.Upstreams[name] = u
	}
	return Change{What: fmt.Sprintf("upstreams %v", i.Upstreams), Before: "serving", After: "retired: no new work"}, nil
}

func applyAddOperator(i Intent, c *Config) (Change, error) {
	if i.Operator == "" || len(i.KeyHashes) != 1 {
		return Change{}, refuse(i.Kind, "give a name and one key hash", "%d key hashes given", len(i.KeyHashes))
	}
	if i.Role != RoleReader && i.Role != RoleOperator {
		return Change{}, refuse(i.Kind, "use reader or operator", "role %q is unknown", i.Role)
	}
	c.Operators[i.Operator] = OperatorConfig{Owner: i.Owner, Role: i.Role, KeyHash: i.KeyHashes[0]}
	return Change{What: "operator " + i.Operator, After: "added as " + string(i.Role)}, nil
}
