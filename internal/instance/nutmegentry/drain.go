package nutmegentry

import (
	"time"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

// drain decides which new requests run during a graceful stop.
type drain struct {
	balancerDone time.Time // when the load balancer sends only requests that no other instance can take
	cutoff       time.Time // when running requests are aborted
}

func newDrain(now time.Time, limit time.Duration) *drain {
	return &drain{balancerDone: now.Add(balancerDelay), cutoff: now.Add(limit)}
}

// refuse returns a refusal for a request that may not finish before the cutoff, or
// nil if the request may run. All requests run until the load balancer has noticed
// the stop.
func (d *drain) refuse(call *nutmegcall.Call) *nutmegcall.Refusal {
	if call.Arrived.Before(d.balancerDone) || !call.Arrived.Add(expectedDuration(call)).After(d.cutoff) {
		return nil
	}
	return &nutmegcall.Refusal{
		Reason: nutmegcall.ReasonInstanceStopping, RetryAfter: drainRetryAfter, Detail: "this instance stops; another one has time for the request",
	}
}

// expectedDuration returns a likely upper bound for the duration of a request.
func expectedDuration(call *nutmegcall.Call) time.Duration {
	if !call.Route.Stream {
		return plainCallTime
	}
	tokens := time.Duration(call.Prompt.MaxOutput)*outputTokenTime + time.Duration(call.Prompt.Tokens)*inputTokenTime
	return plainCallTime + tokens
}
