package nutmegentry

import (
	"time"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

// stopping is what a graceful stop lets a new request do.
type stopping struct {
	settled time.Time // when the balancer sends only what it has no other place for
	end     time.Time // when running requests are cut
}

func newStopping(now time.Time, limit time.Duration) *stopping {
	return &stopping{settled: now.Add(balancerTime), end: now.Add(limit)}
}

// refuse returns a refusal for a request that may not end in time, nil for one
// that may run. Until the balancer has seen the stop, all run.
func (s *stopping) refuse(call *nutmegcall.Call) *nutmegcall.Refusal {
	if call.Arrived.Before(s.settled) || !call.Arrived.Add(longest(call)).After(s.end) {
		return nil
	}
	return &nutmegcall.Refusal{
		Reason: nutmegcall.ReasonStopping, RetryAfter: stoppingRetry, Detail: "this instance stops; another one has time for the request",
	}
}

// longest is how long a request takes at most, in all likelihood.
func longest(call *nutmegcall.Call) time.Duration {
	if !call.Route.Stream {
		return plainTime
	}
	tokens := time.Duration(call.Prompt.MaxOutput)*outputTokenTime + time.Duration(call.Prompt.Tokens)*inputTokenTime
	return plainTime + tokens
}
