package nutmegwarmup

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const (
	service    nutmegview.Service = "engines"
	warmupTime                    = 3 * time.Second
	warmupRate                    = 10.0
)

// upstream returns the entry of upstream "u".
func upstream(startedAt int64, remaining time.Duration) nutmegview.Upstream {
	return nutmegview.Upstream{ID: "u", Service: service, FailureDomain: "ipoh", StartedAt: time.UnixMilli(startedAt), WarmupRemaining: remaining}
}

func listed(upstreams ...nutmegview.Upstream) *nutmegview.Upstreams {
	byID := make(map[nutmegid.Upstream]nutmegview.Upstream)
	for _, u := range upstreams {
		byID[u.ID] = u
	}
	return &nutmegview.Upstreams{ByID: byID}
}

func newConfig(rate float64) *nutmegview.Config {
	return &nutmegview.Config{Services: map[nutmegview.Service]nutmegview.ServiceConfig{
		service: {WarmupTime: warmupTime, WarmupRate: rate},
	}}
}

func newTracker(rate float64, onChange func(Change)) *Tracker {
	t := NewTracker(Config{OnChange: onChange})
	t.SetConfig(newConfig(rate))
	return t
}

// step is one list of upstreams, and the end of the cold time that it leads to.
type step struct {
	at     time.Duration
	listed *nutmegview.Upstreams
	until  time.Duration // zero for an upstream that is not cold then
	source Source
}

func play(t *testing.T, tracker *Tracker, steps []step) {
	t.Helper()
	for n, s := range steps {
		tracker.SetUpstreams(s.listed, s.at)
		limit, cold := tracker.Limit(upstream(1, 0), s.at)
		got := step{at: s.at, until: limit.Until, source: limit.Source}
		want := step{at: s.at, until: s.until, source: s.source}
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(step{})); diff != "" || cold != (s.until > 0) {
			t.Errorf("step %d: cold %v (-want +got):\n%s", n, cold, diff)
		}
	}
}

// TestEntryThatRepeatsAValueExtendsNothing guards against upstreams that stay cold for
// as long as their entry is read again.
func TestEntryThatRepeatsAValueExtendsNothing(t *testing.T) {
	same := listed(upstream(1, 2*time.Second))
	play(t, newTracker(warmupRate, nil), []step{
		{0, same, 2 * time.Second, SourceEntry},
		{time.Second, same, 2 * time.Second, SourceEntry},
		{2 * time.Second, same, 0, ""},
		{9 * time.Second, same, 0, ""},
	})
}

// TestUpstreamTurnsColdAgain guards against an upstream that is cold once more and is
// taken for warm, and against one whose entry says that it is warm and that is spared.
func TestUpstreamTurnsColdAgain(t *testing.T) {
	play(t, newTracker(warmupRate, nil), []step{
		{0, listed(upstream(1, 0)), 0, ""},
		{1 * time.Second, listed(upstream(1, 2*time.Second)), 3 * time.Second, SourceEntry},
		{2 * time.Second, listed(upstream(1, 900*time.Millisecond)), 2900 * time.Millisecond, SourceEntry},
		{2500 * time.Millisecond, listed(upstream(1, 2*time.Second)), 4500 * time.Millisecond, SourceEntry},
		{3 * time.Second, listed(upstream(1, 0)), 0, ""},
		{4 * time.Second, listed(upstream(1, time.Hour)), 4*time.Second + maxRemaining, SourceEntry},
	})
}

// TestNewProcessIsCold guards against a process that has just started under a known id
// and gets the requests of the one before, before it has said that it is cold.
func TestNewProcessIsCold(t *testing.T) {
	play(t, newTracker(warmupRate, nil), []step{
		{0, listed(upstream(1, 0)), 0, ""},
		{time.Second, listed(upstream(2, 0)), time.Second + warmupTime, SourceNewProcess},
		{2 * time.Second, listed(upstream(2, time.Second)), 3 * time.Second, SourceEntry},
		{4 * time.Second, listed(upstream(3, 500*time.Millisecond)), 4500 * time.Millisecond, SourceEntry},
	})
}

// TestUpstreamThatReappearsGetsARisingShare guards against an upstream that was not
// listed for a time and gets everything at once, and against upstreams whose entries
// lapse all together and that all get few requests then.
func TestUpstreamThatReappearsGetsARisingShare(t *testing.T) {
	tracker := newTracker(warmupRate, func(c Change) { t.Errorf("change %+v", c) })
	u := upstream(1, 0)
	tracker.SetUpstreams(listed(u), 0)
	tracker.SetUpstreams(listed(), time.Second)
	tracker.SetUpstreams(listed(u), 2*time.Second)
	if state := tracker.State(u, 2*time.Second); state != (State{Share: firstShare}) {
		t.Errorf("state %+v when it is listed again; want a share of %g", state, firstShare)
	}
	if state := tracker.State(u, 2*time.Second+warmupTime); state != (State{Share: 1}) {
		t.Errorf("state %+v later; want that of any upstream", state)
	}
	tracker.SetUpstreams(listed(), 6*time.Second)
	tracker.SetUpstreams(listed(), 7*time.Second+retention)
	tracker.SetUpstreams(listed(u), 8*time.Second+retention)
	if state := tracker.State(u, 8*time.Second+retention); state != (State{Share: 1}) {
		t.Errorf("state %+v of an upstream that is not remembered; want that of any upstream", state)
	}
}

// TestEvacuatedDomainReturnsCold guards against a failure domain that gets its usual
// requests at once after its evacuation.
func TestEvacuatedDomainReturnsCold(t *testing.T) {
	elsewhere := upstream(1, 0)
	elsewhere.ID, elsewhere.FailureDomain = "v", "penang"
	tracker := newTracker(warmupRate, nil)
	tracker.SetUpstreams(listed(upstream(1, 0), elsewhere), 0)
	tracker.EvacuationEnded("ipoh", time.Second)
	if limit, cold := tracker.Limit(upstream(1, 0), time.Second); !cold || limit.Source != SourceEvacuation || limit.Until != time.Second+warmupTime {
		t.Errorf("limit %+v, cold %v after the evacuation; want a cold time of %s", limit, cold, warmupTime)
	}
	if _, cold := tracker.Limit(elsewhere, time.Second); cold || tracker.Cold(time.Second) != 1 {
		t.Errorf("%d upstreams are cold, one elsewhere %v; want 1, false", tracker.Cold(time.Second), cold)
	}
	play(t, tracker, []step{{2 * time.Second, listed(upstream(1, 400*time.Millisecond), elsewhere), 2400 * time.Millisecond, SourceEntry}})
	tracker.SetUpstreams(listed(upstream(1, 5*time.Second), elsewhere), 3*time.Second)
	tracker.EvacuationEnded("ipoh", 4*time.Second)
	if limit, _ := tracker.Limit(upstream(1, 0), 4*time.Second); limit.Until != 8*time.Second {
		t.Errorf("the cold time ends at %s; want the later end that the entry states", limit.Until)
	}
}

// TestShareRisesAfterAColdTime guards against an idle upstream that gets everything
// from the moment at which it is no longer cold.
func TestShareRisesAfterAColdTime(t *testing.T) {
	tracker := newTracker(warmupRate, nil)
	u := upstream(1, time.Second)
	tracker.SetUpstreams(listed(u), 0)
	want := []State{{true, 1}, {false, firstShare}, {false, 0.6}, {false, 0.8}, {false, 1}, {false, 1}}
	var got []State
	for at := range len(want) {
		got = append(got, tracker.State(u, time.Duration(at)*time.Second))
	}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 })); diff != "" {
		t.Errorf("states by second (-want +got):\n%s", diff)
	}
}

// TestServiceWithoutALimitHasNoColdUpstreams guards against deployments that state no
// limit and are served otherwise than before.
func TestServiceWithoutALimitHasNoColdUpstreams(t *testing.T) {
	tracker := newTracker(0, func(c Change) { t.Errorf("change %+v", c) })
	tracker.SetUpstreams(listed(upstream(1, time.Second)), 0)
	tracker.SetUpstreams(listed(upstream(2, 0)), 1)
	tracker.EvacuationEnded("ipoh", 2)
	if state := tracker.State(upstream(2, 0), 3); state != (State{Share: 1}) {
		t.Errorf("state %+v; want that of any upstream", state)
	}
}

// TestUpstreamsAreListedBeforeTheConfiguration guards against an instance that has just
// started and takes a cold upstream for warm, as it did not know the limit yet.
func TestUpstreamsAreListedBeforeTheConfiguration(t *testing.T) {
	tracker := NewTracker(Config{})
	u := upstream(1, 2*time.Second)
	tracker.SetUpstreams(listed(u), 0)
	if _, cold := tracker.Limit(u, 0); cold {
		t.Error("the upstream is cold without a configuration")
	}
	tracker.SetConfig(newConfig(warmupRate))
	if limit, cold := tracker.Limit(u, time.Second); !cold || limit.Rate != warmupRate {
		t.Errorf("limit %+v, cold %v; want one of %g", limit, cold, warmupRate)
	}
}

// TestChangesAreReportedOnce guards against a log line for each entry of a cold
// upstream, and against ends that nobody sees.
func TestChangesAreReportedOnce(t *testing.T) {
	var changes []Change
	tracker := newTracker(warmupRate, func(c Change) { changes = append(changes, c) })
	for n, remaining := range []time.Duration{0, 3 * time.Second, 2 * time.Second, 0, 2 * time.Second, 2 * time.Second, 2 * time.Second} {
		tracker.SetUpstreams(listed(upstream(1, remaining)), time.Duration(n)*time.Second)
	}
	type line struct {
		Cold  bool
		Ended Source
		Until time.Duration
	}
	want := []line{{true, "", 4 * time.Second}, {false, SourceEntry, 3 * time.Second}, {true, "", 6 * time.Second}, {false, "", 6 * time.Second}}
	var got []line
	for _, c := range changes {
		got = append(got, line{c.Cold, c.Ended, c.Limit.Until})
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}
