package nutmegnotice

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// process returns an upstream that started at a time in seconds.
func process(start int64) nutmegview.Upstream {
	return nutmegview.Upstream{ID: "u", StartedAt: time.Unix(start, 0)}
}

func limited(r Rate) Notice {
	return Notice{RateLimit: &r, Success: true}
}

// TestNewestAnswerCounts guards against limits that outlive the answers that state
// them, and against errors and unreadable values that end them.
func TestNewestAnswerCounts(t *testing.T) {
	u := process(1)
	var changes []Change
	tracker := NewTracker(Config{OnChange: func(c Change) { changes = append(changes, c) }})
	failed := limited(2)
	failed.Success = false
	steps := []struct {
		notice Notice
		want   Rate // -1 for no limit
	}{
		{Notice{Success: true}, -1},
		{failed, 2},
		{Notice{}, 2},
		{Notice{Success: true, Unclear: true}, 2},
		{limited(2.1), 2.1},
		{limited(9), 9},
		{limited(0), 0},
		{Notice{Success: true}, -1},
	}
	for n, s := range steps {
		tracker.Record(u, nutmegid.RequestID(fmt.Sprint(n)), s.notice, time.Duration(n))
		limit, ok := tracker.RateLimit(u)
		if !ok {
			limit.Rate = -1
		}
		if limit.Rate != s.want {
			t.Errorf("step %d: limit %g; want %g", n, limit.Rate, s.want)
		}
	}
	p := u.Process()
	want := []Change{
		{Kind: ChangeStated, Process: p, After: 2, Request: "1"},
		{Kind: ChangeMoved, Process: p, Before: 2, After: 9, Request: "5"},
		{Kind: ChangeMoved, Process: p, Before: 9, After: 0, Request: "6"},
		{Kind: ChangeEnded, Process: p, Request: "7"},
	}
	if diff := cmp.Diff(want, changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// TestNewProcessHasNoLimit guards against a limit that an upstream's next process
// inherits.
func TestNewProcessHasNoLimit(t *testing.T) {
	tracker := NewTracker(Config{})
	tracker.Record(process(1), "a", limited(1), 0)
	if _, ok := tracker.RateLimit(process(2)); ok {
		t.Error("the next process has the limit of the one before")
	}
}

// TestLapsedEntryKeepsItsLimit guards against an upstream whose entry is gone for a
// moment, as in an outage of the store, and that counts as unlimited afterwards.
func TestLapsedEntryKeepsItsLimit(t *testing.T) {
	u := process(1)
	tracker := NewTracker(Config{})
	tracker.Record(u, "a", limited(1), 0)
	none := &nutmegview.Upstreams{}
	tracker.Forget(none, retention)
	if _, ok := tracker.RateLimit(u); !ok {
		t.Error("the limit is forgotten within its retention")
	}
	listed := &nutmegview.Upstreams{ByID: map[nutmegid.Upstream]nutmegview.Upstream{"u": u}}
	tracker.Forget(listed, time.Hour)
	if _, ok := tracker.RateLimit(u); !ok {
		t.Error("the limit of a listed process is forgotten")
	}
	tracker.Forget(none, retention+1)
	if n := tracker.Limited(); n != 0 {
		t.Errorf("%d limits are kept of processes that are gone", n)
	}
}

func TestNumberOfLimitsIsBounded(t *testing.T) {
	tracker := NewTracker(Config{})
	for n := range int64(maxRecords + 10) {
		tracker.Record(process(n), "a", limited(1), time.Duration(n))
	}
	if n := tracker.Limited(); n != maxRecords {
		t.Errorf("%d limits are kept; want %d", n, maxRecords)
	}
	if _, ok := tracker.RateLimit(process(maxRecords + 9)); !ok {
		t.Error("the newest limit is not kept")
	}
}

// TestOthersLearnLimits guards against instances that learn of a limit only from an
// answer of their own, and against old news that override such an answer.
func TestOthersLearnLimits(t *testing.T) {
	var statements []Statement
	u := process(1)
	one := NewTracker(Config{OnStatement: func(s Statement) { statements = append(statements, s) }})
	one.Record(u, "a", limited(2), 10)
	one.Record(u, "b", limited(4), 20)
	one.Record(u, "c", Notice{Success: true}, 30)
	want := []Statement{{Upstream: "u", Process: u.Process(), Rate: 2}, {Upstream: "u", Process: u.Process(), Ended: true}}
	if diff := cmp.Diff(want, statements); diff != "" {
		t.Fatalf("statements (-want +got):\n%s", diff)
	}
	other := NewTracker(Config{})
	other.Merge(statements[0], 0, 100)
	if limit, ok := other.RateLimit(u); !ok || limit.Rate != 2 {
		t.Errorf("limit %+v, %v; want 2", limit, ok)
	}
	other.Record(u, "d", limited(9), 200)
	other.Merge(statements[0], 0, 300)
	other.Merge(statements[1], 150, 310)
	if limit, ok := other.RateLimit(u); !ok || limit.Rate != 9 {
		t.Errorf("limit %+v, %v after old news; want 9", limit, ok)
	}
	other.Merge(statements[1], 0, 320)
	if _, ok := other.RateLimit(u); ok {
		t.Error("the limit has not ended")
	}
	other.Record(u, "e", limited(9), 400)
	other.Record(u, "f", Notice{Success: true}, 500)
	other.Merge(statements[0], 50, 510)
	if _, ok := other.RateLimit(u); ok {
		t.Error("a limit that has ended is back with old news")
	}
}

// TestLeavingLastsUntilTheProcessEnds guards against an upstream that leaves and gets
// requests again, because a later answer or the store does not say so any more.
func TestLeavingLastsUntilTheProcessEnds(t *testing.T) {
	var statements []Statement
	u := process(1)
	one := NewTracker(Config{OnStatement: func(s Statement) { statements = append(statements, s) }})
	leaving := limited(2)
	leaving.Leaving = true
	one.Record(u, "a", leaving, 0)
	one.Record(u, "b", Notice{Success: true, Leaving: true}, 1)
	one.Record(u, "c", Notice{Success: true}, 2)
	one.Forget(&nutmegview.Upstreams{ByID: map[nutmegid.Upstream]nutmegview.Upstream{"u": u}}, time.Hour)
	if !one.IsLeaving(u) || one.IsLeaving(process(2)) {
		t.Errorf("leaving: %v, its next process: %v; want true, false", one.IsLeaving(u), one.IsLeaving(process(2)))
	}
	if _, ok := one.RateLimit(u); ok {
		t.Error("the limit has not ended")
	}
	other := NewTracker(Config{})
	for _, s := range statements {
		other.Merge(s, 0, 10)
	}
	if !other.IsLeaving(u) || len(statements) != 3 {
		t.Errorf("another instance: leaving %v after %d statements; want true after 3", other.IsLeaving(u), len(statements))
	}
}

// TestWaitHoldsForItsProcess guards against waits that a shorter one or another process
// ends, and against waits of years.
func TestWaitHoldsForItsProcess(t *testing.T) {
	u := process(1)
	tracker := NewTracker(Config{OnStatement: func(s Statement) { t.Errorf("other instances are told %+v", s) }})
	tracker.Record(u, "a", Notice{RetryAfter: 4 * time.Second}, time.Second)
	tracker.Record(u, "b", Notice{RetryAfter: time.Second}, 2*time.Second)
	tracker.Record(u, "c", Notice{Success: true}, 3*time.Second)
	if got := tracker.WaitEnd(u); got != 5*time.Second {
		t.Errorf("the wait ends at %s; want 5s", got)
	}
	if got := tracker.WaitEnd(process(2)); got != 0 {
		t.Errorf("the next process waits until %s", got)
	}
	tracker.Record(u, "d", Notice{RetryAfter: 1000 * time.Hour}, 0)
	if got := tracker.WaitEnd(u); got != maxRetryAfter {
		t.Errorf("the wait ends at %s; want at most %s", got, maxRetryAfter)
	}
}
