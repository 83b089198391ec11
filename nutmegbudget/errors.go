package nutmegbudget

import (
	"errors"
	"fmt"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// ErrorKind classifies budget errors.
type ErrorKind string

// The error kinds.
const (
	// KindExhausted means that the budget has too few tokens left.
	KindExhausted ErrorKind = "budget_exhausted"
	// KindUnreachable means that tokens may be left but neither the store nor a
	// peer provided them.
	KindUnreachable ErrorKind = "budget_unreachable"
	// KindUnknownBudget means that no such budget exists.
	KindUnknownBudget ErrorKind = "unknown_budget"
	// KindBadAmount means that an amount is negative, zero or too large.
	KindBadAmount ErrorKind = "bad_amount"
	// KindTopUpReused means that a top-up id was used before with another amount.
	KindTopUpReused ErrorKind = "top_up_reused"
	// KindBelowUse means that a budget would fall below its spent and leased
	// tokens.
	KindBelowUse ErrorKind = "budget_below_use"
	// KindUnknownHolder means that no such incarnation holds tokens.
	KindUnknownHolder ErrorKind = "unknown_holder"
	// KindReleased means that an operator has released this instance's leases.
	KindReleased ErrorKind = "lease_released"
	// KindNotStated means that the store has lost what a holder has written, which
	// has to state its leases again.
	KindNotStated ErrorKind = "lease_not_stated"
	// KindInvariant means that a change would violate prepaid >= spent + leases.
	KindInvariant ErrorKind = "budget_invariant"
)

// notStated returns the error for a batch that relies on lost writes.
func notStated(batch Batch) error {
	return &Error{
		Kind: KindNotStated, Detail: fmt.Sprintf("the store does not know the leases of %s as of commit %d", batch.Incarnation, batch.Number),
		Remedy: "state the leases again",
	}
}

// Error describes a refused change or reservation of a budget.
type Error struct {
	Kind   ErrorKind
	Budget nutmegid.BudgetID
	Detail string
	Remedy string
}

// Error returns the budget, the failure and the remedy as one line.
func (e *Error) Error() string {
	return fmt.Sprintf("budget %q: %s; %s", e.Budget, e.Detail, e.Remedy)
}

// IsKind reports whether err is a budget error of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
