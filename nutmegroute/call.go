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

// RetryPolicy is the retry policy of a call.
type RetryPolicy string

// The retry policies.
const (
	// RetryAlways retries any failed call.
	RetryAlways RetryPolicy = "repeatable"
	// RetryIfNotRun retries a call only if it provably did not run.
	RetryIfNotRun RetryPolicy = "not_run"
)

// Call is a request to a plain service.
type Call struct {
	Request     nutmegid.RequestID
	Workspace   nutmegid.Workspace
	Route       nutmegid.Route
	Key         nutmegid.OrderKey
	Method      string
	Path        string
	Query       url.Values
	Header      http.Header
	Body        []byte
	RetryPolicy RetryPolicy
	Priority    Priority
}

// Answer is the complete response of a plain service.
type Answer struct {
	Upstream nutmegid.Upstream
	Status   int
	Header   http.Header
	Body     []byte
}

// Uncertain reports whether it is unknown from the status whether the call took effect.
func (a Answer) Uncertain() bool {
	return isUncertainStatus(a.Status)
}

// callRun tracks a call across its attempts.
type callRun struct {
	sender *Sender
	call   Call
	avoid  []nutmegid.Upstream
	ran    Ran // over all attempts
}

// Call sends a call to an upstream of its route. A call that is not repeatable is retried only
// after a failure that proves that it did not run. Reads on repeatable routes are hedged:
// after a delay they are also sent to a second upstream, and the first usable response is
// returned.
func (s *Sender) Call(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, s.cfg.CallTimeout, context.DeadlineExceeded)
	defer cancel()
	s.retries.Deposit(routeKey(call.Route))
	r := &callRun{sender: s, call: call, ran: RanNo}
	if call.hedged() {
		return r.hedge(ctx)
	}
	return r.attempts(ctx)
}

func (c Call) hedged() bool {
	return c.RetryPolicy == RetryAlways && (c.Method == http.MethodGet || c.Method == http.MethodHead)
}

func (r *callRun) attempts(ctx context.Context) (Answer, error) {
	var answer Answer
	var err error
	for attempt := 1; attempt <= r.sender.cfg.MaxAttempts; attempt++ {
		if attempt > 1 && !r.sender.retries.Take(routeKey(r.call.Route)) {
			break
		}
		answer, err = r.attempt(ctx)
		r.ran = r.ran.Combine(ranOfCall(answer, err))
		if !r.mayRetry(ctx, answer, err) {
			break
		}
	}
	return answer, withRan(err, r.ran)
}

// ranOfCall returns whether the call may have run, judged by the result of one attempt.
func ranOfCall(answer Answer, err error) Ran {
	if err != nil {
		return RanOf(err)
	}
	if answer.Uncertain() {
		return RanUnknown
	}
	return RanYes
}

func (r *callRun) mayRetry(ctx context.Context, answer Answer, err error) bool {
	if ctx.Err() != nil || IsKind(err, KindNoUpstream) {
		return false
	}
	if err != nil {
		return r.call.RetryPolicy == RetryAlways || RanOf(err) == RanNo
	}
	return r.call.RetryPolicy == RetryAlways && answer.Uncertain()
}

func (r *callRun) attempt(ctx context.Context) (Answer, error) {
	c, err := r.pick(ctx, r.avoid)
	if err != nil {
		return Answer{}, err
	}
	if len(r.avoid) == 0 {
		r.sender.retries.Deposit(upstreamKey(c.Upstream))
	} else if !r.sender.retries.Take(upstreamKey(c.Upstream)) {
		err = retryBudgetError(c.Upstream)
		c.Done(err)
		return Answer{}, err
	}
	r.avoid = append(r.avoid, c.Upstream)
	return r.sender.sendCall(ctx, c, r.call)
}

// pick waits in the queue and chooses an upstream.
func (r *callRun) pick(ctx context.Context, avoid []nutmegid.Upstream) (*Pick, error) {
	return r.sender.cfg.Pool.Pick(ctx, PickRequest{
		Route: r.call.Route, Workspace: r.call.Workspace, Priority: r.call.Priority, Avoid: avoid,
	})
}

// callResult is the result of one hedged attempt.
type callResult struct {
	answer Answer
	err    error
}

// hedge sends the call and, if no response arrives within the delay, sends it to a second
// upstream as well. It returns the first usable response.
func (r *callRun) hedge(ctx context.Context) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first, err := r.pick(ctx, nil)
	if err != nil {
		return Answer{}, err
	}
	r.sender.retries.Deposit(upstreamKey(first.Upstream))
	results := make(chan callResult, 2)
	go r.runHedged(ctx, first, results)
	if result, ok := r.waitHedgeDelay(ctx, results); ok {
		return result.answer, result.err
	}
	second := r.pickHedge(ctx, first.Upstream)
	if second == nil {
		result := <-results
		return result.answer, result.err
	}
	go r.runHedged(ctx, second, results)
	result := <-results
	if result.err != nil || result.answer.Uncertain() {
		result = <-results
	}
	return result.answer, result.err
}

// pickHedge takes a retry from the budget and chooses a second upstream. It returns nil if
// there is no budget or no other upstream.
func (r *callRun) pickHedge(ctx context.Context, first nutmegid.Upstream) *Pick {
	if !r.sender.retries.Take(routeKey(r.call.Route)) {
		return nil
	}
	second, err := r.pick(ctx, []nutmegid.Upstream{first})
	if err != nil {
		return nil
	}
	if second.Upstream == first {
		second.Done(retryBudgetError(first))
		return nil
	}
	return second
}

// runHedged sends the call to the chosen upstream and, if it fails, retries on others.
func (r *callRun) runHedged(ctx context.Context, c *Pick, results chan<- callResult) {
	answer, err := r.sender.sendCall(ctx, c, r.call)
	own := &callRun{sender: r.sender, call: r.call, avoid: []nutmegid.Upstream{c.Upstream}, ran: ranOfCall(answer, err)}
	if own.mayRetry(ctx, answer, err) && r.sender.retries.Take(routeKey(r.call.Route)) {
		answer, err = own.attempts(ctx)
	}
	results <- callResult{answer: answer, err: err}
}

func (r *callRun) waitHedgeDelay(ctx context.Context, results <-chan callResult) (callResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.sender.cfg.HedgeDelay)
	defer cancel()
	select {
	case result := <-results:
		return result, true
	case <-ctx.Done():
		return callResult{}, false
	}
}

// sendCall makes one attempt at one upstream. Calls that must not be repeated use a new
// connection each, because net/http resends a request when a reused connection turns out to be
// closed.
func (s *Sender) sendCall(ctx context.Context, c *Pick, call Call) (Answer, error) {
	answer, err := s.sendOnce(ctx, c, call)
	c.Done(err)
	return answer, err
}

func (s *Sender) sendOnce(ctx context.Context, c *Pick, call Call) (Answer, error) {
	if ctx.Err() != nil {
		return Answer{}, contextError(ctx, c.Upstream, RanNo)
	}
	req, err := newCallRequest(ctx, c, call)
	if err != nil {
		return Answer{}, &Error{Kind: KindUnreachable, Ran: RanNo, Upstream: c.Upstream, Remedy: "correct the path", Err: err}
	}
	client := s.oneShot
	if call.RetryPolicy == RetryAlways {
		client = s.pooled
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

// readAnswer reads the complete response. If the response is cut off, the call did run.
func readAnswer(u nutmegid.Upstream, resp *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = fmt.Errorf("response exceeds %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return Answer{Upstream: u}, &Error{Kind: KindBroken, Ran: RanYes, Upstream: u, Remedy: "ask for the request's state", Err: err}
	}
	return Answer{Upstream: u, Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
