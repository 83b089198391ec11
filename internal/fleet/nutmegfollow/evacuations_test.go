package nutmegfollow

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// batchOf returns a batch up to a version of the store.
func batchOf(at nutmegid.Version, objects ...nutmegstore.Object) nutmegstore.Batch {
	return nutmegstore.Batch{Objects: objects, StoreVersion: at}
}

// listOf returns a batch with a list of all objects.
func listOf(at nutmegid.Version, objects ...nutmegstore.Object) nutmegstore.Batch {
	b := batchOf(at, objects...)
	b.Listed = true
	return b
}

func created(domain string, version nutmegid.Version) nutmegstore.Object {
	return nutmegstore.Object{Key: nutmegstore.Key{Name: domain}, Version: version, Value: []byte("{}")}
}

func deleted(domain string, version nutmegid.Version) nutmegstore.Object {
	return nutmegstore.Object{Key: nutmegstore.Key{Name: domain}, Version: version, Deleted: true}
}

// evacuatedAfter applies batches to a view and returns the domains that are evacuated
// then.
func evacuatedAfter(v *nutmegview.View, batches ...nutmegstore.Batch) []nutmegid.FailureDomain {
	f := NewEvacuationFollower(EvacuationFollowerConfig{View: v})
	for _, b := range batches {
		f.apply(b)
	}
	var evacuated []nutmegid.FailureDomain
	for _, c := range v.Evacuations() {
		if c.Evacuated {
			evacuated = append(evacuated, c.FailureDomain)
		}
	}
	return evacuated
}

// TestEntryDeletedAndMadeAgain covers an operator who takes an evacuation back and
// asks for it again at once. Deletions come with the version of the deletion or with
// that of the deleted object; polls end between any two changes or after all of them.
func TestEntryDeletedAndMadeAgain(t *testing.T) {
	type domains = []nutmegid.FailureDomain
	for name, c := range map[string]struct {
		batches []nutmegstore.Batch
		want    domains
	}{
		"one batch":                        {[]nutmegstore.Batch{batchOf(5, created("ipoh", 5)), batchOf(9, deleted("ipoh", 6), created("ipoh", 7))}, domains{"ipoh"}},
		"one batch, old version":           {[]nutmegstore.Batch{batchOf(5, created("ipoh", 5)), batchOf(9, deleted("ipoh", 5), created("ipoh", 7))}, domains{"ipoh"}},
		"two batches":                      {[]nutmegstore.Batch{batchOf(5, created("ipoh", 5)), batchOf(6, deleted("ipoh", 6)), batchOf(7, created("ipoh", 7))}, domains{"ipoh"}},
		"two batches, old version":         {[]nutmegstore.Batch{batchOf(5, created("ipoh", 5)), batchOf(6, deleted("ipoh", 5)), batchOf(7, created("ipoh", 7))}, domains{"ipoh"}},
		"made and deleted in one batch":    {[]nutmegstore.Batch{batchOf(9, created("ipoh", 5), deleted("ipoh", 5))}, nil},
		"deleted twice":                    {[]nutmegstore.Batch{batchOf(9, created("ipoh", 5), deleted("ipoh", 6), created("ipoh", 7), deleted("ipoh", 7))}, nil},
		"another domain stays":             {[]nutmegstore.Batch{batchOf(9, created("ipoh", 5), created("kuantan", 6), deleted("kuantan", 7))}, domains{"ipoh"}},
		"listed again, one new, one gone":  {[]nutmegstore.Batch{listOf(5, created("ipoh", 5)), listOf(30, created("kuantan", 20), deleted("ipoh", 5))}, domains{"kuantan"}},
		"made again while history is lost": {[]nutmegstore.Batch{listOf(5, created("ipoh", 5)), listOf(30, created("ipoh", 20))}, domains{"ipoh"}},
	} {
		if diff := cmp.Diff(c.want, evacuatedAfter(nutmegview.New(), c.batches...)); diff != "" {
			t.Errorf("%s: evacuated (-want +got):\n%s", name, diff)
		}
	}
}

// TestListEndsEvacuationThatPeersHaveTold covers an instance that starts inside an
// evacuation and learns of it from peers; it is taken back before the store answers.
func TestListEndsEvacuationThatPeersHaveTold(t *testing.T) {
	v := nutmegview.New()
	v.ApplyEvacuation(nutmegview.EvacuationChange{FailureDomain: "ipoh", Evacuated: true, Version: 8})
	v.ApplyEvacuation(nutmegview.EvacuationChange{FailureDomain: "kuantan", Evacuated: true, Version: 12})
	// The list was read before kuantan was evacuated.
	want := []nutmegid.FailureDomain{"kuantan"}
	if diff := cmp.Diff(want, evacuatedAfter(v, listOf(10))); diff != "" {
		t.Errorf("evacuated (-want +got):\n%s", diff)
	}
}

// TestEndIsToldOnceAfterAListByAll covers a fleet whose instances all list the objects
// again at different versions of the store: the end that the first one has found and told
// must not count again, and an object made after it must.
func TestEndIsToldOnceAfterAListByAll(t *testing.T) {
	v := nutmegview.New()
	f := NewEvacuationFollower(EvacuationFollowerConfig{View: v})
	f.apply(listOf(5, created("ipoh", 5)))
	v.ApplyEvacuation(nutmegview.EvacuationChange{FailureDomain: "ipoh", Version: 30}) // told by another instance
	f.apply(listOf(32, deleted("ipoh", 5)))
	want := []nutmegview.EvacuationChange{{FailureDomain: "ipoh", Version: 30}}
	if diff := cmp.Diff(want, v.Evacuations()); diff != "" {
		t.Errorf("evacuations after the list (-want +got):\n%s", diff)
	}
	f.apply(batchOf(33, created("ipoh", 33)))
	if !v.IsEvacuated("ipoh") {
		t.Error("an evacuation after the list does not count")
	}
}

// TestOddNamesEvacuateNothing checks that names which no failure domain has are
// reported and ignored, and that the value of an entry does not matter.
func TestOddNamesEvacuateNothing(t *testing.T) {
	odd := []string{"", "a\x00b", "\xff\xfe", "line\nbreak", strings.Repeat("x", maxDomainBytes+1)}
	v := nutmegview.New()
	unusable := 0
	f := NewEvacuationFollower(EvacuationFollowerConfig{View: v, OnUnusable: func(nutmegstore.Object) { unusable++ }})
	objects := []nutmegstore.Object{{Key: nutmegstore.Key{Name: "ipoh"}, Version: 3, Value: []byte("\x80[")}}
	for _, name := range odd {
		objects = append(objects, created(name, 4))
	}
	f.apply(batchOf(4, objects...))
	if unusable != len(odd) {
		t.Errorf("%d entries were reported, want %d", unusable, len(odd))
	}
	want := []nutmegview.EvacuationChange{{FailureDomain: "ipoh", Evacuated: true, Version: 3}}
	if diff := cmp.Diff(want, v.Evacuations()); diff != "" {
		t.Errorf("evacuations (-want +got):\n%s", diff)
	}
}
