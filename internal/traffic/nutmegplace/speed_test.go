package nutmegplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// longAnswer is a request whose answer may be long.
var longAnswer = PickInfo{Service: engineService, Prompt: nutmegcall.Prompt{
	Model: "m", Tokens: 2000, MaxOutput: 1000, Parts: []nutmegcall.Part{{ID: "own", Tokens: 2000}},
}}

// stream has an engine send some events with the given time between them.
func stream(p *Placer, id nutmegid.Upstream, events int, gap, start time.Duration) {
	pl := &Placement{candidate: p.byID[id]}
	for i := range events {
		p.RecordEvent(pl, start+time.Duration(i)*gap)
	}
}

// unevenEngines returns a placer that has seen engines of a third each of speed 0.6, 1
// and 1.6, and the time at which it has.
func unevenEngines(t *testing.T, engines int) (*Placer, time.Duration) {
	t.Helper()
	p := newTestPlacer(newUpstreams(engines, 0))
	const usual = 45 * time.Millisecond
	for i := range engines {
		gap := []time.Duration{usual * 10 / 6, usual, usual * 10 / 16}[i%3]
		stream(p, engineID(i), 20, gap, time.Second)
	}
	return p, 3 * time.Second
}

func engineID(i int) nutmegid.Upstream {
	return nutmegid.Upstream(fmt.Sprintf("%s-%02d", engineService, i))
}

// TestEnginesOfUnlikeSpeed has requests with long answers meet engines of speed 0.6, 1 and
// 1.6: faster ones get more of them, none gets all.
func TestEnginesOfUnlikeSpeed(t *testing.T) {
	const engines, requests = 60, 600
	p, now := unevenEngines(t, engines)
	var bySpeed [3]int
	perEngine := make(map[nutmegid.Upstream]int)
	for range requests {
		pl := mustPick(t, p, longAnswer, now)
		perEngine[pl.Upstream.ID]++
		p.Done(pl, ResultNeutral, now)
	}
	for i := range engines {
		bySpeed[i%3] += perEngine[engineID(i)]
	}
	if bySpeed[2] <= bySpeed[1] || bySpeed[1] <= bySpeed[0] {
		t.Errorf("engines of speed 0.6, 1 and 1.6 get %v requests", bySpeed)
	}
	if bySpeed[0] > requests/6 {
		t.Errorf("%d of %d requests go to the slowest third", bySpeed[0], requests)
	}
	for id, n := range perEngine {
		if n > requests/10 {
			t.Errorf("%s gets %d of %d requests", id, n, requests)
		}
	}
}

// TestASlowEngineIsTriedAgain checks that an engine that was slow once gets requests when
// nothing has been heard of it for long.
func TestASlowEngineIsTriedAgain(t *testing.T) {
	p, now := unevenEngines(t, 12)
	stream(p, engineID(4), 40, 400*time.Millisecond, now)
	slow := p.byID[engineID(4)].speed
	usual := p.usualGap(engineService)
	if got := slow.slowness(usual, slow.updatedAt); got < 2 {
		t.Errorf("the slow engine counts as %.1f times as slow", got)
	}
	if got := slow.slowness(usual, slow.updatedAt+time.Minute); got > 1.1 {
		t.Errorf("a minute later the engine still counts as %.1f times as slow", got)
	}
}

// TestUnknownSpeedsDoNotCount checks that engines are placed as before until several have
// answered.
func TestUnknownSpeedsDoNotCount(t *testing.T) {
	p := newTestPlacer(newUpstreams(12, 0))
	stream(p, engineID(0), 40, time.Second, time.Second)
	stream(p, engineID(1), minGaps-1, time.Second, time.Second)
	if got := p.usualGap(engineService); got != 0 {
		t.Errorf("the usual gap is %v with one known engine", got)
	}
	if got := p.byID[engineID(0)].speed.slowness(0, time.Minute); got != 1 {
		t.Errorf("the only known engine counts as %.1f times as slow", got)
	}
}
