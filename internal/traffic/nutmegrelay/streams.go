package nutmegrelay

import (
	"context"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

// findOrigin finds out which software version must go on with the stream that the call
// takes up.
func (e *exchange) findOrigin(ctx context.Context) *nutmegcall.Refusal {
	if !e.mayBeTakenUp() || e.call.Resumed.IsZero() {
		return nil
	}
	version, refusal := e.relay.cfg.Streams.Origin(ctx, e.call)
	if refusal != nil {
		return refusal
	}
	e.version = &version
	return nil
}

// mayBeTakenUp reports whether callers may go on with the call's stream by another call.
func (e *exchange) mayBeTakenUp() bool {
	return e.relay.cfg.Streams != nil && e.call.Route.Stream && e.call.Route.Resumable
}

// streamBegun records the version of the first event's upstream: the rest of the stream
// has to come from the same version.
func (e *exchange) streamBegun(version nutmegview.SoftwareVersion) {
	if e.headerSent {
		return
	}
	if e.version == nil {
		e.version = &version
	}
	if e.mayBeTakenUp() {
		e.relay.cfg.Streams.Begun(e.call, version)
	}
}

// streamEnded records the end of a stream of which the caller has got something.
func (e *exchange) streamEnded() {
	if e.headerSent && e.mayBeTakenUp() {
		e.relay.cfg.Streams.Ended(e.call, e.outcome.Reason == nutmegcall.ReasonAnswered)
	}
}
