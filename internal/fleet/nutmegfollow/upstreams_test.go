package nutmegfollow

import (
	"testing"
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
