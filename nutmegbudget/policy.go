package nutmegbudget

import (
	"math"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// View is what a policy knows of one budget when it sizes a lease.
type View struct {
	Rate      float64         // tokens a second that this instance spends
	Held      nutmegid.Tokens // unsettled tokens of this instance's lease
	Need      nutmegid.Tokens // tokens that waiting requests lack
	Granted   nutmegid.Tokens // tokens granted to this lease since it began
	Remaining nutmegid.Tokens // tokens that are neither spent nor leased
	Prepaid   nutmegid.Tokens // the whole budget
	Holders   int             // leases on the budget, this one included
	Idle      bool            // no request has come for a while
	// Live is Remaining and the leases of all holders that may still be up,
	// TotalRate what these spend in a second, and LiveHolders their number.
	Live        nutmegid.Tokens
	TotalRate   float64
	LiveHolders int
}

// Policy sizes leases.
type Policy interface {
	// Target returns the unsettled tokens that the instance should hold.
	Target(v View) nutmegid.Tokens
	// Keep returns the unsettled tokens above which the instance gives back.
	Keep(v View) nutmegid.Tokens
}

// Terms are an owner's weighing of overspend and false refusals.
type Terms struct {
	Policy Policy
	// Share lets instances give each other tokens of the budget.
	Share bool
	// Slice is the span of spend that witnesses acknowledge ahead; 0 leaves
	// the leases unwitnessed.
	Slice time.Duration
}

// RateProportional holds the spend of a horizon, and near the end of a budget
// at most a fair part of what is left.
type RateProportional struct {
	Horizon  time.Duration
	MinLease nutmegid.Tokens // tokens
}

// Target implements Policy.
func (p RateProportional) Target(v View) nutmegid.Tokens {
	fair := v.Held + v.Remaining/nutmegid.Tokens(v.Holders+1)
	return max(min(p.want(v), fair), v.Held+v.Need)
}

func (p RateProportional) want(v View) nutmegid.Tokens {
	if v.Idle {
		return 0
	}
	return max(p.MinLease, nutmegid.Tokens(v.Rate*p.Horizon.Seconds()))
}

// Keep implements Policy. Twice the target is kept, so that small changes of
// the rate cause no writes; an idle instance keeps nothing.
func (p RateProportional) Keep(v View) nutmegid.Tokens {
	return keepFactor * p.want(v)
}

// FairShare holds the spend of a horizon, so that a holder can go on while the
// store is away, and at most its fair part of what the live holders have. What
// a dead holder had is lost, so the horizon is also the price of a death.
type FairShare struct {
	Horizon time.Duration
	// Leased is the share of the budget that may be leased, 0 to 1; the rest
	// stays in the store for holders that run short.
	Leased float64
	// Even is the share of the spend that is taken to be even over holders, 0
	// to 1: the spend of a moment ago tells only so much of the next.
	Even float64
	// Spread is the size of a typical token's request: sizes vary widely, and a
	// lease holds a standard deviation of the horizon's spend beyond its mean.
	Spread nutmegid.Tokens
}

// Target implements Policy.
func (p FairShare) Target(v View) nutmegid.Tokens {
	return max(p.fair(v), v.Held+v.Need)
}

// Keep implements Policy. A quarter more than the target is kept, so that small
// changes of the rate move nothing.
func (p FairShare) Keep(v View) nutmegid.Tokens {
	return p.fair(v) + p.fair(v)/4
}

func (p FairShare) fair(v View) nutmegid.Tokens {
	holders := float64(max(v.LiveHolders, 1))
	// A holder that was cut off may spend more than the store knows of.
	total := max(v.TotalRate, v.Rate)
	part := 1 / holders
	if total > 0 {
		part = p.Even/holders + (1-p.Even)*v.Rate/total
	}
	mean := part * total * p.Horizon.Seconds()
	want := mean + math.Sqrt(mean*float64(p.Spread)) + leastSpread*float64(p.Spread)
	return nutmegid.Tokens(min(want, part*p.Leased*float64(v.Live)))
}

// FixedLease holds the same number of tokens whatever the spend.
type FixedLease struct {
	Tokens nutmegid.Tokens
}

// Target implements Policy.
func (p FixedLease) Target(v View) nutmegid.Tokens {
	if v.Idle {
		return v.Held
	}
	return max(p.Tokens, v.Held+v.Need)
}

// Keep implements Policy.
func (p FixedLease) Keep(v View) nutmegid.Tokens {
	if v.Idle {
		return 0
	}
	return keepFactor * p.Tokens
}

// StaticSplit gives each instance the same part of a budget, once.
type StaticSplit struct {
	Instances int
}

// Target implements Policy.
func (p StaticSplit) Target(v View) nutmegid.Tokens {
	part := v.Prepaid / nutmegid.Tokens(max(1, p.Instances))
	return v.Held + max(0, part-v.Granted)
}

// Keep implements Policy. A static part never returns.
func (p StaticSplit) Keep(v View) nutmegid.Tokens {
	return v.Prepaid
}
