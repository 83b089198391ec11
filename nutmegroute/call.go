package nutmegroute

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Repeat tells how often a call may be sent.
type Repeat string

// The repeat rules of calls.
const (
	// RepeatYes lets a failed call be sent again.
	RepeatYes Repeat = "repeatable"
	// RepeatNotRun lets a call be sent again only where it provably did not run.
	RepeatNotRun Repeat = "not_run"
)

// Call is one call of a routed plain service.
type Call struct {
	Request   nutmegid.RequestID
	Workspace nutmegid.Workspace
	Route     nutmegid.Route
	Key       nutmegid.OrderKey
	Method    string
	Path      string
	Query     url.Values
	Header    http.Header
	Body      []byte
	Repeat    Repeat
	Priority  Priority
}

// Answer is a plain service's whole answer.
type Answer struct {
	Upstream nutmegid.Upstream
	Status   int
	Header   http.Header
	Body     []byte
}

// Uncertain reports whether the answer leaves open if the call took effect.
func (a Answer) Uncertain() bool {
	return isUncertainStatus(a.Status)
}

// callRun is one call over its attempts.
type callRun struct {
	sender *Sender
	call   Call
	avoid  []nutmegid.Upstream
	ran    Ran // over all attempts
}

// Call sends a call to an upstream of its route. A call that is not repeatable
// is sent again only after a failure that proves that it did not run. Look-ups
// of repeatable routes are hedged: after a delay they are sent to a second
// upstream, and the first answer counts.
func (s *Sender) Call(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, s.cfg.CallTimeout, context.DeadlineExceeded)
	defer cancel()
	s.retries.Deposit(routeName(call.Route))
	r := &callRun{sender: s, call: call, ran: RanNo}
	if call.hedged() {
		return r.hedge(ctx)
	}
	return r.attempts(ctx)
}

func (c Call) hedged() bool {
	return c.Repeat == RepeatYes && (c.Method == http.MethodGet || c.Method == http.MethodHead)
}

func (r *callRun) attempts(ctx context.Context) (Answer, error) {
	var answer Answer
	var err error
	for attempt := 1; attempt <= r.sender.cfg.MaxAttempts; attempt++ {
		if attempt > 1 && !r.sender.retries.Take(routeName(r.call.Route)) {
			break
		}
		answer, err = r.attempt(ctx)
		r.ran = r.ran.Worse(ranOfCall(answer, err))
		if !r.mayRepeat(ctx, answer, err) {
			break
		}
	}
	return answer, withRan(err, r.ran)
}

// ranOfCall is what one attempt says about running.
func ranOfCall(answer Answer, err error) Ran {
	if err != nil {
		return RanOf(err)
	}
	if answer.Uncertain() {
		return RanUnknown
	}
	return RanYes
}

func (r *callRun) mayRepeat(ctx context.Context, answer Answer, err error) bool {
	if ctx.Err() != nil || IsKind(err, KindNoUpstream) {
		return false
	}
	if err != nil {
		return r.call.Repeat == RepeatYes || RanOf(err) == RanNo
	}
	return r.call.Repeat == RepeatYes && answer.Uncertain()
}

func (r *callRun) attempt(ctx context.Context) (Answer, error) {
	c, err := r.pick(ctx, r.avoid)
	if err != nil {
		return Answer{}, err
	}
	if len(r.avoid) == 0 {
		r.sender.retries.Deposit(upstreamName(c.Upstream))
	} else if !r.sender.retries.Take(upstreamName(c.Upstream)) {
		err = noRetryError(c.Upstream)
		c.Done(err)
		return Answer{}, err
	}
	r.avoid = append(r.avoid, c.Upstream)
	return r.sender.sendCall(ctx, c, r.call)
}

// pick waits for the call's turn and chooses an upstream.
func (r *callRun) pick(ctx context.Context, avoid []nutmegid.Upstream) (*Pick, error) {
	return r.sender.cfg.Pool.Pick(ctx, Ask{
		Route: r.call.Route, Workspace: r.call.Workspace, Priority: r.call.Priority, Avoid: avoid,
	})
}

// callResult is the end of one of two hedged attempts.
type callResult struct {
	answer Answer
	err    error
}

// hedge sends the call and, when no answer comes within the delay, once more to
// another upstream. The first good answer counts.
func (r *callRun) hedge(ctx context.Context) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first, err := r.pick(ctx, nil)
	if err != nil {
		return Answer{}, err
	}
	r.sender.retries.Deposit(upstreamName(first.Upstream))
	results := make(chan callResult, 2)
	go r.run(ctx, first, results)
	if result, ok := r.waitDelay(ctx, results); ok {
		return result.answer, result.err
	}
	second := r.pickHedge(ctx, first.Upstream)
	if second == nil {
		result := <-results
		return result.answer, result.err
	}
	go r.run(ctx, second, results)
	result := <-results
	if result.err != nil || result.answer.Uncertain() {
		result = <-results
	}
	return result.answer, result.err
}

// pickHedge pays for a second sending and chooses its upstream, nil without one.
func (r *callRun) pickHedge(ctx context.Context, first nutmegid.Upstream) *Pick {
	if !r.sender.retries.Take(routeName(r.call.Route)) {
		return nil
	}
	second, err := r.pick(ctx, []nutmegid.Upstream{first})
	if err != nil {
		return nil
	}
	if second.Upstream == first {
		second.Done(noRetryError(first))
		return nil
	}
	return second
}

// run sends the call to one upstream and, after a failure, goes on with others.
func (r *callRun) run(ctx context.Context, c *Pick, results chan<- callResult) {
	answer, err := r.sender.sendCall(ctx, c, r.call)
	own := &callRun{sender: r.sender, call: r.call, avoid: []nutmegid.Upstream{c.Upstream}, ran: ranOfCall(answer, err)}
	if own.mayRepeat(ctx, answer, err) && r.sender.retries.Take(routeName(r.call.Route)) {
		answer, err = own.attempts(ctx)
	}
	results <- callResult{answer: answer, err: err}
}

func (r *callRun) waitDelay(ctx context.Context, results <-chan callResult) (callResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.sender.cfg.HedgeDelay)
	defer cancel()
	select {
	case result := <-results:
		return result, true
	case <-ctx.Done():
		return callResult{}, false
	}
}

// sendCall sends the call to one upstream, once. Calls that may not be repeated
// get a connection of their own, since net/http sends a request again when a
// kept connection turns out to be dead.
func (s *Sender) sendCall(ctx context.Context, c *Pick, call Call) (Answer, error) {
	answer, err := s.sendOnce(ctx, c, call)
	c.Done(err)
	return answer, err
}

func (s *Sender) sendOnce(ctx context.Context, c *Pick, call Call) (Answer, error) {
	if ctx.Err() != nil {
		return Answer{}, endedError(ctx, c.Upstream, RanNo)
	}
	req, err := newCallRequest(ctx, c, call)
	if err != nil {
		return Answer{}, &Error{Kind: KindUnreachable, Ran: RanNo, Upstream: c.Upstream, Remedy: "correct the path", Err: err}
	}
	client := s.once
	if call.Repeat == RepeatYes {
		client = s.streams
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Upstream: c.Upstream}, sendError(ctx, c.Upstream, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := serviceStatusError(c.Upstream, resp); err != nil {
		return Answer{Upstream: c.Upstream}, err
	}
	return readAnswer(c.Upstream, resp)
}

func newCallRequest(ctx context.Context, c *Pick, call Call) (*http.Request, error) {
	target := c.URL + call.Path
	if len(call.Query) > 0 {
		target += "?" + call.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"Content-Type", "Accept"} {
		if value := call.Header.Get(name); value != "" {
			req.Header.Set(name, value)
		}
	}
	req.Header.Set("X-Request-Id", string(call.Request))
	req.Header.Set("X-Workspace", string(call.Workspace))
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", string(call.Key))
	}
	return req, nil
}

// readAnswer reads a whole answer; one that breaks off came from a call that ran.
func readAnswer(u nutmegid.Upstream, resp *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = fmt.Errorf("the answer is over %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return Answer{Upstream: u}, &Error{Kind: KindBroken, Ran: RanYes, Upstream: u, Remedy: "ask for the request's state", Err: err}
	}
	return Answer{Upstream: u, Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
