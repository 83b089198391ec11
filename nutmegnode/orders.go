package nutmegnode

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegorder"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// protectedCall runs a call at most once per key: it claims the key, sends the
// call and records the outcome.
func (n *Node) protectedCall(w http.ResponseWriter, r *request, call nutmegroute.Call) error {
	if call.Key == "" {
		return refusal(http.StatusBadRequest, "no_order_key", "the route is protected; send an Idempotency-Key")
	}
	ctx, cancel, err := withDeadline(r.Context(), r.Header, time.Now())
	if err != nil {
		return err
	}
	defer cancel()
	order := nutmegorder.Call{
		Workspace: r.caller.Workspace, Route: call.Route, Key: call.Key, Body: callIdentity(call), Request: r.id,
	}
	claim, err := n.orders.Claim(ctx, order)
	if err != nil {
		return err
	}
	if !claim.Owned {
		wait, stop := context.WithTimeout(ctx, orderWaitTimeout)
		defer stop()
		return replayOutcome(w, call.Key, n.orders.Wait(wait, order, claim).Outcome)
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindClaim, Request: r.id, Detail: string(call.Key)})
	run := &protectedRun{node: n, call: call, claim: claim, ended: make(chan struct{})}
	if ctx.Err() != nil {
		run.finish(nutmegroute.Answer{}, n.notSentError(ctx))
		return run.err
	}
	n.inFlight.Add(1)
	go run.run(context.WithoutCancel(r.Context()))
	return run.deliver(ctx, w)
}

func (n *Node) notSentError(ctx context.Context) error {
	return &nutmegroute.Error{Kind: nutmegroute.KindDeadline, Ran: nutmegroute.RanNo, Remedy: "send the request again with a later deadline", Err: context.Cause(ctx)}
}

// callIdentity returns the bytes that must be equal for two calls with the same
// key to count as the same order.
func callIdentity(call nutmegroute.Call) []byte {
	head := call.Method + " " + call.Path + "?" + call.Query.Encode() + "\n"
	return append([]byte(head), call.Body...)
}

// protectedRun sends one claimed call. It continues until the outcome is recorded,
// even if the caller disconnects or its deadline passes.
type protectedRun struct {
	node  *Node
	call  nutmegroute.Call
	claim nutmegorder.Claim
	ended chan struct{}

	answer nutmegroute.Answer
	err    error
}

func (p *protectedRun) run(ctx context.Context) {
	defer p.node.inFlight.Done()
	answer, err := p.node.sender.Call(ctx, p.call)
	p.finish(answer, err)
}

// finish records the outcome. The caller gets the answer even if the store
// rejected the record.
func (p *protectedRun) finish(answer nutmegroute.Answer, err error) {
	p.answer, p.err = answer, err
	outcome := outcomeOf(answer, err)
	if failed := p.node.orders.Finish(context.Background(), p.claim, outcome); failed != nil {
		p.node.count("order_outcomes_unrecorded")
	}
	p.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindOutcome, Request: p.call.Request, Upstream: answer.Upstream, Detail: string(outcome.State)})
	close(p.ended)
}

func (p *protectedRun) deliver(ctx context.Context, w http.ResponseWriter) error {
	select {
	case <-p.ended:
	case <-ctx.Done():
		return orderError(p.call.Key, nutmegorder.StateClaimed)
	}
	if p.err != nil {
		return p.err
	}
	if p.answer.Uncertain() {
		return orderError(p.call.Key, nutmegorder.StateUnknown)
	}
	writeServiceAnswer(w, p.answer.Status, p.answer.Header.Get("Content-Type"), p.answer.Body)
	return nil
}

func outcomeOf(answer nutmegroute.Answer, err error) nutmegorder.Outcome {
	outcome := nutmegorder.Outcome{
		State: nutmegorder.StateDone, Upstream: answer.Upstream, Status: answer.Status,
		ContentType: answer.Header.Get("Content-Type"), Body: answer.Body,
	}
	switch {
	case err != nil && nutmegroute.RanOf(err) == nutmegroute.RanNo:
		return nutmegorder.Outcome{State: nutmegorder.StateNotRun}
	case err != nil || answer.Uncertain():
		outcome.State = nutmegorder.StateUnknown
	}
	return outcome
}

// replayOutcome answers a repeated call from its recorded outcome, without
// sending it.
func replayOutcome(w http.ResponseWriter, key nutmegid.OrderKey, outcome nutmegorder.Outcome) error {
	if outcome.State != nutmegorder.StateDone {
		return orderError(key, outcome.State)
	}
	w.Header().Set(replayedHeader, "true")
	if outcome.TooLarge {
		return &APIError{
			Status: http.StatusConflict, Kind: "order_done", Ran: nutmegroute.RanYes,
			Message: fmt.Sprintf("order %q ran; its answer is too large to be repeated, ask the service for it", key),
		}
	}
	writeServiceAnswer(w, outcome.Status, outcome.ContentType, outcome.Body)
	return nil
}

// orderError returns the error for an order in a state that has no answer to
// deliver.
func orderError(key nutmegid.OrderKey, state nutmegorder.State) error {
	e := &APIError{Status: http.StatusConflict, Kind: "order_" + string(state), Ran: nutmegroute.RanUnknown}
	switch state {
	case nutmegorder.StateNotRun, nutmegorder.StateUnclaimed:
		e.Ran = nutmegroute.RanNo
		e.Message = fmt.Sprintf("order %q was not run; send it again under the same key", key)
	case nutmegorder.StateClaimed:
		e.Message = fmt.Sprintf("order %q may be running; ask for its state, and never order anew while it is claimed", key)
	default:
		e.Message = fmt.Sprintf("order %q was sent and its effect is not known; ask the service before ordering again", key)
	}
	return e
}

// orderState is the state of a protected call as reported to its caller.
type orderState struct {
	Key      nutmegid.OrderKey  `json:"key"`
	Route    nutmegid.Route     `json:"route"`
	State    nutmegorder.State  `json:"state"`
	Ran      nutmegroute.Ran    `json:"run"`
	Request  nutmegid.RequestID `json:"request,omitempty"`
	Upstream nutmegid.Upstream  `json:"upstream,omitempty"`
	Status   int                `json:"status,omitempty"`
}

var ranByState = map[nutmegorder.State]nutmegroute.Ran{
	nutmegorder.StateDone:   nutmegroute.RanYes,
	nutmegorder.StateNotRun: nutmegroute.RanNo,
}

// orderStatus serves GET /v1/orders/{route}/{key}: the state of a protected call.
func (n *Node) orderStatus(w http.ResponseWriter, r *request) error {
	route := nutmegid.Route(chi.URLParam(r.Request, "route"))
	key, err := url.PathUnescape(chi.URLParam(r.Request, "key"))
	if err != nil {
		return refusal(http.StatusBadRequest, "bad_key", "the key in the path is not escaped; write it as one path segment")
	}
	if routeConfig, ok := r.config.Routes[route]; !ok || routeConfig.RetryPolicy != nutmegconf.RetryProtected {
		return refusal(http.StatusNotFound, "unknown_route", fmt.Sprintf("route %q is no protected route", route))
	}
	record, err := n.orders.Lookup(r.Context(), nutmegorder.Call{
		Workspace: r.caller.Workspace, Route: route, Key: nutmegid.OrderKey(key),
	})
	if err != nil {
		return err
	}
	ran, ok := ranByState[record.Outcome.State]
	if !ok {
		ran = nutmegroute.RanUnknown
	}
	writeJSON(w, http.StatusOK, orderState{
		Key: nutmegid.OrderKey(key), Route: route, State: record.Outcome.State, Ran: ran,
		Request: record.Request, Upstream: record.Outcome.Upstream, Status: record.Outcome.Status,
	})
	return nil
}
