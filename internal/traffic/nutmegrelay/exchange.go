package nutmegrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegevent"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const (
	maxAttempts = 4 // includes attempts that upstreams refused
	// maxPermitRequests limits the permits that are asked for before one attempt, each
	// for another upstream, so that the caller does not wait for many of them.
	maxPermitRequests = 6
	refusedRetryAfter = 150 * time.Millisecond
)

// exchange is the state of one call across its attempts.
type exchange struct {
	relay       *Relay
	call        *nutmegcall.Call
	sink        Sink
	reservation Reservation

	exclude    []nutmegid.Upstream // upstreams that this call has tried
	addresses  []string            // that this call has been sent to
	attempts   int
	sent       int // attempts that may have reached an upstream
	executions int // attempts that may have run
	ran        nutmegcall.Ran
	info       ResponseInfo  // of the latest response
	record     AttemptRecord // of the latest attempt
	events     nutmegevent.Splitter
	headerSent bool                        // the response header was sent to the caller
	version    *nutmegview.SoftwareVersion // that began the stream; nil before its first event
	beganAt    time.Duration               // first event of the latest attempt; zero if there was none
	begun      bool                        // the latest attempt's upstream has gone on for a while after that
	outcome    nutmegcall.Outcome
}

// attemptResult is how one attempt ended.
type attemptResult int

const (
	attemptDone    attemptResult = iota // the call has ended
	attemptNotRun                       // the upstream has not run the call
	attemptUnknown                      // the upstream may have run the call
	attemptStale                        // the reused connection was closed before anything was sent
)

// serve makes attempts until the call has ended.
func (e *exchange) serve(ctx context.Context) *nutmegcall.Refusal {
	for {
		if ctx.Err() != nil {
			return e.interrupted(ctx)
		}
		if refusal := e.checkHold(); refusal != nil {
			return e.notPlaced(refusal)
		}
		if refusal := e.checkBegin(); refusal != nil {
			return refusal
		}
		retry := e.sent > 0
		if retry && !e.takeRetry() {
			return e.giveUp()
		}
		placement, refusal := e.place(ctx)
		if refusal != nil && ctx.Err() != nil {
			return e.interrupted(ctx)
		}
		if refusal != nil {
			return e.notPlaced(refusal)
		}
		e.attempts++
		e.outcome.Upstream, e.outcome.Software = placement.Upstream.ID, placement.Upstream.Version
		if retry {
			e.logDecision(e.retryKind(), placement, nil)
		}
		began := e.relay.cfg.Elapsed()
		result, err := e.attempt(ctx, placement)
		e.recordServiceTime(result, began)
		if result == attemptDone {
			return nil
		}
		if result != attemptStale {
			e.exclude = append(e.exclude, placement.Upstream.ID)
		}
		if ctx.Err() != nil {
			return e.interrupted(ctx)
		}
		e.logFailed(placement, result, err)
		if result == attemptUnknown && mayEndUpstream(err) {
			e.checkUpstream(ctx, placement)
		}
		if result == attemptUnknown && !e.mayRetryAfterRun() {
			return e.fail(err)
		}
		if e.attempts >= maxAttempts {
			return e.giveUp()
		}
	}
}

// checkBegin returns a refusal if the call has not run and must not begin now.
func (e *exchange) checkBegin() *nutmegcall.Refusal {
	if e.ran != nutmegcall.NotRun {
		return nil
	}
	return e.relay.cfg.MayBegin(e.call)
}

// place picks an upstream that permits the request.
func (e *exchange) place(ctx context.Context) (*nutmegplace.Placement, *nutmegcall.Refusal) {
	cfg := e.relay.cfg
	info := e.pickInfo()
	for denied := 0; ; {
		p, refusal := cfg.Placer.Pick(info, cfg.Elapsed())
		if refusal != nil {
			return nil, refusal
		}
		permit := cfg.Notices.Permit(ctx, p.Upstream)
		if permit.Granted && cfg.Placer.Admits(p.Upstream, e.pickInfo()) {
			return p, nil
		}
		if permit.Granted { // its failure domain was evacuated while the permit was asked for
			e.withdraw(p)
			continue
		}
		cfg.OnDecision(e.call, Decision{Kind: DecisionNotPermitted, Upstream: p.Upstream.ID, Attempt: e.attempts + 1, Detail: permit.Detail})
		if permit.Leaving {
			cfg.Placer.Leave(p, cfg.Elapsed())
			continue
		}
		cfg.Placer.Hold(p, permit.Wait, cfg.Elapsed())
		info.AvoidCold = info.AvoidCold || permit.Cold
		denied++
		if denied == maxPermitRequests || ctx.Err() != nil {
			return nil, &nutmegcall.Refusal{Reason: nutmegcall.ReasonRateLimited, RetryAfter: permit.Wait, Detail: permit.Detail}
		}
	}
}

// withdraw ends the placement of a request that may no longer run there.
func (e *exchange) withdraw(p *nutmegplace.Placement) {
	cfg := e.relay.cfg
	cfg.Placer.Done(p, nutmegplace.ResultNeutral, cfg.Elapsed())
	cfg.OnDecision(e.call, Decision{
		Kind: DecisionWithdrawn, Upstream: p.Upstream.ID, Attempt: e.attempts + 1,
		Detail: fmt.Sprintf("failure domain %q has been evacuated", p.Upstream.FailureDomain),
	})
}

func (e *exchange) pickInfo() nutmegplace.PickInfo {
	return nutmegplace.PickInfo{Service: e.call.Service, Prompt: e.call.Prompt, Exclude: e.exclude, Regions: e.call.Regions, Version: e.version}
}

// mayRetryAfterRun reports whether the call may be retried or resumed although an
// earlier attempt may have run.
func (e *exchange) mayRetryAfterRun() bool {
	route := e.call.Route
	if e.executions >= route.MaxUpstreams {
		return false
	}
	return PolicyOf(route) != PolicyOnce
}

// takeRetry takes a retry from the retry budget and reports whether there was one.
func (e *exchange) takeRetry() bool {
	if e.relay.cfg.Retries.AllowRetry(e.call.Service, e.relay.cfg.Elapsed(), e.relay.cfg.Instances()) {
		return true
	}
	e.relay.cfg.OnDecision(e.call, Decision{Kind: DecisionRetryBudgetSpent, Attempt: e.attempts})
	return false
}

func (e *exchange) retryKind() DecisionKind {
	if e.headerSent {
		return DecisionResume
	}
	return DecisionRetry
}

func (e *exchange) logDecision(kind DecisionKind, p *nutmegplace.Placement, err error) {
	e.relay.cfg.OnDecision(e.call, Decision{Kind: kind, Upstream: p.Upstream.ID, Software: p.Upstream.Version, Attempt: e.attempts, Err: err})
}

// logFailed logs an attempt that did not end the call.
func (e *exchange) logFailed(p *nutmegplace.Placement, result attemptResult, err error) {
	record := e.record
	record.Process = p.Upstream.Process()
	record.Conclusion = conclusion(result, record.Sent)
	record.Policy = PolicyOf(e.call.Route)
	e.relay.cfg.OnDecision(e.call, Decision{Kind: DecisionFailed, Upstream: p.Upstream.ID, Attempt: e.attempts, Err: err, Record: &record})
}

// interrupted ends a call whose caller has disconnected or whose deadline has
// passed.
func (e *exchange) interrupted(ctx context.Context) *nutmegcall.Refusal {
	if e.headerSent {
		e.outcome.Reason = nutmegcall.ReasonResponseIncomplete
		e.outcome.Detail = context.Cause(ctx).Error()
		return nil
	}
	if errors.Is(context.Cause(ctx), errDeadline) {
		return &nutmegcall.Refusal{Reason: nutmegcall.ReasonDeadlineExceeded, Ran: e.ran, Detail: "no answer within the time limit"}
	}
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonCallerLeft, Ran: e.ran, Detail: "the caller closed its connection"}
}

// notPlaced ends a call that is not sent to an upstream now. It returns the refusal,
// which states that the call has not run, only if that is true of the call's
// earlier attempts as well.
func (e *exchange) notPlaced(refusal *nutmegcall.Refusal) *nutmegcall.Refusal {
	if e.ran != nutmegcall.NotRun || e.headerSent {
		return e.fail(refusal)
	}
	return refusal
}

// giveUp ends a call that may not be retried any more.
func (e *exchange) giveUp() *nutmegcall.Refusal {
	if e.ran != nutmegcall.NotRun || e.headerSent {
		return e.fail(errors.New("it is not sent again"))
	}
	return &nutmegcall.Refusal{
		Reason: nutmegcall.ReasonRefusedByUpstreams, RetryAfter: refusedRetryAfter,
		Detail: fmt.Sprintf("%d upstreams refused it", len(e.exclude)),
	}
}

// fail ends a call that may have run and has no complete response.
func (e *exchange) fail(err error) *nutmegcall.Refusal {
	detail := "the upstream gave no whole answer"
	if err != nil {
		detail += ": " + err.Error()
	}
	if e.headerSent {
		e.outcome.Reason = nutmegcall.ReasonResponseIncomplete
		e.outcome.Detail = detail
		return nil
	}
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonUpstreamFailed, Ran: e.ran, Detail: detail}
}

// settle charges the tokens that the call used: the prompt once, however many
// attempts were made, and the output that the caller may have received.
func (e *exchange) settle() {
	if e.reservation == nil {
		return
	}
	var used nutmegid.Tokens
	if e.ran != nutmegcall.NotRun {
		used = nutmegid.Tokens(e.call.Prompt.Tokens + e.outputTokens())
	}
	e.outcome.UsedTokens = used
	e.reservation.Settle(used)
}

// outputTokens returns an upper bound of the output tokens that were forwarded.
func (e *exchange) outputTokens() int64 {
	limit := e.call.Prompt.MaxOutput
	perEvent, known := e.relay.bounds.largest(e.call)
	if !known || e.events.Events > limit/perEvent { // the product may overflow
		return limit
	}
	return e.events.Events * perEvent
}

// overBound reports whether a metered stream has more events than output tokens
// were reserved: each event holds at least one token.
func (e *exchange) overBound() bool {
	return e.reservation != nil && e.events.Events > e.call.Prompt.MaxOutput
}
