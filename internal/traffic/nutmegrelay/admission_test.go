package nutmegrelay

import (
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegadmit"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

// fullEngines is an Admission that refuses all requests.
type fullEngines struct {
	noAdmission
	asked []nutmegadmit.Request
}

// Decide implements Admission.
func (a *fullEngines) Decide(r nutmegadmit.Request, _ time.Duration) nutmegadmit.Decision {
	a.asked = append(a.asked, r)
	return nutmegadmit.Decision{Reason: nutmegadmit.ReasonPriority, RetryAfter: time.Second}
}

// TestRequestWithoutRoomIsNotSent checks that a request that is refused for lack of room
// is not sent and reserves nothing, and that this is logged.
func TestRequestWithoutRoomIsNotSent(t *testing.T) {
	f := newFleet(t, text("found"))
	admission := &fullEngines{}
	f.relay.cfg.Admission = admission
	var decided []DecisionKind
	f.relay.cfg.OnDecision = func(_ *nutmegcall.Call, d Decision) { decided = append(decided, d.Kind) }
	call := newCall(stream)
	call.Engine = &nutmegview.Engine{Slots: 4, TokensPerEvent: 5}
	outcome, refusal := f.relay.Serve(t.Context(), call, &recorder{})
	if refusal == nil || refusal.Reason != nutmegcall.ReasonOverloaded || refusal.Ran != nutmegcall.NotRun || refusal.RetryAfter != time.Second {
		t.Errorf("outcome %+v, refusal %v; want a refusal as overloaded, not run, for 1 s", outcome, refusal)
	}
	if len(f.requests) > 0 || f.budget.reserved > 0 {
		t.Errorf("%d requests were sent, %d tokens reserved; want none", len(f.requests), f.budget.reserved)
	}
	if len(decided) != 1 || decided[0] != DecisionNotAdmitted {
		t.Errorf("decisions %v; want %s", decided, DecisionNotAdmitted)
	}
	if len(admission.asked) != 1 || admission.asked[0].Tokens != 150 {
		t.Errorf("asked %+v; want one request of 150 tokens", admission.asked)
	}
}

// TestAdmissionAsksForEnginesWithStatedSlots checks that calls to plain services, and to
// engines whose configuration states no slots, are served as before.
func TestAdmissionAsksForEnginesWithStatedSlots(t *testing.T) {
	for _, engine := range []*nutmegview.Engine{nil, {TokensPerEvent: 5}} {
		f := newFleet(t, text("found"))
		f.relay.cfg.Admission = &fullEngines{}
		call := newCall(idempotent)
		call.Engine = engine
		if _, refusal := f.relay.Serve(t.Context(), call, &recorder{}); refusal != nil {
			t.Errorf("refused: %v", refusal)
		}
	}
}
