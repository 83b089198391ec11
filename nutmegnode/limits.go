package nutmegnode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

// readBody reads a request body within the instance's size and time limits.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	timeout := n.cfg.Settings.Limits.BodyTimeout
	_ = control.SetReadDeadline(time.Now().Add(time.Duration(timeout)))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, n.cfg.Settings.Limits.MaxBodyBytes))
	if err != nil {
		return nil, bodyError(err, timeout)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyError(err error, timeout nutmegconf.Duration) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body is over %d bytes; send less", tooLarge.Limit))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refusal(http.StatusRequestTimeout, "body_too_slow", fmt.Sprintf("the body did not arrive within %s; send it faster", timeout))
	}
	return refusal(http.StatusBadRequest, "body_incomplete", "the body did not arrive whole; send it again")
}

// deadlineHeader carries the caller's deadline, either as a duration from now such
// as "1500ms" or as an RFC 3339 time.
const deadlineHeader = "X-Deadline"

// withDeadline returns a copy of ctx with the deadline given in a caller's header,
// if any.
func withDeadline(ctx context.Context, header http.Header, now time.Time) (context.Context, context.CancelFunc, error) {
	text := header.Get(deadlineHeader)
	if text == "" {
		ctx, cancel := context.WithCancel(ctx)
		return ctx, cancel, nil
	}
	at, err := parseDeadline(text, now)
	if err != nil {
		return nil, nil, err
	}
	if !at.After(now) {
		return nil, nil, refusal(http.StatusGatewayTimeout, "deadline_passed", "the deadline has passed; send the request with a later one")
	}
	ctx, cancel := context.WithDeadline(ctx, at)
	return ctx, cancel, nil
}

func parseDeadline(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d), nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return at, refusal(http.StatusBadRequest, "bad_deadline", fmt.Sprintf("%s %q is no duration or time; write 1500ms or 2026-01-02T15:04:05Z", deadlineHeader, text))
	}
	return at, nil
}
