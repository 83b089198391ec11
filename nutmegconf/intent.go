package nutmegconf

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// IntentKind identifies the change that an operator asks for.
type IntentKind string

// Kinds of intents.
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
	IntentSetRetryPolicy   IntentKind = "set_repeat_rule"
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

// Intent is one change that an operator asks for. IntentFields lists the fields
// that each kind requires or allows; any other field is an error.
type Intent struct {
	Kind             IntentKind           `json:"kind"`
	Owner            nutmegid.Owner       `json:"owner,omitempty"`
	BudgetPreference BudgetPreference     `json:"weighing,omitempty"`
	Workspace        nutmegid.Workspace   `json:"workspace,omitempty"`
	Budget           nutmegid.BudgetID    `json:"budget,omitempty"`
	Tokens           nutmegid.Tokens      `json:"tokens,omitempty"`
	KeyHashes        []string             `json:"key_hashes,omitempty"`
	Priority         Priority             `json:"priority,omitempty"`
	Route            nutmegid.Route       `json:"route,omitempty"`
	RetryPolicy      RetryPolicy          `json:"rule,omitempty"`
	Model            nutmegid.Model       `json:"model,omitempty"`
	Adapter          string               `json:"adapter,omitempty"`
	Version          string               `json:"version,omitempty"`
	EngineRole       string               `json:"engine_role,omitempty"`
	Upstreams        []nutmegid.Upstream  `json:"upstreams,omitempty"`
	Upstream         *UpstreamConfig      `json:"upstream,omitempty"`
	Incarnation      nutmegid.Incarnation `json:"incarnation,omitempty"`
	Gone             bool                 `json:"gone,omitempty"` // the operator confirms that the machine is gone
	Operator         string               `json:"operator,omitempty"`
	Role             Role                 `json:"role,omitempty"`
	Revision         nutmegid.Revision    `json:"revision,omitempty"`
}

// intentSpec defines the fields of a kind and the function that applies it.
type intentSpec struct {
	required []string
	optional []string
	apply    func(b *planBuilder, i Intent)
}

var intentSpecs = map[IntentKind]intentSpec{
	IntentAddOwner:         {required: []string{"owner"}, optional: []string{"weighing"}, apply: addOwner},
	IntentChangeOwner:      {required: []string{"owner", "weighing"}, apply: changeOwner},
	IntentRemoveOwner:      {required: []string{"owner"}, apply: removeOwner},
	IntentAddBudget:        {required: []string{"budget", "tokens"}, apply: topUp},
	IntentTopUp:            {required: []string{"budget", "tokens"}, apply: topUp},
	IntentLowerBudget:      {required: []string{"budget"}, optional: []string{"tokens"}, apply: lowerBudget},
	IntentRemoveBudget:     {required: []string{"budget"}, apply: removeBudget},
	IntentAddWorkspace:     {required: []string{"workspace", "owner"}, optional: []string{"key_hashes", "priority"}, apply: addWorkspace},
	IntentChangeWorkspace:  {required: []string{"workspace"}, optional: []string{"key_hashes", "priority"}, apply: changeWorkspace},
	IntentMoveWorkspace:    {required: []string{"workspace", "owner"}, apply: moveWorkspace},
	IntentCloseWorkspace:   {required: []string{"workspace"}, apply: closeWorkspace},
	IntentOpenWorkspace:    {required: []string{"workspace"}, apply: closeWorkspace},
	IntentRemoveWorkspace:  {required: []string{"workspace"}, apply: removeWorkspace},
	IntentAddRoute:         {required: []string{"route", "rule"}, optional: []string{"priority"}, apply: addRoute},
	IntentChangeRoute:      {required: []string{"route", "priority"}, apply: changeRoute},
	IntentSetRetryPolicy:   {required: []string{"route", "rule"}, apply: changeRoute},
	IntentRemoveRoute:      {required: []string{"route"}, apply: removeRoute},
	IntentAddModel:         {required: []string{"model"}, optional: []string{"tokens", "priority"}, apply: addModel},
	IntentChangeModel:      {required: []string{"model"}, optional: []string{"tokens", "priority"}, apply: addModel},
	IntentRemoveModel:      {required: []string{"model"}, apply: removeModel},
	IntentAddUpstream:      {required: []string{"upstreams", "upstream"}, apply: addUpstream},
	IntentChangeUpstream:   {required: []string{"upstreams", "upstream"}, apply: addUpstream},
	IntentRemoveUpstream:   {required: []string{"upstreams"}, apply: removeUpstreams},
	IntentRetireUpstreams:  {required: []string{"upstreams"}, apply: retireUpstreams},
	IntentRestoreUpstreams: {required: []string{"upstreams"}, apply: retireUpstreams},
	IntentReleaseInstance:  {required: []string{"incarnation", "gone"}, apply: releaseInstance},
	IntentLoadModel:        {required: []string{"upstreams", "model"}, optional: []string{"version"}, apply: orderEngines},
	IntentUnloadModel:      {required: []string{"upstreams", "model"}, apply: orderEngines},
	IntentLoadAdapter:      {required: []string{"upstreams", "adapter"}, optional: []string{"model"}, apply: orderEngines},
	IntentUnloadAdapter:    {required: []string{"upstreams", "adapter"}, optional: []string{"model"}, apply: orderEngines},
	IntentLoadVersion:      {required: []string{"upstreams", "model", "version"}, apply: orderEngines},
	IntentChangeRole:       {required: []string{"upstreams", "engine_role"}, apply: orderEngines},
	IntentAddOperator:      {required: []string{"operator", "key_hashes", "role"}, optional: []string{"owner"}, apply: addOperator},
	IntentChangeOperator:   {required: []string{"operator"}, optional: []string{"key_hashes", "role"}, apply: changeOperator},
	IntentRemoveOperator:   {required: []string{"operator"}, apply: removeOperator},
}

// rollBackSpec is not part of intentSpecs, because rollBack refers to the other
// kinds' specs, which would be an initialization cycle.
var rollBackSpec = intentSpec{required: []string{"revision"}, apply: rollBack}

// specOf returns the spec of a kind, including IntentRollBack.
func specOf(kind IntentKind) (intentSpec, bool) {
	if kind == IntentRollBack {
		return rollBackSpec, true
	}
	spec, ok := intentSpecs[kind]
	return spec, ok
}

// IntentFields returns the fields of all kinds of intents: the required ones,
// followed by the optional ones in brackets.
func IntentFields() map[IntentKind]string {
	kinds := map[IntentKind]string{IntentRollBack: rollBackSpec.describeFields()}
	for kind, spec := range intentSpecs {
		kinds[kind] = spec.describeFields()
	}
	return kinds
}

func (s intentSpec) describeFields() string {
	text := strings.Join(s.required, " ")
	for _, field := range s.optional {
		text += " [" + field + "]"
	}
	return text
}

// checkFields adds an error for each missing or unexpected field of an intent. It
// reports whether there were none.
func (i Intent) checkFields(b *planBuilder) bool {
	spec, ok := specOf(i.Kind)
	if !ok {
		b.addError(fmt.Sprintf("use one of %v", slices.Sorted(maps.Keys(IntentFields()))), "the kind is unknown")
		return false
	}
	given, err := i.setFields()
	if err != nil {
		b.addError("give a valid intent", "%v", err)
		return false
	}
	valid := true
	for _, field := range spec.required {
		if !given[field] {
			b.addError("give it", "field %q is missing", field)
			valid = false
		}
		delete(given, field)
	}
	for _, field := range spec.optional {
		delete(given, field)
	}
	for _, field := range slices.Sorted(maps.Keys(given)) {
		b.addError("leave it out; the fields are "+spec.describeFields(), "field %q does not belong to this kind", field)
		valid = false
	}
	return valid
}

// setFields returns the names of the fields that are set, except the kind.
func (i Intent) setFields() (map[string]bool, error) {
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
