package nutmegroute

import (
	"errors"
	"fmt"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Ran says whether a failed request may have run at an upstream.
type Ran string

// The values of Ran.
const (
	// RanNo says that the request did not run.
	RanNo Ran = "no"
	// RanYes says that the request ran.
	RanYes Ran = "yes"
	// RanUnknown says that the request may have run.
	RanUnknown Ran = "unknown"
)

// ErrorKind tells what failed.
type ErrorKind string

// The kinds of errors.
const (
	// KindNoUpstream says that no upstream serves the model or route.
	KindNoUpstream ErrorKind = "no_upstream"
	// KindRefused says that the upstream proved that it did not run the request.
	KindRefused ErrorKind = "upstream_refused"
	// KindUnreachable says that no connection was made, or that it broke before the answer.
	KindUnreachable ErrorKind = "upstream_unreachable"
	// KindBroken says that the answer's connection broke and the engine could not be reached again.
	KindBroken ErrorKind = "stream_broken"
	// KindSilent says that the engine holds the stream and sends nothing.
	KindSilent ErrorKind = "stream_silent"
	// KindLost says that the engine no longer has the stream, as after a crash.
	KindLost ErrorKind = "stream_lost"
	// KindCancelled says that the stream was cancelled before its end.
	KindCancelled ErrorKind = "stream_cancelled"
	// KindOverran says that the engine went past the answer's maximum.
	KindOverran ErrorKind = "reservation_overrun"
	// KindOverloaded says that the queue before the upstreams is full.
	KindOverloaded ErrorKind = "overloaded"
	// KindExpired says that the request's time ended while it waited.
	KindExpired ErrorKind = "expired_waiting"
	// KindUpstreamCode says that the upstream answered with an error status.
	KindUpstreamCode ErrorKind = "upstream_error"
	// KindDeadline says that the caller's deadline has passed.
	KindDeadline ErrorKind = "deadline_passed"
	// KindInterrupted says that the caller or the instance went away.
	KindInterrupted ErrorKind = "request_interrupted"
	// KindSuspect says that the request crashed an upstream and waits for its second try.
	KindSuspect ErrorKind = "request_suspect"
	// KindQuarantined says that the request crashed two upstreams.
	KindQuarantined ErrorKind = "request_quarantined"
)

// Error is a request that no upstream answered whole.
type Error struct {
	Kind     ErrorKind
	Ran      Ran
	Upstream nutmegid.Upstream
	Remedy   string
	Err      error
}

// Error names the upstream, what failed and the remedy.
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

// RanOf returns what err says about running; unknown for foreign errors.
func RanOf(err error) Ran {
	var e *Error
	if errors.As(err, &e) {
		return e.Ran
	}
	return RanUnknown
}

// IsKind reports whether err is an error of this package of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// ranOrder ranks what is known of several attempts together.
var ranOrder = map[Ran]int{RanNo: 0, RanUnknown: 1, RanYes: 2}

// Worse returns what is known after two attempts. The empty value stands for none.
func (r Ran) Worse(other Ran) Ran {
	if r == "" || ranOrder[other] > ranOrder[r] {
		return other
	}
	return r
}

// withRan returns err with what all attempts together say about running.
func withRan(err error, ran Ran) error {
	var e *Error
	if !errors.As(err, &e) || e.Ran.Worse(ran) == e.Ran {
		return err
	}
	raised := *e
	raised.Ran = ran
	return &raised
}
