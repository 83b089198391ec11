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
	engines nutmegview.Service = "engines"
	desk    nutmegview.Service = "desk"
)

// fleetOf makes a set of engines and of plain upstreams.
func fleetOf(engineCount, deskCount int) *nutmegview.Upstreams {
	byID := make(map[nutmegid.Upstream]nutmegview.Upstream)
	add := func(s nutmegview.Service, i, slots int) {
		id := nutmegid.Upstream(fmt.Sprintf("%s-%02d", s, i))
		byID[id] = nutmegview.Upstream{
			ID: id, Service: s, Address: string(id), Slots: slots, FailureDomain: nutmegid.FailureDomain(fmt.Sprint(i % 3)),
		}
	}
	for i := range engineCount {
		add(engines, i, 64)
	}
	for i := range deskCount {
		add(desk, i, 6)
	}
	view := nutmegview.New()
	view.SetUpstreams(1, byID)
	return view.Upstreams()
}

func placerOf(set *nutmegview.Upstreams) *Placer {
	p := New(Config{FailureDomain: "0", Seed: 1})
	p.SetConfig(&nutmegview.Config{Services: map[nutmegview.Service]nutmegview.ServiceConfig{engines: {Engine: &nutmegview.Engine{}}, desk: {}}})
	p.SetUpstreams(set)
	return p
}

// prompt shares a part of 5,000 tokens with others of the same id.
func prompt(part string, own int64) nutmegcall.Prompt {
	return nutmegcall.Prompt{
		Model: "m", Tokens: 5000 + own,
		Parts: []nutmegcall.Part{{ID: part, Tokens: 5000}, {ID: "own", Tokens: own}},
	}
}

func mustPick(t *testing.T, p *Placer, ask Ask, now time.Duration) *Ticket {
	t.Helper()
	ticket, refusal := p.Pick(ask, now)
	if refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	return ticket
}

func TestInstancesAgreeOnTheEngineOfAPromptPart(t *testing.T) {
	set := fleetOf(18, 0)
	agreed := 0
	const parts = 100
	for i := range parts {
		a := mustPick(t, placerOf(set), Ask{Service: engines, Prompt: prompt(fmt.Sprint(i), 100)}, time.Second)
		b := mustPick(t, placerOf(set), Ask{Service: engines, Prompt: prompt(fmt.Sprint(i), 100)}, time.Second)
		if a.Upstream.ID == b.Upstream.ID {
			agreed++
		}
	}
	if agreed < parts {
		t.Errorf("instances agree on %d of %d parts", agreed, parts)
	}
}

func TestOneHotPromptSpreadsBeforeItsEngineIsBuried(t *testing.T) {
	p := placerOf(fleetOf(18, 0))
	perEngine := make(map[nutmegid.Upstream]int)
	for range 60 {
		ticket := mustPick(t, p, Ask{Service: engines, Prompt: prompt("hot", 2000)}, time.Second)
		perEngine[ticket.Upstream.ID]++
	}
	if len(perEngine) < 2 {
		t.Error("a hot prompt stays on one engine")
	}
	for id, n := range perEngine {
		if n > 30 {
			t.Errorf("engine %s has %d of 60 requests at once", id, n)
		}
	}
}

func TestARushOfLongPromptsLeavesShortOnesAnIdleEngine(t *testing.T) {
	p := placerOf(fleetOf(6, 0))
	long := make(map[nutmegid.Upstream]bool)
	for i := range 3 {
		ticket := mustPick(t, p, Ask{Service: engines, Prompt: prompt(fmt.Sprint("long", i), 50_000)}, time.Second)
		long[ticket.Upstream.ID] = true
	}
	meet := 0
	const short = 60
	for i := range short {
		ticket := mustPick(t, p, Ask{Service: engines, Prompt: nutmegcall.Prompt{Model: "m", Tokens: 300, Parts: []nutmegcall.Part{
			{ID: fmt.Sprint("short", i), Tokens: 100}, {ID: "own", Tokens: 200},
		}}}, time.Second)
		if long[ticket.Upstream.ID] {
			meet++
		}
		p.FirstEvent(ticket, time.Second)
		p.Done(ticket, ResultAnswered, time.Second)
	}
	if meet > short/10 {
		t.Errorf("%d of %d short prompts wait behind a long one", meet, short)
	}
}

func TestHalfOfTheUpstreamsDarkAreAvoidedOnceTheyAreSilent(t *testing.T) {
	p := placerOf(fleetOf(0, 4))
	now := time.Second
	dark := map[nutmegid.Upstream]bool{"desk-00": true, "desk-01": true}
	for range 8 {
		ticket := mustPick(t, p, Ask{Service: desk}, now)
		if !dark[ticket.Upstream.ID] {
			p.Done(ticket, ResultAnswered, now)
		}
	}
	now += 2 * serviceSilence
	for range 20 {
		ticket := mustPick(t, p, Ask{Service: desk}, now)
		if dark[ticket.Upstream.ID] {
			t.Fatalf("%s was chosen though it is silent", ticket.Upstream.ID)
		}
		p.Done(ticket, ResultAnswered, now)
	}
}

func TestAllUpstreamsSilentStillGetRequests(t *testing.T) {
	p := placerOf(fleetOf(0, 2))
	for range 4 {
		mustPick(t, p, Ask{Service: desk}, time.Second)
	}
	mustPick(t, p, Ask{Service: desk}, time.Minute)
}

func TestALeavingUpstreamTakesNothingNew(t *testing.T) {
	set := fleetOf(0, 2)
	byID := map[nutmegid.Upstream]nutmegview.Upstream{}
	for id, u := range set.ByID {
		u.Leaving = id == "desk-00"
		byID[id] = u
	}
	view := nutmegview.New()
	view.SetUpstreams(2, byID)
	p := placerOf(set)
	p.SetUpstreams(view.Upstreams())
	for range 20 {
		if ticket := mustPick(t, p, Ask{Service: desk}, time.Second); ticket.Upstream.ID == "desk-00" {
			t.Fatal("a leaving upstream was chosen")
		}
	}
}

func TestTheDeskAtItsSlotsRefusesAtOnceAndSaysWhenToComeBack(t *testing.T) {
	p := placerOf(fleetOf(0, 1))
	taken := 0
	for {
		_, refusal := p.Pick(Ask{Service: desk}, time.Second)
		if refusal == nil {
			taken++
			continue
		}
		if refusal.Ran != nutmegcall.NotRun || refusal.RetryAfter <= 0 || refusal.Reason != nutmegcall.ReasonOverloaded {
			t.Errorf("refusal is %+v", refusal)
		}
		break
	}
	if diff := cmp.Diff(6*(1+int(serviceQueueShare)), taken); diff != "" {
		t.Errorf("requests taken (-want +got):\n%s", diff)
	}
}

func TestANewProcessUnderAnOldIDHasKeptNothing(t *testing.T) {
	set := fleetOf(2, 0)
	p := placerOf(set)
	first := mustPick(t, p, Ask{Service: engines, Prompt: prompt("part", 100)}, time.Second)
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
	if p.kept.holds("part", first.Upstream.ID, time.Second) {
		t.Error("a restarted engine is believed to keep the part")
	}
}

func TestAnUpstreamThatCannotBeReachedComesBackSlowly(t *testing.T) {
	p := placerOf(fleetOf(0, 2))
	now := time.Second
	for {
		ticket := mustPick(t, p, Ask{Service: desk}, now)
		if ticket.Upstream.ID == "desk-00" {
			p.Done(ticket, ResultUnreachable, now)
			break
		}
		p.Done(ticket, ResultAnswered, now)
	}
	for range 20 {
		ticket := mustPick(t, p, Ask{Service: desk}, now+unreachableAvoid/2)
		if ticket.Upstream.ID == "desk-00" {
			t.Fatal("an upstream was chosen right after it could not be reached")
		}
		p.Done(ticket, ResultAnswered, now)
	}
}

func BenchmarkPickEngine(b *testing.B) {
	p := placerOf(fleetOf(140, 0))
	b.ReportAllocs()
	for i := range b.N {
		ticket, _ := p.Pick(Ask{Service: engines, Prompt: prompt(fmt.Sprint(i%100), 100)}, time.Duration(i)*time.Millisecond)
		p.Done(ticket, ResultAnswered, time.Duration(i)*time.Millisecond)
	}
}
