// Package nutmegcall describes one caller's request and how it ended, in the
// product's terms. Every door decodes into a Call, and the one path in the
// middle knows nothing of headers or wire names.
//
// # Usage
//
//	call := &nutmegcall.Call{ID: id, Route: route, Workspace: workspace, Deadline: deadline}
//	outcome := relay.Serve(ctx, call, sink)
package nutmegcall

import (
	"fmt"
	"net/http"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Part is one part of a prompt. Prompts share parts that have the same id.
type Part struct {
	ID     string
	Tokens int64
}

// Prompt is what a model request says of its size. It is zero for calls of
// plain services.
type Prompt struct {
	Model     nutmegid.Model
	Parts     []Part // in order; the last belongs to the request or its session
	Tokens    int64  // of the whole prompt
	MaxOutput int64  // tokens
}

// Bound returns the most tokens that the request can use.
func (p Prompt) Bound() nutmegid.Tokens {
	return nutmegid.Tokens(p.Tokens + p.MaxOutput)
}

// Shared returns the last part that other requests share and the tokens up to
// its end, false where the prompt shares nothing.
func (p Prompt) Shared() (id string, tokens int64, ok bool) {
	if len(p.Parts) < 2 {
		return "", 0, false
	}
	for _, part := range p.Parts[:len(p.Parts)-1] {
		tokens += part.Tokens
	}
	return p.Parts[len(p.Parts)-2].ID, tokens, true
}

// Incoming is what a caller's request says of itself, apart from its body.
type Incoming struct {
	ID       nutmegid.RequestID
	Key      string        // of a workspace; empty without one
	Patience time.Duration // how long the caller waits; 0 where it is not told
	Prompt   Prompt
}

// Call is one request of a caller.
type Call struct {
	ID        nutmegid.RequestID
	Revision  nutmegid.Revision // of the configuration that allows it
	Route     *nutmegview.Route
	Service   nutmegview.Service
	Workspace nutmegid.Workspace // empty on a public route
	Metered   bool               // the workspace prepays
	Priority  int                // 0 is the most urgent
	Prompt    Prompt

	Method string
	Host   string
	Target string // path and query, as the caller sent them
	Header http.Header
	Body   []byte

	Arrived  time.Time
	Deadline time.Time // when the caller or the route stops waiting
}

// Ran tells whether a request has run.
type Ran int

// Whether a request has run, from the least to the most.
const (
	// NotRun means that it has not run and never will.
	NotRun Ran = iota
	// MayHaveRun means that nothing proves either.
	MayHaveRun
	// HasRun means that an upstream answered it.
	HasRun
)

// String returns the word for logs.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "no"
	case MayHaveRun:
		return "unknown"
	case HasRun:
		return "yes"
	}
	return fmt.Sprintf("Ran(%d)", int(r))
}

// Reason tells why the fleet itself ended a request.
type Reason string

// The reasons.
const (
	ReasonNoConfig      Reason = "no_configuration"
	ReasonNoRoute       Reason = "unknown_route"
	ReasonBadKey        Reason = "unknown_key"
	ReasonBadRequest    Reason = "bad_request"
	ReasonTooLarge      Reason = "too_large"
	ReasonBudget        Reason = "budget_exhausted"
	ReasonBudgetUnknown Reason = "budget_unreachable"
	ReasonNoUpstream    Reason = "no_upstream"
	ReasonOverloaded    Reason = "overloaded"
	ReasonRefused       Reason = "refused_by_upstreams"
	ReasonDeadline      Reason = "deadline_passed"
	ReasonBroken        Reason = "upstream_failed"
	ReasonCallerLeft    Reason = "caller_left"
	ReasonMemory        Reason = "out_of_memory"
	ReasonStopping      Reason = "instance_stops"
	ReasonAnswered      Reason = "answered"
	ReasonAnswerBroken  Reason = "answer_broken_off"
	ReasonCallerStalled Reason = "caller_not_reading"
)

// Refusal is the fleet's own answer to a request.
type Refusal struct {
	Reason     Reason
	Ran        Ran
	RetryAfter time.Duration // when the request may succeed; zero where that is not known
	Detail     string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (run: %s)", r.Reason, r.Detail, r.Ran)
}

// Outcome is how a request ended.
type Outcome struct {
	Reason   Reason
	Ran      Ran
	Status   int // of the upstream's answer; 0 without one
	Upstream nutmegid.Upstream
	Sends    int // requests that reached an upstream
	Events   int64
	Used     nutmegid.Tokens
	Detail   string
}
