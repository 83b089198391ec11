package nutmegrelay

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// locate puts each upstream of a fleet into a failure domain of its own name, all of
// which are in region "east".
func (f *fleet) locate() {
	byID := make(map[nutmegid.Upstream]nutmegview.Upstream)
	regions := make(map[nutmegid.FailureDomain]nutmegid.Region)
	for id, u := range f.view.Upstreams().ByID {
		u.FailureDomain = nutmegid.FailureDomain(id)
		byID[id] = u
		regions[u.FailureDomain] = "east"
	}
	f.view.SetRegions(regions)
	f.view.SetUpstreams(2, byID)
	f.relay.cfg.Placer = nutmegplace.New(nutmegplace.Config{Seed: 1, Locations: f.view})
	f.relay.cfg.Placer.SetUpstreams(f.view.Upstreams())
}

func (f *fleet) evacuate(domain nutmegid.FailureDomain) {
	f.view.ApplyEvacuation(nutmegview.EvacuationChange{FailureDomain: domain, Evacuated: true, Version: 7})
}

// TestDomainEvacuatedWhileAPermitIsAskedFor guards against requests that are sent to a
// failure domain that was evacuated after they were placed there.
func TestDomainEvacuatedWhileAPermitIsAskedFor(t *testing.T) {
	f, permits := limitedFleet(t, []nutmegid.Upstream{"u0", "u1"}, text("a"), text("b"))
	f.locate()
	permits.onAsk = func() { f.evacuate("u0") }
	var withdrawn int
	f.relay.cfg.OnDecision = func(_ *nutmegcall.Call, d Decision) {
		if d.Kind == DecisionWithdrawn {
			withdrawn++
		}
	}
	for range 10 {
		outcome, refusal := f.relay.Serve(t.Context(), newCall(nonIdempotent), &recorder{})
		if refusal != nil || outcome.Upstream != "u1" {
			t.Fatalf("outcome %+v, refusal %v; want an answer of u1", outcome, refusal)
		}
	}
	if withdrawn > 1 {
		t.Errorf("%d requests were placed in the evacuated domain; want at most 1", withdrawn)
	}
	if n := f.relay.cfg.Placer.Running("u0"); n != 0 {
		t.Errorf("%d requests count as running in the evacuated domain", n)
	}
}

// TestRetryAndResumptionAvoidEvacuatedDomain evacuates the only other failure domain
// while a request runs. The request must end, and not go on there.
func TestRetryAndResumptionAvoidEvacuatedDomain(t *testing.T) {
	for name, c := range map[string]struct {
		route   nutmegview.Route
		handler func(http.ResponseWriter)
	}{
		"retry": {idempotent, func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }},
		"resumption": {resumable, func(w http.ResponseWriter) {
			_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var f *fleet
			handler := func(w http.ResponseWriter, _ *http.Request) {
				f.evacuate("u0")
				f.evacuate("u1")
				c.handler(w)
			}
			f = newFleet(t, handler, handler)
			f.locate()
			outcome, refusal := f.relay.Serve(t.Context(), newCall(c.route), &recorder{})
			if refusal == nil && outcome.Reason == nutmegcall.ReasonAnswered {
				t.Errorf("the request was answered: %+v", outcome)
			}
			if refusal != nil && refusal.Ran == nutmegcall.NotRun {
				t.Errorf("refusal %v says that the request has not run", refusal)
			}
			if len(f.requests) != 1 {
				t.Errorf("requests %v; want only the one from before the evacuation", f.requests)
			}
		})
	}
}

// TestNothingIsReservedForARequestThatMayRunNowhere checks that such a request is
// refused before it waits for tokens.
func TestNothingIsReservedForARequestThatMayRunNowhere(t *testing.T) {
	for name, c := range map[string]struct {
		regions []nutmegid.Region
		want    nutmegcall.Reason
	}{
		"evacuated":      {nil, nutmegcall.ReasonEvacuated},
		"other region":   {[]nutmegid.Region{"west"}, nutmegcall.ReasonRegionUnavailable},
		"home evacuated": {[]nutmegid.Region{"east"}, nutmegcall.ReasonEvacuated},
	} {
		f := newFleet(t, text("a"))
		f.locate()
		f.evacuate("u0")
		call := newCall(nonIdempotent)
		call.Metered = true
		call.Prompt = nutmegcall.Prompt{Tokens: 100, MaxOutput: 10}
		call.Regions = nutmegview.LimitRegions(&nutmegview.Route{Regions: c.regions}, nil)
		_, refusal := f.relay.Serve(t.Context(), call, &recorder{})
		if refusal == nil || refusal.Reason != c.want || refusal.Ran != nutmegcall.NotRun || refusal.RetryAfter <= 0 {
			t.Errorf("%s: refusal %v; want %s, not run, with a time to return", name, refusal, c.want)
		}
		if f.budget.reserved != 0 {
			t.Errorf("%s: %d tokens were reserved", name, f.budget.reserved)
		}
		if diff := cmp.Diff([]string(nil), f.requests); diff != "" {
			t.Errorf("%s: requests (-want +got):\n%s", name, diff)
		}
	}
}
