package nutmegplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const (
	engineService nutmegview.Service = "engines"
	plainService  nutmegview.Service = "desk"
)

// newUpstreams returns upstreams of an engine service and of a plain service.
func newUpstreams(engineCount, plainCount int) *nutmegview.Upstreams {
	byID := make(map[nutmegid.Upstream]nutmegview.Upstream)
	add := func(s nutmegview.Service, i, slots int) {
		id := nutmegid.Upstream(fmt.Sprintf("%s-%02d", s, i))
		byID[id] = nutmegview.Upstream{
			ID: id, Service: s, Address: string(id), Slots: slots, FailureDomain: nutmegid.FailureDomain(fmt.Sprint(i % 3)),
		}
	}
	for i := range engineCount {
		add(engineService, i, 64)
	}
	for i := range plainCount {
		add(plainService, i, 6)
	}
	view := nutmegview.New()
	view.SetUpstreams(1, byID)
	return view.Upstreams()
}

func newTestPlacer(set *nutmegview.Upstreams) *Placer {
	p := New(Config{FailureDomain: "0", Seed: 1})
	p.SetConfig(engineConfig())
	p.SetUpstreams(set)
	return p
}

// engineConfig returns a configuration with both services.
func engineConfig() *nutmegview.Config {
	return &nutmegview.Config{Services: map[nutmegview.Service]nutmegview.ServiceConfig{engineService: {Engine: &nutmegview.Engine{}}, plainService: {}}}
}

// prompt returns a prompt whose first 5,000 tokens are shared by all prompts with
// the same part.
func prompt(part string, own int64) nutmegcall.Prompt {
	return nutmegcall.Prompt{
		Model: "m", Tokens: 5000 + own,
		Parts: []nutmegcall.Part{{ID: part, Tokens: 5000}, {ID: "own", Tokens: own}},
	}
}

func mustPick(t *testing.T, p *Placer, info PickInfo, now time.Duration) *Placement {
	t.Helper()
	placement, refusal := p.Pick(info, now)
	if refusal != nil {
		t.Fatalf("pick was refused: %v", refusal)
	}
	return placement
}

func TestPlacersPickSameEngineForPrefix(t *testing.T) {
	set := newUpstreams(18, 0)
	same := 0
	const parts = 100
	for i := range parts {
		a := mustPick(t, newTestPlacer(set), PickInfo{Service: engineService, Prompt: prompt(fmt.Sprint(i), 100)}, time.Second)
		b := mustPick(t, newTestPlacer(set), PickInfo{Service: engineService, Prompt: prompt(fmt.Sprint(i), 100)}, time.Second)
		if a.Upstream.ID == b.Upstream.ID {
			same++
		}
	}
	if same < parts {
		t.Errorf("two placers picked the same engine for %d of %d prefixes", same, parts)
	}
}

func TestSharedPrefixSpreadsOverEngines(t *testing.T) {
	p := newTestPlacer(newUpstreams(18, 0))
	perEngine := make(map[nutmegid.Upstream]int)
	for range 60 {
		placement := mustPick(t, p, PickInfo{Service: engineService, Prompt: prompt("hot", 2000)}, time.Second)
		perEngine[placement.Upstream.ID]++
	}
	if len(perEngine) < 2 {
		t.Error("all requests with the same prefix went to one engine")
	}
	for id, n := range perEngine {
		if n > 30 {
			t.Errorf("engine %s got %d of 60 concurrent requests", id, n)
		}
	}
}

func TestShortPromptsAvoidEnginesWithLongPrompts(t *testing.T) {
	p := newTestPlacer(newUpstreams(6, 0))
	long := make(map[nutmegid.Upstream]bool)
	for i := range 3 {
		placement := mustPick(t, p, PickInfo{Service: engineService, Prompt: prompt(fmt.Sprint("long", i), 50_000)}, time.Second)
		long[placement.Upstream.ID] = true
	}
	shared := 0
	const short = 60
	for i := range short {
		placement := mustPick(t, p, PickInfo{Service: engineService, Prompt: nutmegcall.Prompt{Model: "m", Tokens: 300, Parts: []nutmegcall.Part{
			{ID: fmt.Sprint("short", i), Tokens: 100}, {ID: "own", Tokens: 200},
		}}}, time.Second)
		if long[placement.Upstream.ID] {
			shared++
		}
		p.RecordEvent(placement, time.Second)
		p.Done(placement, ResultAnswered, time.Second)
	}
	if shared > short/10 {
		t.Errorf("%d of %d short prompts were sent to an engine with a long one", shared, short)
	}
}

func TestSilentUpstreamsAreAvoided(t *testing.T) {
	p := newTestPlacer(newUpstreams(0, 4))
	now := time.Second
	silent := map[nutmegid.Upstream]bool{"desk-00": true, "desk-01": true}
	for range 8 {
		placement := mustPick(t, p, PickInfo{Service: plainService}, now)
		if !silent[placement.Upstream.ID] {
			p.Done(placement, ResultAnswered, now)
		}
	}
	now += 2 * serviceSilence
	for range 20 {
		placement := mustPick(t, p, PickInfo{Service: plainService}, now)
		if silent[placement.Upstream.ID] {
			t.Fatalf("silent upstream %s was picked", placement.Upstream.ID)
		}
		p.Done(placement, ResultAnswered, now)
	}
}

func TestSilentUpstreamsAreUsedIfAllAreSilent(t *testing.T) {
	p := newTestPlacer(newUpstreams(0, 2))
	for range 4 {
		mustPick(t, p, PickInfo{Service: plainService}, time.Second)
	}
	mustPick(t, p, PickInfo{Service: plainService}, time.Minute)
}

func TestLeavingUpstreamIsNotPicked(t *testing.T) {
	set := newUpstreams(0, 2)
	byID := map[nutmegid.Upstream]nutmegview.Upstream{}
	for id, u := range set.ByID {
		u.Leaving = id == "desk-00"
		byID[id] = u
	}
	view := nutmegview.New()
	view.SetUpstreams(2, byID)
	p := newTestPlacer(set)
	p.SetUpstreams(view.Upstreams())
	for range 20 {
		if placement := mustPick(t, p, PickInfo{Service: plainService}, time.Second); placement.Upstream.ID == "desk-00" {
			t.Fatal("a leaving upstream was picked")
		}
	}
}

func TestPickRefusesWhenAllUpstreamsAreFull(t *testing.T) {
	p := newTestPlacer(newUpstreams(0, 1))
	accepted := 0
	for {
		_, refusal := p.Pick(PickInfo{Service: plainService}, time.Second)
		if refusal == nil {
			accepted++
			continue
		}
		if refusal.Ran != nutmegcall.NotRun || refusal.RetryAfter <= 0 || refusal.Reason != nutmegcall.ReasonOverloaded {
			t.Errorf("refusal %+v, want reason overloaded, not run, with a retry delay", refusal)
		}
		break
	}
	if diff := cmp.Diff(6*(1+int(serviceQueueShare)), accepted); diff != "" {
		t.Errorf("requests accepted (-want +got):\n%s", diff)
	}
}

func TestRestartedEngineHasNoCachedPrefixes(t *testing.T) {
	set := newUpstreams(2, 0)
	p := newTestPlacer(set)
	first := mustPick(t, p, PickInfo{Service: engineService, Prompt: prompt("part", 100)}, time.Second)
	byID := map[nutmegid.Upstream]nutmegview.Upstream{}
	for id, u := range set.ByID {
		if id == first.Upstream.ID {
			u.StartedAt = time.Unix(50, 0)
		}
		byID[id] = u
	}
	view := nutmegview.New()
	view.SetUpstreams(2, byID)
	p.SetUpstreams(view.Upstreams())
	if p.prefixes.isAt("part", first.Upstream.ID, time.Second) {
		t.Error("a restarted engine is still recorded as having the prefix cached")
	}
}

func TestUnreachableUpstreamIsAvoided(t *testing.T) {
	p := newTestPlacer(newUpstreams(0, 2))
	now := time.Second
	for {
		placement := mustPick(t, p, PickInfo{Service: plainService}, now)
		if placement.Upstream.ID == "desk-00" {
			p.Done(placement, ResultUnreachable, now)
			break
		}
		p.Done(placement, ResultAnswered, now)
	}
	for range 20 {
		placement := mustPick(t, p, PickInfo{Service: plainService}, now+unreachableAvoid/2)
		if placement.Upstream.ID == "desk-00" {
			t.Fatal("an unreachable upstream was picked before its avoid period ended")
		}
		p.Done(placement, ResultAnswered, now)
	}
}

func BenchmarkPickEngine(b *testing.B) {
	p := newTestPlacer(newUpstreams(140, 0))
	b.ReportAllocs()
	for i := range b.N {
		placement, _ := p.Pick(PickInfo{Service: engineService, Prompt: prompt(fmt.Sprint(i%100), 100)}, time.Duration(i)*time.Millisecond)
		p.Done(placement, ResultAnswered, time.Duration(i)*time.Millisecond)
	}
}
