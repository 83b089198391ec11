package nutmegnode

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
)

// service serves one call to a plain service according to the retry policy of
// its route.
func (n *Node) service(w http.ResponseWriter, r *request) error {
	route := nutmegid.Route(chi.URLParam(r.Request, "route"))
	routeConfig, ok := r.config.Routes[route]
	if !ok {
		return refusal(http.StatusNotFound, "unknown_route", fmt.Sprintf("route %q does not exist; ask an operator to add it", route))
	}
	call := nutmegroute.Call{
		Request: r.id, Workspace: r.caller.Workspace,
		Route:       route,
		Key:         nutmegid.OrderKey(r.Header.Get(keyHeader)),
		Method:      r.Method,
		Path:        servicePath(r.URL),
		Query:       r.URL.Query(),
		Header:      r.Header,
		Body:        r.body,
		RetryPolicy: retryPolicyOf(routeConfig.RetryPolicy),

		Priority: priorityLevel(routeConfig.Priority),
	}
	if routeConfig.RetryPolicy == nutmegconf.RetryProtected {
		return n.protectedCall(w, r, call)
	}
	ctx, cancel, err := withDeadline(r.Context(), r.Header, time.Now())
	if err != nil {
		return err
	}
	defer cancel()
	if call.Key != "" {
		return n.keyedCall(ctx, w, call)
	}
	answer, err := n.sender.Call(ctx, call)
	if err != nil {
		return err
	}
	writeServiceAnswer(w, answer.Status, answer.Header.Get("Content-Type"), answer.Body)
	return nil
}

// keyedCall deduplicates calls with the same key at this instance. A call joins
// the running one, or gets the retained answer of one that has ended.
func (n *Node) keyedCall(ctx context.Context, w http.ResponseWriter, call nutmegroute.Call) error {
	key := answerKey{workspace: call.Workspace, target: string(call.Route), key: call.Key}
	shared, created, err := n.sharedCalls.register(key, nutmegconf.HashKey(string(callIdentity(call))))
	if err != nil {
		return err
	}
	if created {
		n.inFlight.Add(1)
		go (&callRun{node: n, call: call, key: key, shared: shared}).run(context.WithoutCancel(ctx), ctx)
	} else {
		w.Header().Set(replayedHeader, "true")
	}
	select {
	case <-shared.ended:
	case <-ctx.Done():
		return &APIError{
			Status: http.StatusGatewayTimeout, Kind: "deadline_passed", Ran: nutmegroute.RanUnknown,
			Message: "the deadline has passed while the call runs; send it again under the same key",
		}
	}
	if shared.err != nil {
		return shared.err
	}
	writeServiceAnswer(w, shared.answer.Status, shared.answer.Header.Get("Content-Type"), shared.answer.Body)
	return nil
}

// callRun sends one keyed call on behalf of all callers that have joined it.
type callRun struct {
	node   *Node
	call   nutmegroute.Call
	key    answerKey
	shared *sharedCall
}

// run sends the call with the deadline of the first caller, and continues even if
// that caller disconnects.
func (c *callRun) run(ctx, caller context.Context) {
	defer c.node.inFlight.Done()
	if deadline, ok := caller.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	answer, err := c.node.sender.Call(ctx, c.call)
	keep := err == nil || (c.call.RetryPolicy != nutmegroute.RetryAlways && nutmegroute.RanOf(err) != nutmegroute.RanNo)
	c.node.sharedCalls.finish(c.key, c.shared, answer, err, keep)
}

// servicePath returns the part of a caller's path that is sent to the service,
// with the caller's escaping.
func servicePath(u *url.URL) string {
	const prefixParts = 4 // "", "v1", "services" and the route name
	parts := strings.SplitN(u.EscapedPath(), "/", prefixParts+1)
	if len(parts) <= prefixParts {
		return "/"
	}
	return "/" + parts[prefixParts]
}

func retryPolicyOf(policy nutmegconf.RetryPolicy) nutmegroute.RetryPolicy {
	if policy == nutmegconf.RetryRepeatable {
		return nutmegroute.RetryAlways
	}
	return nutmegroute.RetryIfNotRun
}

func writeServiceAnswer(w http.ResponseWriter, status int, contentType string, body []byte) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
