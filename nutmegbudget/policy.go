package nutmegbudget

import (
	"math"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// View is the input of a policy: the state of one budget when a lease is sized.
type View struct {
	Rate      float64         // tokens per second that this instance spends
	Held      nutmegid.Tokens // unsettled tokens of this instance's lease
	Need      nutmegid.Tokens // tokens missing for waiting requests
	Granted   nutmegid.Tokens // tokens granted to this instance's lease since it began
	Remaining nutmegid.Tokens // tokens that are neither spent nor leased
	Prepaid   nutmegid.Tokens // the whole budget
	Holders   int             // number of leases on the budget, this one included
	Idle      bool            // no requests for a while
	// Live is Remaining plus the leases of all holders that may still be up,
	// TotalRate the tokens per second that these holders spend, and LiveHolders
	// their number.
	Live        nutmegid.Tokens
	TotalRate   float64
	LiveHolders int
}

// Policy determines the size of leases.
type Policy interface {
	// Target returns the unsettled tokens that the instance should hold.
	Target(v View) nutmegid.Tokens
	// Keep returns the unsettled tokens above which the instance returns tokens.
	Keep(v View) nutmegid.Tokens
}

// Terms are the settings of a budget, by which its owner balances overspend
// against false refusals.
type Terms struct {
	Policy Policy
	// Share lets instances transfer tokens of the budget to each other.
	Share bool
	// Slice is how much spend, as a time at the current rate, witnesses
	// acknowledge in advance; 0 leaves the leases unwitnessed.
	Slice time.Duration
}

// RateProportional targets the spend of Horizon at the current rate, but at most
// a fair part of the remaining tokens.
type RateProportional struct {
	Horizon  time.Duration
	MinLease nutmegid.Tokens // target at low rates
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

// Keep implements Policy. It is twice the target, so that small changes of the
// rate cause no writes; an idle instance keeps nothing.
func (p RateProportional) Keep(v View) nutmegid.Tokens {
	return keepFactor * p.want(v)
}

// FairShare targets the spend of Horizon, so that a holder can continue while
// the store is unavailable, but at most a fair part of the live holders'
// tokens. The tokens of a dead holder are lost, so a longer horizon also costs
// more tokens when a holder dies.
type FairShare struct {
	Horizon time.Duration
	// LeasedFraction is the fraction of the budget that may be leased, from 0 to
	// 1; the rest stays in the store for holders that run short.
	LeasedFraction float64
	// EvenFraction is the fraction of the spend, from 0 to 1, that is assumed to
	// be evenly distributed over the holders, because recent rates predict the
	// next spend only in part.
	EvenFraction float64
	// Spread is the size of the request that a typical token belongs to, that is,
	// the mean request size weighted by tokens. Sizes vary widely, so a lease
	// covers the horizon's mean spend plus one standard deviation, which is
	// derived from Spread.
	Spread nutmegid.Tokens
}

// Target implements Policy.
func (p FairShare) Target(v View) nutmegid.Tokens {
	return max(p.share(v), v.Held+v.Need)
}

// Keep implements Policy. It is a quarter above the target, so that small
// changes of the rate return no tokens.
func (p FairShare) Keep(v View) nutmegid.Tokens {
	return p.share(v) + p.share(v)/4
}

func (p FairShare) share(v View) nutmegid.Tokens {
	holders := float64(max(v.LiveHolders, 1))
	// The store may not know the current rate of a holder that was disconnected.
	total := max(v.TotalRate, v.Rate)
	part := 1 / holders
	if total > 0 {
		part = p.EvenFraction/holders + (1-p.EvenFraction)*v.Rate/total
	}
	mean := part * total * p.Horizon.Seconds()
	want := mean + math.Sqrt(mean*float64(p.Spread)) + minSpreadFraction*float64(p.Spread)
	return nutmegid.Tokens(min(want, part*p.LeasedFraction*float64(v.Live)))
}

// FixedLease targets a fixed number of tokens, independent of the rate.
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

// StaticSplit grants each instance an equal part of a budget, once.
type StaticSplit struct {
	Instances int
}

// Target implements Policy.
func (p StaticSplit) Target(v View) nutmegid.Tokens {
	part := v.Prepaid / nutmegid.Tokens(max(1, p.Instances))
	return v.Held + max(0, part-v.Granted)
}

// Keep implements Policy. A static part is never returned.
func (p StaticSplit) Keep(v View) nutmegid.Tokens {
	return v.Prepaid
}
