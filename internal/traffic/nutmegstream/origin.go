package nutmegstream

import (
	"context"
	"fmt"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

// Origin returns the software version that has begun the stream which a call takes up. A
// refusal means that nobody knows it: joining it with another version would be an error
// that the caller cannot see.
func (r *Registry) Origin(ctx context.Context, call *nutmegcall.Call) (nutmegview.SoftwareVersion, *nutmegcall.Refusal) {
	if o, known := r.remembered(call); known {
		return r.accept(call, o)
	}
	detail := ""
	// Another instance may still have to write the statement that names the stream.
	for again := range 2 {
		if again > 0 && !sleep(ctx, r.cfg.Interval()+statementDelay) {
			break
		}
		known, err := r.consult(ctx, r.cfg.Elapsed())
		if err != nil {
			detail = ": " + err.Error()
			continue
		}
		if o, found := known.originOf(call.Resumed.First, call.Service); found {
			return r.accept(call, o)
		}
	}
	return "", &nutmegcall.Refusal{
		Reason: nutmegcall.ReasonUnknownStream,
		Detail: fmt.Sprintf("several software versions of service %s serve, and it is not known which began the stream of request %s%s", call.Service, call.Resumed.First, detail),
	}
}

// remembered returns the origin that this instance knows: of a stream that passed through
// it, or of any if it has seen a single version for the lifetime of a stream.
func (r *Registry) remembered(call *nutmegcall.Call) (origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, known := r.streams[keyOf(call.Resumed.First)]; known && call.Resumed.First != "" {
		return s.origin, true
	}
	now, lifetime := r.cfg.Elapsed(), r.lifetimes[call.Service]
	if now < lifetime || len(r.announced[call.Service]) > 1 {
		return origin{}, false
	}
	seen := r.history.since(call.Service, now-lifetime)
	if len(seen) != 1 {
		return origin{}, false
	}
	return origin{service: call.Service, version: seen[0]}, true
}

// accept records that a call takes up a stream of an origin. A stream of another service
// than the call's cannot go on.
func (r *Registry) accept(call *nutmegcall.Call, o origin) (nutmegview.SoftwareVersion, *nutmegcall.Refusal) {
	if o.service != call.Service {
		return "", &nutmegcall.Refusal{
			Reason: nutmegcall.ReasonUnknownStream,
			Detail: fmt.Sprintf("the stream of request %s began at service %s, this one goes to %s", call.Resumed.First, o.service, call.Service),
		}
	}
	if call.Resumed.First != "" {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.remember(keyOf(call.Resumed.First), o)
	}
	return o.version, nil
}
