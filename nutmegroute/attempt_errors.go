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

// notRunHeader is set by an upstream on responses to requests that it did not run.
const notRunHeader = "X-Not-Run"

// sendError classifies a transport error. If the connection was never established, the request
// did not run; otherwise it may have run.
func sendError(ctx context.Context, u nutmegid.Upstream, err error) error {
	if isDialError(err) {
		return &Error{Kind: KindUnreachable, Ran: RanNo, Upstream: u, Remedy: "try again", Err: err}
	}
	if ctx.Err() != nil {
		return contextError(ctx, u, RanUnknown)
	}
	return &Error{Kind: KindUnreachable, Ran: RanUnknown, Upstream: u, Remedy: "ask for the request's state before sending it again", Err: err}
}

// notRunError returns the error of a request that, as the upstream has proved, did not run and
// will not run.
func notRunError(u nutmegid.Upstream, err error) error {
	return &Error{Kind: KindUnreachable, Ran: RanNo, Upstream: u, Remedy: "try again", Err: err}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isConnectionRefused reports whether the host refused the connection because no process
// listens on the port.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// contextError returns the error of a request whose context ended, either by its deadline or
// because the caller or this instance went away.
func contextError(ctx context.Context, u nutmegid.Upstream, ran Ran) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, context.DeadlineExceeded) {
		return &Error{Kind: KindDeadline, Ran: ran, Upstream: u, Remedy: "send the request again with a later deadline", Err: cause}
	}
	return &Error{Kind: KindInterrupted, Ran: ran, Upstream: u, Remedy: "send the request again", Err: cause}
}

// engineStatusError classifies an engine response that is not a stream. A status listed in
// refusalStatuses means that the engine generated nothing.
func engineStatusError(u nutmegid.Upstream, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	err := fmt.Errorf("returned status %s: %s", resp.Status, bytes.TrimSpace(text))
	if resp.Header.Get(notRunHeader) == "1" {
		return &Error{Kind: KindRefused, Ran: RanNo, Upstream: u, Remedy: "try again later", Err: err}
	}
	if refusalStatuses[resp.StatusCode] {
		return &Error{Kind: KindRefused, Ran: RanNo, Upstream: u, Remedy: "correct the request", Err: err}
	}
	return &Error{Kind: KindUpstreamCode, Ran: RanUnknown, Upstream: u, Remedy: "try again later", Err: err}
}

// refusalStatuses are the statuses with which an engine rejects a request before generating
// anything.
var refusalStatuses = map[int]bool{
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

// serviceStatusError classifies the response of a plain service. Only an explicit header
// proves that a call did not run: with any other status, including an error status, the
// service has received the call.
func serviceStatusError(u nutmegid.Upstream, resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return &Error{
			Kind: KindUpstreamCode, Ran: RanUnknown, Upstream: u, Remedy: "have an operator inspect the service",
			Err: fmt.Errorf("returned status %q, which no answer has", resp.Status),
		}
	}
	if resp.Header.Get(notRunHeader) != "1" {
		return nil
	}
	return &Error{
		Kind: KindRefused, Ran: RanNo, Upstream: u, Remedy: "try again later",
		Err: fmt.Errorf("returned status %s", resp.Status),
	}
}

const maxStatus = 599 // of an answer

// isUncertainStatus reports whether a status leaves open whether the call took effect.
func isUncertainStatus(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusRequestTimeout
}
