package nutmegrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegevent"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const (
	maxAttempts = 4 // includes attempts that upstreams refused
	// maxPermitRequests limits the permits that are asked for before one attempt, each
	// for another upstream, so that the caller does not wait for many of them.
	maxPermitRequests = 6
	// noRetryMaxIdleAge limits how long a pooled connection may have been idle if the
	// request must not run twice. The upstream may be about to close an older
	// one, and then it would be unknown whether the request ran.
	noRetryMaxIdleAge = 2 * time.Second
	// attemptShare is the fraction of the remaining time that an attempt of an
	// idempotent request may take, so that another upstream has time to answer.
	attemptShare   = 0.4
	minAttemptTime = 60 * time.Millisecond

	refusedRetryAfter = 150 * time.Millisecond
)

// exchange is the state of one call across its attempts.
type exchange struct {
	relay       *Relay
	call        *nutmegcall.Call
	sink        Sink
	reservation Reservation

	exclude    []nutmegid.Upstream // upstreams that this call has tried
	attempts   int
	sent       int // attempts that may have reached an upstream
	executions int // attempts that may have run
	ran        nutmegcall.Ran
	info       ResponseInfo // of the latest response
	events     nutmegevent.Splitter
	headerSent bool          // the response header was sent to the caller
	beganAt    time.Duration // first event of the latest attempt; zero if there was none
	begun      bool          // the latest attempt's upstream has gone on for a while after that
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
		e.outcome.Upstream = placement.Upstream.ID
		if retry {
			e.logDecision(e.retryKind(), placement, nil)
		}
		result, err := e.attempt(ctx, placement)
		if result == attemptDone {
			return nil
		}
		if result != attemptStale {
			e.exclude = append(e.exclude, placement.Upstream.ID)
		}
		if ctx.Err() != nil {
			return e.interrupted(ctx)
		}
		e.logDecision(DecisionFailed, placement, err)
		if result == attemptUnknown && nutmegconn.IsConnectionLost(err) {
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

// place picks an upstream that permits the request.
func (e *exchange) place(ctx context.Context) (*nutmegplace.Placement, *nutmegcall.Refusal) {
	cfg := e.relay.cfg
	for denied := 0; ; {
		p, refusal := cfg.Placer.Pick(e.pickInfo(), cfg.Elapsed())
		if refusal != nil {
			return nil, refusal
		}
		permit := cfg.Notices.Permit(ctx, p.Upstream)
		if permit.Granted {
			return p, nil
		}
		cfg.OnDecision(e.call, Decision{Kind: DecisionNotPermitted, Upstream: p.Upstream.ID, Attempt: e.attempts + 1, Detail: permit.Detail})
		if permit.Leaving {
			cfg.Placer.Leave(p, cfg.Elapsed())
			continue
		}
		cfg.Placer.Hold(p, permit.Wait, cfg.Elapsed())
		denied++
		if denied == maxPermitRequests || ctx.Err() != nil {
			return nil, &nutmegcall.Refusal{Reason: nutmegcall.ReasonRateLimited, RetryAfter: permit.Wait, Detail: permit.Detail}
		}
	}
}

func (e *exchange) pickInfo() nutmegplace.PickInfo {
	return nutmegplace.PickInfo{Service: e.call.Service, Prompt: e.call.Prompt, Exclude: e.exclude}
}

// mayRetryAfterRun reports whether the call may be retried or resumed although an
// earlier attempt may have run.
func (e *exchange) mayRetryAfterRun() bool {
	route := e.call.Route
	if e.executions >= route.MaxUpstreams {
		return false
	}
	return route.RetryPolicy == nutmegview.Idempotent || route.Stream && route.Resumable
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
	e.relay.cfg.OnDecision(e.call, Decision{Kind: kind, Upstream: p.Upstream.ID, Attempt: e.attempts, Err: err})
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
	limit, perEvent := e.call.Prompt.MaxOutput, e.relay.tokensPerEvent(e.call.Service)
	if e.events.Events > limit/perEvent { // the product may overflow
		return limit
	}
	return e.events.Events * perEvent
}

// overBound reports whether a metered stream has more events than output tokens
// were reserved: each event holds at least one token.
func (e *exchange) overBound() bool {
	return e.reservation != nil && e.events.Events > e.call.Prompt.MaxOutput
}

// attempt sends the call to one upstream and forwards the response.
func (e *exchange) attempt(ctx context.Context, p *nutmegplace.Placement) (attemptResult, error) {
	cfg := e.relay.cfg
	ctx, cancel := e.limitAttempt(ctx)
	defer cancel()
	e.beganAt, e.begun = 0, false
	resp, err := cfg.Pool.Send(ctx, e.request(p))
	if err != nil {
		return e.handleSendError(ctx, p, err)
	}
	defer resp.Close()
	e.sent++
	e.outcome.Attempts = e.sent
	info := e.info
	if !info.Misdirected {
		cfg.Notices.Record(e.call, p.Upstream, info.Notice)
	}
	if info.Load != nil {
		cfg.Placer.ReportLoad(p, *info.Load, cfg.Elapsed())
	}
	if info.NotRun || info.Misdirected {
		return e.handleRefusal(p, resp, info)
	}
	e.executions++
	e.ran = nutmegcall.MayHaveRun
	if e.call.Route.Stream && resp.StatusCode == http.StatusOK {
		return e.forwardStream(ctx, p, resp)
	}
	return e.forwardResponse(ctx, p, resp)
}

// limitAttempt limits the time of an attempt if the call is idempotent and may be
// retried.
func (e *exchange) limitAttempt(ctx context.Context) (context.Context, context.CancelFunc) {
	route := e.call.Route
	if route.RetryPolicy != nutmegview.Idempotent || route.Stream || e.executions+1 >= route.MaxUpstreams {
		return context.WithCancel(ctx)
	}
	left := e.call.Deadline.Sub(e.relay.cfg.Now())
	return context.WithTimeout(ctx, max(time.Duration(float64(left)*attemptShare), minAttemptTime))
}

// request encodes the call for an upstream.
func (e *exchange) request(p *nutmegplace.Placement) nutmegconn.Request {
	cfg := e.relay.cfg
	req := cfg.Codec.EncodeRequest(e.call, Attempt{
		Upstream:    p.Upstream.ID,
		Timeout:     e.call.Deadline.Sub(cfg.Now()),
		Priority:    e.call.Priority,
		ResumeAfter: e.resumeAfter(),
	})
	request := nutmegconn.Request{Address: p.Upstream.Address, HTTP: req, Body: e.call.Body, Matches: e.matches}
	if !e.mayRetryAfterRun() {
		request.MaxIdleAge = noRetryMaxIdleAge
	}
	return request
}

func (e *exchange) resumeAfter() string {
	if e.headerSent {
		return e.events.LastID
	}
	return ""
}

// matches decodes the header of a response and reports whether it answers this
// call rather than an earlier one on the same connection. On a reused connection
// a response without an ID may be a late copy of an earlier one.
func (e *exchange) matches(resp *http.Response, reused bool) bool {
	e.info = e.relay.cfg.Codec.DecodeHeader(resp)
	if e.info.RequestID == "" {
		return !reused
	}
	return e.info.RequestID == e.call.ID
}

// handleSendError ends an attempt that got no response header.
func (e *exchange) handleSendError(ctx context.Context, p *nutmegplace.Placement, err error) (attemptResult, error) {
	var failed *nutmegconn.Error
	sent := nutmegconn.SentAll
	if errors.As(err, &failed) {
		sent = failed.Sent
	}
	if sent == nutmegconn.SentNothing && failed.Reused {
		e.finish(ctx, p, nutmegplace.ResultNeutral)
		return attemptStale, err
	}
	if sent == nutmegconn.SentNothing {
		e.finish(ctx, p, nutmegplace.ResultUnreachable)
		return attemptNotRun, err
	}
	e.sent++
	e.outcome.Attempts = e.sent
	e.executions++
	e.ran = nutmegcall.MayHaveRun
	e.finish(ctx, p, nutmegplace.ResultFailed)
	return attemptUnknown, err
}

// finish reports the result of an attempt to the placer. If the call was cancelled,
// by its caller or by a stop, the result says nothing about the upstream. A
// deadline that has passed does.
func (e *exchange) finish(ctx context.Context, p *nutmegplace.Placement, result nutmegplace.Result) {
	if errors.Is(ctx.Err(), context.Canceled) {
		result = nutmegplace.ResultNeutral
	}
	e.relay.cfg.Placer.Done(p, result, e.relay.cfg.Elapsed())
}

// handleRefusal ends an attempt that the upstream did not run.
func (e *exchange) handleRefusal(p *nutmegplace.Placement, resp *nutmegconn.Response, info ResponseInfo) (attemptResult, error) {
	result := nutmegplace.ResultBusy
	if info.Misdirected {
		result = nutmegplace.ResultMisdirected
	}
	e.relay.cfg.Placer.Done(p, result, e.relay.cfg.Elapsed())
	_, err := readBuffered(resp)
	return attemptNotRun, errors.Join(fmt.Errorf("upstream refused the request with status %d", resp.StatusCode), err)
}
