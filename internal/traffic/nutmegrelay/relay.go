// Package nutmegrelay serves admitted calls: it reserves tokens, selects an
// upstream, sends the call, retries or resumes it if its route allows, forwards
// the response and settles the tokens used.
//
// It is independent of the callers' protocol. A protocol adapter decodes each
// request into a nutmegcall.Call, provides a Sink for the response and encodes
// the refusal, if there is one.
//
// # Usage
//
//	relay := nutmegrelay.New(nutmegrelay.Config{Codec: codec, Pool: pool, Placer: placer, Budget: budget, Retries: retries})
//	outcome, refusal := relay.Serve(ctx, call, sink)
//	if refusal != nil {
//		// send the refusal to the caller: nothing was written to the sink
//	}
package nutmegrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegadmit"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegnotice"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegretry"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegsuspect"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Codec encodes requests to upstreams and decodes the headers of their responses.
type Codec interface {
	// EncodeRequest encodes an attempt of a call, without its body.
	EncodeRequest(call *nutmegcall.Call, a Attempt) *http.Request
	// DecodeHeader decodes the metadata in the header of a response.
	DecodeHeader(resp *http.Response) ResponseInfo
}

// Attempt holds the parameters of one attempt of a call.
type Attempt struct {
	Upstream nutmegid.Upstream
	Timeout  time.Duration // until the deadline of the call
	Priority int           // zero is the most urgent
	// ResumeAfter is the ID of the last event that was forwarded to the caller;
	// empty if no part of a response has been forwarded.
	ResumeAfter string
}

// ResponseInfo holds the metadata in the header of an upstream's response.
type ResponseInfo struct {
	RequestID   nutmegid.RequestID // ID of the request being answered; empty if not stated or stated in two ways
	Signed      bool               // the upstream has signed the response
	Encoded     bool               // the body is in a content encoding
	NotRun      bool               // the upstream has not run the request and never will
	Misdirected bool               // another upstream now uses the address
	Load        *nutmegplace.Load  // nil if not stated
	Notice      nutmegnotice.Notice
}

// Sink receives the response to a call and sends it to the caller.
type Sink interface {
	// SendResponse sends a complete response.
	SendResponse(status int, header http.Header, body []byte) error
	// SendHeader sends the header of a response whose body follows in calls of Write.
	SendHeader(status int, header http.Header)
	// Write sends a part of the body without buffering it.
	Write(part []byte) error
}

// Reservation is the maximum number of tokens that a call can use, reserved from
// the budget of its workspace.
type Reservation interface {
	// Settle charges the tokens that were used and releases the rest.
	Settle(used nutmegid.Tokens)
}

// Budget manages the prepaid tokens of workspaces.
type Budget interface {
	// Reserve reserves the maximum number of tokens that a call can use.
	Reserve(ctx context.Context, call *nutmegcall.Call) (Reservation, *nutmegcall.Refusal)
}

// Suspects tracks requests under which upstreams crash.
type Suspects interface {
	// Held reports whether a call is held back, because upstreams crashed under
	// such calls.
	Held(call *nutmegcall.Call) (nutmegsuspect.Hold, bool)
	// UpstreamEnded records that an upstream's process ended while the call may
	// have been running there.
	UpstreamEnded(call *nutmegcall.Call, u nutmegview.Upstream)
	// AnswerBegan records that an upstream has gone on for a while after it began to
	// answer the call.
	AnswerBegan(call *nutmegcall.Call)
	// Answered records that an upstream has answered the call completely.
	Answered(call *nutmegcall.Call)
}

// Notices keeps what upstreams state about themselves in their answers, and says
// whether they take requests.
type Notices interface {
	// Record stores what the answer to a call states about its upstream.
	Record(call *nutmegcall.Call, u nutmegview.Upstream, n nutmegnotice.Notice)
	// Permit asks whether one request may be sent to an upstream now. It is called
	// before each attempt.
	Permit(ctx context.Context, u nutmegview.Upstream) Permit
	// IsLeaving reports whether an upstream's process has stated that it takes no new
	// requests until it ends.
	IsLeaving(u nutmegview.Upstream) bool
}

// Streams remembers which software version has begun each stream.
type Streams interface {
	// Begun records that the first event of a call's stream goes to its caller.
	Begun(call *nutmegcall.Call, version nutmegview.SoftwareVersion)
	// Ended records the end of such a stream, complete or broken off.
	Ended(call *nutmegcall.Call, complete bool)
	// Origin returns the version that has begun the stream which a call takes up. A
	// refusal means that it cannot go on.
	Origin(ctx context.Context, call *nutmegcall.Call) (nutmegview.SoftwareVersion, *nutmegcall.Refusal)
}

// Permit is the answer to the question whether a request may be sent.
type Permit struct {
	Granted bool
	Leaving bool          // the upstream takes no new requests until its process ends
	Cold    bool          // denied because the upstream is cold; others may be as well
	Wait    time.Duration // until it makes sense to ask again; only if both are false
	Detail  string        // the reason, for logs
}

// noNotices ignores what upstreams state.
type noNotices struct{}

// IsLeaving implements Notices.
func (noNotices) IsLeaving(nutmegview.Upstream) bool {
	return false
}

// Permit implements Notices.
func (noNotices) Permit(context.Context, nutmegview.Upstream) Permit {
	return Permit{Granted: true}
}

// Record implements Notices.
func (noNotices) Record(*nutmegcall.Call, nutmegview.Upstream, nutmegnotice.Notice) {}

// Decision is a step in the handling of a call, for the event log.
type Decision struct {
	Kind     DecisionKind
	Upstream nutmegid.Upstream
	Software nutmegview.SoftwareVersion // of that upstream
	Attempt  int                        // number of the attempt, starting at 1
	Detail   string
	Err      error
	// Content and Parts identify requests with the same content and with the same
	// parts of prompts; only of a DecisionUpstreamEnded.
	Content nutmegsuspect.Key
	Parts   []nutmegsuspect.Key
	// Events is the number of events that were passed on before; Begun says that the
	// upstream had gone on for a while after the first.
	Events int64
	Begun  bool
	// Record holds the details of a DecisionFailed; nil otherwise.
	Record *AttemptRecord
	// Shortage is the reason of a DecisionNotAdmitted; empty otherwise.
	Shortage nutmegadmit.Reason
}

// DecisionKind is the kind of a Decision.
type DecisionKind string

// The kinds of decisions.
const (
	DecisionRetry            DecisionKind = "repeated"
	DecisionResume           DecisionKind = "resumed"
	DecisionFailed           DecisionKind = "attempt_failed"
	DecisionNotPermitted     DecisionKind = "not_permitted" // by what the upstream has stated
	DecisionNotAdmitted      DecisionKind = "not_admitted"  // for lack of room at the engines
	DecisionRetryBudgetSpent DecisionKind = "retry_budget_spent"
	DecisionUpstreamEnded    DecisionKind = "upstream_ended" // while the request may have run there
	// DecisionWithdrawn means that the request may no longer run where it was placed.
	DecisionWithdrawn DecisionKind = "withdrawn"
)

// Config configures a Relay.
type Config struct {
	Codec     Codec
	Pool      *nutmegconn.Pool
	Placer    *nutmegplace.Placer
	Budget    Budget
	Retries   *nutmegretry.Budget
	View      *nutmegview.View
	Suspects  Suspects   // of this instance alone when nil
	Notices   Notices    // none are heeded when nil
	Streams   Streams    // where callers' streams began is not checked when nil
	Admission Admission  // all calls are admitted when nil
	Instances func() int // number of instances that share the retry budget; 1 when nil
	// MayBegin returns a refusal for a call that must not begin to run now. It is
	// asked before each attempt of a call that has not run; all may begin when nil.
	MayBegin   func(c *nutmegcall.Call) *nutmegcall.Refusal
	OnDecision func(c *nutmegcall.Call, d Decision) // called for each decision; may be nil
	Now        func() time.Time                     // time.Now when nil
	Elapsed    func() time.Duration                 // monotonic time; time since New when nil
}

// Relay serves calls. It is safe for concurrent use.
type Relay struct {
	cfg    Config
	bounds tokenBounds
}

// New returns a Relay, with defaults for the optional fields of cfg.
func New(cfg Config) *Relay {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Elapsed == nil {
		start := time.Now()
		cfg.Elapsed = func() time.Duration { return time.Since(start) }
	}
	if cfg.OnDecision == nil {
		cfg.OnDecision = func(*nutmegcall.Call, Decision) {}
	}
	if cfg.Suspects == nil {
		cfg.Suspects = nutmegsuspect.NewTracker(nutmegsuspect.Config{Now: cfg.Now})
	}
	if cfg.Notices == nil {
		cfg.Notices = noNotices{}
	}
	if cfg.Admission == nil {
		cfg.Admission = noAdmission{}
	}
	if cfg.MayBegin == nil {
		cfg.MayBegin = func(*nutmegcall.Call) *nutmegcall.Refusal { return nil }
	}
	if cfg.Instances == nil {
		cfg.Instances = func() int { return 1 }
	}
	r := &Relay{cfg: cfg}
	cfg.View.OnConfig(r.bounds.record)
	return r
}

var errDeadline = errors.New("the deadline has passed")

// Serve handles a call until it ends. A refusal means that nothing was written to
// the sink. Without a refusal, an outcome other than ReasonAnswered means that the
// response is incomplete, and the caller must be able to detect that.
func (r *Relay) Serve(ctx context.Context, call *nutmegcall.Call, sink Sink) (nutmegcall.Outcome, *nutmegcall.Refusal) {
	ctx, cancel := context.WithDeadlineCause(ctx, call.Deadline, errDeadline)
	defer cancel()
	e := &exchange{relay: r, call: call, sink: sink}
	if refusal := r.checkBound(call); refusal != nil {
		return nutmegcall.Outcome{Reason: refusal.Reason, Detail: refusal.Detail}, refusal
	}
	if refusal := e.checkHold(); refusal != nil {
		return nutmegcall.Outcome{Reason: refusal.Reason, Detail: refusal.Detail}, refusal
	}
	if refusal := r.cfg.Placer.Closed(e.pickInfo()); refusal != nil {
		return nutmegcall.Outcome{Reason: refusal.Reason, Detail: refusal.Detail}, refusal
	}
	if refusal := e.findOrigin(ctx); refusal != nil {
		return nutmegcall.Outcome{Reason: refusal.Reason, Detail: refusal.Detail}, refusal
	}
	if refusal := r.admit(call); refusal != nil {
		return nutmegcall.Outcome{Reason: refusal.Reason, Detail: refusal.Detail}, refusal
	}
	if call.Metered && call.Prompt.MaxTokens() > 0 {
		reservation, refusal := r.cfg.Budget.Reserve(ctx, call)
		if refusal != nil {
			return nutmegcall.Outcome{Reason: refusal.Reason, Detail: refusal.Detail}, refusal
		}
		e.reservation = reservation
	}
	r.cfg.Retries.RecordRequest(call.Service, r.cfg.Elapsed())
	refusal := e.serve(ctx)
	e.streamEnded()
	e.settle()
	if refusal != nil {
		e.outcome.Reason = refusal.Reason
		e.outcome.Detail = refusal.Detail
	}
	e.outcome.Ran = e.ran
	return e.outcome, refusal
}

// checkBound refuses a metered call to an engine without a positive bound on its
// tokens: nothing could be reserved for the tokens that the engine generates.
func (r *Relay) checkBound(call *nutmegcall.Call) *nutmegcall.Refusal {
	bound := call.Prompt.MaxTokens()
	if !call.Metered || bound > 0 || call.Engine == nil {
		return nil
	}
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonBadRequest, Detail: fmt.Sprintf("the request states a bound of %d tokens", bound)}
}
