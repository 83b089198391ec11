package nutmegconf

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// IntentKind names what an operator wants.
type IntentKind string

// The kinds of intents.
const (
	IntentAddOwner         IntentKind = "add_owner"
	IntentChangeOwner      IntentKind = "change_owner"
	IntentRemoveOwner      IntentKind = "remove_owner"
	IntentAddBudget        IntentKind = "add_budget"
	IntentTopUp            IntentKind = "top_up"
	IntentLowerBudget      IntentKind = "lower_budget"
	IntentRemoveBudget     IntentKind = "remove_budget"
	IntentAddWorkspace     IntentKind = "add_workspace"
	IntentChangeWorkspace  IntentKind = "change_workspace"
	IntentMoveWorkspace    IntentKind = "move_workspace"
	IntentCloseWorkspace   IntentKind = "close_workspace"
	IntentOpenWorkspace    IntentKind = "open_workspace"
	IntentRemoveWorkspace  IntentKind = "remove_workspace"
	IntentAddRoute         IntentKind = "add_route"
	IntentChangeRoute      IntentKind = "change_route"
	IntentSetRepeatRule    IntentKind = "set_repeat_rule"
	IntentRemoveRoute      IntentKind = "remove_route"
	IntentAddModel         IntentKind = "add_model"
	IntentChangeModel      IntentKind = "change_model"
	IntentRemoveModel      IntentKind = "remove_model"
	IntentAddUpstream      IntentKind = "add_upstream"
	IntentChangeUpstream   IntentKind = "change_upstream"
	IntentRemoveUpstream   IntentKind = "remove_upstream"
	IntentRetireUpstreams  IntentKind = "retire_upstreams"
	IntentRestoreUpstreams IntentKind = "restore_upstreams"
	IntentReleaseInstance  IntentKind = "release_instance"
	IntentLoadModel        IntentKind = "load_model"
	IntentUnloadModel      IntentKind = "unload_model"
	IntentLoadAdapter      IntentKind = "load_adapter"
	IntentUnloadAdapter    IntentKind = "unload_adapter"
	IntentLoadVersion      IntentKind = "load_version"
	IntentChangeRole       IntentKind = "change_role"
	IntentAddOperator      IntentKind = "add_operator"
	IntentChangeOperator   IntentKind = "change_operator"
	IntentRemoveOperator   IntentKind = "remove_operator"
	IntentRollBack         IntentKind = "roll_back"
)

// Intent is one typed statement of an operator. Each kind uses the fields that
// its name calls for, see Kinds; any other field is a fault.
type Intent struct {
	Kind        IntentKind           `json:"kind"`
	Owner       nutmegid.Owner       `json:"owner,omitempty"`
	Weighing    Weighing             `json:"weighing,omitempty"`
	Workspace   nutmegid.Workspace   `json:"workspace,omitempty"`
	Budget      nutmegid.BudgetID    `json:"budget,omitempty"`
	Tokens      nutmegid.Tokens      `json:"tokens,omitempty"`
	KeyHashes   []string             `json:"key_hashes,omitempty"`
	Priority    Priority             `json:"priority,omitempty"`
	Route       nutmegid.Route       `json:"route,omitempty"`
	Rule        RepeatRule           `json:"rule,omitempty"`
	Model       nutmegid.Model       `json:"model,omitempty"`
	Adapter     string               `json:"adapter,omitempty"`
	Version     string               `json:"version,omitempty"`
	EngineRole  string               `json:"engine_role,omitempty"`
	Upstreams   []nutmegid.Upstream  `json:"upstreams,omitempty"`
	Upstream    *UpstreamConfig      `json:"upstream,omitempty"`
	Incarnation nutmegid.Incarnation `json:"incarnation,omitempty"`
	Gone        bool                 `json:"gone,omitempty"` // the operator states that the machine is gone
	Operator    string               `json:"operator,omitempty"`
	Role        Role                 `json:"role,omitempty"`
	Revision    nutmegid.Revision    `json:"revision,omitempty"`
}

// intentSpec says which fields a kind needs and may have, and applies it.
type intentSpec struct {
	needs []string
	may   []string
	apply func(d *draft, i Intent)
}

var specs = map[IntentKind]intentSpec{
	IntentAddOwner:         {needs: []string{"owner"}, may: []string{"weighing"}, apply: addOwner},
	IntentChangeOwner:      {needs: []string{"owner", "weighing"}, apply: changeOwner},
	IntentRemoveOwner:      {needs: []string{"owner"}, apply: removeOwner},
	IntentAddBudget:        {needs: []string{"budget", "tokens"}, apply: topUp},
	IntentTopUp:            {needs: []string{"budget", "tokens"}, apply: topUp},
	IntentLowerBudget:      {needs: []string{"budget"}, may: []string{"tokens"}, apply: lowerBudget},
	IntentRemoveBudget:     {needs: []string{"budget"}, apply: removeBudget},
	IntentAddWorkspace:     {needs: []string{"workspace", "owner"}, may: []string{"key_hashes", "priority"}, apply: addWorkspace},
	IntentChangeWorkspace:  {needs: []string{"workspace"}, may: []string{"key_hashes", "priority"}, apply: changeWorkspace},
	IntentMoveWorkspace:    {needs: []string{"workspace", "owner"}, apply: moveWorkspace},
	IntentCloseWorkspace:   {needs: []string{"workspace"}, apply: closeWorkspace},
	IntentOpenWorkspace:    {needs: []string{"workspace"}, apply: closeWorkspace},
	IntentRemoveWorkspace:  {needs: []string{"workspace"}, apply: removeWorkspace},
	IntentAddRoute:         {needs: []string{"route", "rule"}, may: []string{"priority"}, apply: addRoute},
	IntentChangeRoute:      {needs: []string{"route", "priority"}, apply: changeRoute},
	IntentSetRepeatRule:    {needs: []string{"route", "rule"}, apply: changeRoute},
	IntentRemoveRoute:      {needs: []string{"route"}, apply: removeRoute},
	IntentAddModel:         {needs: []string{"model"}, may: []string{"tokens", "priority"}, apply: addModel},
	IntentChangeModel:      {needs: []string{"model"}, may: []string{"tokens", "priority"}, apply: addModel},
	IntentRemoveModel:      {needs: []string{"model"}, apply: removeModel},
	IntentAddUpstream:      {needs: []string{"upstreams", "upstream"}, apply: addUpstream},
	IntentChangeUpstream:   {needs: []string{"upstreams", "upstream"}, apply: addUpstream},
	IntentRemoveUpstream:   {needs: []string{"upstreams"}, apply: removeUpstreams},
	IntentRetireUpstreams:  {needs: []string{"upstreams"}, apply: retireUpstreams},
	IntentRestoreUpstreams: {needs: []string{"upstreams"}, apply: retireUpstreams},
	IntentReleaseInstance:  {needs: []string{"incarnation", "gone"}, apply: releaseInstance},
	IntentLoadModel:        {needs: []string{"upstreams", "model"}, may: []string{"version"}, apply: orderEngines},
	IntentUnloadModel:      {needs: []string{"upstreams", "model"}, apply: orderEngines},
	IntentLoadAdapter:      {needs: []string{"upstreams", "adapter"}, may: []string{"model"}, apply: orderEngines},
	IntentUnloadAdapter:    {needs: []string{"upstreams", "adapter"}, may: []string{"model"}, apply: orderEngines},
	IntentLoadVersion:      {needs: []string{"upstreams", "model", "version"}, apply: orderEngines},
	IntentChangeRole:       {needs: []string{"upstreams", "engine_role"}, apply: orderEngines},
	IntentAddOperator:      {needs: []string{"operator", "key_hashes", "role"}, may: []string{"owner"}, apply: addOperator},
	IntentChangeOperator:   {needs: []string{"operator"}, may: []string{"key_hashes", "role"}, apply: changeOperator},
	IntentRemoveOperator:   {needs: []string{"operator"}, apply: removeOperator},
}

// rollBackSpec stands apart: applying it needs the other kinds' specs.
var rollBackSpec = intentSpec{needs: []string{"revision"}, apply: rollBack}

// specOf returns the spec of a kind.
func specOf(kind IntentKind) (intentSpec, bool) {
	if kind == IntentRollBack {
		return rollBackSpec, true
	}
	spec, ok := specs[kind]
	return spec, ok
}

// Kinds returns all kinds of intents with the fields that each needs, and
// those it may have in brackets.
func Kinds() map[IntentKind]string {
	kinds := map[IntentKind]string{IntentRollBack: rollBackSpec.fields()}
	for kind, spec := range specs {
		kinds[kind] = spec.fields()
	}
	return kinds
}

func (s intentSpec) fields() string {
	text := strings.Join(s.needs, " ")
	for _, field := range s.may {
		text += " [" + field + "]"
	}
	return text
}

// checkFields reports missing and surplus fields of an intent.
func (i Intent) checkFields(d *draft) bool {
	spec, ok := specOf(i.Kind)
	if !ok {
		d.fault(fmt.Sprintf("use one of %v", slices.Sorted(maps.Keys(Kinds()))), "the kind is unknown")
		return false
	}
	given, err := i.given()
	if err != nil {
		d.fault("give a valid intent", "%v", err)
		return false
	}
	whole := true
	for _, field := range spec.needs {
		if !given[field] {
			d.fault("give it", "field %q is missing", field)
			whole = false
		}
		delete(given, field)
	}
	for _, field := range spec.may {
		delete(given, field)
	}
	for _, field := range slices.Sorted(maps.Keys(given)) {
		d.fault("leave it out; the fields are "+spec.fields(), "field %q does not belong to this kind", field)
		whole = false
	}
	return whole
}

// given returns the names of the fields that are set, without the kind.
func (i Intent) given() (map[string]bool, error) {
	raw, err := json.Marshal(i)
	if err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	given := make(map[string]bool)
	for field := range fields {
		given[field] = field != "kind"
	}
	delete(given, "kind")
	return given, nil
}
