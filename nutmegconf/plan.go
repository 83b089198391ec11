package nutmegconf

import (
	"fmt"
	"strings"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Plan describes what a list of intents would change. It has no effect until it is
// confirmed.
type Plan struct {
	ID              nutmegid.PlanID   `json:"id"`
	Base            nutmegid.Revision `json:"base_revision"`
	Operator        string            `json:"operator"`
	Owner           nutmegid.Owner    `json:"owner,omitempty"` // owner that the operator belongs to
	ConfirmingOwner nutmegid.Owner    `json:"confirm_by,omitempty"`
	Reason          string            `json:"reason,omitempty"`
	CreatedAt       time.Time         `json:"made_at"`
	Intents         []Intent          `json:"intents"`
	Changes         []Change          `json:"changes"`
	Affected        []Affected        `json:"affected,omitempty"`
	Warnings        []string          `json:"warnings,omitempty"`
	Effects         []Effect          `json:"effects,omitempty"`
}

// Confirmation is the result of confirming a plan. The revision is durable; effects
// that are still pending can be applied by any instance.
type Confirmation struct {
	Plan           nutmegid.PlanID   `json:"plan"`
	Revision       nutmegid.Revision `json:"revision"`
	PendingEffects []Effect          `json:"pending,omitempty"`
	PendingReason  string            `json:"pending_reason,omitempty"` // why effects are pending, if one failed
}

// historyEntry returns the entry that records the confirmation of the plan.
func (p Plan) historyEntry(confirmedBy string, at time.Time, before map[Section]SegmentHash) HistoryEntry {
	changes := p.Changes
	if len(changes) > maxEntryChanges {
		more := Change{Subject: fmt.Sprintf("and %d more, see plan %s", len(changes)-maxEntryChanges, p.ID)}
		changes = append(append([]Change(nil), changes[:maxEntryChanges]...), more)
	}
	return HistoryEntry{
		Revision:    p.Base + 1,
		Plan:        p.ID,
		Operator:    p.Operator,
		ConfirmedBy: confirmedBy,
		Owner:       p.Owner,
		At:          at,
		Reason:      p.Reason,
		Changes:     changes,
		Before:      before,
	}
}

// mayConfirm returns a *ForbiddenError if the actor may not confirm the plan.
func (p Plan) mayConfirm(a Actor) error {
	if a.Owner == "" || a.Owner == p.ConfirmingOwner {
		return nil
	}
	if p.ConfirmingOwner == "" && a.Owner == p.Owner {
		return nil
	}
	requiredOwner := p.ConfirmingOwner
	if requiredOwner == "" {
		requiredOwner = p.Owner
	}
	return &ForbiddenError{Plan: p.ID, Operator: a.Name, RequiredOwner: requiredOwner}
}

// ForbiddenError is returned when an operator may not confirm a plan.
type ForbiddenError struct {
	Plan          nutmegid.PlanID
	Operator      string
	RequiredOwner nutmegid.Owner
}

// Error names the operator, the plan and who may confirm it.
func (e *ForbiddenError) Error() string {
	if e.RequiredOwner == "" {
		return fmt.Sprintf("operator %q may not confirm plan %q; ask an operator without owner", e.Operator, e.Plan)
	}
	return fmt.Sprintf("operator %q may not confirm plan %q; ask an operator of owner %q", e.Operator, e.Plan, e.RequiredOwner)
}

// UnknownPlanError is returned when a plan does not exist.
type UnknownPlanError struct {
	Plan nutmegid.PlanID
}

// Error names the plan and the remedy.
func (e *UnknownPlanError) Error() string {
	return fmt.Sprintf("plan %q does not exist; make it again from its intents", e.Plan)
}

// StalePlanError is returned when another plan was confirmed on the base revision
// after this one was made.
type StalePlanError struct {
	Plan        nutmegid.PlanID
	Base        nutmegid.Revision
	Current     nutmegid.Revision
	FirstChange *HistoryEntry // first revision after Base
	NewPlan     *Plan         // plan for the same intents on the current revision; nil if they are refused now
	ReplanError error         // why the intents are refused now
}

// Error describes the change that made the plan stale, and the remedy.
func (e *StalePlanError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "plan %q was made against revision %d, but revision %d is in force", e.Plan, e.Base, e.Current)
	if e.FirstChange != nil {
		fmt.Fprintf(&text, ": operator %q changed %s", e.FirstChange.ConfirmedBy, e.FirstChange.summary())
	}
	switch {
	case e.NewPlan != nil:
		fmt.Fprintf(&text, "; look at the new plan %q and confirm it", e.NewPlan.ID)
	case e.ReplanError != nil:
		fmt.Fprintf(&text, "; the same intents are refused now: %v", e.ReplanError)
	default:
		text.WriteString("; make the plan again")
	}
	return text.String()
}

// summary lists what the revision changed.
func (e HistoryEntry) summary() string {
	var parts []string
	for _, c := range e.Changes {
		parts = append(parts, c.Subject)
	}
	return strings.Join(parts, ", ")
}

// LostHeadError is returned when the head in the store is older than the one in
// force at this instance.
type LostHeadError struct {
	Stored  nutmegid.Revision
	InForce nutmegid.Revision
}

// Error names both revisions and the remedy.
func (e *LostHeadError) Error() string {
	return fmt.Sprintf("the store holds revision %d, but revision %d is in force; restore object %s before changing anything", e.Stored, e.InForce, HeadKey)
}
