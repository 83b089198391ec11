package nutmegplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegwarmup"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// fakeWarmup holds the states of upstreams that have to be spared.
type fakeWarmup map[nutmegid.Upstream]nutmegwarmup.State

// State implements Warmup.
func (w fakeWarmup) State(u nutmegview.Upstream, _ time.Duration) nutmegwarmup.State {
	if state, known := w[u.ID]; known {
		return state
	}
	return nutmegwarmup.State{Share: 1}
}

func newWarmupPlacer(set *nutmegview.Upstreams, w fakeWarmup) *Placer {
	p := newTestPlacer(set)
	p.cfg.Warmup = w
	return p
}

// shortPrompt returns a prompt with little to read, and nothing shared.
func shortPrompt(n int) nutmegcall.Prompt {
	return nutmegcall.Prompt{Model: "m", Tokens: 100, Parts: []nutmegcall.Part{{ID: fmt.Sprint("own", n), Tokens: 100}}}
}

// TestIdleUpstreamGetsARisingShare guards against an upstream that has been cold, is
// idle beside busy ones and gets everything at once.
func TestIdleUpstreamGetsARisingShare(t *testing.T) {
	const requests = 1000
	before := 0
	for _, share := range []float64{0, 0.2, 0.6, 1} {
		w := fakeWarmup{}
		p := newWarmupPlacer(newUpstreams(0, 4), w)
		for range 12 { // the other upstreams are busy
			mustPick(t, p, PickInfo{Service: plainService, Exclude: []nutmegid.Upstream{"desk-00"}}, time.Second)
		}
		w["desk-00"] = nutmegwarmup.State{Share: share}
		got := 0
		for range requests {
			placement := mustPick(t, p, PickInfo{Service: plainService}, time.Second)
			if placement.Upstream.ID == "desk-00" {
				got++
			}
			p.Done(placement, ResultAnswered, time.Second)
		}
		if got > int((share+0.05)*requests) || got < before {
			t.Errorf("with a share of %g the idle upstream got %d of %d requests, %d with the share before", share, got, requests, before)
		}
		before = got
	}
	if before < requests*9/10 {
		t.Errorf("with its whole share the idle upstream got %d of %d requests; want nearly all", before, requests)
	}
}

// TestPrefixAtAColdEngineIsWeighed guards against requests that go to a cold engine for
// a short prefix, and against long prefixes that are read anew elsewhere.
func TestPrefixAtAColdEngineIsWeighed(t *testing.T) {
	for _, c := range []struct {
		shared int64
		stays  bool
	}{{500, false}, {50_000, true}} {
		w := fakeWarmup{}
		p := newWarmupPlacer(newUpstreams(6, 0), w)
		prompt := nutmegcall.Prompt{Model: "m", Tokens: c.shared + 100, Parts: []nutmegcall.Part{{ID: "part", Tokens: c.shared}, {ID: "own", Tokens: 100}}}
		holder := mustPick(t, p, PickInfo{Service: engineService, Prompt: prompt}, time.Second)
		p.Done(holder, ResultAnswered, time.Second)
		w[holder.Upstream.ID] = nutmegwarmup.State{Cold: true, Share: 1}
		next := mustPick(t, p, PickInfo{Service: engineService, Prompt: prompt}, time.Second)
		if stays := next.Upstream.ID == holder.Upstream.ID; stays != c.stays {
			t.Errorf("prefix of %d tokens: goes to the cold engine that has it %v; want %v", c.shared, stays, c.stays)
		}
	}
}

// TestDeniedRequestGoesToAWarmUpstream guards against requests that ask one cold
// upstream after the other for a permit, while warm ones have room.
func TestDeniedRequestGoesToAWarmUpstream(t *testing.T) {
	w := fakeWarmup{}
	set := newUpstreams(9, 0)
	for id := range set.ByID {
		w[id] = nutmegwarmup.State{Cold: id != "engines-04", Share: 1}
	}
	p := newWarmupPlacer(set, w)
	for n := range 50 {
		placement := mustPick(t, p, PickInfo{Service: engineService, Prompt: shortPrompt(n), AvoidCold: true}, time.Second)
		if placement.Upstream.ID != "engines-04" {
			t.Fatalf("the request goes to %s, which is cold", placement.Upstream.ID)
		}
		p.Done(placement, ResultAnswered, time.Second)
	}
}

// TestSparedUpstreamsAreUsedWhenOthersAreFull guards against callers that are refused
// while an upstream idles that is being spared.
func TestSparedUpstreamsAreUsedWhenOthersAreFull(t *testing.T) {
	w := fakeWarmup{"desk-00": {Share: 0}}
	p := newWarmupPlacer(newUpstreams(0, 2), w)
	full := 6 * (1 + int(serviceQueueShare))
	for n := range 2 * full {
		placement := mustPick(t, p, PickInfo{Service: plainService}, time.Second)
		if spared := placement.Upstream.ID == "desk-00"; spared != (n >= full) {
			t.Fatalf("request %d went to %s", n, placement.Upstream.ID)
		}
	}
	w["desk-00"], w["desk-01"] = nutmegwarmup.State{Cold: true, Share: 1}, nutmegwarmup.State{Cold: true, Share: 1}
	p = newWarmupPlacer(newUpstreams(0, 2), w)
	mustPick(t, p, PickInfo{Service: plainService, AvoidCold: true}, time.Second)
}
