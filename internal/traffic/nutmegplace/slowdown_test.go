package nutmegplace

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// ownPrompt shares no part with other prompts.
var ownPrompt = nutmegcall.Prompt{Model: "m", Tokens: 2000, Parts: []nutmegcall.Part{{ID: "own", Tokens: 2000}}}

// report has an instance hear from one upstream about its load.
func report(p *Placer, id nutmegid.Upstream, l Load, now time.Duration) {
	p.ReportLoad(&Placement{candidate: p.byID[id]}, l, now)
}

// shareAt returns the share of single requests that are placed at an upstream.
func shareAt(t *testing.T, p *Placer, id nutmegid.Upstream, now time.Duration) float64 {
	t.Helper()
	const requests = 400
	found := 0
	for range requests {
		pl := mustPick(t, p, PickInfo{Service: engineService, Prompt: ownPrompt}, now)
		if pl.Upstream.ID == id {
			found++
		}
		p.Done(pl, ResultNeutral, now)
	}
	return float64(found) / requests
}

// TestSlowEngineGetsFewerRequestsUntilItsReportExpires has the machine of one of
// six engines work 2.5 times as long for 0.6 s.
func TestSlowEngineGetsFewerRequestsUntilItsReportExpires(t *testing.T) {
	p := newTestPlacer(newUpstreams(6, 0))
	const slow = nutmegid.Upstream("engines-03")
	start := 10 * time.Second
	before := shareAt(t, p, slow, start)
	report(p, slow, Load{Slots: 64, Slowdown: 2.5}, start)
	during := shareAt(t, p, slow, start)
	if during > before/3 { // both draws are the slow engine once in 36 times
		t.Errorf("the slow engine gets %.3f of the requests, %.3f before", during, before)
	}
	after := shareAt(t, p, slow, start+2*time.Second) // without a further report
	if math.Abs(after-before) > 0.06 {
		t.Errorf("the engine gets %.3f of the requests when its report is old, %.3f before", after, before)
	}
}

// TestASlowUpstreamHasAShorterQueue checks that requests do not queue behind work that
// takes longer than usual, and that slots are used all the same.
func TestASlowUpstreamHasAShorterQueue(t *testing.T) {
	now := time.Second
	for _, test := range []struct {
		slowdown float64
		load     int
		full     bool
	}{
		{0, 127, false},
		{0, 128, true},
		{2, 95, false},
		{2, 96, true},
		{1e6, 63, false},
		{1e6, 72, true},
		{0.5, 127, false},
		{0.5, 128, true},
	} {
		p := newTestPlacer(newUpstreams(1, 0))
		c := p.byID["engines-00"]
		c.updateLoad(Load{Running: test.load, Slots: 64, Slowdown: test.slowdown}, now)
		if got := c.isFull(engineQueueShare, now); got != test.full {
			t.Errorf("slowdown %v, load %d: full is %v; want %v", test.slowdown, test.load, got, test.full)
		}
	}
}

// TestOddSlowdowns checks that no reported value draws all requests or shuts its
// upstream out.
func TestOddSlowdowns(t *testing.T) {
	for _, stated := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, 1e-300} {
		c := &candidate{}
		c.updateLoad(Load{Slots: 8, Slowdown: stated}, time.Second)
		if got := c.currentSlowdown(time.Second); !(got >= minSlowdown && got <= maxSlowdown) {
			t.Errorf("a slowdown of %v counts as %v", stated, got)
		}
	}
}

// TestPlainUpstreamsHaveSlowNeighbours checks that a slow upstream that is idle gets
// nothing while a usual one has a slot free.
func TestPlainUpstreamsHaveSlowNeighbours(t *testing.T) {
	p := newTestPlacer(newUpstreams(0, 4))
	now := time.Second
	report(p, "desk-00", Load{Slots: 6, Slowdown: 2.5}, now)
	for range 3 {
		pl := mustPick(t, p, PickInfo{Service: plainService}, now)
		if pl.Upstream.ID == "desk-00" {
			t.Error("a request went to the slow upstream")
		}
	}
}

// TestStaleReportsAt71Instances has 71 instances place requests at once by reports of
// one moment, in which a fifth of 20 engines is slow.
func TestStaleReportsAt71Instances(t *testing.T) {
	const (
		instances = 71
		engines   = 20
		slow      = 4 // every fifth engine
		each      = 4 // requests of one instance before the next report
	)
	reported := time.Second
	counts := make(map[nutmegid.Upstream]int)
	set := newUpstreams(engines, 0)
	for i := range instances {
		p := New(Config{FailureDomain: "0", Seed: uint64(i)})
		p.SetConfig(engineConfig())
		p.SetUpstreams(set)
		for id := range set.ByID {
			slowdown := 1.0
			if isFifth(id) {
				slowdown = 2.5
			}
			report(p, id, Load{Running: 10, Slots: 64, Slowdown: slowdown}, reported)
		}
		for range each {
			info := PickInfo{Service: engineService, Prompt: ownPrompt}
			counts[mustPick(t, p, info, reported+100*time.Millisecond).Upstream.ID]++
		}
	}
	const mean = instances * each / (engines - slow)
	for id, n := range counts {
		if n > 2*mean {
			t.Errorf("%s got %d requests before the next report; the mean of the usual engines is %d", id, n, mean)
		}
		if isFifth(id) && n > mean/2 {
			t.Errorf("slow engine %s got %d requests; the mean of the usual ones is %d", id, n, mean)
		}
	}
}

// isFifth reports whether an engine is one of every five.
func isFifth(id nutmegid.Upstream) bool {
	var n int
	_, _ = fmt.Sscanf(string(id), string(engineService)+"-%d", &n)
	return n%5 == 0
}
