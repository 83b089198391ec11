package nutmegnode

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegorder"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// service routes one call to a plain service.
func (n *Node) service(w http.ResponseWriter, r *request) error {
	route := nutmegid.Route(chi.URLParam(r.Request, "route"))
	rule, ok := r.config.Routes[route]
	if !ok {
		return refusal(http.StatusNotFound, "unknown_route", fmt.Sprintf("route %q does not exist; ask an operator to add it", route))
	}
	call := nutmegroute.Call{
		Request: r.id, Workspace: r.caller.Workspace,
		Route:  route,
		Key:    nutmegid.OrderKey(r.Header.Get("Idempotency-Key")),
		Method: r.Method,
		Path:   servicePath(r.URL),
		Query:  r.URL.Query(),
		Header: r.Header,
		Body:   r.body,
		Repeat: repeatOf(rule.Rule),
	}
	if rule.Rule == nutmegconf.RuleProtected {
		return n.protected(w, r, call)
	}
	answer, err := n.sender.Call(r.Context(), call)
	if err != nil {
		return err
	}
	writeAnswer(w, answer.Status, answer.Header.Get("Content-Type"), answer.Body)
	return nil
}

// protected runs a call at most once under its key: claim, send, outcome.
func (n *Node) protected(w http.ResponseWriter, r *request, call nutmegroute.Call) error {
	if call.Key == "" {
		return refusal(http.StatusBadRequest, "no_order_key", "the route is protected; send an Idempotency-Key")
	}
	claim, err := n.desk.Claim(r.Context(), nutmegorder.Call{
		Workspace: r.caller.Workspace, Route: call.Route, Key: call.Key, Body: r.body, Request: r.id,
	})
	if err != nil {
		return err
	}
	if !claim.Mine {
		return repeatOutcome(w, call.Key, claim.Record.Outcome)
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindClaim, Request: r.id, Detail: string(call.Key)})
	answer, err := n.sender.Call(context.WithoutCancel(r.Context()), call)
	outcome := outcomeOf(answer, err)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), outcomeTimeout)
	defer cancel()
	if failed := n.desk.Finish(ctx, claim, outcome); failed != nil {
		n.count("order_outcomes_unrecorded")
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindOutcome, Request: r.id, Upstream: answer.Upstream, Detail: string(outcome.State)})
	if err != nil {
		return err
	}
	writeAnswer(w, answer.Status, answer.Header.Get("Content-Type"), answer.Body)
	return nil
}

func outcomeOf(answer nutmegroute.Answer, err error) nutmegorder.Outcome {
	if err == nil {
		return nutmegorder.Outcome{State: nutmegorder.StateDone, Status: answer.Status, Answer: answer.Body}
	}
	if nutmegroute.RanOf(err) == nutmegroute.RanNo {
		return nutmegorder.Outcome{State: nutmegorder.StateNotRun}
	}
	return nutmegorder.Outcome{State: nutmegorder.StateUnknown}
}

// repeatOutcome answers a repeated call without sending it.
func repeatOutcome(w http.ResponseWriter, key nutmegid.OrderKey, outcome nutmegorder.Outcome) error {
	switch outcome.State {
	case nutmegorder.StateDone:
		w.Header().Set("Idempotent-Replayed", "true")
		writeAnswer(w, outcome.Status, "application/json", outcome.Answer)
		return nil
	case nutmegorder.StateNotRun:
		return refusal(http.StatusConflict, "order_not_run", fmt.Sprintf("order %q was not run; send it under a new key", key))
	}
	return &APIError{
		Status: http.StatusConflict, Kind: "order_" + string(outcome.State), Run: nutmegroute.RanUnknown,
		Message: fmt.Sprintf("order %q was sent and its outcome is not known; ask the order desk before ordering again", key),
	}
}

func writeAnswer(w http.ResponseWriter, status int, contentType string, body []byte) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// servicePath is the part of a caller's path that the service sees, escaped as
// the caller sent it.
func servicePath(u *url.URL) string {
	const prefixParts = 4 // "", "v1", "services" and the route
	parts := strings.SplitN(u.EscapedPath(), "/", prefixParts+1)
	if len(parts) <= prefixParts {
		return "/"
	}
	return "/" + parts[prefixParts]
}

func repeatOf(rule nutmegconf.RepeatRule) nutmegroute.Repeat {
	if rule == nutmegconf.RuleRepeatable {
		return nutmegroute.RepeatYes
	}
	return nutmegroute.RepeatNotRun
}
