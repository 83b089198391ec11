// Package nutmegid declares the id and unit types that all nutmegwind
// libraries share. Apart from generating random ids it contains no logic.
//
// # Usage
//
//	inc := nutmegid.NewIncarnation()
//	var budget nutmegid.Tokens = 250_000
//	id := nutmegid.WorkspaceBudget("rack-desk")
//
// All types marshal as plain JSON strings or numbers.
package nutmegid

import (
	"strings"

	"github.com/google/uuid"
)

// Tokens counts model tokens. Budgets, reservations and bills use this unit.
type Tokens int64

// Revision is the number of an accepted configuration. A higher revision
// replaces a lower one.
type Revision uint64

// Instance is the name of one entry instance of the fleet, as set in its
// settings.
type Instance string

// Incarnation identifies one process start of an instance.
type Incarnation string

// Workspace is the name of a group of callers that share a budget.
type Workspace string

// Owner is the name of an organisation that prepays budgets.
type Owner string

// FailureDomain is the name of a zone whose instances fail together.
type FailureDomain string

// Region is the name of a group of failure domains in one jurisdiction.
type Region string

// Upstream is the name of one backend: a model engine or a plain service.
type Upstream string

// Route is the name of a routed plain service.
type Route string

// Model is the name of a model that engines serve.
type Model string

// RequestID identifies one caller's request across all of its attempts.
type RequestID string

// WriteID identifies one logical write to the object API across all of its
// attempts.
type WriteID string

// TopUpID identifies one top-up of a budget, so that a retried top-up is
// applied only once.
type TopUpID string

// TransferID identifies one transfer of tokens between two instances.
type TransferID string

// ReservationID identifies tokens that one instance holds for a request of
// another.
type ReservationID string

// PlanID identifies one plan of an operator.
type PlanID string

// OrderKey is the caller's idempotency key of a protected call.
type OrderKey string

// BudgetID identifies the budget of a workspace or of an owner.
type BudgetID string

const (
	workspacePrefix = "workspace/"
	ownerPrefix     = "owner/"
)

// WorkspaceBudget returns the id of the budget that belongs to workspace w.
func WorkspaceBudget(w Workspace) BudgetID {
	return BudgetID(workspacePrefix + string(w))
}

// OwnerBudget returns the id of the budget that belongs to owner o.
func OwnerBudget(o Owner) BudgetID {
	return BudgetID(ownerPrefix + string(o))
}

// OwnerOf returns the owner that a budget belongs to. It returns false for the
// budget of a workspace.
func OwnerOf(id BudgetID) (Owner, bool) {
	name, ok := strings.CutPrefix(string(id), ownerPrefix)
	return Owner(name), ok
}

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(uuid.NewString())
}

// NewRequestID returns a random request id.
func NewRequestID() RequestID {
	return RequestID(uuid.NewString())
}

// NewWriteID returns a random write id.
func NewWriteID() WriteID {
	return WriteID(uuid.NewString())
}

// NewPlanID returns a random plan id.
func NewPlanID() PlanID {
	return PlanID(uuid.NewString())
}

// NewReservationID returns a random reservation id.
func NewReservationID() ReservationID {
	return ReservationID(uuid.NewString())
}

// NewTransferID returns a random transfer id.
func NewTransferID() TransferID {
	return TransferID(uuid.NewString())
}
