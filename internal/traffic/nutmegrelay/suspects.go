package nutmegrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegsuspect"
)

// beginDuration is how long events must have arrived before an upstream counts as
// answering: one that crashes on a request does so as it begins.
const beginDuration = 250 * time.Millisecond

// checkHold refuses a call that is held back because upstreams crashed under it.
func (e *exchange) checkHold() *nutmegcall.Refusal {
	hold, held := e.relay.cfg.Suspects.Held(e.call)
	if !held {
		return nil
	}
	return &nutmegcall.Refusal{
		Reason: nutmegcall.ReasonQuarantined, RetryAfter: hold.RetryAfter(),
		Detail: fmt.Sprintf("%d upstreams crashed under requests with %s", hold.Crashes, hold.Suspect),
	}
}

// recordBegin is called for each event. It records that the upstream has begun to
// answer the call without crashing, once that is certain.
func (e *exchange) recordBegin() {
	cfg := e.relay.cfg
	now := cfg.Elapsed()
	if e.beganAt == 0 {
		e.beganAt = now
		return
	}
	if !e.begun && now-e.beganAt >= beginDuration {
		e.begun = true
		cfg.Suspects.AnswerBegan(e.call)
	}
}

// mayEndUpstream reports whether the error of an attempt may be due to the end of the
// upstream's process.
func mayEndUpstream(err error) bool {
	var noAnswer *NotAnswerError
	return nutmegconn.IsConnectionLost(err) || errors.As(err, &noAnswer)
}

// checkUpstream records the call as a suspect if its upstream has crashed, after
// the upstream closed the connection before its response was complete. A call that
// the upstream had begun to answer is no suspect.
func (e *exchange) checkUpstream(ctx context.Context, p *nutmegplace.Placement) {
	cfg := e.relay.cfg
	if !cfg.Pool.HasEnded(ctx, p.Upstream.Address) {
		return
	}
	cfg.OnDecision(e.call, Decision{
		Kind: DecisionUpstreamEnded, Upstream: p.Upstream.ID, Attempt: e.attempts, Events: e.events.Events, Begun: e.begun,
		Content: nutmegsuspect.ContentKey(e.call), Parts: nutmegsuspect.PartKeys(e.call),
	})
	if !e.mayLeave(p) && !e.begun {
		cfg.Suspects.UpstreamEnded(e.call, p.Upstream)
	}
}

// mayLeave reports whether the upstream may end as planned: it says that it leaves,
// or its entry has gone, which may be the first sign of that.
func (e *exchange) mayLeave(p *nutmegplace.Placement) bool {
	u, listed := e.relay.cfg.View.Upstreams().ByID[p.Upstream.ID]
	return !listed || u.Leaving || e.relay.cfg.Notices.IsLeaving(p.Upstream)
}
