// Package nutmegcall defines a caller's request and its outcome independently
// of any wire format. Each protocol adapter decodes requests into a Call, so the
// code that serves calls does not depend on headers or wire names.
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

// Part is a section of a prompt. Parts with the same ID have the same content
// in all prompts.
type Part struct {
	ID     string
	Tokens int64
}

// Prompt holds the model and the token counts stated by a model request. It is
// the zero value for calls to services that are not inference engines.
type Prompt struct {
	Model     nutmegid.Model
	Parts     []Part // in order; the last is specific to the request or its session
	Tokens    int64  // in the whole prompt
	MaxOutput int64  // limit on generated tokens
}

// MaxTokens returns the maximum number of tokens that the request can use.
func (p Prompt) MaxTokens() nutmegid.Tokens {
	return nutmegid.Tokens(p.Tokens + p.MaxOutput)
}

// SharedPrefix returns the ID of the last part that other requests may share and
// the number of tokens up to its end. It returns false if no part can be shared.
func (p Prompt) SharedPrefix() (id string, tokens int64, ok bool) {
	if len(p.Parts) < 2 {
		return "", 0, false
	}
	for _, part := range p.Parts[:len(p.Parts)-1] {
		tokens += part.Tokens
	}
	return p.Parts[len(p.Parts)-2].ID, tokens, true
}

// RequestInfo holds what a caller's request states besides its body.
type RequestInfo struct {
	ID      nutmegid.RequestID
	APIKey  string        // API key of a workspace; empty if none was sent
	Timeout time.Duration // how long the caller waits; zero if not stated
	Resumed ResumedStream // zero if the request begins anew
	Prompt  Prompt
}

// ResumedStream is a stream that broke off and that a caller takes up again with
// another request.
type ResumedStream struct {
	// First is the request that brought the stream's first event; empty if not stated.
	First nutmegid.RequestID
	// LastEvent is the ID of the last event that the caller has.
	LastEvent string
}

// IsZero reports whether a request does not take up a stream.
func (s ResumedStream) IsZero() bool {
	return s.LastEvent == ""
}

// Memory is the account of what a call holds in memory. What is not released is
// returned when the call ends.
type Memory interface {
	// Take takes memory and returns false if too little is left.
	Take(bytes int64) bool
	Release(bytes int64)
}

// Call is one request from a caller. What the configuration that admitted it says of
// it stays with it: a newer one may no longer know its route, service or workspace.
type Call struct {
	ID        nutmegid.RequestID
	Revision  nutmegid.Revision // of the configuration that admitted the call
	Route     *nutmegview.Route
	Service   nutmegview.Service
	Engine    *nutmegview.Engine // of the service; nil for a plain service
	Limits    nutmegview.Limits
	Workspace nutmegid.Workspace // empty on a public route
	Metered   bool               // the workspace has a prepaid budget
	Priority  int                // zero is the most urgent
	Regions   nutmegview.RegionLimit
	Prompt    Prompt
	Resumed   ResumedStream // zero if the call begins anew

	Method string
	Host   string
	Target string // path and query as sent by the caller
	Header http.Header
	Body   []byte
	Memory Memory // nil means no limit

	Arrived  time.Time
	Deadline time.Time // the earlier of the caller's and the route's limits
}

// Ran states whether an upstream has run a request.
type Ran int

// The values of Ran, in ascending order of certainty that the request ran.
const (
	// NotRun means that the request has not run and never will.
	NotRun Ran = iota
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun
	// HasRun means that an upstream answered the request.
	HasRun
)

// String returns the value written to logs.
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

// Reason is the machine-readable cause for which a request ended.
type Reason string

// The reasons for which a request ends.
const (
	ReasonNoConfig          Reason = "no_configuration"
	ReasonUnknownRoute      Reason = "unknown_route"
	ReasonUnknownKey        Reason = "unknown_key"
	ReasonBadRequest        Reason = "bad_request"
	ReasonTooLarge          Reason = "too_large"
	ReasonBudgetExhausted   Reason = "budget_exhausted"
	ReasonBudgetUnreachable Reason = "budget_unreachable"
	ReasonNoUpstream        Reason = "no_upstream"
	// ReasonUnknownStream means that a stream cannot be taken up: where it began is not known.
	ReasonUnknownStream      Reason = "unknown_stream"
	ReasonEvacuated          Reason = "evacuated"
	ReasonRegionUnavailable  Reason = "region_unavailable"
	ReasonOverloaded         Reason = "overloaded"
	ReasonRateLimited        Reason = "rate_limited" // by the upstreams' own rate limits
	ReasonRefusedByUpstreams Reason = "refused_by_upstreams"
	ReasonQuarantined        Reason = "quarantined"
	ReasonDeadlineExceeded   Reason = "deadline_passed"
	ReasonUpstreamFailed     Reason = "upstream_failed"
	ReasonCallerLeft         Reason = "caller_left"
	ReasonOutOfMemory        Reason = "out_of_memory"
	ReasonTooManyConnections Reason = "too_many_connections"
	ReasonHeadTooLarge       Reason = "head_too_large"
	ReasonInstanceStopping   Reason = "instance_stops"
	ReasonInstanceCutOff     Reason = "instance_cut_off"
	ReasonAnswered           Reason = "answered"
	ReasonResponseIncomplete Reason = "answer_broken_off"
	ReasonCallerStalled      Reason = "caller_not_reading"
)

// Refusal is an error response from the fleet itself rather than an upstream.
type Refusal struct {
	Reason     Reason
	Ran        Ran
	RetryAfter time.Duration // how long to wait before a retry; zero if unknown
	Detail     string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (run: %s)", r.Reason, r.Detail, r.Ran)
}

// Outcome describes how a request ended.
type Outcome struct {
	Reason     Reason
	Ran        Ran
	Status     int // of the upstream's response; zero if there was none
	Upstream   nutmegid.Upstream
	Software   nutmegview.SoftwareVersion // of that upstream
	Attempts   int                        // attempts that may have reached an upstream
	Events     int64                      // events with data in a completed stream
	UsedTokens nutmegid.Tokens            // tokens charged to the workspace
	Detail     string
}
