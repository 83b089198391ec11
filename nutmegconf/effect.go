package nutmegconf

import (
	"context"
	"fmt"
	"strings"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// EffectID identifies one effect of a plan, "plan/index".
type EffectID string

// EffectKind names what is carried out after a confirm.
type EffectKind string

// The kinds of effects.
const (
	EffectTopUp        EffectKind = "top_up"        // add Tokens to Budget
	EffectLower        EffectKind = "lower"         // take Tokens from Budget as they become free
	EffectRemoveBudget EffectKind = "remove_budget" // take Budget out of force
	EffectRelease      EffectKind = "release"       // end the leases of Incarnation
	EffectOrder        EffectKind = "engine_order"  // give Order to Upstream
)

// Effect is one thing that a confirmed plan does outside the configuration.
type Effect struct {
	ID          EffectID             `json:"id"`
	Kind        EffectKind           `json:"kind"`
	Budget      nutmegid.BudgetID    `json:"budget,omitempty"`
	Tokens      nutmegid.Tokens      `json:"tokens,omitempty"`
	Incarnation nutmegid.Incarnation `json:"incarnation,omitempty"`
	Upstream    nutmegid.Upstream    `json:"upstream,omitempty"`
	Order       *EngineOrder         `json:"order,omitempty"`
}

// EngineOrder is what an engine is told.
type EngineOrder struct {
	Action  IntentKind     `json:"action"`
	Model   nutmegid.Model `json:"model,omitempty"`
	Adapter string         `json:"adapter,omitempty"`
	Version string         `json:"version,omitempty"`
	Role    string         `json:"role,omitempty"`
}

// String returns the action with what it names.
func (o EngineOrder) String() string {
	return strings.Join(strings.Fields(fmt.Sprintf("%s %s %s %s %s", o.Action, o.Model, o.Adapter, o.Version, o.Role)), " ")
}

// Effects carries out the effects of confirmed plans.
type Effects interface {
	// Apply carries out an effect. It is idempotent by the effect's id, may run
	// at several instances at once, and reports false where the effect is not
	// complete yet and has to be tried again.
	Apply(ctx context.Context, e Effect) (bool, error)
}
