package nutmegstore

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// adaptiveLimiter limits an instance to its share of the platform's calls per
// second. The rate is halved when the platform rejects a call for exceeding its
// limit, and recovers slowly, so that instances under one shared limit converge
// to equal shares.
type adaptiveLimiter struct {
	limiter *rate.Limiter
	maxRate rate.Limit

	mu sync.Mutex
}

func newAdaptiveLimiter(perSecond float64) *adaptiveLimiter {
	return &adaptiveLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1), maxRate: rate.Limit(perSecond)}
}

// wait blocks until the limiter admits one call or ctx ends.
func (a *adaptiveLimiter) wait(ctx context.Context) error {
	return a.limiter.Wait(ctx)
}

// adjust lowers the rate after a rate-limited call and raises it after any other.
func (a *adaptiveLimiter) adjust(limited bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.limiter.Limit()
	if limited {
		a.limiter.SetLimit(max(a.maxRate*minRateFactor, current*rateDecreaseFactor))
		return
	}
	if current < a.maxRate {
		a.limiter.SetLimit(min(a.maxRate, current+a.maxRate*rateIncreaseFactor))
	}
}
