// Package nutmegrelay takes one call from its admission to its last byte: it
// reserves tokens, places the call at an upstream, sends it, repeats or resumes
// it where its route allows, passes the answer on and settles what it used.
//
// It is the one path behind every door. A door decodes a request into a
// nutmegcall.Call, gives a Sink for the answer and encodes the refusal, if there
// is one.
//
// # Usage
//
//	relay := nutmegrelay.New(nutmegrelay.Config{Wire: wire, Pool: pool, Placer: placer, Budget: budget, Retries: retries})
//	outcome, refusal := relay.Serve(ctx, call, sink)
//	if refusal != nil {
//		// answer with it: nothing was written to the sink
//	}
package nutmegrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegretry"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Wire writes requests for upstreams and reads the heads of their answers.
type Wire interface {
	// Request encodes a call for one upstream, without its body.
	Request(call *nutmegcall.Call, s Sending) *http.Request
	// Head decodes what an upstream says beside its answer.
	Head(resp *http.Response) Head
}

// Sending is one sending of a call.
type Sending struct {
	Upstream nutmegid.Upstream
	Left     time.Duration // until the caller or the route stops waiting
	Priority int           // 0 is the most urgent
	// ResumeAfter is the id of the last event that the caller has; empty where
	// the answer has not begun.
	ResumeAfter string
}

// Head is what an upstream says beside its answer.
type Head struct {
	Request nutmegid.RequestID // that the answer is to; empty where it is not told
	NotRun  bool               // the request has not run there and never will
	Moved   bool               // another upstream has the address
	Load    *nutmegplace.Load  // nil where it is not told
}

// Sink takes an answer on its way to the caller.
type Sink interface {
	// Answer passes a whole answer on.
	Answer(status int, header http.Header, body []byte) error
	// Begin passes the head of an answer on whose body follows in parts.
	Begin(status int, header http.Header)
	// Write passes a part of the body on at once.
	Write(part []byte) error
}

// Reservation is an upper bound of tokens that is held for a request.
type Reservation interface {
	// Settle counts the tokens that were used and frees the rest.
	Settle(used nutmegid.Tokens)
}

// Budget holds the prepaid tokens of workspaces.
type Budget interface {
	// Reserve holds the most that a call can use.
	Reserve(ctx context.Context, call *nutmegcall.Call) (Reservation, *nutmegcall.Refusal)
}

// Decision is one step in a request's life, for the log.
type Decision struct {
	Kind     DecisionKind
	Upstream nutmegid.Upstream
	Try      int
	Detail   string
	Err      error
}

// DecisionKind names a step in a request's life.
type DecisionKind string

// The steps.
const (
	DecisionRepeat    DecisionKind = "repeated"
	DecisionResume    DecisionKind = "resumed"
	DecisionFailed    DecisionKind = "attempt_failed"
	DecisionNoRepeats DecisionKind = "retry_budget_spent"
)

// Config configures a relay.
type Config struct {
	Wire      Wire
	Pool      *nutmegconn.Pool
	Placer    *nutmegplace.Placer
	Budget    Budget
	Retries   *nutmegretry.Budget
	View      *nutmegview.View
	Instances func() int                           // that share the retry budget
	Decided   func(c *nutmegcall.Call, d Decision) // nil for none
	Now       func() time.Time                     // time.Now when nil
	Moment    func() time.Duration                 // monotonic; since the relay's start when nil
}

// Relay serves calls.
type Relay struct {
	cfg Config
}

// New returns a relay.
func New(cfg Config) *Relay {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Moment == nil {
		start := time.Now()
		cfg.Moment = func() time.Duration { return time.Since(start) }
	}
	if cfg.Decided == nil {
		cfg.Decided = func(*nutmegcall.Call, Decision) {}
	}
	if cfg.Instances == nil {
		cfg.Instances = func() int { return 1 }
	}
	return &Relay{cfg: cfg}
}

var errDeadline = errors.New("the deadline has passed")

// Serve takes a call to its end. A refusal means that nothing was written to
// the sink; without one, an outcome other than ReasonAnswered means that the
// answer broke off and must not look whole.
func (r *Relay) Serve(ctx context.Context, call *nutmegcall.Call, out Sink) (nutmegcall.Outcome, *nutmegcall.Refusal) {
	ctx, cancel := context.WithDeadlineCause(ctx, call.Deadline, errDeadline)
	defer cancel()
	run := &run{relay: r, call: call, out: out}
	if call.Metered && call.Prompt.Bound() > 0 {
		reservation, refusal := r.cfg.Budget.Reserve(ctx, call)
		if refusal != nil {
			return nutmegcall.Outcome{Reason: refusal.Reason, Detail: refusal.Detail}, refusal
		}
		run.reservation = reservation
	}
	r.cfg.Retries.First(call.Service, r.cfg.Moment())
	refusal := run.serve(ctx)
	run.settle()
	if refusal != nil {
		run.outcome.Reason = refusal.Reason
		run.outcome.Detail = refusal.Detail
	}
	run.outcome.Ran = run.ran
	return run.outcome, refusal
}

// tokensPerEvent returns the most tokens that one event of a service holds.
func (r *Relay) tokensPerEvent(s nutmegview.Service) int64 {
	c := r.cfg.View.Config()
	if c == nil {
		return 1
	}
	if e := c.Services[s].Engine; e != nil {
		return max(e.TokensPerEvent, 1)
	}
	return 1
}
