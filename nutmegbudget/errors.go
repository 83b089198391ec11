package nutmegbudget

import (
	"errors"
	"fmt"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// ErrorKind tells what went wrong with a budget.
type ErrorKind string

// The kinds of errors.
const (
	// KindExhausted says that the budget has too few tokens left.
	KindExhausted ErrorKind = "budget_exhausted"
	// KindUnreachable says that tokens may be left but neither the store nor a peer could give them.
	KindUnreachable ErrorKind = "budget_unreachable"
	// KindUnknownBudget says that no such budget exists.
	KindUnknownBudget ErrorKind = "unknown_budget"
	// KindBadAmount says that an amount is negative, zero or too large.
	KindBadAmount ErrorKind = "bad_amount"
	// KindTopUpReused says that a top-up id came with another amount before.
	KindTopUpReused ErrorKind = "top_up_reused"
	// KindBelowUse says that a budget would fall below what is spent or leased.
	KindBelowUse ErrorKind = "budget_below_use"
	// KindUnknownHolder says that no such incarnation holds tokens.
	KindUnknownHolder ErrorKind = "unknown_holder"
	// KindReleased says that an operator has released this instance's leases.
	KindReleased ErrorKind = "lease_released"
	// KindInvariant says that a change would break prepaid >= spent + leases.
	KindInvariant ErrorKind = "budget_invariant"
)

// Error is a refused change or reservation of a budget.
type Error struct {
	Kind   ErrorKind
	Budget nutmegid.BudgetID
	Detail string
	Remedy string
}

// Error names the budget, what failed and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("budget %q: %s; %s", e.Budget, e.Detail, e.Remedy)
}

// IsKind reports whether err is a budget error of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
