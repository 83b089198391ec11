package nutmegtime

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func wallClock(micros int64) func() time.Time {
	return func() time.Time { return time.UnixMicro(micros) }
}

func TestStampsIncreaseWhileWallClockIsStopped(t *testing.T) {
	c := NewClock(wallClock(100))
	want := []Stamp{{Micros: 100}, {Micros: 100, Counter: 1}, {Micros: 100, Counter: 2}}
	if diff := cmp.Diff(want, []Stamp{c.Now(), c.Now(), c.Now()}); diff != "" {
		t.Errorf("stamps (-want +got):\n%s", diff)
	}
}

func TestReplyIsStampedAfterItsMessage(t *testing.T) {
	fast, slow := NewClock(wallClock(900)), NewClock(wallClock(100))
	sent := fast.Now()
	slow.Observe(sent)
	if reply := slow.Now(); !sent.Less(reply) {
		t.Errorf("reply %v is not after message %v", reply, sent)
	}
}

func TestStampFarAheadIsIgnored(t *testing.T) {
	c := NewClock(wallClock(100))
	c.Observe(Stamp{Micros: 101 + MaxDrift.Microseconds()})
	if diff := cmp.Diff(Stamp{Micros: 100}, c.Now()); diff != "" {
		t.Errorf("stamp (-want +got):\n%s", diff)
	}
}

func TestStampsStrictlyIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := int64(1000)
		c := NewClock(func() time.Time { return time.UnixMicro(wall) })
		last := c.Now()
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			wall += rapid.Int64Range(-50, 50).Draw(t, "wall")
			if rapid.Bool().Draw(t, "observe") {
				c.Observe(Stamp{Micros: wall + rapid.Int64Range(-100, 100).Draw(t, "remote")})
			}
			next := c.Now()
			if !last.Less(next) {
				t.Fatalf("stamp %v does not order after the previous stamp %v", next, last)
			}
			last = next
		}
	})
}

func TestParseStampRoundTrip(t *testing.T) {
	want := Stamp{Micros: 12, Counter: 7}
	got, err := ParseStamp(want.String())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("stamp (-want +got):\n%s", diff)
	}
	for _, text := range []string{"", "12", "x.1", "12.-1", "12.x"} {
		if _, err := ParseStamp(text); err == nil {
			t.Errorf("ParseStamp(%q) succeeded; want an error", text)
		}
	}
}

func TestFullRingKeepsTheLatestEventsInOrder(t *testing.T) {
	r := NewRing(RingConfig{Process: "p", Clock: NewClock(wallClock(100)), Size: 3})
	for _, detail := range []string{"a", "b", "c", "d", "e"} {
		r.Record(Event{Kind: KindRequest, Detail: detail})
	}
	var got []string
	for _, e := range r.Events(Filter{}) {
		got = append(got, e.Detail)
	}
	if diff := cmp.Diff([]string{"c", "d", "e"}, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

func TestFilterQueryRoundTrip(t *testing.T) {
	want := Filter{Request: "r", Budget: "b", Upstream: "u", Process: "p", Kind: KindSettle}
	if diff := cmp.Diff(want, ParseFilter(want.Query())); diff != "" {
		t.Errorf("filter (-want +got):\n%s", diff)
	}
	events := []Event{{Kind: KindSettle, Request: "r"}, {Kind: KindRequest, Request: "r"}, {Kind: KindSettle}}
	var matched int
	for _, e := range events {
		if (Filter{Request: "r", Kind: KindSettle}).Match(e) {
			matched++
		}
	}
	if matched != 1 {
		t.Errorf("filter matches %d of 3 events; want 1", matched)
	}
}

func TestMergeOrdersByStampThenProcess(t *testing.T) {
	a := []Event{{At: Stamp{Micros: 1}, Process: "a"}, {At: Stamp{Micros: 3}, Process: "a"}}
	b := []Event{{At: Stamp{Micros: 1}, Process: "b"}, {At: Stamp{Micros: 2}, Process: "b"}}
	var got []string
	for _, e := range Merge(b, a) {
		got = append(got, e.At.String()+e.Process)
	}
	if diff := cmp.Diff([]string{"1.0a", "1.0b", "2.0b", "3.0a"}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}
