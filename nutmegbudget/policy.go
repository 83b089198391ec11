package nutmegbudget

import (
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// View is what a policy knows of one budget when it sizes a lease.
type View struct {
	Rate      float64         // tokens a second that this instance spends
	Held      nutmegid.Tokens // unsettled tokens of this instance's lease
	Need      nutmegid.Tokens // tokens that waiting requests lack
	Remaining nutmegid.Tokens // tokens that are neither spent nor leased
	Holders   int             // leases on the budget, this one included
}

// Policy sizes leases.
type Policy interface {
	// Target returns the unsettled tokens that the instance should hold.
	Target(v View) nutmegid.Tokens
}

// RateProportional holds the spend of a horizon, and near the end of a budget
// at most a fair part of what is left.
type RateProportional struct {
	Horizon  time.Duration
	MinLease nutmegid.Tokens
}

// Target implements Policy.
func (p RateProportional) Target(v View) nutmegid.Tokens {
	want := max(p.MinLease, nutmegid.Tokens(v.Rate*p.Horizon.Seconds()))
	fair := v.Held + v.Remaining/nutmegid.Tokens(v.Holders+1)
	return max(min(want, fair), v.Held+v.Need)
}

// FixedLease holds the same number of tokens whatever the spend.
type FixedLease struct {
	Tokens nutmegid.Tokens
}

// Target implements Policy.
func (p FixedLease) Target(v View) nutmegid.Tokens {
	return max(p.Tokens, v.Held+v.Need)
}
