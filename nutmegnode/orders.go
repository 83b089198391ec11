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

// protected runs a call at most once under its key: claim, send, outcome.
func (n *Node) protected(w http.ResponseWriter, r *request, call nutmegroute.Call) error {
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
	claim, err := n.desk.Claim(ctx, order)
	if err != nil {
		return err
	}
	if !claim.Owned {
		wait, stop := context.WithTimeout(ctx, orderWait)
		defer stop()
		return repeatOutcome(w, call.Key, n.desk.Wait(wait, order, claim).Outcome)
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindClaim, Request: r.id, Detail: string(call.Key)})
	run := &protectedRun{node: n, call: call, claim: claim, ended: make(chan struct{})}
	if ctx.Err() != nil {
		run.finish(nutmegroute.Answer{}, n.endedBeforeSending(ctx))
		return run.err
	}
	n.running.Add(1)
	go run.run(context.WithoutCancel(r.Context()))
	return run.deliver(ctx, w)
}

func (n *Node) endedBeforeSending(ctx context.Context) error {
	return &nutmegroute.Error{Kind: nutmegroute.KindDeadline, Ran: nutmegroute.RanNo, Remedy: "send the request again with a later deadline", Err: context.Cause(ctx)}
}

// callIdentity is what must be the same for two calls to be one order.
func callIdentity(call nutmegroute.Call) []byte {
	head := call.Method + " " + call.Path + "?" + call.Query.Encode() + "\n"
	return append([]byte(head), call.Body...)
}

// protectedRun sends one claimed call. It goes on to its outcome when its caller
// leaves or the caller's deadline passes.
type protectedRun struct {
	node  *Node
	call  nutmegroute.Call
	claim nutmegorder.Claim
	ended chan struct{}

	answer nutmegroute.Answer
	err    error
}

func (o *protectedRun) run(ctx context.Context) {
	defer o.node.running.Done()
	answer, err := o.node.sender.Call(ctx, o.call)
	o.finish(answer, err)
}

// finish records the outcome; the caller gets the answer also where the store
// did not take it.
func (o *protectedRun) finish(answer nutmegroute.Answer, err error) {
	o.answer, o.err = answer, err
	outcome := outcomeOf(answer, err)
	if failed := o.node.desk.Finish(context.Background(), o.claim, outcome); failed != nil {
		o.node.count("order_outcomes_unrecorded")
	}
	o.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindOutcome, Request: o.call.Request, Upstream: answer.Upstream, Detail: string(outcome.State)})
	close(o.ended)
}

func (o *protectedRun) deliver(ctx context.Context, w http.ResponseWriter) error {
	select {
	case <-o.ended:
	case <-ctx.Done():
		return orderError(o.call.Key, nutmegorder.StateClaimed)
	}
	if o.err != nil {
		return o.err
	}
	if o.answer.Uncertain() {
		return orderError(o.call.Key, nutmegorder.StateUnknown)
	}
	writeAnswer(w, o.answer.Status, o.answer.Header.Get("Content-Type"), o.answer.Body)
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

// repeatOutcome answers a repeated call without sending it.
func repeatOutcome(w http.ResponseWriter, key nutmegid.OrderKey, outcome nutmegorder.Outcome) error {
	if outcome.State != nutmegorder.StateDone {
		return orderError(key, outcome.State)
	}
	w.Header().Set(replayedHeader, "true")
	if outcome.TooLarge {
		return &APIError{
			Status: http.StatusConflict, Kind: "order_done", Run: nutmegroute.RanYes,
			Message: fmt.Sprintf("order %q ran; its answer is too large to be repeated, ask the service for it", key),
		}
	}
	writeAnswer(w, outcome.Status, outcome.ContentType, outcome.Body)
	return nil
}

// orderError says how far an order without an answer has come.
func orderError(key nutmegid.OrderKey, state nutmegorder.State) error {
	e := &APIError{Status: http.StatusConflict, Kind: "order_" + string(state), Run: nutmegroute.RanUnknown}
	switch state {
	case nutmegorder.StateNotRun, nutmegorder.StateUnclaimed:
		e.Run = nutmegroute.RanNo
		e.Message = fmt.Sprintf("order %q was not run; send it again under the same key", key)
	case nutmegorder.StateClaimed:
		e.Message = fmt.Sprintf("order %q may be running; ask for its state, and never order anew while it is claimed", key)
	default:
		e.Message = fmt.Sprintf("order %q was sent and its effect is not known; ask the service before ordering again", key)
	}
	return e
}

// orderState is the state of a protected call as its caller sees it.
type orderState struct {
	Key      nutmegid.OrderKey  `json:"key"`
	Route    nutmegid.Route     `json:"route"`
	State    nutmegorder.State  `json:"state"`
	Run      nutmegroute.Ran    `json:"run"`
	Request  nutmegid.RequestID `json:"request,omitempty"`
	Upstream nutmegid.Upstream  `json:"upstream,omitempty"`
	Status   int                `json:"status,omitempty"`
}

var ranOfState = map[nutmegorder.State]nutmegroute.Ran{
	nutmegorder.StateDone:   nutmegroute.RanYes,
	nutmegorder.StateNotRun: nutmegroute.RanNo,
}

// order answers with the state of a protected call.
func (n *Node) order(w http.ResponseWriter, r *request) error {
	route := nutmegid.Route(chi.URLParam(r.Request, "route"))
	key, err := url.PathUnescape(chi.URLParam(r.Request, "key"))
	if err != nil {
		return refusal(http.StatusBadRequest, "bad_key", "the key in the path is not escaped; write it as one path segment")
	}
	if rule, ok := r.config.Routes[route]; !ok || rule.Rule != nutmegconf.RuleProtected {
		return refusal(http.StatusNotFound, "unknown_route", fmt.Sprintf("route %q is no protected route", route))
	}
	record, err := n.desk.Lookup(r.Context(), nutmegorder.Call{
		Workspace: r.caller.Workspace, Route: route, Key: nutmegid.OrderKey(key),
	})
	if err != nil {
		return err
	}
	ran, ok := ranOfState[record.Outcome.State]
	if !ok {
		ran = nutmegroute.RanUnknown
	}
	writeJSON(w, http.StatusOK, orderState{
		Key: nutmegid.OrderKey(key), Route: route, State: record.Outcome.State, Run: ran,
		Request: record.Request, Upstream: record.Outcome.Upstream, Status: record.Outcome.Status,
	})
	return nil
}
