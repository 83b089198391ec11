package nutmegplace

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// newLocatedPlacer returns a placer for upstreams in the failure domains "0" to "2",
// of which "0" and "1" are in region "east" and the region of "2" is unknown.
func newLocatedPlacer(engines, plain int) (*Placer, *nutmegview.View) {
	view := nutmegview.New()
	view.SetRegions(map[nutmegid.FailureDomain]nutmegid.Region{"0": "east", "1": "east"})
	p := newTestPlacer(newUpstreams(engines, plain))
	p.cfg.Locations = view
	return p, view
}

// limitTo returns the limit of requests that may run in some regions only.
func limitTo(regions ...nutmegid.Region) nutmegview.RegionLimit {
	return nutmegview.LimitRegions(&nutmegview.Route{Regions: regions}, nil)
}

// placedIn counts the failure domains in which n requests are placed.
func placedIn(t *testing.T, p *Placer, info PickInfo, n int) map[nutmegid.FailureDomain]int {
	t.Helper()
	placed := make(map[nutmegid.FailureDomain]int)
	for k := range n {
		now := time.Duration(k) * time.Millisecond
		pl := mustPick(t, p, info, now)
		placed[pl.Upstream.FailureDomain]++
		p.Done(pl, ResultAnswered, now)
	}
	return placed
}

// TestEvacuationTakenBackDuringABurst places a burst of requests with one prompt
// prefix while a failure domain, which holds engines that have the prefix cached, is
// evacuated and taken back. None may be placed there in between, and some must be
// before and after.
func TestEvacuationTakenBackDuringABurst(t *testing.T) {
	p, view := newLocatedPlacer(9, 0)
	burst := func() map[nutmegid.FailureDomain]int {
		placed := make(map[nutmegid.FailureDomain]int)
		for k := range 200 {
			pl := mustPick(t, p, PickInfo{Service: engineService, Prompt: prompt("hot", 100)}, time.Duration(k)*time.Millisecond)
			placed[pl.Upstream.FailureDomain]++
		}
		return placed
	}
	before := burst()
	if before["1"] == 0 {
		t.Fatalf("placed %v before the evacuation; want some in each domain", before)
	}
	running := p.Running("1")
	view.ApplyEvacuation(nutmegview.EvacuationChange{FailureDomain: "1", Evacuated: true, Version: 5})
	if during := burst(); during["1"] != 0 {
		t.Errorf("placed %v during the evacuation; want none in domain 1", during)
	}
	if got := p.Running("1"); got != running {
		t.Errorf("%d requests run in the evacuated domain; want the %d from before", got, running)
	}
	view.ApplyEvacuation(nutmegview.EvacuationChange{FailureDomain: "1", Version: 6})
	if after := burst(); after["1"] == 0 {
		t.Errorf("placed %v after the evacuation; want some in domain 1", after)
	}
}

// TestServiceIsEvacuatedAsAWhole checks that callers learn at once that their requests
// have not run, and when to return, at different times.
func TestServiceIsEvacuatedAsAWhole(t *testing.T) {
	p, view := newLocatedPlacer(6, 3)
	for n, domain := range []nutmegid.FailureDomain{"0", "1", "2"} {
		view.ApplyEvacuation(nutmegview.EvacuationChange{FailureDomain: domain, Evacuated: true, Version: nutmegid.Version(n + 1)})
	}
	waits := make(map[time.Duration]bool)
	for range 20 {
		_, refusal := p.Pick(PickInfo{Service: plainService}, 0)
		if refusal == nil || refusal.Reason != nutmegcall.ReasonEvacuated || refusal.Ran != nutmegcall.NotRun || refusal.RetryAfter < closedRetryAfter {
			t.Fatalf("refusal %v; want %s, not run, with a time to return", refusal, nutmegcall.ReasonEvacuated)
		}
		waits[refusal.RetryAfter] = true
	}
	if len(waits) < 10 {
		t.Errorf("callers are told only %d different times", len(waits))
	}
	view.ApplyEvacuation(nutmegview.EvacuationChange{FailureDomain: "2", Version: 9})
	if diff := cmp.Diff(map[nutmegid.FailureDomain]int{"2": 20}, placedIn(t, p, PickInfo{Service: plainService}, 20)); diff != "" {
		t.Errorf("placed (-want +got):\n%s", diff)
	}
}

// TestHomeRegionCutOff takes the upstreams of a home region away: by an evacuation, as
// leaving, and from the list. No request may then run elsewhere, also not in a failure
// domain whose region is unknown.
func TestHomeRegionCutOff(t *testing.T) {
	home := PickInfo{Service: plainService, Regions: limitTo("east")}
	p, view := newLocatedPlacer(0, 3)
	if placed := placedIn(t, p, home, 30); placed["2"] != 0 {
		t.Errorf("placed %v; want none in domain 2", placed)
	}
	refused := func(want nutmegcall.Reason) {
		t.Helper()
		for name, refusal := range map[string]*nutmegcall.Refusal{"before a reservation": p.Closed(home), "at placement": pickRefusal(p, home)} {
			if refusal == nil || refusal.Reason != want || refusal.Ran != nutmegcall.NotRun || refusal.RetryAfter <= 0 {
				t.Errorf("%s: refusal %v; want %s, not run, with a time to return", name, refusal, want)
			}
		}
	}
	for n, domain := range []nutmegid.FailureDomain{"0", "1"} {
		view.ApplyEvacuation(nutmegview.EvacuationChange{FailureDomain: domain, Evacuated: true, Version: nutmegid.Version(n + 1)})
	}
	refused(nutmegcall.ReasonEvacuated)
	for n, domain := range []nutmegid.FailureDomain{"0", "1"} {
		view.ApplyEvacuation(nutmegview.EvacuationChange{FailureDomain: domain, Version: nutmegid.Version(n + 3)})
	}
	byID := make(map[nutmegid.Upstream]nutmegview.Upstream)
	for id, u := range newUpstreams(0, 3).ByID {
		u.Leaving = u.FailureDomain != "2"
		byID[id] = u
	}
	view.SetUpstreams(2, byID)
	p.SetUpstreams(view.Upstreams())
	refused(nutmegcall.ReasonRegionUnavailable)
}

func pickRefusal(p *Placer, info PickInfo) *nutmegcall.Refusal {
	_, refusal := p.Pick(info, 0)
	return refusal
}
