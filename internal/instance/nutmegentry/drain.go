package nutmegentry

import (
	"fmt"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

// drain decides which requests run during a graceful stop. Until the load balancer
// has noticed the stop, all do. After that, a request runs only if its own time
// limit ends before running requests are aborted: how long an upstream takes is not
// known before it has answered.
type drain struct {
	balancerDone time.Time // when the load balancer sends only requests that no other instance can take
	cutoff       time.Time // when running requests are aborted
	finish       time.Time // when the leases must be back in the store
}

// newDrain plans a stop that begins now and may take as long as grace.
func newDrain(now time.Time, grace time.Duration) *drain {
	wanted := finishTimeout + exitTimeout
	closing := min(wanted, grace/maxClosingDivisor)
	finish := time.Duration(finishTimeout.Seconds() / wanted.Seconds() * float64(closing))
	cutoff := now.Add(grace - closing)
	return &drain{balancerDone: now.Add(balancerDelay), cutoff: cutoff, finish: cutoff.Add(finish)}
}

// refuse returns a refusal for a call that no upstream runs yet if the instance may
// stop before its response is complete, or nil if the call may run.
func (d *drain) refuse(call *nutmegcall.Call, now time.Time) *nutmegcall.Refusal {
	answered := call.Deadline.Add(answerMargin)
	if now.Before(d.balancerDone) || !answered.After(d.cutoff) {
		return nil
	}
	return &nutmegcall.Refusal{
		Reason: nutmegcall.ReasonInstanceStopping, RetryAfter: drainRetryAfter,
		Detail: fmt.Sprintf("this instance stops in %d ms and the request may take %d ms", d.cutoff.Sub(now).Milliseconds(), call.Deadline.Sub(now).Milliseconds()),
	}
}

// checkDrain refuses a call that no upstream runs yet if this instance is stopping
// and the call may not end in time.
func (e *Entry) checkDrain(call *nutmegcall.Call) *nutmegcall.Refusal {
	d := e.drain.Load()
	if d == nil {
		return nil
	}
	return d.refuse(call, time.Now())
}
