package nutmegroute

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// notRunHeader is set by upstreams on answers to requests that they did not run.
const notRunHeader = "X-Not-Run"

// sendError tells a connection that was never made from one that broke. A
// request whose connection was never made did not run; all others may have.
func sendError(ctx context.Context, u nutmegid.Upstream, err error) error {
	if isDialError(err) {
		return &Error{Kind: KindUnreachable, Ran: RanNo, Upstream: u, Remedy: "try again", Err: err}
	}
	if ctx.Err() != nil {
		return endedError(ctx, u, RanUnknown)
	}
	return &Error{Kind: KindUnreachable, Ran: RanUnknown, Upstream: u, Remedy: "ask for the request's state before sending it again", Err: err}
}

// notRunError is a failed request of which the upstream has proved that it did
// not run and will not run.
func notRunError(u nutmegid.Upstream, err error) error {
	return &Error{Kind: KindUnreachable, Ran: RanNo, Upstream: u, Remedy: "try again", Err: err}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isProcessDown reports whether the host answered that no process listens.
func isProcessDown(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// endedError is the error of a request whose context has ended: by its deadline,
// or since its caller or this instance went away.
func endedError(ctx context.Context, u nutmegid.Upstream, ran Ran) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, context.DeadlineExceeded) {
		return &Error{Kind: KindDeadline, Ran: ran, Upstream: u, Remedy: "send the request again with a later deadline", Err: cause}
	}
	return &Error{Kind: KindInterrupted, Ran: ran, Upstream: u, Remedy: "send the request again", Err: cause}
}

// engineStatusError judges an engine's answer that is no stream. An engine that
// answers with a status of the request's own fault has generated nothing.
func engineStatusError(u nutmegid.Upstream, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	err := fmt.Errorf("answered %s: %s", resp.Status, bytes.TrimSpace(text))
	if resp.Header.Get(notRunHeader) == "1" {
		return &Error{Kind: KindRefused, Ran: RanNo, Upstream: u, Remedy: "try again later", Err: err}
	}
	if refusedByEngine[resp.StatusCode] {
		return &Error{Kind: KindRefused, Ran: RanNo, Upstream: u, Remedy: "correct the request", Err: err}
	}
	return &Error{Kind: KindUpstreamCode, Ran: RanUnknown, Upstream: u, Remedy: "try again later", Err: err}
}

// refusedByEngine are the statuses with which an engine turns a request away
// before it generates anything.
var refusedByEngine = map[int]bool{
	http.StatusBadRequest:            true,
	http.StatusUnauthorized:          true,
	http.StatusForbidden:             true,
	http.StatusNotFound:              true,
	http.StatusMethodNotAllowed:      true,
	http.StatusRequestEntityTooLarge: true,
	http.StatusUnsupportedMediaType:  true,
	http.StatusUnprocessableEntity:   true,
	http.StatusTooManyRequests:       true,
}

// serviceStatusError judges a plain service's answer. Only the service's own
// proof says that a call did not run: any other status, also an error, means
// that the service has seen the call.
func serviceStatusError(u nutmegid.Upstream, resp *http.Response) error {
	if resp.Header.Get(notRunHeader) != "1" {
		return nil
	}
	return &Error{
		Kind: KindRefused, Ran: RanNo, Upstream: u, Remedy: "try again later",
		Err: fmt.Errorf("answered %s", resp.Status),
	}
}

// isUncertainStatus reports whether a status leaves open if the call took effect.
func isUncertainStatus(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusRequestTimeout
}
