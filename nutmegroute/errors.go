package nutmegroute

import (
	"errors"
	"fmt"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Ran tells whether a failed request may have run at an upstream.
type Ran string

// The values of Ran.
const (
	// RanNo means that the request did not run.
	RanNo Ran = "no"
	// RanYes means that the request ran.
	RanYes Ran = "yes"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "unknown"
)

// ErrorKind classifies errors.
type ErrorKind string

// The kinds of errors.
const (
	// KindNoUpstream means that no upstream serves the model or route.
	KindNoUpstream ErrorKind = "no_upstream"
	// KindRefused means that the upstream proved that it did not run the request.
	KindRefused ErrorKind = "upstream_refused"
	// KindUnreachable means that no connection was established, or that it broke before the
	// response.
	KindUnreachable ErrorKind = "upstream_unreachable"
	// KindBroken means that the response was cut off and could not be resumed.
	KindBroken ErrorKind = "stream_broken"
	// KindSilent means that the engine keeps the stream open but sends no events.
	KindSilent ErrorKind = "stream_silent"
	// KindLost means that the engine no longer has the stream, for example after a crash.
	KindLost ErrorKind = "stream_lost"
	// KindCancelled means that the stream was cancelled before its end.
	KindCancelled ErrorKind = "stream_cancelled"
	// KindOverran means that the engine exceeded the maximum answer length or the reserved
	// tokens.
	KindOverran ErrorKind = "reservation_overrun"
	// KindOverloaded means that the queue is full, the wait would exceed the deadline, or the
	// retry budget is spent.
	KindOverloaded ErrorKind = "overloaded"
	// KindExpired means that the request's context ended while it was queued.
	KindExpired ErrorKind = "expired_waiting"
	// KindUpstreamCode means that the upstream responded with an error status.
	KindUpstreamCode ErrorKind = "upstream_error"
	// KindDeadline means that the caller's deadline passed.
	KindDeadline ErrorKind = "deadline_passed"
	// KindInterrupted means that the caller or the instance went away.
	KindInterrupted ErrorKind = "request_interrupted"
	// KindSuspect means that the request crashed an upstream and its trial is pending.
	KindSuspect ErrorKind = "request_suspect"
	// KindQuarantined means that the request crashed two upstreams.
	KindQuarantined ErrorKind = "request_quarantined"
)

// Error reports a request that no upstream completed.
type Error struct {
	Kind     ErrorKind
	Ran      Ran
	Upstream nutmegid.Upstream
	Remedy   string
	Err      error
}

// Error returns the upstream, the kind, the remedy and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s; %s", e.Kind, e.Remedy)
	if e.Upstream != "" {
		text = fmt.Sprintf("upstream %q: %s", e.Upstream, text)
	}
	if e.Err == nil {
		return text
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// RanOf returns whether the request that failed with err may have run; RanUnknown for errors
// of other packages.
func RanOf(err error) Ran {
	var e *Error
	if errors.As(err, &e) {
		return e.Ran
	}
	return RanUnknown
}

// IsKind reports whether err is an *Error of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// ranRank orders the values of Ran for combining several attempts.
var ranRank = map[Ran]int{RanNo: 0, RanUnknown: 1, RanYes: 2}

// Combine returns the combined result of two attempts. The empty value means that there was no
// attempt.
func (r Ran) Combine(other Ran) Ran {
	if r == "" || ranRank[other] > ranRank[r] {
		return other
	}
	return r
}

// withRan returns err with the combined result of all attempts.
func withRan(err error, ran Ran) error {
	var e *Error
	if !errors.As(err, &e) || e.Ran.Combine(ran) == e.Ran {
		return err
	}
	raised := *e
	raised.Ran = ran
	return &raised
}
