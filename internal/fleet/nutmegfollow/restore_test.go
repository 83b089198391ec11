package nutmegfollow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// restoredTable is a table of upstreams on a store that can be restored.
type restoredTable struct {
	*upstreamTable
	now time.Time
}

func newRestoredTable() *restoredTable {
	decode := func(o nutmegstore.Object) (nutmegview.Upstream, error) {
		u := nutmegview.Upstream{ID: nutmegid.Upstream(o.Key.Name), Address: "a", Leaving: string(o.Value) == "leaving"}
		if string(o.Value) == "later" {
			u.StartedAt = time.Unix(50, 0)
		}
		return u, nil
	}
	return &restoredTable{upstreamTable: newUpstreamTable(decode, func(UpstreamChange) {}), now: time.Unix(100, 0)}
}

// tell applies objects at a version of the store; the value "gone" deletes one.
func (r *restoredTable) tell(era nutmegid.Era, counter uint64, values map[string]string) {
	version := nutmegid.NewVersion(era, counter)
	b := nutmegstore.Batch{StoreVersion: version}
	for name, value := range values {
		b.Objects = append(b.Objects, nutmegstore.Object{
			Key: nutmegstore.Key{Kind: "upstreams", Name: name}, Version: version, Value: []byte(value), Deleted: value == "gone",
		})
	}
	r.apply(b, r.now)
}

// wait lets time pass.
func (r *restoredTable) wait(d time.Duration) {
	r.now = r.now.Add(d)
	r.expire(r.now)
}

// check compares the upstreams in use; the value tells whether one leaves.
func (r *restoredTable) check(t *testing.T, when string, want map[nutmegid.Upstream]bool) {
	t.Helper()
	got := make(map[nutmegid.Upstream]bool)
	for id, u := range r.byID {
		got[id] = u.Leaving
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s: upstreams, and whether they leave (-want +got):\n%s", when, diff)
	}
}

// An upstream that left shortly before a restore stands in the older copy as ready, or
// stands there at all (DRAIN: it got new work).
func TestCopyBringsNoLeftUpstreamBack(t *testing.T) {
	r := newRestoredTable()
	r.tell(1, 10, map[string]string{"u1": "ready", "u2": "ready", "u3": "ready"})
	r.tell(1, 20, map[string]string{"u1": "leaving", "u2": "gone"})
	r.tell(2, 11, map[string]string{"u1": "ready", "u2": "ready", "u3": "ready"})
	r.check(t, "after the restore", map[nutmegid.Upstream]bool{"u1": true, "u3": false})
	r.tell(2, 12, map[string]string{"u1": "leaving", "u2": "gone"})
	r.wait(time.Minute)
	r.check(t, "later", map[nutmegid.Upstream]bool{"u1": true, "u3": false})
}

// An entry may have vanished without its upstream: it counts again once it is written
// anew, or once the store has kept it for longer than that of a silent upstream.
func TestUpstreamThatLivesComesBackAfterARestore(t *testing.T) {
	r := newRestoredTable()
	r.tell(1, 10, map[string]string{"u1": "ready", "u2": "ready"})
	r.tell(1, 20, map[string]string{"u1": "gone", "u2": "gone"})
	r.tell(2, 11, map[string]string{"u1": "ready", "u2": "ready"})
	r.check(t, "after the restore", map[nutmegid.Upstream]bool{})
	r.tell(2, 13, map[string]string{"u1": "ready"})
	r.check(t, "once one is written anew", map[nutmegid.Upstream]bool{"u1": false})
	r.wait(doubtTime)
	r.check(t, "later", map[nutmegid.Upstream]bool{"u1": false, "u2": false})
}

// The copy may hold the entry of an upstream's former process.
func TestCopyDoesNotReplaceALaterProcess(t *testing.T) {
	r := newRestoredTable()
	r.tell(1, 10, map[string]string{"u1": "ready"})
	r.tell(1, 20, map[string]string{"u1": "later"})
	r.tell(2, 11, map[string]string{"u1": "ready"})
	if u := r.byID["u1"]; !u.StartedAt.Equal(time.Unix(50, 0)) {
		t.Errorf("the process in use started at %v, want the later one", u.StartedAt)
	}
	r.tell(2, 12, map[string]string{"u1": "later"})
	r.wait(time.Minute)
	if u := r.byID["u1"]; !u.StartedAt.Equal(time.Unix(50, 0)) {
		t.Errorf("later the process in use started at %v, want the later one", u.StartedAt)
	}
}
