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
	KindNoUpstream   ErrorKind = "no_upstream"
	KindRefused      ErrorKind = "upstream_refused"
	KindUnreachable  ErrorKind = "upstream_unreachable"
	KindBroken       ErrorKind = "stream_broken"
	KindOverran      ErrorKind = "reservation_overrun"
	KindOverloaded   ErrorKind = "overloaded"
	KindExpired      ErrorKind = "expired_waiting"
	KindUpstreamCode ErrorKind = "upstream_error"
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
	text := fmt.Sprintf("upstream %q: %s; %s", e.Upstream, e.Kind, e.Remedy)
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
