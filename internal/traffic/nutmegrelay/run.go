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
	maxTries = 4 // sendings of one request, refused ones included
	// onceIdleAge is the longest that a connection may have been unused when
	// it takes a request that must not run twice: the upstream may be closing it.
	onceIdleAge = 2 * time.Second
	// tryShare is the share of the time left after which an idempotent request
	// is given up at one upstream, so that another one has time to answer.
	tryShare = 0.4
	minTry   = 60 * time.Millisecond

	refusedRetryAfter = 150 * time.Millisecond
)

// run is one call over its sendings.
type run struct {
	relay       *Relay
	call        *nutmegcall.Call
	out         Sink
	reservation Reservation

	avoid   []nutmegid.Upstream
	tries   int
	sends   int // that reached an upstream
	runs    int // upstreams that may have run it
	ran     nutmegcall.Ran
	head    Head // of the latest answer
	events  nutmegevent.Splitter
	began   bool // the answer's head was passed on
	outcome nutmegcall.Outcome
}

// attempt is how one sending ended.
type attempt int

const (
	attemptDone    attempt = iota // the call has ended
	attemptNotRun                 // the upstream cannot have run it
	attemptUnknown                // the upstream may have run it
	attemptStale                  // the kept connection was closed before anything was sent
)

// serve sends until the call has ended.
func (r *run) serve(ctx context.Context) *nutmegcall.Refusal {
	for {
		if ctx.Err() != nil {
			return r.ended(ctx)
		}
		again := r.sends > 0
		if again && !r.mayRepeat() {
			return r.gaveUp()
		}
		ticket, refusal := r.relay.cfg.Placer.Pick(r.ask(), r.relay.cfg.Moment())
		if refusal != nil {
			return r.refused(refusal)
		}
		r.tries++
		r.outcome.Upstream = ticket.Upstream.ID
		if again {
			r.note(r.kindOfRepeat(), ticket, nil)
		}
		last, err := r.attempt(ctx, ticket)
		if last == attemptDone {
			return nil
		}
		if last != attemptStale {
			r.avoid = append(r.avoid, ticket.Upstream.ID)
		}
		if ctx.Err() != nil {
			return r.ended(ctx)
		}
		r.note(DecisionFailed, ticket, err)
		if last == attemptUnknown && !r.repeatable() {
			return r.broken(err)
		}
		if r.tries >= maxTries {
			return r.gaveUp()
		}
	}
}

func (r *run) ask() nutmegplace.Ask {
	return nutmegplace.Ask{Service: r.call.Service, Prompt: r.call.Prompt, Avoid: r.avoid}
}

// repeatable says whether a request that may have run may be sent again.
func (r *run) repeatable() bool {
	route := r.call.Route
	if r.runs >= route.MaxUpstreams {
		return false
	}
	return route.Repeat == nutmegview.Idempotent || route.Stream && route.Resumable
}

// mayRepeat takes one more sending from the fleet's retry budget.
func (r *run) mayRepeat() bool {
	if r.relay.cfg.Retries.Again(r.call.Service, r.relay.cfg.Moment(), r.relay.cfg.Instances()) {
		return true
	}
	r.relay.cfg.Decided(r.call, Decision{Kind: DecisionNoRepeats, Try: r.tries})
	return false
}

func (r *run) kindOfRepeat() DecisionKind {
	if r.began {
		return DecisionResume
	}
	return DecisionRepeat
}

func (r *run) note(kind DecisionKind, t *nutmegplace.Ticket, err error) {
	r.relay.cfg.Decided(r.call, Decision{Kind: kind, Upstream: t.Upstream.ID, Try: r.tries, Err: err})
}

// ended is the refusal of a call whose caller has left or whose time is over.
func (r *run) ended(ctx context.Context) *nutmegcall.Refusal {
	if r.began {
		r.outcome.Reason = nutmegcall.ReasonAnswerBroken
		r.outcome.Detail = context.Cause(ctx).Error()
		return nil
	}
	if errors.Is(context.Cause(ctx), errDeadline) {
		return &nutmegcall.Refusal{Reason: nutmegcall.ReasonDeadline, Ran: r.ran, Detail: "no answer within the time limit"}
	}
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonCallerLeft, Ran: r.ran, Detail: "the caller closed its connection"}
}

// refused passes a refusal of the placer on. A call that may have run is
// broken, whatever stands in the way of its repeat.
func (r *run) refused(refusal *nutmegcall.Refusal) *nutmegcall.Refusal {
	if r.ran != nutmegcall.NotRun || r.began {
		return r.broken(refusal)
	}
	return refusal
}

// gaveUp ends a call that is not sent again.
func (r *run) gaveUp() *nutmegcall.Refusal {
	if r.ran != nutmegcall.NotRun || r.began {
		return r.broken(errors.New("it is not sent again"))
	}
	return &nutmegcall.Refusal{
		Reason: nutmegcall.ReasonRefused, RetryAfter: refusedRetryAfter,
		Detail: fmt.Sprintf("%d upstreams refused it", r.tries),
	}
}

// broken ends a call that may have run and has no whole answer.
func (r *run) broken(err error) *nutmegcall.Refusal {
	detail := "the upstream gave no whole answer"
	if err != nil {
		detail += ": " + err.Error()
	}
	if r.began {
		r.outcome.Reason = nutmegcall.ReasonAnswerBroken
		r.outcome.Detail = detail
		return nil
	}
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonBroken, Ran: r.ran, Detail: detail}
}

// settle counts what the call used: its prompt once, and the output that its
// caller may have.
func (r *run) settle() {
	if r.reservation == nil {
		return
	}
	var used nutmegid.Tokens
	if r.ran != nutmegcall.NotRun {
		output := min(r.events.Events*r.relay.tokensPerEvent(r.call.Service), r.call.Prompt.MaxOutput)
		used = nutmegid.Tokens(r.call.Prompt.Tokens + output)
	}
	r.outcome.Used = used
	r.reservation.Settle(used)
}

// attempt sends the call to one upstream and passes its answer on.
func (r *run) attempt(ctx context.Context, t *nutmegplace.Ticket) (attempt, error) {
	cfg := r.relay.cfg
	ctx, cancel := r.limitTry(ctx)
	defer cancel()
	resp, err := cfg.Pool.Send(ctx, r.request(t))
	if err != nil {
		return r.unanswered(ctx, t, err)
	}
	defer resp.Close()
	r.sends++
	r.outcome.Sends = r.sends
	head := r.head
	if head.Load != nil {
		cfg.Placer.Report(t, *head.Load, cfg.Moment())
	}
	if head.NotRun || head.Moved {
		return r.notRun(t, resp, head)
	}
	r.runs++
	r.ran = nutmegcall.MayHaveRun
	if r.call.Route.Stream && resp.StatusCode == http.StatusOK {
		return r.passStream(ctx, t, resp)
	}
	return r.passAnswer(ctx, t, resp)
}

// limitTry bounds one sending of an idempotent call that may be sent again.
func (r *run) limitTry(ctx context.Context) (context.Context, context.CancelFunc) {
	route := r.call.Route
	if route.Repeat != nutmegview.Idempotent || route.Stream || r.runs+1 >= route.MaxUpstreams {
		return context.WithCancel(ctx)
	}
	left := r.call.Deadline.Sub(r.relay.cfg.Now())
	return context.WithTimeout(ctx, max(time.Duration(float64(left)*tryShare), minTry))
}

// request encodes the call for an upstream.
func (r *run) request(t *nutmegplace.Ticket) nutmegconn.Request {
	cfg := r.relay.cfg
	req := cfg.Wire.Request(r.call, Sending{
		Upstream:    t.Upstream.ID,
		Left:        r.call.Deadline.Sub(cfg.Now()),
		Priority:    r.call.Priority,
		ResumeAfter: r.resumeAfter(),
	})
	request := nutmegconn.Request{Address: t.Upstream.Address, HTTP: req, Body: r.call.Body, Belongs: r.belongs}
	if !r.repeatable() {
		request.MaxIdleAge = onceIdleAge
	}
	return request
}

func (r *run) resumeAfter() string {
	if r.began {
		return r.events.LastID
	}
	return ""
}

// belongs decodes an answer's head and says whether it is to this call and not
// to an earlier one on the same connection.
func (r *run) belongs(resp *http.Response) bool {
	r.head = r.relay.cfg.Wire.Head(resp)
	return r.head.Request == "" || r.head.Request == r.call.ID
}

// unanswered judges a sending without an answer's head.
func (r *run) unanswered(ctx context.Context, t *nutmegplace.Ticket, err error) (attempt, error) {
	var failed *nutmegconn.Error
	sent := nutmegconn.SentAll
	if errors.As(err, &failed) {
		sent = failed.Sent
	}
	if sent == nutmegconn.SentNothing && failed.Reused {
		r.done(ctx, t, nutmegplace.ResultNeutral)
		return attemptStale, err
	}
	if sent == nutmegconn.SentNothing {
		r.done(ctx, t, nutmegplace.ResultUnreachable)
		return attemptNotRun, err
	}
	r.sends++
	r.outcome.Sends = r.sends
	r.runs++
	r.ran = nutmegcall.MayHaveRun
	r.done(ctx, t, nutmegplace.ResultFailed)
	return attemptUnknown, err
}

// done ends the ticket. What the caller ended says nothing of the upstream.
func (r *run) done(ctx context.Context, t *nutmegplace.Ticket, result nutmegplace.Result) {
	if cause := context.Cause(ctx); cause != nil && errors.Is(cause, context.Canceled) {
		result = nutmegplace.ResultNeutral
	}
	r.relay.cfg.Placer.Done(t, result, r.relay.cfg.Moment())
}

// notRun ends a sending that the upstream refused.
func (r *run) notRun(t *nutmegplace.Ticket, resp *nutmegconn.Response, head Head) (attempt, error) {
	result := nutmegplace.ResultBusy
	if head.Moved {
		result = nutmegplace.ResultGone
	}
	r.relay.cfg.Placer.Done(t, result, r.relay.cfg.Moment())
	_, err := readSmall(resp)
	return attemptNotRun, errors.Join(fmt.Errorf("refused with status %d", resp.StatusCode), err)
}
