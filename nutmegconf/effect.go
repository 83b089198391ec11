package nutmegconf

import (
	"context"
	"fmt"
	"strings"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// EffectID identifies one effect of a plan, "plan/index".
type EffectID string

// EffectKind identifies an action that follows the confirmation of a plan.
type EffectKind string

// Kinds of effects.
const (
	EffectTopUp        EffectKind = "top_up"        // adds Tokens to Budget
	EffectLower        EffectKind = "lower"         // removes Tokens from Budget as leases return them
	EffectRemoveBudget EffectKind = "remove_budget" // removes Budget
	EffectRelease      EffectKind = "release"       // ends the leases of Incarnation
	EffectOrder        EffectKind = "engine_order"  // sends Order to Upstream
)

// Effect is one action of a confirmed plan outside the configuration.
type Effect struct {
	ID          EffectID             `json:"id"`
	Kind        EffectKind           `json:"kind"`
	Budget      nutmegid.BudgetID    `json:"budget,omitempty"`
	Tokens      nutmegid.Tokens      `json:"tokens,omitempty"`
	Incarnation nutmegid.Incarnation `json:"incarnation,omitempty"`
	Upstream    nutmegid.Upstream    `json:"upstream,omitempty"`
	Order       *EngineOrder         `json:"order,omitempty"`
}

// EngineOrder is a command to an engine.
type EngineOrder struct {
	Action  IntentKind     `json:"action"`
	Model   nutmegid.Model `json:"model,omitempty"`
	Adapter string         `json:"adapter,omitempty"`
	Version string         `json:"version,omitempty"`
	Role    string         `json:"role,omitempty"`
}

// String returns the action followed by the fields that are set.
func (o EngineOrder) String() string {
	return strings.Join(strings.Fields(fmt.Sprintf("%s %s %s %s %s", o.Action, o.Model, o.Adapter, o.Version, o.Role)), " ")
}

// EffectApplier applies the effects of confirmed plans.
type EffectApplier interface {
	// Apply applies an effect. It is idempotent by the effect's ID, may run at
	// several instances at once, and returns false if the effect is not complete
	// yet and has to be retried.
	Apply(ctx context.Context, e Effect) (bool, error)
}
