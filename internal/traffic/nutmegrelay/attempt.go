package nutmegrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
)

const (
	// noRetryMaxIdleAge limits how long a pooled connection may have been idle if the
	// request must not run twice. The upstream may be about to close an older
	// one, and then it would be unknown whether the request ran.
	noRetryMaxIdleAge = 2 * time.Second
	// attemptShare is the fraction of the remaining time that an attempt of an
	// idempotent request may take, so that another upstream has time to answer.
	attemptShare   = 0.4
	minAttemptTime = 60 * time.Millisecond
)

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
	e.record = AttemptRecord{Sent: nutmegconn.SentAll, KeptConnection: resp.Reused(), Status: resp.StatusCode}
	e.sent++
	e.outcome.Attempts = e.sent
	info := e.info
	if !info.Misdirected {
		cfg.Notices.Record(e.call, p.Upstream, info.Notice)
	}
	if info.Load != nil {
		cfg.Placer.ReportLoad(p, *info.Load, cfg.Elapsed())
		e.recordLoad(*info.Load)
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
	request := nutmegconn.Request{Address: p.Upstream.Address, HTTP: req, Body: e.call.Body, Check: e.check}
	request.NewConnection = slices.Contains(e.addresses, p.Upstream.Address)
	e.addresses = append(e.addresses, p.Upstream.Address)
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

// check decodes the header of a response and returns an error if the response does
// not answer this call.
func (e *exchange) check(resp *http.Response, reused bool) error {
	e.info = e.relay.cfg.Codec.DecodeHeader(resp)
	return CheckAnswer(e.call.ID, resp, e.info, reused)
}

// handleSendError ends an attempt that got no response header.
func (e *exchange) handleSendError(ctx context.Context, p *nutmegplace.Placement, err error) (attemptResult, error) {
	var failed *nutmegconn.Error
	sent := nutmegconn.SentAll
	e.record = AttemptRecord{Sent: sent}
	if errors.As(err, &failed) {
		sent = failed.Sent
		e.record = AttemptRecord{Sent: sent, KeptConnection: failed.Reused}
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
	refusal := &buffer{memory: e.call.Memory}
	defer refusal.release()
	err := refusal.read(resp)
	return attemptNotRun, errors.Join(fmt.Errorf("upstream refused the request with status %d", resp.StatusCode), err)
}
