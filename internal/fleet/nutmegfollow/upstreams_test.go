package nutmegfollow

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// entryOf reads an entry whose value is its address; a value of "leaving" marks
// one that leaves.
func entryOf(o nutmegstore.Object) (nutmegview.Upstream, error) {
	return nutmegview.Upstream{ID: nutmegid.Upstream(o.Key.Name), Address: "a", Leaving: string(o.Value) == "leaving"}, nil
}

func present(name, value string) nutmegstore.Object {
	return nutmegstore.Object{Key: nutmegstore.Key{Kind: "upstreams", Name: name}, Version: 1, Value: []byte(value)}
}

func deleted(name string) nutmegstore.Object {
	return nutmegstore.Object{Key: nutmegstore.Key{Kind: "upstreams", Name: name}, Version: 2, Deleted: true}
}

func names(e *entries) []string {
	var list []string
	for _, id := range []nutmegid.Upstream{"u1", "u2"} {
		if _, ok := e.known[id]; ok {
			list = append(list, string(id))
		}
	}
	return list
}

func TestADeletedUpstreamIsGoneAtOnce(t *testing.T) {
	e := newEntries(entryOf, func(UpstreamChange) {})
	now := time.Unix(100, 0)
	e.take(nutmegstore.Batch{Objects: []nutmegstore.Object{present("u1", ""), present("u2", "")}}, now)
	e.take(nutmegstore.Batch{Objects: []nutmegstore.Object{deleted("u1")}}, now)
	if diff := cmp.Diff([]string{"u2"}, names(e)); diff != "" {
		t.Errorf("upstreams (-want +got):\n%s", diff)
	}
}

func TestAnEntryThatLapsedInAnOutageIsUsedUntilItsTimeIsOver(t *testing.T) {
	e := newEntries(entryOf, func(UpstreamChange) {})
	now := time.Unix(100, 0)
	e.take(nutmegstore.Batch{Objects: []nutmegstore.Object{present("u1", ""), present("u2", "")}}, now)
	back := now.Add(10 * time.Second)
	e.take(nutmegstore.Batch{Gap: 4 * time.Second, Objects: []nutmegstore.Object{deleted("u1"), deleted("u2")}}, back)
	if diff := cmp.Diff([]string{"u1", "u2"}, names(e)); diff != "" {
		t.Errorf("upstreams right after the outage (-want +got):\n%s", diff)
	}
	e.take(nutmegstore.Batch{Objects: []nutmegstore.Object{present("u2", "")}}, back.Add(time.Second))
	// Later changes must not put the end off: a busy list never falls silent.
	e.expire(back.Add(time.Second))
	e.expire(back.Add(afterGapGrace))
	if diff := cmp.Diff([]string{"u2"}, names(e)); diff != "" {
		t.Errorf("upstreams after the grace (-want +got):\n%s", diff)
	}
}

func TestALeavingUpstreamThatVanishesInAnOutageIsGone(t *testing.T) {
	e := newEntries(entryOf, func(UpstreamChange) {})
	now := time.Unix(100, 0)
	e.take(nutmegstore.Batch{Objects: []nutmegstore.Object{present("u1", "leaving")}}, now)
	e.take(nutmegstore.Batch{Gap: 4 * time.Second, Objects: []nutmegstore.Object{deleted("u1")}}, now)
	if diff := cmp.Diff([]string(nil), names(e)); diff != "" {
		t.Errorf("upstreams (-want +got):\n%s", diff)
	}
}

func TestAShortGapHidesNoDeletion(t *testing.T) {
	e := newEntries(entryOf, func(UpstreamChange) {})
	now := time.Unix(100, 0)
	e.take(nutmegstore.Batch{Objects: []nutmegstore.Object{present("u1", "")}}, now)
	e.take(nutmegstore.Batch{Gap: time.Second, Objects: []nutmegstore.Object{deleted("u1")}}, now)
	if diff := cmp.Diff([]string(nil), names(e)); diff != "" {
		t.Errorf("upstreams (-want +got):\n%s", diff)
	}
}

// busyStore always has changes of all its upstreams.
type busyStore struct {
	upstreams int
	polls     int
	leavingAt time.Time // when the first upstream begins to leave
}

// FollowBatches implements Store.
func (s *busyStore) FollowBatches(ctx context.Context, _, _ string, fn func(nutmegstore.Batch)) {
	for ctx.Err() == nil {
		s.polls++
		b := nutmegstore.Batch{StoreVersion: nutmegid.Version(s.polls)}
		for i := range s.upstreams {
			value := "ready"
			if i == 0 && !time.Now().Before(s.leavingAt) {
				value = "leaving"
			}
			b.Objects = append(b.Objects, present(fmt.Sprint("u", i), value))
		}
		fn(b)
	}
}

// TestChangesOfManyUpstreamsAreGathered follows fleets of upstreams that change
// all the time: the polls do not grow with them, and a leaving one is known in
// about a second.
func TestChangesOfManyUpstreamsAreGathered(t *testing.T) {
	for _, test := range []struct{ upstreams, polls int }{{20, 26}, {140, 11}, {12_000, 11}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := &busyStore{upstreams: test.upstreams, leavingAt: time.Now().Add(5 * time.Second)}
			view := nutmegview.New()
			u := NewUpstreams(UpstreamsConfig{Store: store, Kind: "upstreams", Decode: entryOf, View: view})
			u.Start(ctx)
			time.Sleep(6100 * time.Millisecond)
			if !view.Upstreams().ByID["u0"].Leaving {
				t.Errorf("of %d upstreams, one that has left for 1.1 s still takes work", test.upstreams)
			}
			time.Sleep(3900 * time.Millisecond)
			cancel()
			u.Wait()
			if store.polls > test.polls {
				t.Errorf("%d polls in 10 s for %d upstreams, want %d at most", store.polls, test.upstreams, test.polls)
			}
		})
	}
}
